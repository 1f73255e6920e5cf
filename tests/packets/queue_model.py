"""One agent with its upstream, and callers on long and on short flows.

The agent's reducer is real; callers, network and upstream are modelled, and
time is what the clock says.
"""

from collections import deque
from collections.abc import Callable
from functools import partial
from itertools import count
from random import Random
from typing import Any, Final, NamedTuple

from experiments.outage.clock import VirtualClock
from keelgap.packets.envelopes import (
    CallerWait,
    Envelope,
    EnvelopeKind,
    compute_service_tag,
)
from keelgap.packets.features import Features
from keelgap_agent.packets import effects, events
from keelgap_agent.packets.reducer import reduce
from keelgap_agent.packets.state import AgentState
from tests.packets.building import ACK, FIN, FORMAT, SYN, FlowName, make_packet

__all__ = ('Asked', 'QueueModel', 'Stream')

_TAG: Final = compute_service_tag('board')
_TICK: Final = 0.05
_SLOTS: Final = 2
_BALANCER: Final = '10.1.0.1'
_REPEATS: Final = (0.2, 0.6, 1.4)


class Stream(NamedTuple):
    """Requests of one route."""

    priority: int
    #: Requests a second.
    rate: float
    #: Mean seconds of work.
    work: float
    aim: float
    timeout: float
    #: Over how many flows they go; 0 for a flow each.
    flows: int


class Asked:
    """One request."""

    def __init__(self, stream: Stream, flow: FlowName, at: float) -> None:
        """Ask now."""
        self.stream = stream
        self.flow = flow
        self.asked = at
        self.answered: float | None = None
        self.has_left = False
        self.runs = 0

    @property
    def delay(self) -> float:
        """Return the seconds until the answer; infinite if none came."""
        if self.answered is None:
            return float('inf')
        return self.answered - self.asked


class QueueModel:
    """A run with some streams of requests."""

    def __init__(
        self,
        streams: tuple[Stream, ...],
        seed: int,
        *,
        scheduling: bool,
        hung: float = 0,
    ) -> None:
        """Prepare; a share of the requests may hang without an answer."""
        self.clock = VirtualClock()
        self.random = Random(seed)
        self.hung = hung
        self.state = AgentState(
            FORMAT,
            'board',
            0,
            features=Features(scheduling=scheduling),
        )
        self.streams = streams
        self.ports = count(1)
        self.requests: list[Asked] = []
        #: What was sent to whom, in order.
        self.trace: list[Any] = []
        self.queue: deque[tuple[bytes, float]] = deque()
        self.running: set[bytes] = set()
        #: The request under way on each flow.
        self.current: dict[bytes, Asked] = {}
        self.numbers: dict[bytes, int] = {}
        self.idle: dict[Stream, list[FlowName]] = {}

    def run(self, seconds: float) -> None:
        """Play so many seconds."""
        self._tick()
        for stream in self.streams:
            self.idle[stream] = [self._name() for _ in range(stream.flows)]
            self.clock.later(0.1, partial(self._arrive, stream, seconds))
        longest = max(stream.timeout for stream in self.streams)
        self.clock.run(seconds + longest)

    def list_delays(self, priority: int, since: float = 0) -> list[float]:
        """Return the sorted delays of the requests of a priority."""
        return sorted(
            one.delay
            for one in self.requests
            if one.stream.priority == priority and one.asked >= since
        )

    def _name(self) -> FlowName:
        number = next(self.ports)
        host = f'100.64.1.{number // 60000 + 1}'
        return FlowName(host, number % 60000 + 1)

    def _arrive(self, stream: Stream, ends: float) -> None:
        now = self.clock.now
        if now >= ends:
            return
        gap = self.random.expovariate(stream.rate)
        self.clock.later(now + gap, partial(self._arrive, stream, ends))
        name = self._name()
        if stream.flows:
            idle = self.idle[stream]
            if not idle:
                return
            name = idle.pop(0)
        if name.key not in self.current:
            self._open(stream, name)
        asked = Asked(stream, name, now)
        self.requests.append(asked)
        self.current[name.key] = asked
        self.clock.later(now + stream.timeout, partial(self._leave, asked))
        self._speak(asked, self.numbers.get(name.key, 1), _REPEATS)

    def _open(self, stream: Stream, name: FlowName) -> None:
        wait = CallerWait(0, *(2 * (round(stream.timeout * 1000),)))
        self._tell(
            EnvelopeKind.OPEN,
            make_packet(name, SYN),
            priority=stream.priority,
            left_ms=round(stream.aim * 1000),
            wait=wait,
        )

    def _speak(
        self,
        asked: Asked,
        number: int,
        pauses: tuple[float, ...],
    ) -> None:
        is_over = asked.has_left or asked.answered is not None
        if is_over:
            return
        packet = make_packet(asked.flow, ACK, seq=number, data=b'request')
        self._tell(
            EnvelopeKind.FORWARD,
            packet,
            priority=asked.stream.priority,
            left_ms=round(asked.stream.aim * 1000),
        )
        if pauses:
            again = partial(self._speak, asked, number, pauses[1:])
            self.clock.later(self.clock.now + pauses[0], again)

    def _leave(self, asked: Asked) -> None:
        if asked.answered is None:
            asked.has_left = True
            self._tell(EnvelopeKind.FORWARD, make_packet(asked.flow, FIN | ACK))
            if asked.stream.flows:
                self.idle[asked.stream].append(self._name())

    def _tell(self, kind: EnvelopeKind, packet: bytes, **fields: Any) -> None:
        envelope = Envelope(kind, 0, _SLOTS, 0, 0, _TAG, packet)
        self._run(
            events.EnvelopeArrived(
                self.clock.now, _BALANCER, envelope._replace(**fields)
            ),
        )

    def _tick(self) -> None:
        self._run(events.TimerFired(self.clock.now))
        self.clock.later(self.clock.now + _TICK, self._tick)

    def _run(self, event: Any) -> None:
        _, made = reduce(self.state, event)
        for effect in made:
            if isinstance(effect, effects.SendToUpstream):
                self.trace.append(effect)
                self._at(0, partial(self._take, effect.datagram))
            elif isinstance(effect, effects.SendToCaller):
                self.trace.append(effect)
                self._take_answer(effect.datagram)

    def _at(self, seconds: float, call: Callable[[], None]) -> None:
        self.clock.later(self.clock.now + seconds, call)

    # The upstream, and the callers' ends.

    def _take(self, datagram: bytes) -> None:
        key = FORMAT.caller_key(datagram)
        flags = datagram[26]
        if flags & SYN:
            self._answer(key, SYN | ACK)
        elif flags & FIN:
            self._drop(key)
        elif FORMAT.data_length(datagram):
            self._begin(key, FORMAT.sequence(datagram))

    def _begin(self, key: bytes, number: int) -> None:
        if number < self.numbers.get(key, 1):
            return
        self.numbers[key] = number + 1
        asked = self.current[key]
        asked.runs += 1
        if self.random.random() < self.hung:
            return
        work = self.random.lognormvariate(-0.1, 0.45) * asked.stream.work
        self.queue.append((key, work))
        self._start_next()

    def _drop(self, key: bytes) -> None:
        """Stop working for a caller that left."""
        self.queue = deque(one for one in self.queue if one[0] != key)
        self.running.discard(key)
        self._start_next()

    def _start_next(self) -> None:
        while self.queue and len(self.running) < _SLOTS:
            key, work = self.queue.popleft()
            self.running.add(key)
            self._at(work, partial(self._end, key))

    def _end(self, key: bytes) -> None:
        if key not in self.running:
            return
        self.running.discard(key)
        self._answer(key, ACK, b'HTTP/1.1 200 OK\r\n\r\n')
        self._start_next()

    def _answer(self, key: bytes, flags: int, data: bytes = b'') -> None:
        name = self._find_name(key)
        packet = make_packet(name, flags, data=data, back=True)
        self._run(events.UpstreamPacket(self.clock.now, packet))

    def _find_name(self, key: bytes) -> FlowName:
        host = '.'.join(str(octet) for octet in reversed(key[:4]))
        return FlowName(host, int.from_bytes(key[4:6], 'little'))

    def _take_answer(self, datagram: bytes) -> None:
        if not FORMAT.data_length(datagram):
            return
        asked = self.current[FORMAT.upstream_key(datagram)]
        if asked.has_left or asked.answered is not None:
            return
        asked.answered = self.clock.now
        if asked.stream.flows:
            self.idle[asked.stream].append(asked.flow)
