"""Discrete-event simulation of processes that disseminate documents.

The dissemination reducers are the real ones.  Simulated are the clock, a
network that loses, delays and duplicates messages, and a configuration service
that may be unavailable or restored from an old copy.
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
from keelgap.dissemination.driver import make_parsers
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
    DocumentKeys,
)

__all__ = (
    'INSTANCES_KEY',
    'TABLE_KEY',
    'SimulatedNetwork',
    'Process',
    'make_instances',
    'make_table_document',
    'start_network',
)

_DOCUMENT_KEYS: Final = DocumentKeys()
TABLE_KEY, INSTANCES_KEY = _DOCUMENT_KEYS
#: Mean one-way delay of a message, as between availability zones.
_ZONE_DELAY_SECONDS: Final = 0.0015
#: Maximum delay of the second copy of a duplicated message.
_MAX_DUPLICATE_DELAY_SECONDS: Final = 3.0
_READ_DELAY_SECONDS: Final = 0.005
_WATCH_SECONDS: Final = 30.0


class AppliedVersion(NamedTuple):
    """A document version that a process put in force, and when."""

    applied_at: float
    key: str
    revision: int
    digest: str


class Process:
    """Reducer state of one process, and a record of what it did."""

    def __init__(self, state: DisseminationState) -> None:
        """Create a process that is not paused."""
        self.state = state
        self.applied_versions: list[AppliedVersion] = []
        self.octets_sent = 0
        self.paused = False
        self.queued_events: list[DisseminationEvent] = []
        self.watch_id = 0

    def get_revision(self, key: str = TABLE_KEY) -> int:
        """Return the revision of a document in force, or 0 for none."""
        for entry in reversed(self.applied_versions):
            if entry.key == key:
                return entry.revision
        return 0


class SimulatedNetwork:
    """Processes, the network between them and the configuration service."""

    def __init__(self, seed: int, loss_rate: float = 0) -> None:
        """Create a network without processes, at time 0."""
        self.random = Random(seed)
        self.loss_rate = loss_rate
        #: Ratio of messages that are delivered a second time, later.
        self.duplicate_rate = 0.0  # noqa: WPS358
        self.now = 0.0  # noqa: WPS358
        self.scheduled_calls: list[tuple[float, int, Callable[[], None]]] = []
        self.call_ids = count()
        self.processes: dict[Address, Process] = {}
        self.values: dict[str, bytes] = {}
        self.is_service_unavailable = False
        self.read_count = 0
        #: Pairs of processes that cannot reach each other.
        self.partitioned_pairs: set[frozenset[Address]] = set()
        #: Recorders of the events and effects of a process, by its control
        #: address; used by golden tests.
        self.recorders: dict[Address, Any] = {}
        #: Decides whether a message is lost; experiments may replace it.
        self.is_lost: Callable[[], bool] = self._is_lost

    def add(
        self,
        control: Address,
        zone: str,
        seeds: tuple[Address, ...] = (),
        document_keys: DocumentKeys = _DOCUMENT_KEYS,
    ) -> Process:
        """Add a process and start its timer."""
        identity = DisseminationIdentity(control, zone, seeds, document_keys)
        random = Random(self.random.getrandbits(32))
        parsers = make_parsers(identity.document_keys)
        state = DisseminationState(identity, parsers, random, self.now)
        process = Process(state)
        self.processes[control] = process
        self._call_later(
            random.random() * defaults.TIMER_SECONDS, self._tick, control
        )
        return process

    def kill(self, control: Address) -> None:
        """Remove a process without a graceful stop."""
        self.processes.pop(control)

    def put(self, key: str, value: dict[str, Any]) -> None:
        """Publish a document and complete the watches of all readers."""
        self.values[key] = msgspec.json.encode(value)
        for control, process in self.processes.items():
            if process.state.reading and key in process.state.held:
                self._read(control, process, key)

    def switch_service(self, is_service_unavailable: bool) -> None:
        """Make the configuration service unavailable or available again."""
        self.is_service_unavailable = is_service_unavailable
        if not is_service_unavailable:
            for control, process in self.processes.items():
                if process.state.reading:
                    self._read_all(control, process)

    def pause(self, control: Address) -> None:
        """Suspend a process; its events are queued."""
        self.processes[control].paused = True

    def resume(self, control: Address) -> None:
        """Resume a paused process and dispatch its queued events at once."""
        process = self.processes[control]
        process.paused = False
        queued_events = process.queued_events
        process.queued_events = []
        for event in queued_events:
            self._dispatch(control, event._replace(now=self.now))

    def run(self, seconds: float) -> None:
        """Advance the clock and run the calls that are due."""
        end = self.now + seconds
        while self.scheduled_calls and self.scheduled_calls[0][0] <= end:
            now, _, call = heapq.heappop(self.scheduled_calls)
            self.now = now
            call()
        self.now = end

    def run_until(
        self, is_done: Callable[[], bool], max_seconds: float
    ) -> float:
        """Advance until a condition holds; return the elapsed seconds.

        Stop after ``max_seconds`` if it does not hold by then.
        """
        started = self.now
        while not is_done() and self.now - started < max_seconds:
            self.run(0.01)
        return self.now - started

    def count_outdated(self, revision: int) -> int:
        """Return how many processes have an earlier table revision in force."""
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
            next(self.call_ids),
            lambda: call(*arguments),
        )
        heapq.heappush(self.scheduled_calls, entry)

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
            process.queued_events.append(event)
        else:
            self._dispatch(control, event._replace(now=self.now))

    def _dispatch(self, control: Address, event: DisseminationEvent) -> None:
        process = self.processes[control]
        state, effects = reduce(process.state, event)
        process.state = state
        recorder = self.recorders.get(control)
        if recorder is not None:
            recorder.record(str(control), event, effects)
        for effect in effects:
            self._execute(control, process, effect)

    def _execute(
        self,
        control: Address,
        process: Process,
        effect: DisseminationEffect,
    ) -> None:
        if isinstance(effect, SendMessage):
            self._send(control, process, effect)
        elif isinstance(effect, PutInForce):
            version = effect.document.version
            entry = AppliedVersion(self.now, effect.key, *version)
            process.applied_versions.append(entry)
        elif isinstance(effect, Read) and effect.wanted:
            process.watch_id += 1
            self._read_all(control, process)
            self._call_later(
                _WATCH_SECONDS, self._renew_watch, control, process.watch_id
            )

    def _send(
        self,
        control: Address,
        process: Process,
        effect: SendMessage,
    ) -> None:
        frames = encode_message(control, effect.message)
        process.octets_sent += sum(map(len, frames))
        pair = frozenset((control, effect.receiver))
        if pair in self.partitioned_pairs or self.is_lost():
            return
        event = MessageReceived(self.now, control, effect.message)
        delay = _ZONE_DELAY_SECONDS * self.random.uniform(0.5, 1.5)
        self._call_later(delay, self._deliver, effect.receiver, event)
        if self.duplicate_rate and self.random.random() < self.duplicate_rate:
            duplicate_delay = self.random.uniform(
                0, _MAX_DUPLICATE_DELAY_SECONDS
            )
            self._call_later(
                duplicate_delay, self._deliver, effect.receiver, event
            )

    def _is_lost(self) -> bool:
        return self.random.random() < self.loss_rate

    def _renew_watch(self, control: Address, watch_id: int) -> None:
        process = self.processes.get(control)
        if process and process.state.reading and process.watch_id == watch_id:
            self.read_count += len(self.values)
            self._call_later(
                _WATCH_SECONDS, self._renew_watch, control, watch_id
            )

    def _read_all(self, control: Address, process: Process) -> None:
        for key in sorted(self.values.keys() & process.state.held.keys()):
            self._read(control, process, key)

    def _read(self, control: Address, process: Process, key: str) -> None:
        self.read_count += 1
        if not self.is_service_unavailable:
            event = DocumentRead(self.now, key, self.values[key])
            self._call_later(_READ_DELAY_SECONDS, self._deliver, control, event)


def make_table_document(revision: int, **changes: Any) -> dict[str, Any]:
    """Return a small valid table; ``changes`` replace top-level keys."""
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
    network: SimulatedNetwork,
    revision: int,
    leaving: tuple[Address, ...] = (),
) -> dict[str, Any]:
    """Return the platform's instance list of all running processes."""
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
            for control, process in network.processes.items()
        ],
    }


def start_network(
    seed: int,
    processes: int,
    zones: int = 3,
    loss_rate: float = 0,
) -> SimulatedNetwork:
    """Return a network whose processes all have table revision 1 in force.

    Messages are lost only after that.
    """
    network = SimulatedNetwork(seed)
    for index in range(processes):
        control = Address(f'10.0.{index // 250}.{index % 250 + 1}', 7002)
        network.add(control, f'zone-{index % zones}')
    network.put(TABLE_KEY, make_table_document(1))
    network.put(INSTANCES_KEY, make_instances(network, 1))
    network.run_until(lambda: not network.count_outdated(1), 30)
    network.run(5)
    network.loss_rate = loss_rate
    return network
