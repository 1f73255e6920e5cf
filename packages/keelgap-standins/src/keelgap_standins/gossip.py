"""Fake of everything around the dissemination reducers of many processes.

One queue of timed calls on a paused clock, a network that loses and delays
messages, and a configuration service that may be away or restored from an old
copy.  The reducers are the real ones.
"""

import heapq
from collections.abc import Callable
from itertools import count
from random import Random
from typing import Any, Final, NamedTuple

import msgspec

from keelgap.addresses import Address
from keelgap.control.messages import encode_message
from keelgap.dissemination import defaults
from keelgap.dissemination.driver import make_checkers
from keelgap.dissemination.effects import (
    DisseminationEffect,
    PutInForce,
    Read,
    SendMessage,
)
from keelgap.dissemination.events import (
    DisseminationEvent,
    DocumentRead,
    MessageReceived,
    TimerFired,
)
from keelgap.dissemination.reducer import reduce
from keelgap.dissemination.state import (
    DisseminationIdentity,
    DisseminationState,
    DocumentNames,
)

__all__ = (
    'INSTANCES_KEY',
    'TABLE_KEY',
    'GossipNet',
    'Process',
    'make_instances',
    'make_table_document',
    'start_net',
)

_NAMES: Final = DocumentNames()
TABLE_KEY, INSTANCES_KEY = _NAMES
#: One way between availability zones, in seconds.
_DELAY: Final = 0.0015
#: Longest delay of a doubled message, in seconds.
_LATEST: Final = 3.0
_READ_DELAY: Final = 0.005
_WAIT: Final = 30.0


class InForce(NamedTuple):
    """A version came into force at a time."""

    now: float
    key: str
    revision: int
    digest: str


class Process:
    """One process: its reducer's state and what it did."""

    def __init__(self, state: DisseminationState) -> None:
        """Start with a state."""
        self.state = state
        self.in_force: list[InForce] = []
        self.octets_sent = 0
        self.paused = False
        self.waiting: list[DisseminationEvent] = []
        self.watch = 0

    def get_revision(self, key: str = TABLE_KEY) -> int:
        """Return the revision in force."""
        for entry in reversed(self.in_force):
            if entry.key == key:
                return entry.revision
        return 0


class GossipNet:
    """Processes, the network between them and the configuration service."""

    def __init__(self, seed: int, loss: float = 0) -> None:
        """Start at time 0 without a process."""
        self.random = Random(seed)
        self.loss = loss
        #: Share of messages that come a second time, and late.
        self.doubled = 0.0  # noqa: WPS358
        self.now = 0.0  # noqa: WPS358
        self.calls: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = count()
        self.processes: dict[Address, Process] = {}
        self.values: dict[str, bytes] = {}
        self.away = False
        self.reads = 0
        #: Pairs that cannot reach each other.
        self.cut: set[frozenset[Address]] = set()
        #: Told of every event of a process, in golden sessions.
        self.recorders: dict[Address, Any] = {}
        #: Changed by experiments: whether a message arrives.
        self.is_lost: Callable[[], bool] = self._is_lost

    def add(
        self,
        control: Address,
        zone: str,
        seeds: tuple[Address, ...] = (),
        names: DocumentNames = _NAMES,
    ) -> Process:
        """Start a process."""
        identity = DisseminationIdentity(control, zone, seeds, names)
        random = Random(self.random.getrandbits(32))
        checkers = make_checkers(identity.names)
        state = DisseminationState(identity, checkers, random, self.now)
        process = Process(state)
        self.processes[control] = process
        self._call_later(
            random.random() * defaults.TIMER_SECONDS, self._tick, control
        )
        return process

    def kill(self, control: Address) -> None:
        """End a process without notice."""
        self.processes.pop(control)

    def put(self, key: str, value: dict[str, Any]) -> None:
        """Publish a document; watches of all readers return."""
        self.values[key] = msgspec.json.encode(value)
        for control, process in self.processes.items():
            if process.state.reading and key in process.state.held:
                self._read(control, process, key)

    def switch_service(self, away: bool) -> None:
        """Take the service away, or bring it back."""
        self.away = away
        if not away:
            for control, process in self.processes.items():
                if process.state.reading:
                    self._read_all(control, process)

    def pause(self, control: Address) -> None:
        """Stop a process without ending it."""
        self.processes[control].paused = True

    def wake(self, control: Address) -> None:
        """Let a paused process go on; what came meanwhile comes at once."""
        process = self.processes[control]
        process.paused = False
        waiting = process.waiting
        process.waiting = []
        for event in waiting:
            self._dispatch(control, event._replace(now=self.now))

    def run(self, seconds: float) -> None:
        """Advance the clock."""
        until = self.now + seconds
        while self.calls and self.calls[0][0] <= until:
            now, _, call = heapq.heappop(self.calls)
            self.now = now
            call()
        self.now = until

    def run_until(self, done: Callable[[], bool], longest: float) -> float:
        """Advance until something holds; return the seconds it took."""
        started = self.now
        while not done() and self.now - started < longest:
            self.run(0.01)
        return self.now - started

    def count_behind(self, revision: int) -> int:
        """Return how many processes have an earlier table in force."""
        return sum(
            process.get_revision() < revision
            for process in self.processes.values()
        )

    def _call_later(
        self,
        seconds: float,
        call: Callable[..., None],
        *arguments: Any,
    ) -> None:
        entry = (
            self.now + seconds,
            next(self.numbers),
            lambda: call(*arguments),
        )
        heapq.heappush(self.calls, entry)

    def _tick(self, control: Address) -> None:
        process = self.processes.get(control)
        if process is None:
            return
        self._call_later(defaults.TIMER_SECONDS, self._tick, control)
        if not process.paused:
            self._dispatch(control, TimerFired(self.now))

    def _deliver(self, control: Address, event: DisseminationEvent) -> None:
        process = self.processes.get(control)
        if process is None:
            return
        if process.paused:
            process.waiting.append(event)
        else:
            self._dispatch(control, event._replace(now=self.now))

    def _dispatch(self, control: Address, event: DisseminationEvent) -> None:
        process = self.processes[control]
        state, emitted = reduce(process.state, event)
        process.state = state
        recorder = self.recorders.get(control)
        if recorder is not None:
            recorder.record(str(control), event, emitted)
        for effect in emitted:
            self._carry_out(control, process, effect)

    def _carry_out(
        self,
        control: Address,
        process: Process,
        effect: DisseminationEffect,
    ) -> None:
        if isinstance(effect, SendMessage):
            self._send(control, process, effect)
        elif isinstance(effect, PutInForce):
            version = effect.document.version
            entry = InForce(self.now, effect.key, *version)
            process.in_force.append(entry)
        elif isinstance(effect, Read) and effect.wanted:
            process.watch += 1
            self._read_all(control, process)
            self._call_later(_WAIT, self._renew, control, process.watch)

    def _send(
        self,
        control: Address,
        process: Process,
        effect: SendMessage,
    ) -> None:
        frames = encode_message(control, effect.message)
        process.octets_sent += sum(map(len, frames))
        pair = frozenset((control, effect.receiver))
        if pair in self.cut or self.is_lost():
            return
        event = MessageReceived(self.now, control, effect.message)
        delay = _DELAY * self.random.uniform(0.5, 1.5)
        self._call_later(delay, self._deliver, effect.receiver, event)
        if self.doubled and self.random.random() < self.doubled:
            late = self.random.uniform(0, _LATEST)
            self._call_later(late, self._deliver, effect.receiver, event)

    def _is_lost(self) -> bool:
        return self.random.random() < self.loss

    def _renew(self, control: Address, watch: int) -> None:
        process = self.processes.get(control)
        if process and process.state.reading and process.watch == watch:
            self.reads += len(self.values)
            self._call_later(_WAIT, self._renew, control, watch)

    def _read_all(self, control: Address, process: Process) -> None:
        for key in sorted(self.values.keys() & process.state.held.keys()):
            self._read(control, process, key)

    def _read(self, control: Address, process: Process, key: str) -> None:
        self.reads += 1
        if not self.away:
            event = DocumentRead(self.now, key, self.values[key])
            self._call_later(_READ_DELAY, self._deliver, control, event)


def make_table_document(revision: int, **changes: Any) -> dict[str, Any]:
    """Return a small valid table of a revision."""
    return {
        'revision': revision,
        'services': [{'name': 'board', 'number': 1, 'port': 4430}],
        'upstreams': [
            {
                'name': 'board-1',
                'service': 'board',
                'agent': '127.0.0.21:7001',
                'weight': 1 + revision % 3,
            },
        ],
        **changes,
    }


def make_instances(
    net: GossipNet,
    revision: int,
    leaving: tuple[Address, ...] = (),
) -> dict[str, Any]:
    """Return the platform's list of the processes that run."""
    return {
        'revision': revision,
        'instances': [
            {
                'name': str(control),
                'role': 'balancer',
                'address': control.host,
                'data_port': control.port - 1,
                'control_port': control.port,
                'availability_zone': process.state.identity.availability_zone,
                'state': 'leaving' if control in leaving else 'live',
            }
            for control, process in net.processes.items()
        ],
    }


def start_net(
    seed: int,
    processes: int,
    zones: int = 3,
    loss: float = 0,
) -> GossipNet:
    """Return a net whose processes all have table revision 1 in force."""
    net = GossipNet(seed)
    for index in range(processes):
        control = Address(f'10.0.{index // 250}.{index % 250 + 1}', 7002)
        net.add(control, f'zone-{index % zones}')
    net.put(TABLE_KEY, make_table_document(1))
    net.put(INSTANCES_KEY, make_instances(net, 1))
    net.run_until(lambda: not net.count_behind(1), 30)
    net.run(5)
    net.loss = loss
    return net
