"""Whom placement spares, and whom it compares."""

from unittest import TestCase

from tests.packets.test_placement import (
    IDLE,
    SMALL,
    choose,
    deliver,
    make_state,
    report_all,
)


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
