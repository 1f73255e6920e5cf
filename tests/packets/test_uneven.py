"""Whom placement spares, and whom it compares."""

from unittest import TestCase

from experiments.placing_model import BRIEF, SYN, Pattern, make_packet
from keelgap.packets.envelopes import LoadReport
from keelgap.packets.features import Features
from keelgap_balancer.packets.effects import Decided
from keelgap_balancer.packets.events import CallerPacket, CatalogChanged
from keelgap_balancer.packets.latency_placement import defaults
from keelgap_balancer.packets.latency_placement.candidates import (
    list_candidates,
)
from keelgap_balancer.packets.reducer import reduce
from keelgap_balancer.packets.state import PacketState
from tests.packets.test_placement import (
    IDLE,
    SMALL,
    choose,
    deliver,
    make_key,
    make_state,
    report_all,
)

MOST_DRAWN = defaults.SAMPLED_NEAR + defaults.SAMPLED_FAR


def make_large(size: int, zones: int = 3) -> Pattern:
    """Return a load of zones with so many upstreams each."""
    return SMALL._replace(
        upstreams_in_zone=size,
        zones=zones,
        weights=(1.0,) * zones,
        balancers_in_zone=1,
    )


def list_drawn(state: PacketState, number: int, now: float = 1) -> list[str]:
    """Return who is compared for a flow."""
    views = list_candidates(state, 'board', make_key(number), now, ())
    return [view.host for view in views]


def get_zone(state: PacketState, host: str) -> str:
    """Return the availability zone of an upstream."""
    return state.agents_by_host[host].upstream.availability_zone


def evacuate(state: PacketState, *zones: str) -> None:
    """Take availability zones out of service; all others are in."""
    revision = state.catalog.revision + 1
    catalog = state.catalog._replace(
        revision=revision,
        evacuated=dict.fromkeys(zones, revision),
    )
    reduce(state, CatalogChanged(1, catalog))


class ColdTests(TestCase):
    """Upstreams that are slow for a while."""

    def test_cold_again(self) -> None:
        """A zone returns to service: known paces are from before that."""
        state = make_state(SMALL)
        report_all(
            state,
            IDLE._replace(busy=1, flows=3),
            IDLE._replace(busy=1, flows=3),
            1,
        )
        # Somebody waits somewhere: demand is uneven.
        deliver(state, '10.1.0.0', IDLE._replace(busy=3, flows=3), 1)
        near = [
            view
            for view in state.agents_by_host.values()
            if state.is_same_zone(view)
        ]
        cold = {view.host for view in near[:3]}
        for view in near[:3]:
            view.warm_up_until = 9
        taken = [choose(state, number, 1.1) for number in range(200)]
        self.assertEqual([host for host in taken if host in cold], [])


class DrawingTests(TestCase):
    """A few of very many upstreams."""

    def test_all_drawn_differ(self) -> None:
        """Zones of any size, also those that have many divisors."""
        for size in (6, 7, 8, 10, 12, 34):
            state = make_state(make_large(size, zones=12))
            for number in range(200):
                drawn = list_drawn(state, number)
                self.assertEqual(len(drawn), MOST_DRAWN)
                self.assertEqual(len(set(drawn)), MOST_DRAWN)

    def test_zones_out_of_service(self) -> None:
        """The own one, or another: as many are drawn from the rest."""
        for zone in ('z0', 'z1'):
            state = make_state(make_large(34))
            evacuate(state, zone)
            for number in range(100):
                drawn = list_drawn(state, number)
                self.assertEqual(len(drawn), MOST_DRAWN)
                zones = {get_zone(state, host) for host in drawn}
                self.assertNotIn(zone, zones)

    def test_a_zone_returns_to_service(self) -> None:
        """Its upstreams are drawn again, with the same entries."""
        state = make_state(make_large(34))
        evacuate(state, 'z0')
        list_drawn(state, 1)
        evacuate(state)
        near = [get_zone(state, host) for host in list_drawn(state, 1)]
        self.assertEqual(near.count('z0'), defaults.SAMPLED_NEAR)

    def test_ejected_ones_are_left_out(self) -> None:
        """Two in five of 102 are ejected: most of those drawn may be."""
        state = make_state(
            make_large(34),
            Features(placement=True, ejection=True),
        )
        report_all(state, IDLE, IDLE, 1)
        ejected = {
            host
            for number, host in enumerate(state.agents_by_host)
            if number % 5 in {0, 2}
        }
        for host in ejected:
            deliver(state, host, IDLE._replace(is_ejected=True), 1)
        taken = {choose(state, number, 1.1) for number in range(500)}
        self.assertEqual(taken & ejected, set())

    def test_services_that_went(self) -> None:
        """Operators drop a large service, and use another."""
        state = make_state(make_large(34))
        list_drawn(state, 1)
        catalog = state.catalog
        renamed = {
            name: upstream._replace(service='forum')
            for name, upstream in catalog.upstreams.items()
        }
        later = catalog._replace(revision=9, upstreams=renamed)
        reduce(state, CatalogChanged(1, later))
        key = make_key(1)
        self.assertTrue(list_candidates(state, 'forum', key, 1, ()))
        self.assertEqual(set(state.latency_placement.orders), {'forum'})

    def test_most_near_ones_owe_an_answer(self) -> None:
        """Ten of 34 are well: flows stay, since these have room."""
        state = make_state(make_large(34))
        report_all(state, IDLE, IDLE, 1)
        near = [
            view
            for view in state.agents_by_host.values()
            if state.is_same_zone(view)
        ]
        for view in near[:24]:
            view.expect_answer(1)
        for view in state.agents_by_host.values():
            if view not in near[:24]:
                deliver(state, view.host, IDLE, 2)
        for number in range(200):
            taker = state.agents_by_host[choose(state, number, 2)]
            self.assertTrue(state.is_same_zone(taker))
            self.assertNotIn(taker, near[:24])


class PaceTests(TestCase):
    """Upstreams that answer far sooner than the others."""

    def count_taken(self, quick: LoadReport, usual: LoadReport) -> int:
        """Return how many of 200 flows an upstream draws among others."""
        state = make_state(SMALL)
        report_all(state, usual, usual, 1)
        deliver(state, '10.0.0.0', quick, 1)
        taken = [choose(state, number, 1.1) for number in range(200)]
        return taken.count('10.0.0.0')

    def test_far_quicker_with_a_queue(self) -> None:
        """It claims a fiftieth of the work, and twelve wait there."""
        usual = IDLE._replace(busy=1, flows=9)
        quick = usual._replace(work_ms=1, busy=14)
        self.assertEqual(self.count_taken(quick, usual), 0)

    def test_a_millisecond_more_or_less(self) -> None:
        """Requests take about 1.5 ms, and reports tell whole ones."""
        for quick, usual in ((1, 2), (2, 1), (2, 3)):
            few = self.count_taken(
                IDLE._replace(work_ms=quick, busy=1, flows=9),
                IDLE._replace(work_ms=usual, busy=1, flows=9),
            )
            with self.subTest(quick=quick, usual=usual):
                # A sixth of them, by the hash.
                self.assertGreater(few, 10)
                self.assertLess(few, 60)

    def test_quicker_with_room(self) -> None:
        """It takes a quarter of the work, and has room."""
        usual = IDLE._replace(busy=1, flows=9)
        quick = usual._replace(work_ms=12)
        self.assertEqual(self.count_taken(quick, usual), 200)


class LineTests(TestCase):
    """What is told of flows that leave their zone."""

    def test_a_trial_is_not_for_a_wait(self) -> None:
        """One flow left because of a queue, a later one to try an upstream."""
        state = make_state(SMALL, Features(placement=True, ejection=True))
        report_all(state, IDLE._replace(busy=16, flows=30), IDLE, 1)
        self.assertEqual(self.count_lines(state, 1, 1.1), 1)
        ejected = IDLE._replace(is_ejected=True, wants_trial=True)
        deliver(state, '10.1.0.0', ejected, 1)
        for host in tuple(state.agents_by_host):
            report = ejected if host == '10.1.0.0' else IDLE
            deliver(state, host, report, 30)
        before = state.latency_placement.placed_far
        self.assertEqual(self.count_lines(state, 2, 30), 0)
        self.assertEqual(state.latency_placement.placed_far, before + 1)

    def count_lines(self, state: PacketState, number: int, now: float) -> int:
        """Open a flow; return the lines on flows that went far."""
        packet = make_packet(number, BRIEF, SYN)
        _, effects = reduce(state, CallerPacket(now, packet))
        return sum(
            isinstance(one, Decided) and one.name == 'placed_far'
            for one in effects
        )
