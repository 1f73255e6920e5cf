"""Placement by many balancers, without network: who waits, and where.

Real balancer states place flows; upstreams are queues in order with slots
and a pace of their own, and agents report as they do in a deployment.

    python -m experiments.placing_model --seed 1
"""

import argparse
import heapq
import json
import math
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any, NamedTuple

from keelgap.addresses import Address
from keelgap.catalog.models import (
    Catalog,
    PacketRoute,
    PacketUpstream,
    RouteSet,
    TrafficShare,
)
from keelgap.packets.envelopes import (
    Envelope,
    EnvelopeKind,
    LoadReport,
    pack_report,
)
from keelgap.packets.features import Features
from keelgap_agent.packets.defaults import ANSWER_TIME_WEIGHT
from keelgap_agent.packets.service_time import ServiceTimeEstimator
from keelgap_balancer.packets.effects import SendToAgent
from keelgap_balancer.packets.events import (
    CallerPacket,
    CatalogChanged,
    EnvelopeArrived,
    TimerFired,
)
from keelgap_balancer.packets.reducer import reduce
from keelgap_balancer.packets.state import PacketState
from keelgap_platform.layout import make_packet_format

FORMAT = make_packet_format()
SYN, ACK, FIN = 2, 128, 4
BRIEF = PacketRoute('r-brief', '198.18.0.1', 443, (TrafficShare('board', 1),))
LONG = PacketRoute('r-long', '198.18.0.1', 444, (TrafficShare('board', 1),))
OCTET = 255
REPORT_SECONDS = 0.05
IDLE_SECONDS = 0.25
FAR_SECONDS = 2.0
TIMER_SECONDS = 0.1


class Pattern(NamedTuple):
    """A load, and the fleet that takes it."""

    zones: int = 3
    upstreams_in_zone: int = 15
    balancers_in_zone: int = 5
    slots: int = 3
    #: Of the upstreams of a zone, by turns.
    speeds: tuple[float, ...] = (0.7, 0.7, 1.7)
    work_seconds: float = 0.055
    #: Share of requests that take seven times as long.
    tail: float = 0.03
    #: New flows with one request each, and requests on long flows, a second.
    brief_rate: float = 240.0
    long_rate: float = 650.0
    #: Open long flows, opened in the first seconds and anew after a while.
    long_flows: int = 3000
    long_seconds: float = 20.0
    #: Part by which the demand of a zone swings, and its period.
    swing: float = 0.5
    #: Demand of each zone beside the mean of all.
    weights: tuple[float, ...] = (1.0, 1.0, 1.0)
    period: float = 17.0
    #: How far the waves of the zones are apart, in periods.
    phase: float = 0.33
    seconds: float = 24.0
    target_seconds: float = 0.4
    #: Whether agents tell the work of a request.
    tells_pace: bool = True


class Request(NamedTuple):
    """A request at an upstream."""

    came: float
    work: float
    zone: int
    before: int
    done: Callable[[float], None]


class Upstream:
    """Slots, a queue in order, and the agent beside them."""

    def __init__(self, number: int, zone: int, speed: float) -> None:
        """Start idle."""
        self.host = f'10.{zone}.{number >> 8}.{number & OCTET}'
        self.zone = zone
        self.speed = speed
        self.queue: list[Request] = []
        self.running = 0
        self.flows = 0
        self.worked: float = 0
        self.service_time = ServiceTimeEstimator()
        self.answer_seconds: float = 0
        self.owed: set[int] = set()
        self.told: tuple[LoadReport, float] | None = None

    @property
    def busy(self) -> int:
        """Return what is at work or waits."""
        return self.running + len(self.queue)


class World:
    """Balancers, upstreams and callers."""

    def __init__(self, pattern: Pattern, features: Features, seed: int) -> None:
        """Start with the catalog everywhere."""
        self.pattern = pattern
        self.random = Random(seed)
        self.now: float = 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.upstreams = self._make_upstreams()
        self.upstreams_by_host = {one.host: one for one in self.upstreams}
        self.balancers = self._make_balancers(features)
        self.late = [0] * pattern.zones
        self.asked = [0] * pattern.zones
        self.far = 0
        self.placed = 0
        self.taken: list[float] = []
        self.port = 0
        #: Balancer, flow and choice of each placement.
        self.decisions: list[tuple[int, bytes, str]] = []
        self.next_report: list[dict[str, float]] = [{} for _ in self.balancers]

    def run(self) -> None:
        """Play the whole pattern."""
        pattern = self.pattern
        for number in range(pattern.long_flows):
            zone = number % pattern.zones
            start = self.random.random() * 4
            self.at(start, partial(self._live_long, zone))
        for zone in range(pattern.zones):
            self._next_brief(zone)
        self._tell()
        self._tick()
        while self.events:
            event = heapq.heappop(self.events)
            self.now = event[0]
            if self.now > pattern.seconds:
                return
            event[2]()

    def at(self, moment: float, call: Callable[[], None]) -> None:
        """Do something later."""
        self.count += 1
        heapq.heappush(self.events, (moment, self.count, call))

    def demand(self, zone: int) -> float:
        """Return the demand of a zone beside its mean."""
        pattern = self.pattern
        turn = self.now / pattern.period + zone * pattern.phase
        swing = 1 + pattern.swing * math.sin(2 * math.pi * turn)
        return pattern.weights[zone] * swing

    def place(self, zone: int, route: PacketRoute) -> tuple[int, int, str]:
        """Let a balancer of the zone place a new flow."""
        number = self.random.randrange(self.pattern.balancers_in_zone)
        balancer = zone * self.pattern.balancers_in_zone + number
        self.port += 1
        packet = make_packet(self.port, route, SYN)
        key = FORMAT.caller_key(packet)
        host = self.offer(balancer, packet)
        self.placed += 1
        self.far += self.upstreams_by_host[host].zone != zone
        self.decisions.append((balancer, key, host))
        return balancer, self.port, host

    def offer(self, balancer: int, packet: bytes) -> str:
        """Hand a packet to a balancer; return the host that gets it."""
        event = CallerPacket(self.now, packet)
        _, effects = reduce(self.balancers[balancer], event)
        sent = next(one for one in effects if isinstance(one, SendToAgent))
        self.upstreams_by_host[sent.host].owed.add(balancer)
        return sent.host

    def serve(
        self,
        upstream: Upstream,
        zone: int,
        done: Callable[[float], None],
    ) -> None:
        """Let an upstream take a request."""
        work = self._draw_work() * upstream.speed
        self.asked[zone] += 1
        upstream.queue.append(
            Request(self.now, work, zone, upstream.busy, done),
        )
        self._start(upstream)

    def _draw_work(self) -> float:
        work = self.random.lognormvariate(-0.125, 0.5)
        tail = 7 if self.random.random() < self.pattern.tail else 1
        return self.pattern.work_seconds * work * tail / 1.18

    def _start(self, upstream: Upstream) -> None:
        while upstream.queue and upstream.running < self.pattern.slots:
            request = upstream.queue.pop(0)
            upstream.running += 1
            upstream.worked += request.work
            end = self.now + request.work
            self.at(end, partial(self._end, upstream, request))

    def _end(self, upstream: Upstream, request: Request) -> None:
        upstream.running -= 1
        taken = self.now - request.came
        self.late[request.zone] += taken > self.pattern.target_seconds
        self.taken.append(taken)
        upstream.service_time.record(taken, request.before, self.pattern.slots)
        weight = ANSWER_TIME_WEIGHT if upstream.answer_seconds else 1
        upstream.answer_seconds += weight * (taken - upstream.answer_seconds)
        self._start(upstream)
        request.done(taken)

    def _next_brief(self, zone: int) -> None:
        pattern = self.pattern
        rate = pattern.brief_rate / pattern.zones * self.demand(zone)
        pause = self.random.expovariate(rate)
        self.at(self.now + pause, lambda: self._open_brief(zone))

    def _open_brief(self, zone: int) -> None:
        self._next_brief(zone)
        balancer, number, host = self.place(zone, BRIEF)
        upstream = self.upstreams_by_host[host]
        upstream.flows += 1

        def end(taken: float) -> None:
            upstream.flows -= 1
            last = make_packet(number, BRIEF, FIN | ACK)
            reduce(self.balancers[balancer], CallerPacket(self.now, last))

        self.serve(upstream, zone, end)

    def _live_long(self, zone: int) -> None:
        _, _, host = self.place(zone, LONG)
        upstream = self.upstreams_by_host[host]
        upstream.flows += 1
        span = self.random.expovariate(1 / self.pattern.long_seconds)
        ends = self.now + span

        def ask() -> None:
            if self.now >= ends:
                upstream.flows -= 1
                self._live_long(zone)
                return
            self.serve(upstream, zone, lambda taken: think())

        def think() -> None:
            pattern = self.pattern
            rate = pattern.long_rate / max(pattern.long_flows, 1)
            pause = self.random.expovariate(rate * self.demand(zone))
            self.at(self.now + pause, ask)

        ask()

    def _tell(self) -> None:
        self.at(self.now + REPORT_SECONDS, self._tell)
        for upstream in self.upstreams:
            report = self._make_report(upstream)
            told = upstream.told
            is_due = (
                told is None
                or told[0] != report
                or self.now - told[1] >= IDLE_SECONDS
            )
            if is_due:
                upstream.told = report, self.now
            self._tell_balancers(upstream, report, is_due=is_due)

    def _make_report(self, upstream: Upstream) -> LoadReport:
        work_ms = upstream.service_time.milliseconds
        return LoadReport(
            upstream.busy,
            upstream.flows,
            int(upstream.answer_seconds * 1000),
            closed=False,
            work_ms=work_ms if self.pattern.tells_pace else 0,
        )

    def _tell_balancers(
        self,
        upstream: Upstream,
        report: LoadReport,
        *,
        is_due: bool,
    ) -> None:
        for number, state in enumerate(self.balancers):
            is_near = number // self.pattern.balancers_in_zone == upstream.zone
            asked = self.next_report[number]
            is_asked = self.now >= asked.get(upstream.host, 0)
            if not (is_near and is_due or is_asked or number in upstream.owed):
                continue
            if is_asked:
                asked[upstream.host] = self.now + FAR_SECONDS
            deliver(state, upstream.host, report, self.now)
        upstream.owed.clear()

    def _tick(self) -> None:
        self.at(self.now + TIMER_SECONDS, self._tick)
        for state in self.balancers:
            reduce(state, TimerFired(self.now))

    def _make_upstreams(self) -> list[Upstream]:
        pattern = self.pattern
        return [
            Upstream(number, zone, pattern.speeds[number % len(pattern.speeds)])
            for zone in range(pattern.zones)
            for number in range(pattern.upstreams_in_zone)
        ]

    def _make_balancers(self, features: Features) -> list[PacketState]:
        upstreams = {
            one.host: PacketUpstream(
                one.host,
                'board',
                Address(one.host, 8080),
                f'z{one.zone}',
                self.pattern.slots,
                'active',
                0,
            )
            for one in self.upstreams
        }
        catalog = Catalog(1, RouteSet(1, (BRIEF, LONG), 15), upstreams, 1, {})
        states = []
        for zone in range(self.pattern.zones):
            for _ in range(self.pattern.balancers_in_zone):
                state = PacketState(FORMAT, f'z{zone}', 0, features)
                reduce(state, CatalogChanged(0, catalog))
                states.append(state)
        return states


def make_packet(number: int, route: PacketRoute, flags: int) -> bytes:
    """Return a packet of a caller of its own to a route."""
    host = bytes(reversed([int(part) for part in route.host.split('.')]))
    caller = number.to_bytes(4, 'little')
    ports = (2000).to_bytes(2, 'little')
    target = route.port.to_bytes(2, 'little')
    head = bytes(2) + target + caller + ports + host
    return head + bytes(12) + bytes((flags,)) + bytes(7)


def deliver(
    state: PacketState,
    host: str,
    report: LoadReport,
    now: float,
) -> None:
    """Let a balancer hear a report."""
    tag = state.agents_by_host[host].service_tag
    content = pack_report(report, 1)
    envelope = Envelope(EnvelopeKind.REPORT, 0, 0, 0, 0, tag, content)
    reduce(state, EnvelopeArrived(now, host, envelope))


def describe(world: World) -> dict[str, Any]:
    """Return figures of a run."""
    shares = [
        late / asked
        for late, asked in zip(world.late, world.asked, strict=True)
    ]
    worked = [one.worked for one in world.upstreams]
    taken = sorted(world.taken)
    return {
        'late': round(sum(world.late) / sum(world.asked), 4),
        'late_by_zone': [round(share, 4) for share in shares],
        'p50_ms': round(taken[len(taken) // 2] * 1000),
        'p99_ms': round(taken[len(taken) * 99 // 100] * 1000),
        'far': round(world.far / world.placed, 4),
        'busiest_by_work': round(max(worked) * len(worked) / sum(worked), 2),
    }


def main() -> None:
    """Compare both ways on some patterns."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    seed = parser.parse_args().seed
    patterns = {
        'unlike': Pattern(),
        'unlike_heavy': Pattern(brief_rate=500, long_rate=900),
        'alike_waves': Pattern(speeds=(1.0,), brief_rate=900),
        'brief_only': Pattern(long_flows=0, brief_rate=1300),
    }
    for name, pattern in patterns.items():
        for way, is_on in (('off', False), ('on', True)):
            world = World(pattern, Features(placement=is_on), seed)
            world.run()
            print(name, way, json.dumps(describe(world)))


if __name__ == '__main__':
    main()
