"""What a balancer that has just begun takes over from the others."""

from typing import Any
from unittest import TestCase

from keelgap.packets.envelopes import (
    NO_STAMP,
    Envelope,
    EnvelopeKind,
    compute_service_tag,
)
from keelgap.packets.exceptions import MalformedEnvelope
from keelgap.packets.served_hosts import (
    MAX_SERVED_HOSTS,
    ServedHost,
    ServedHostsRequest,
    digest_served,
    pack_served,
    pack_served_request,
    unpack_served,
    unpack_served_request,
)
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.effects import Decided, SendToAgent
from keelgap_balancer.packets.events import EnvelopeArrived, PeerStampReceived
from keelgap_balancer.packets.state import PacketState
from tests.packets.building import FORMAT, make_catalog, make_upstream
from tests.packets.test_balancer import BalancerTestCase

BOARD_TAG = compute_service_tag('board')
PROOF_TAG = compute_service_tag('proof')
OTHER = '10.1.0.2'


class MessageTests(TestCase):
    """What goes over the wire."""

    def test_messages_come_back_as_they_were(self) -> None:
        """Both kinds."""
        question = ServedHostsRequest(7, 2**60)
        self.assertEqual(
            unpack_served_request(pack_served_request(question)), question
        )
        rows = (ServedHost('10.0.0.1', BOARD_TAG), ServedHost('10.0.0.2', 5))
        self.assertEqual(unpack_served(pack_served(rows)), rows)

    def test_octets_that_make_no_message_are_refused(self) -> None:
        """They come over a network."""
        too_many = bytes(8 * (MAX_SERVED_HOSTS + 1))
        for unpack, content in (
            (unpack_served_request, bytes(9)),
            (unpack_served, bytes(9)),
            (unpack_served, too_many),
        ):
            with self.subTest(unpack), self.assertRaises(MalformedEnvelope):
                unpack(content)

    def test_order_makes_no_other_digest(self) -> None:
        """Balancers learn of upstreams in different orders."""
        rows = [ServedHost('10.0.0.1', 1), ServedHost('10.0.0.2', 2)]
        self.assertEqual(digest_served(rows), digest_served(reversed(rows)))
        self.assertNotEqual(digest_served(rows), digest_served(rows[1:]))


class InheritingTestCase(BalancerTestCase):
    """A balancer whose first catalog has revision 1."""

    def hear(self, host: str = OTHER) -> list[Any]:
        """Let another balancer tell of the store; return the questions."""
        return self.take(PeerStampReceived(self.now, NO_STAMP, host))

    def get(self, kind: EnvelopeKind, content: bytes) -> list[Any]:
        """Let another balancer send a message; return what follows."""
        envelope = Envelope(kind, 0, 0, 0, 0, 0, content)
        event = EnvelopeArrived(self.now, OTHER, envelope, NO_STAMP)
        return self.take(event)

    def be_asked(self, **fields: int) -> list[Any]:
        """Let a balancer ask whose first catalog was later."""
        question = ServedHostsRequest(9, 0)._replace(**fields)
        return self.get(
            EnvelopeKind.SERVED_ASKED, pack_served_request(question)
        )


class AskTests(InheritingTestCase):
    """Whom it asks, and when."""

    def test_each_balancer_that_is_heard_is_asked(self) -> None:
        """With the revision of the first catalog."""
        for host in (OTHER, '10.1.0.3'):
            (sent,) = self.hear(host)
            self.assertIsInstance(sent, SendToAgent)
            self.assertEqual(sent.host, host)
            self.assertEqual(sent.envelope.kind, EnvelopeKind.SERVED_ASKED)
            question = unpack_served_request(sent.envelope.content)
            self.assertEqual(question.first_revision, 1)

    def test_it_is_asked_again_after_a_pause(self) -> None:
        """The question or the answer may be lost."""
        self.hear()
        self.now += defaults.INHERIT_INTERVAL_SECONDS / 2
        self.assertEqual(self.hear(), [])
        self.now += defaults.INHERIT_INTERVAL_SECONDS
        self.assertEqual(len(self.hear()), 1)

    def test_questions_end_after_the_first_seconds(self) -> None:
        """What was before is over by then."""
        self.now += defaults.INHERIT_SECONDS + 0.1
        self.assertEqual(self.hear(), [])

    def test_nobody_is_asked_before_the_first_catalog(self) -> None:
        """Nothing tells yet what is missing."""
        self.state = PacketState(FORMAT, 'a', self.now)
        self.assertEqual(self.hear(), [])


class AnswerTests(InheritingTestCase):
    """What a balancer tells one that began later."""

    def read(self, effects: list[Any]) -> set[ServedHost]:
        """Return the rows of an answer."""
        (sent,) = effects
        self.assertEqual(sent.host, OTHER)
        self.assertEqual(sent.envelope.kind, EnvelopeKind.SERVED_TOLD)
        return set(unpack_served(sent.envelope.content))

    def test_it_tells_what_it_lists_and_what_it_did(self) -> None:
        """It may be behind, and offer flows there."""
        reused = make_upstream(1, 'proof', generation=1)
        self.change(make_catalog(2, [*self.boards[1:], self.proof, reused]))
        rows = self.read(self.be_asked())
        self.assertLessEqual(
            {
                ServedHost('10.0.0.1', BOARD_TAG),
                ServedHost('10.0.0.1', PROOF_TAG),
                ServedHost('10.0.0.9', PROOF_TAG),
            },
            rows,
        )

    def test_it_tells_each_balancer_once(self) -> None:
        """Unless that has begun anew."""
        self.assertTrue(self.be_asked())
        self.assertEqual(self.be_asked(), [])
        self.assertTrue(self.be_asked(first_revision=11))

    def test_who_lists_the_same_is_told_nothing(self) -> None:
        """As after most restarts."""
        (sent,) = self.hear()
        digest = unpack_served_request(sent.envelope.content).digest
        self.assertEqual(self.be_asked(digest=digest), [])

    def test_who_began_earlier_is_told_nothing(self) -> None:
        """It remembers more; after an outage most began together."""
        self.assertEqual(self.be_asked(first_revision=1), [])

    def test_octets_that_make_no_question_are_counted(self) -> None:
        """And answered with nothing."""
        effects = self.get(EnvelopeKind.SERVED_ASKED, bytes(3))
        self.assertEqual(effects, [Decided(MalformedEnvelope.code)])


class TakeTests(InheritingTestCase):
    """What it does with an answer."""

    def tell(self, *rows: ServedHost) -> list[Any]:
        """Let another balancer answer."""
        return self.get(EnvelopeKind.SERVED_TOLD, pack_served(rows))

    def test_host_of_another_service_is_asked_for_flows(self) -> None:
        """For as long as another balancer may offer them there."""
        (told,) = self.tell(ServedHost('10.0.0.9', BOARD_TAG))
        self.assertEqual(told.name, 'agent_of_unlisted_service')
        self.assertIn(('10.0.0.9', 'board'), self.state.catalog_gaps.unlisted)

    def test_what_is_listed_alike_changes_nothing(self) -> None:
        """Nor do hosts that are not known, or services without a route."""
        rows = (
            ServedHost('10.0.0.1', BOARD_TAG),
            ServedHost('10.0.0.77', BOARD_TAG),
            ServedHost('10.0.0.2', 12345),
        )
        self.assertEqual(self.tell(*rows), [])
        self.assertEqual(self.state.catalog_gaps.unlisted, {})

    def test_octets_that_make_no_answer_are_counted(self) -> None:
        """And change nothing."""
        effects = self.get(EnvelopeKind.SERVED_TOLD, bytes(3))
        self.assertEqual(effects, [Decided(MalformedEnvelope.code)])
