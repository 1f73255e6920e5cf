"""New flows of an upstream that is not warm yet.

The pattern: a zone is taken back with cold upstreams, which no flow holds, so
that every balancer finds them the least loaded at the same moment.  The
operators' table says what one bears; the agent alone sees all that it gets.
"""

from unittest import TestCase

from keelgap.packets.envelopes import EnvelopeKind
from keelgap.packets.notices import UpstreamNotice, pack_notice
from keelgap_agent.packets import defaults
from keelgap_agent.packets.conf import WarmUpSettings
from keelgap_agent.packets.effects import SendToUpstream
from keelgap_agent.packets.state import AgentState
from keelgap_agent.packets.warm_up_limiter import WarmUpLimiter
from tests.packets import test_agent
from tests.packets.building import FORMAT

#: 2 a second, half as many more, and 5: the bound is 8.
PER_SECOND = 2.0
EXCESS = 1.5
SLACK = 5.0
MOST = 8
SETTINGS = WarmUpSettings(EXCESS, SLACK)


class ColdBoundTests(TestCase):
    """The count over any span of a second."""

    def test_no_second_has_more_than_the_bound(self) -> None:
        """Whatever the offers, whenever the second begins."""
        bound = WarmUpLimiter(EXCESS, SLACK, 0)
        bound.configure(PER_SECOND, warm_at=10)
        passed = []
        for step in range(1000):
            now = step / 100
            if not bound.is_at_limit(now):
                bound.record_flow(now)
                passed.append(now)
        for begin in passed:
            second = [one for one in passed if begin <= one <= begin + 1]
            self.assertLessEqual(len(second), MOST)
        # It gets what it bears all the same.
        self.assertGreaterEqual(len(passed), 10 * MOST / 1.2)

    def test_where_no_rate_is_stated_there_is_no_bound(self) -> None:
        """A rate of nothing at all would refuse what can be served."""
        bound = WarmUpLimiter(EXCESS, SLACK, 0)
        bound.configure(0, warm_at=10)
        for _ in range(100):
            self.assertFalse(bound.is_at_limit(1))
            bound.record_flow(1)

    def test_a_warm_upstream_has_no_bound(self) -> None:
        """From the moment on that its report named."""
        bound = WarmUpLimiter(EXCESS, SLACK, 0)
        bound.configure(PER_SECOND, warm_at=2)
        for _ in range(MOST):
            bound.record_flow(1.9)
        self.assertTrue(bound.is_at_limit(1.95))
        self.assertFalse(bound.is_at_limit(2))

    def test_an_agent_that_begins_does_not_know_what_was_passed(self) -> None:
        """Another agent may have filled the present second."""
        bound = WarmUpLimiter(EXCESS, SLACK, 5)
        bound.assume_full_window()
        bound.configure(PER_SECOND, warm_at=10)
        self.assertTrue(bound.is_at_limit(5))
        self.assertFalse(bound.is_at_limit(5 + defaults.WARM_UP_WINDOW_SECONDS))


class AgentTests(test_agent.AgentTestCase):
    """The agent gives back what its cold upstream does not bear."""

    def setUp(self) -> None:
        """Start beside an upstream that is cold for two seconds."""
        super().setUp()
        self.state = AgentState(FORMAT, 'board', self.now, '', SETTINGS)
        notice = UpstreamNotice(
            5,
            warm_up_ms=2000,
            warm_up_flow_rate=PER_SECOND,
        )
        self.hear(EnvelopeKind.HELLO, pack_notice(notice))

    def count_passed(self, first: int, count: int) -> int:
        """Offer some new flows; return how many reach the upstream."""
        effects = [
            effect
            for port in range(first, first + count)
            for effect in self.open(port)
        ]
        return sum(isinstance(one, SendToUpstream) for one in effects)

    def test_a_balancer_that_is_behind_changes_nothing(self) -> None:
        """It has not read that the upstream is cold."""
        self.hear(EnvelopeKind.HELLO, pack_notice(UpstreamNotice(4)))
        self.assertEqual(self.count_passed(1, 50), MOST)

    def test_balancers_together_pass_no_more_than_the_bound(self) -> None:
        """The others go back at once, to go elsewhere."""
        self.assertEqual(self.count_passed(1, 50), MOST)
        self.now += 0.5
        self.assertEqual(self.count_passed(100, 50), 0)
        self.now += defaults.WARM_UP_WINDOW_SECONDS
        self.assertEqual(self.count_passed(200, 50), MOST)
        self.now += 0.5
        self.assertEqual(self.count_passed(300, 50), 50)
