"""Flows at upstreams on hosts that are listed for another service."""

from typing import Any
from unittest import TestCase

from keelgap.packets.envelopes import (
    NO_STAMP,
    Envelope,
    EnvelopeKind,
    LoadReport,
    compute_service_tag,
    pack_report,
)
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.effects import Decided, SendReset, SendToAgent
from keelgap_balancer.packets.events import EnvelopeArrived, TimerFired
from tests.packets.building import (
    ACK,
    SYN,
    make_catalog,
    make_packet,
    make_upstream,
)
from tests.packets.machine import BALANCERS, PacketMachine
from tests.packets.starts_machine import StartsMachine
from tests.packets.test_balancer import FLOW, BalancerTestCase
from tests.packets.test_ejection_oracle import EjectingMachine

BUSY = LoadReport(5, 5, 5, closed=False)
FIRST, SECOND = BALANCERS
HOST = '10.0.0.1'
OTHERS = ('10.0.0.2', '10.0.0.3')


class FirstChoice:
    """Draw the first of what a random session could draw."""

    def draw(self, strategy: Any) -> Any:
        """Return the first element."""
        return strategy.elements[0]


def speak_on_all(world: PacketMachine, host: str) -> list[bytes]:
    """Send data on each accepted flow; return the flows."""
    keys = sorted(world.flows.keys() & world.accepted)
    for key in keys:
        request = make_packet(world.flows[key], ACK, data=b'GET')
        world._send(host, request)  # noqa: SLF001
        world.deliver_all()
    return keys


class ReusedAddressSessionTests(TestCase):
    """The steps of random sessions that failed, at their shortest.

    Each guards against the reset of a flow that lives at an upstream which no
    balancer has read of.  Another balancer, which is behind, lists an earlier
    upstream of the same service there, and opened it.
    """

    def test_flow_of_a_service_that_came_back_to_its_host(self) -> None:
        """Host 1 served the board, then proofs, then the board again."""
        world = EjectingMachine()
        world.start()
        world.change_service(number=1)
        world.change_service(number=1)
        # Here the flow was reset.
        world.open_twice()

    def test_the_same_after_other_flows_opened_twice(self) -> None:
        """On the other host of the board."""
        world = EjectingMachine()
        world.start()
        world.open_twice()
        world.open_twice()
        world.change_service(number=3)
        world.change_service(number=3)
        world.open_twice()

    def test_the_same_beside_an_upstream_ejected_for_good(self) -> None:
        """The flow waits at the ejected upstream as well."""
        world = EjectingMachine()
        world.start()
        world.change_service(number=3)
        world.change_service(number=3)
        world.eject_with_waiting(number=1, service='board')
        world.open_twice()

    def test_the_same_at_a_host_of_the_other_service(self) -> None:
        """It came to the board, left it and came back."""
        world = EjectingMachine()
        world.start()
        world.change_service(number=2)
        world.eject_with_waiting(number=1, service='board')
        world.find_again(data=FirstChoice(), host=FIRST)
        world.change_service(number=2)
        world.change_service(number=2)
        world.open_twice()

    def test_no_ejection_is_needed(self) -> None:
        """The routers move the flow to a balancer that is less behind."""
        world = PacketMachine()
        world.start()
        world.change_service(number=1)
        world.change_service(number=1)
        for _ in range(8):
            world.open(service='board', host=FIRST, retransmissions=0)
            world.deliver_all()
        keys = speak_on_all(world, FIRST)
        self.assertIn([HOST], [world._find_holders(key) for key in keys])
        speak_on_all(world, SECOND)


class UnlistedAgentTests(BalancerTestCase):
    """Agents that the catalog lists for another service."""

    def reuse(self) -> None:
        """List the first host of the board for proofs."""
        reused = make_upstream(1, 'proof', generation=1)
        self.change(make_catalog(2, [*self.boards[1:], self.proof, reused]))

    def say(
        self,
        host: str,
        service: str,
        kind: EnvelopeKind = EnvelopeKind.MISS,
        content: bytes = b'',
    ) -> list[Any]:
        """Let an agent that serves a service send an envelope."""
        tag = compute_service_tag(service)
        envelope = Envelope(kind, 0, 0, 0, 0, tag, content)
        return self.take(EnvelopeArrived(self.now, host, envelope, NO_STAMP))

    def deny_at_others(self) -> list[Any]:
        """Let a caller speak on a flow that the listed agents deny."""
        packet = make_packet(FLOW, ACK, data=b'GET')
        (asked,) = self.send(ACK, data=b'GET')
        for _ in OTHERS:
            effects = self.say(asked.host, 'board', content=packet)
            sent = [one for one in effects if not isinstance(one, Decided)]
            asked = sent[0]
        return sent

    def test_host_that_served_the_service_is_asked(self) -> None:
        """With the tag of that service, which its agent compares."""
        self.reuse()
        (asked,) = self.deny_at_others()
        self.assertEqual(asked.host, HOST)
        self.assertEqual(asked.envelope.kind, EnvelopeKind.SEARCH)
        tag = compute_service_tag('board')
        self.assertEqual(asked.envelope.service_tag, tag)

    def test_its_denial_is_enough(self) -> None:
        """It serves the service that it is listed for."""
        self.reuse()
        self.deny_at_others()
        packet = make_packet(FLOW, ACK, data=b'GET')
        effects = self.say(HOST, 'proof', content=packet)
        self.assertIn(SendReset(packet), effects)

    def test_it_keeps_the_flow_that_it_owns(self) -> None:
        """Later packets go there with the same tag."""
        self.reuse()
        self.deny_at_others()
        self.say(HOST, 'board', EnvelopeKind.OWNED, FLOW.key)
        (passed,) = self.send(ACK, data=b'more')
        self.assertEqual(passed.host, HOST)
        self.assertEqual(passed.envelope.kind, EnvelopeKind.FORWARD)
        tag = compute_service_tag('board')
        self.assertEqual(passed.envelope.service_tag, tag)

    def test_its_word_counts_whatever_was_listed(self) -> None:
        """This process never read of an upstream of the board there."""
        effects = self.say('10.0.0.9', 'board')
        told = [one for one in effects if isinstance(one, Decided)]
        self.assertEqual(told[0].name, 'agent_of_unlisted_service')
        packet = make_packet(FLOW, ACK, data=b'GET')
        asked = set()
        (question,) = self.send(ACK, data=b'GET')
        for _ in range(3):
            asked.add(question.host)
            effects = self.say(question.host, 'board', content=packet)
            question = next(
                one for one in effects if not isinstance(one, Decided)
            )
        self.assertEqual(asked | {question.host}, {HOST, *OTHERS, '10.0.0.9'})

    def test_silence_is_no_denial_there_either(self) -> None:
        """A caller whose flow may live is told nothing."""
        self.reuse()
        self.deny_at_others()
        self.now += defaults.SEARCH_STEP_TIMEOUT_SECONDS * 2
        effects = self.take(TimerFired(self.now))
        self.assertFalse(
            [one for one in effects if isinstance(one, SendReset)],
        )

    def test_it_is_forgotten_when_no_balancer_offers_flows_there(self) -> None:
        """A change is in force everywhere by then."""
        self.reuse()
        self.now += defaults.UNLISTED_SECONDS + 1
        self.take(TimerFired(self.now))
        self.assertFalse(self.state.catalog_gaps.unlisted)
        (reset,) = self.deny_at_others()
        self.assertIsInstance(reset, SendReset)

    def test_it_is_forgotten_although_its_host_speaks(self) -> None:
        """The agent there names the service that is listed."""
        self.reuse()
        for _ in range(int(defaults.UNLISTED_SECONDS) + 2):
            self.now += 1
            self.say(HOST, 'proof')
            self.take(TimerFired(self.now))
        self.assertFalse(self.state.catalog_gaps.unlisted)

    def test_it_is_kept_while_it_names_the_service(self) -> None:
        """Its entry may come at any moment."""
        for _ in range(int(defaults.UNLISTED_SECONDS) + 2):
            self.now += 1
            self.say(HOST, 'proof')
            self.take(TimerFired(self.now))
        self.assertIn((HOST, 'proof'), self.state.catalog_gaps.unlisted)

    def test_it_takes_no_new_flow(self) -> None:
        """Its upstream has no entry that says what it bears."""
        self.reuse()
        for port in range(20):
            (offer,) = self.send(SYN, FLOW._replace(port=port + 1))
            self.assertIn(offer.host, OTHERS)

    def test_its_report_is_not_that_of_the_listed_upstream(self) -> None:
        """The load of a board says nothing of proofs."""
        self.reuse()
        before = self.state.agents_by_host[HOST].report
        self.say(HOST, 'board', EnvelopeKind.REPORT, pack_report(BUSY))
        self.assertEqual(self.state.agents_by_host[HOST].report, before)


class MissedUpstreamTests(BalancerTestCase):
    """Upstreams whose entries came and went between two readings."""

    def deny(self, hosts: int) -> list[Any]:
        """Let listed agents deny a flow; return what follows."""
        sent = self.send(ACK)
        for _ in range(hosts):
            sent = self.answer(
                sent[0].host,
                EnvelopeKind.MISS,
                make_packet(FLOW, ACK),
            )
        return sent

    def test_it_is_asked_for_as_long_as_its_entry_may_come_back(self) -> None:
        """It lives, and another balancer opened the flow there."""
        missed = make_upstream(7)
        rows = [*self.boards, self.proof]
        self.change(make_catalog(5, rows)._replace(missed=(missed,)))
        (asked,) = self.deny(3)
        self.assertEqual(asked.host, '10.0.0.7')
        self.now += defaults.MISSING_ENTRY_SECONDS + 0.1
        self.take(TimerFired(self.now))
        self.assertNotIn('10.0.0.7', self.state.agents_by_host)

    def test_it_takes_no_new_flow(self) -> None:
        """Its entry may never come back."""
        missed = make_upstream(7)
        rows = [*self.boards, self.proof]
        self.change(make_catalog(5, rows)._replace(missed=(missed,)))
        for port in range(20):
            (offer,) = self.send(SYN, FLOW._replace(port=port + 1))
            self.assertNotEqual(offer.host, '10.0.0.7')

    def test_start_that_was_read_before_is_not_missed(self) -> None:
        """Its later report came and went, and it is gone."""
        rows = [*self.boards[1:], self.proof]
        later = self.boards[0]._replace(revision=4)
        self.change(make_catalog(5, rows)._replace(missed=(later,)))
        view = self.state.agents[later.identity]
        self.assertEqual(view.missing_since, self.now)
        self.assertEqual(len(self.state.agents), 4)

    def test_verdict_waits_where_nothing_tells_of_them(self) -> None:
        """Entries of those that live are back by then, and they are asked."""
        rows = [*self.boards, self.proof]
        self.change(make_catalog(5, rows)._replace(has_gap=True))
        self.assertEqual(self.deny(3), [])
        self.now += 1
        self.assertFalse(self.find_resets())
        back = make_upstream(7)
        (asked,) = [
            one
            for one in self.change(make_catalog(6, [*rows, back]))
            if isinstance(one, SendToAgent)
            and one.envelope.kind == EnvelopeKind.SEARCH
        ]
        self.assertEqual(asked.host, '10.0.0.7')

    def test_verdict_comes_with_the_end_of_that_wait(self) -> None:
        """Nobody came back."""
        rows = [*self.boards, self.proof]
        self.change(make_catalog(5, rows)._replace(has_gap=True))
        self.deny(3)
        self.now += 1.5
        self.send(ACK)
        self.now += defaults.MISSING_ENTRY_SECONDS - 1.4
        self.assertTrue(self.find_resets())

    def find_resets(self) -> list[Any]:
        """Let the timer fire; return the resets."""
        effects = self.take(TimerFired(self.now))
        return [one for one in effects if isinstance(one, SendReset)]


class StartedMeanwhileTests(TestCase):
    """A balancer that has no memory of what a host served."""

    def test_flow_at_a_host_that_changed_back_is_not_reset(self) -> None:
        """Found by sessions that mix all machines' rules.

        The host changes its service and back before any agent speaks again,
        and the other balancer is behind by both changes.
        """
        world = StartsMachine()
        world.start()
        world.swap_ids(number=1, other=2)
        world.restart_balancer(host=SECOND)
        world.deliver_all()
        world.swap_ids(number=1, other=2)
        for _ in range(4):
            world.open(service='board', host=FIRST, retransmissions=0)
            world.deliver_all()
        keys = speak_on_all(world, FIRST)
        self.assertIn([HOST], [world._find_holders(key) for key in keys])
        # Here the flow was reset.
        speak_on_all(world, SECOND)
