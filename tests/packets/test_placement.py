"""Where new flows go while demand and upstreams are uneven."""

import time
from collections import Counter
from random import Random
from unittest import TestCase

from experiments.placing_model import (
    BRIEF,
    FORMAT,
    LONG,
    SYN,
    Pattern,
    World,
    deliver,
    describe,
    make_packet,
)
from keelgap.packets.envelopes import LoadReport
from keelgap.packets.features import Features
from keelgap_balancer.packets.effects import Decided
from keelgap_balancer.packets.events import CallerPacket, CatalogChanged
from keelgap_balancer.packets.latency_placement import defaults
from keelgap_balancer.packets.latency_placement.candidates import (
    list_candidates,
)
from keelgap_balancer.packets.placement import choose_agent
from keelgap_balancer.packets.reducer import reduce
from keelgap_balancer.packets.state import PacketState

ON = Features(placement=True)
OFF = Features()
SMALL = Pattern(
    upstreams_in_zone=6,
    slots=2,
    brief_rate=75,
    long_rate=250,
    long_flows=900,
    seconds=15,
)
IDLE = LoadReport(0, 0, 40, closed=False, work_ms=50)


def play(pattern: Pattern, features: Features, seed: int) -> World:
    """Play a pattern."""
    world = World(pattern, features, seed)
    world.run()
    return world


def count_late(pattern: Pattern, features: Features) -> float:
    """Return the mean share of late requests over three seeds."""
    shares = [
        describe(play(pattern, features, seed))['late'] for seed in (1, 2, 3)
    ]
    return sum(shares) / len(shares)


def make_state(pattern: Pattern, features: Features = ON) -> PacketState:
    """Return a balancer of the first zone."""
    return World(pattern, features, 1).balancers[0]


def report_all(
    state: PacketState,
    near: LoadReport,
    far: LoadReport,
    now: float,
) -> None:
    """Let all agents report, those of a zone alike."""
    for host, view in tuple(state.agents_by_host.items()):
        deliver(state, host, near if state.is_same_zone(view) else far, now)


def make_key(number: int) -> bytes:
    """Return the key of a flow of its own."""
    return FORMAT.caller_key(make_packet(number, BRIEF, SYN))


def choose(state: PacketState, number: int, now: float) -> str:
    """Return who would take a flow."""
    key = make_key(number)
    taker = choose_agent(state, BRIEF, key, now, ())
    return '' if taker is None else taker.host


class UnevenTests(TestCase):
    """Many balancers, with reports that are behind."""

    def test_upstreams_of_unlike_speed(self) -> None:
        """One in three takes 1.7 times the work, two 0.7 times."""
        pattern = SMALL._replace(work_seconds=0.07)
        before = count_late(pattern, OFF)
        self.assertLess(count_late(pattern, ON), 0.85 * before)

    def test_waves_out_of_step(self) -> None:
        """Each zone has its crest while another has room."""
        pattern = SMALL._replace(
            speeds=(1.0,),
            work_seconds=0.065,
            swing=0.6,
            period=8.0,
        )
        before = count_late(pattern, OFF)
        self.assertLess(count_late(pattern, ON), 0.95 * before)

    def test_brief_flows_alone(self) -> None:
        """All flows bring one request, at unlike upstreams."""
        pattern = SMALL._replace(long_flows=0, brief_rate=300, seconds=8)
        before = count_late(pattern, OFF)
        self.assertLess(count_late(pattern, ON), before)

    def test_alike_and_idle_as_before(self) -> None:
        """Recorded arrivals: nobody waits, and all are alike."""
        pattern = Pattern(
            upstreams_in_zone=4,
            slots=8,
            speeds=(1.0,),
            tail=0,
            brief_rate=40,
            long_rate=40,
            long_flows=60,
            seconds=10,
        )
        on = play(pattern, ON, 1)
        self.assertGreater(len(on.decisions), 300)
        self.assertEqual(on.decisions, play(pattern, OFF, 1).decisions)

    def test_earlier_agents_as_before(self) -> None:
        """Agents of the release before don't tell the work of a request."""
        pattern = SMALL._replace(tells_pace=False, seconds=6)
        on = play(pattern, ON, 1)
        self.assertEqual(on.decisions, play(pattern, OFF, 1).decisions)


class FarTests(TestCase):
    """Another availability zone has room."""

    def setUp(self) -> None:
        """All agents here have a queue, and all others have none."""
        self.crowded = IDLE._replace(busy=16, flows=30)

    def test_goes_where_there_is_room(self) -> None:
        """The wait here is far beyond the way."""
        state = make_state(SMALL)
        report_all(state, self.crowded, IDLE, 1)
        taker = state.agents_by_host[choose(state, 1, 1.1)]
        self.assertFalse(state.is_same_zone(taker))

    def test_stays_for_a_short_wait(self) -> None:
        """Each slot here is taken and one request waits; half are there."""
        state = make_state(SMALL)
        report_all(
            state,
            IDLE._replace(busy=2, flows=30),
            IDLE._replace(busy=1, flows=30),
            1,
        )
        deliver(state, '10.0.0.0', IDLE._replace(busy=3, flows=30), 1)
        for number in range(50):
            taker = state.agents_by_host[choose(state, number, 1.1)]
            self.assertTrue(state.is_same_zone(taker))

    def test_no_herd(self) -> None:
        """Fifteen balancers read the same reports, two seconds old."""
        world = World(SMALL._replace(balancers_in_zone=15), ON, 1)
        taken: Counter[str] = Counter()
        for number, state in enumerate(world.balancers[:15]):
            report_all(state, self.crowded, IDLE, 1)
            taken[choose(state, number, 2.9)] += 1
        self.assertLessEqual(max(taken.values()), 5)

    def test_no_herd_at_a_single_one(self) -> None:
        """An upstream among queues was idle two seconds ago.

        Each balancer counts its own picks, and trusts the report less.
        """
        new, old = self.count_at_idle(2.9), self.count_at_idle(1)
        self.assertLess(old, 40)
        self.assertLess(old, new)

    def count_at_idle(self, reported_at: float) -> int:
        """Return how many of 60 flows of 15 balancers meet the idle one."""
        world = World(SMALL._replace(balancers_in_zone=15), ON, 1)
        states = world.balancers[:15]
        queue = IDLE._replace(busy=6, flows=14)
        taken = []
        for state in states:
            report_all(state, queue, queue, 2.9)
            idle = queue._replace(busy=0)
            deliver(state, '10.0.0.0', idle, reported_at)
        for number in range(60):
            state = states[number % 15]
            host = choose(state, number, 2.95)
            state.agents_by_host[host].flows_since_report += 1
            taken.append(host)
        return taken.count('10.0.0.0')

    def test_an_old_report_counts_less(self) -> None:
        """What was idle seconds ago has its usual load by now."""
        state = make_state(SMALL)
        usual = IDLE._replace(busy=2, flows=14)
        report_all(state, usual, usual, 1)
        deliver(state, '10.0.0.0', usual._replace(busy=3), 1)
        deliver(state, '10.1.0.0', usual._replace(busy=0), 1)
        self.assertEqual(choose(state, 1, 1), '10.1.0.0')
        for host, view in tuple(state.agents_by_host.items()):
            if state.is_same_zone(view):
                deliver(state, host, view.report, 4)
        self.assertTrue(
            state.is_same_zone(state.agents_by_host[choose(state, 1, 4)])
        )

    def test_lines_are_bounded(self) -> None:
        """A thousand flows leave the zone in a second: one line tells it."""
        state = make_state(SMALL)
        report_all(state, self.crowded, IDLE, 1)
        lines = []
        for number in range(1000):
            now = 1.1 + number * 0.0009
            packet = make_packet(number, BRIEF, SYN)
            _, effects = reduce(state, CallerPacket(now, packet))
            lines.extend(
                one.fields
                for one in effects
                if isinstance(one, Decided) and one.name == 'placed_far'
            )
        self.assertEqual(len(lines), 1)
        self.assertGreater(lines[0]['near_cost'], lines[0]['far_cost'])
        self.assertGreater(state.latency_placement.placed_far, 100)


class CandidateTests(TestCase):
    """Who is compared."""

    def test_copies_meet_the_same_agent(self) -> None:
        """Two balancers, whose reports differ by one request here and there."""
        first, second = World(SMALL, ON, 1).balancers[:2]
        for number, host in enumerate(first.agents_by_host):
            report = IDLE._replace(busy=12 + number % 2, work_ms=50)
            deliver(first, host, report, 1)
            deliver(second, host, report._replace(busy=12), 1)
        same = sum(
            choose(first, number, 1.1) == choose(second, number, 1.1)
            for number in range(200)
        )
        self.assertGreater(same, 180)

    def test_copies_near_full_slots(self) -> None:
        """Slots are just taken; one in ten reports differs by a request."""
        first, second = World(SMALL, ON, 1).balancers[:2]
        random = Random(5)
        same = 0
        for number in range(400):
            for host in tuple(first.agents_by_host):
                report = IDLE._replace(busy=2 + random.randrange(2), flows=9)
                deliver(first, host, report, 1)
                more = not random.randrange(10)
                report = report._replace(busy=report.busy + more)
                deliver(second, host, report, 1)
            same += choose(first, number, 1.1) == choose(second, number, 1.1)
        self.assertGreater(same, 300)

    def test_closed_and_quiet_ones(self) -> None:
        """The fastest is closed; the next owes an answer."""
        state = make_state(SMALL)
        report_all(state, IDLE, IDLE, 1)
        closed, quiet, fast, *_ = (
            view
            for view in state.agents_by_host.values()
            if state.is_same_zone(view)
        )
        swift = IDLE._replace(work_ms=10)
        deliver(state, closed.host, swift._replace(closed=True), 1)
        deliver(state, quiet.host, swift, 1)
        quiet.expect_answer(1)
        deliver(state, fast.host, swift._replace(work_ms=20), 1.5)
        self.assertEqual(choose(state, 1, 1.6), fast.host)

    def test_a_young_upstream(self) -> None:
        """Nothing is known of its pace: it counts as usual, and as cold."""
        state = make_state(SMALL)
        report_all(state, IDLE._replace(busy=3, flows=9), IDLE, 1)
        young, slow, *_ = (
            view
            for view in state.agents_by_host.values()
            if state.is_same_zone(view)
        )
        deliver(state, young.host, LoadReport(0, 0, 0, closed=False), 1)
        deliver(state, slow.host, IDLE._replace(work_ms=150), 1)
        young.warm_up_until = 3
        taken = Counter(choose(state, number, 1.1) for number in range(40))
        self.assertEqual(set(taken), {young.host})

    def test_a_few_of_very_many(self) -> None:
        """A thousand upstreams: all balancers compare the same few."""
        pattern = SMALL._replace(upstreams_in_zone=334, balancers_in_zone=2)
        first, second = World(pattern, ON, 1).balancers[:2]
        backwards = first.catalog._replace(
            upstreams=dict(reversed(first.catalog.upstreams.items())),
        )
        second = PacketState(FORMAT, 'z0', 0, ON)
        reduce(second, CatalogChanged(0, backwards))
        for number in range(50):
            drawn, others = (
                list_candidates(state, 'board', make_key(number), 1, ())
                for state in (first, second)
            )
            self.assertEqual(
                [view.host for view in drawn],
                [view.host for view in others],
            )
            self.assertEqual(
                len(drawn),
                defaults.SAMPLED_NEAR + defaults.SAMPLED_FAR,
            )

    def test_none_of_the_few_is_open(self) -> None:
        """All but one of a thousand are closed."""
        pattern = SMALL._replace(upstreams_in_zone=334, balancers_in_zone=1)
        state = make_state(pattern)
        closed = IDLE._replace(closed=True)
        report_all(state, closed, closed, 1)
        deliver(state, '10.2.0.200', IDLE, 1)
        self.assertEqual(choose(state, 1, 1.1), '10.2.0.200')

    def test_all_of_the_few_are_quiet(self) -> None:
        """All but one of a thousand owe an answer for long."""
        pattern = SMALL._replace(upstreams_in_zone=334, balancers_in_zone=1)
        state = make_state(pattern)
        for view in state.agents_by_host.values():
            view.expect_answer(1)
        deliver(state, '10.2.0.200', IDLE, 3)
        self.assertEqual(choose(state, 1, 3.1), '10.2.0.200')

    def test_decisions_among_a_thousand_are_quick(self) -> None:
        """The bound is ten times what it takes, for busy machines."""
        pattern = SMALL._replace(upstreams_in_zone=334, balancers_in_zone=1)
        state = make_state(pattern)
        report_all(state, IDLE._replace(busy=9), IDLE, 1)
        choose(state, 0, 1.1)
        keys = [make_key(number) for number in range(500)]
        began = time.process_time()
        for key in keys:
            choose_agent(state, BRIEF, key, 1.1, ())
        taken = time.process_time() - began
        self.assertLess(taken / len(keys), 0.0004)


class SpanTests(TestCase):
    """How much a flow of a route brings."""

    def test_brief_and_long_routes(self) -> None:
        """One route's flows end with their answer, the other's stay."""
        world = play(SMALL._replace(seconds=8), ON, 1)
        flow_durations = world.balancers[0].latency_placement.flow_durations
        self.assertLess(flow_durations.get_long_flow_share(BRIEF.name), 0.2)
        self.assertGreater(flow_durations.get_long_flow_share(LONG.name), 0.8)

    def test_flows_that_nobody_took(self) -> None:
        """They neither stay nor end, and others are watched."""
        state = make_state(SMALL)
        flow_durations = state.latency_placement.flow_durations
        for number in range(2 * defaults.MAX_WATCHED_FLOWS):
            flow_durations.watch_flow(make_key(number), BRIEF.name, 0)
            flow_durations.forget(make_key(number))
        flow_durations.expire(5)
        self.assertEqual(flow_durations.long_flow_shares, {})
        flow_durations.watch_flow(make_key(1), BRIEF.name, 5)
        self.assertEqual(len(flow_durations.watched), 1)

    def test_routes_are_bounded(self) -> None:
        """Operators name each route anew, again and again."""
        flow_durations = make_state(SMALL).latency_placement.flow_durations
        for number in range(defaults.MAX_LEARNED_ROUTES + 10):
            flow_durations.watch_flow(make_key(number), f'r{number}', 0)
            flow_durations.record_end(make_key(number), 0.1)
        self.assertLessEqual(
            len(flow_durations.long_flow_shares), defaults.MAX_LEARNED_ROUTES
        )
        self.assertEqual(flow_durations.counts, {})

    def test_watched_flows_are_bounded(self) -> None:
        """A flood of openings that nobody ends."""
        state = make_state(SMALL)
        report_all(state, IDLE, IDLE, 0)
        for number in range(1000):
            packet = make_packet(number, BRIEF, SYN)
            reduce(state, CallerPacket(0.1, packet))
        self.assertEqual(
            len(state.latency_placement.flow_durations.watched),
            defaults.MAX_WATCHED_FLOWS,
        )
