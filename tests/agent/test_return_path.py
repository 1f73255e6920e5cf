"""How datagrams return to callers while balancers die."""

from unittest import TestCase

from keelgap.addresses import Address
from keelgap_agent.quic.return_path import ROTATION_SECONDS, ReturnPath

FIRST, SECOND, THIRD = (
    Address(f'127.0.0.{number}', 7001) for number in (11, 12, 13)
)
#: Seconds after which a balancer that was heard no longer counts as live.
SILENT = 1.5


class ReturnPathTests(TestCase):
    """Which balancer is used, on a clock that the test moves."""

    def setUp(self) -> None:
        """Know three balancers from the list, of which two sent something."""
        self.path = ReturnPath()
        self.path.record_listed({FIRST, SECOND, THIRD})
        self.path.record_heard(FIRST, 10.0)
        self.path.record_heard(SECOND, 10.2)

    def list_used(self, since: float, seconds: float) -> set[Address]:
        """Return the balancers used for a flow that came through the first."""
        steps = int(seconds / ROTATION_SECONDS) + 1
        return {
            self.path.choose_balancer(FIRST, since + step * ROTATION_SECONDS)
            for step in range(steps)
        }

    def test_last_balancer_is_used_while_it_is_heard(self) -> None:
        """No datagram takes another way without need."""
        self.assertEqual(self.list_used(10.0, 0.5), {FIRST})

    def test_the_one_heard_latest_takes_over(self) -> None:
        """It lives, whichever flow it forwarded."""
        self.path.record_heard(SECOND, 10.0 + SILENT)
        self.assertEqual(
            self.path.choose_balancer(FIRST, 10.0 + SILENT), SECOND
        )

    def test_balancers_that_never_sent_anything_are_tried(self) -> None:
        """The two that did have died, and the caller only listens.

        The fault of ``test_feed_survives_the_death_of_a_balancer`` beside a
        load: datagrams went to the dead until the caller's idle timeout.
        """
        used = self.list_used(10.0 + SILENT, 3 * ROTATION_SECONDS)
        self.assertEqual(used, {FIRST, SECOND, THIRD})

    def test_acknowledgement_ends_the_turns(self) -> None:
        """Through whichever balancer it came."""
        self.path.record_heard(THIRD, 10.0 + SILENT)
        self.assertEqual(self.list_used(10.0 + SILENT, 0.5), {THIRD})

    def test_leaving_balancers_are_not_tried(self) -> None:
        """Though the list, which lags, still names them."""
        self.path.record_leaving(SECOND, 10.5)
        used = self.list_used(10.0 + SILENT, 3 * ROTATION_SECONDS)
        self.assertEqual(used, {FIRST, THIRD})
