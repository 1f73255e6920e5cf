"""Whom placement spares, and whom it compares."""

from unittest import TestCase

from experiments.placing_model import Pattern
from keelgap_balancer.packets.placing import defaults
from keelgap_balancer.packets.placing.candidates import list_candidates
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

MOST_DRAWN = defaults.DRAWN_NEAR + defaults.DRAWN_FAR


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
        near = [view for view in state.by_host.values() if state.is_near(view)]
        cold = {view.host for view in near[:3]}
        for view in near[:3]:
            view.warm_at = 9
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
