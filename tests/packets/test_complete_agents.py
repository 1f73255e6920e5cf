"""Agents that wrongly count as knowing all flows of their upstreams."""

from unittest import TestCase

from keelgap.packets.envelopes import (
    Envelope,
    EnvelopeKind,
    Stamp,
    compute_service_tag,
)
from keelgap.packets.notices import UpstreamNotice, pack_notice, unpack_notice
from keelgap_agent.packets.events import EnvelopeArrived
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.events import PeerStampReceived, TimerFired
from tests.packets.building import make_catalog, make_upstream
from tests.packets.directory_machine import SmallDirectoryMachine
from tests.packets.machine import BALANCERS
from tests.packets.test_balancer import BalancerTestCase
from tests.packets.test_directory import DIRECTORY, AgentTestCase

BEHIND, OTHER = BALANCERS
HOST = '10.0.0.1'
_OPENINGS = 60


class StaleNoticeSessionTests(TestCase):
    """Agents restart while one balancer still lists a former upstream."""

    def test_flow_before_the_restart_of_all_nodes_is_not_reset(self) -> None:
        """Found by provoking what the list of open faults had from reading.

        The agent hears of the former upstream first, then of the present one,
        which is long warm, and must not take that for a start.
        """
        self.play(hears_of_it=True)

    def test_nor_where_nothing_reaches_the_balancer_that_is_behind(
        self,
    ) -> None:
        """It tells of the former upstream in good faith.

        Guards flows against an agent that takes the later name for a start.
        """
        self.play(hears_of_it=False)

    def play(self, *, hears_of_it: bool) -> None:
        """Restart an agent and all nodes; the world fails at a reset."""
        world = SmallDirectoryMachine()
        world.start()
        self.let_pass(world, 4)
        world.crash(number=1, reuse=False)
        world.learn(OTHER)
        if not hears_of_it:
            world.cut_off = BEHIND
        world.deliver_all()
        for _ in range(_OPENINGS):
            world.open('board', OTHER, 0)
            world.deliver_all()
        world._speak_on_all_flows(OTHER)  # noqa: SLF001
        held = [
            key for key in world.flows if world._find_holders(key) == [HOST]
        ]
        self.assertTrue(held)
        self.let_pass(world, 3)
        restarted = {1, *world._list_nodes('board')}
        for number in sorted(restarted):
            world.restart_agent(number=number)
        self.let_pass(world, 3)
        world.cut_off = ''
        world.restart_balancer(BEHIND)
        self.let_pass(world, 2)
        # Here the flow was reset.
        world._speak_on_all_flows(BEHIND)  # noqa: SLF001
        world.advance(0.2)
        world.deliver_all()

    def let_pass(self, world: SmallDirectoryMachine, seconds: int) -> None:
        """Let time pass, and everything arrive."""
        for _ in range(seconds):
            world.advance(1.0)
            world.deliver_all()


class BehindNoticeTests(BalancerTestCase):
    """What a balancer tells agents while it knows that it is behind."""

    def read(self) -> UpstreamNotice:
        """Return the next notice to an agent."""
        self.now += defaults.POLL_INTERVAL_SECONDS
        effects = self.take(TimerFired(self.now))
        return next(
            unpack_notice(one.envelope.content)
            for one in effects
            if getattr(one, 'host', '') == HOST
        )

    def hear_of_a_change(self) -> None:
        """Let another balancer tell of a change that is not known here."""
        self.take(PeerStampReceived(self.now, Stamp(2, may_lack_entries=False)))

    def test_it_does_not_say_which_start_the_upstream_is(self) -> None:
        """Another may have taken its place."""
        self.assertNotEqual(self.read().upstream_tag, 0)
        self.hear_of_a_change()
        notice = self.read()
        self.assertEqual(notice.upstream_tag, 0)
        self.assertEqual(notice.upstream_revision, 0)

    def test_it_says_so_of_a_young_one(self) -> None:
        """After an outage all are young, and each start is a change."""
        young = make_upstream(1)._replace(
            warm_up_seconds=9,
            started=1,
            revision=1,
        )
        self.change(make_catalog(1, [young]))
        self.hear_of_a_change()
        notice = self.read()
        self.assertTrue(notice.is_recent_start)
        self.assertNotEqual(notice.upstream_tag, 0)

    def test_it_says_so_again_when_it_has_caught_up(self) -> None:
        """With the next greeting."""
        self.hear_of_a_change()
        self.change(make_catalog(2, [*self.boards, self.proof]))
        self.assertNotEqual(self.read().upstream_tag, 0)


class OtherServiceNoticeTests(AgentTestCase):
    """A balancer still lists the host for another service."""

    def test_only_the_zone_is_taken_from_its_notice(self) -> None:
        """Directory, start and warm-up are those of another upstream."""
        notice = UpstreamNotice(
            5,
            DIRECTORY.shards,
            upstream_tag=7,
            upstream_revision=4,
            is_recent_start=True,
            is_evacuated=True,
        )
        tag = compute_service_tag('proof')
        content = pack_notice(notice)
        envelope = Envelope(EnvelopeKind.HELLO, 1, 0, 0, 0, tag, content)
        self.take(EnvelopeArrived(self.now, BALANCERS[0], envelope))
        self.assertFalse(self.state.registrar.is_complete)
        self.assertEqual(self.state.registrar.upstream_tag, 0)
        self.assertEqual(self.state.registrar.streams, {})
        self.assertTrue(self.state.is_evacuated)
        self.notice(upstream_tag=9, upstream_revision=6)
        self.assertFalse(self.state.registrar.is_complete)
