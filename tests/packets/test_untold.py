"""New flows at an agent that no balancer has told of its directory."""

from typing import Any

from keelgap.packets.envelopes import (
    CallerWait,
    Envelope,
    EnvelopeKind,
    compute_service_tag,
)
from keelgap.packets.notices import pack_notice
from keelgap.packets.retransmission import OPEN_TIMEOUT_SECONDS
from keelgap_agent.packets import defaults
from keelgap_agent.packets.effects import Decided, SendToPeer, SendToUpstream
from keelgap_agent.packets.events import (
    EnvelopeArrived,
    StopRequested,
    TimerFired,
)
from tests.packets.building import SYN, make_packet
from tests.packets.test_directory import (
    BALANCER,
    FLOW,
    NOTICE,
    AgentTestCase,
)

_OTHER = '10.1.0.2'


class UntoldTests(AgentTestCase):
    """Guards flows against nodes that speak for the process before."""

    def offer(
        self, retransmissions: int = 0, sender: str = BALANCER
    ) -> list[Any]:
        """Let a balancer offer a flow, or a copy of its opening packet."""
        packet = make_packet(FLOW, SYN, ack=retransmissions)
        tag = self.state.service_tag
        wait = CallerWait(100, 1300, 900)
        envelope = Envelope(EnvelopeKind.OPEN, 0, 3, 0, 500, tag, packet, wait)
        return self.take(EnvelopeArrived(self.now, sender, envelope))

    def tell(self, content: bytes, service: str = 'board') -> list[Any]:
        """Let a balancer greet the agent; return all effects."""
        tag = compute_service_tag(service)
        envelope = Envelope(EnvelopeKind.HELLO, 0, 3, 0, 0, tag, content)
        return self.take(EnvelopeArrived(self.now, BALANCER, envelope))

    def list_passed(self, effects: list[Any]) -> list[bytes]:
        """Return the packets that the upstream gets."""
        return [
            one.datagram for one in effects if isinstance(one, SendToUpstream)
        ]

    def list_asked(self, effects: list[Any]) -> list[str]:
        """Return the balancers that are asked for a notice."""
        return [
            one.host
            for one in effects
            if isinstance(one, SendToPeer)
            and one.envelope.kind == EnvelopeKind.ASK
        ]

    def test_flow_is_registered_before_its_first_packet_passes(self) -> None:
        """Although it came before the notice."""
        effects = self.offer()
        self.assertEqual(self.list_passed(effects), [])
        self.assertEqual(self.list_asked(effects), [BALANCER])
        *before, passed = self.tell(pack_notice(NOTICE))
        self.assertIsInstance(passed, SendToUpstream)
        peers = [one for one in before if isinstance(one, SendToPeer)]
        keys = [one.keys for one in self.read(peers)]
        self.assertEqual(keys, [(FLOW.key,), (FLOW.key,)])

    def test_it_passes_at_once_when_the_directory_is_known(self) -> None:
        """Nothing waits after the first notice."""
        self.tell(pack_notice(NOTICE))
        self.assertEqual(len(self.list_passed(self.offer())), 1)

    def test_copies_of_its_opening_pass_as_one(self) -> None:
        """The latest, back to whose balancer a bounce goes."""
        self.offer()
        self.now += 0.2
        self.assertEqual(self.list_asked(self.offer(1, _OTHER)), [_OTHER])
        (passed,) = self.list_passed(self.tell(pack_notice(NOTICE)))
        self.assertEqual(self.state.format.retransmissions(passed), 1)

    def test_question_is_asked_again(self) -> None:
        """It may be lost, or its answer."""
        self.offer()
        self.assertEqual(self.list_asked(self.take(TimerFired(self.now))), [])
        self.now += 2 * defaults.NOTICE_RETRY_SECONDS
        effects = self.take(TimerFired(self.now))
        self.assertEqual(self.list_asked(effects), [BALANCER])

    def test_flow_of_a_caller_that_left_is_dropped(self) -> None:
        """It would open for nobody."""
        self.offer()
        self.now += OPEN_TIMEOUT_SECONDS + 0.1
        effects = self.take(TimerFired(self.now))
        self.assertIn(Decided('drop_untold'), effects)
        self.assertEqual(self.list_passed(self.tell(pack_notice(NOTICE))), [])

    def test_time_that_it_waited_counts(self) -> None:
        """Its caller does not stay for longer."""
        self.offer()
        self.now += 0.3
        self.tell(pack_notice(NOTICE))
        queued = self.state.queued[FLOW.key]
        self.assertAlmostEqual(queued.deadline, self.now + 0.2)
        self.assertAlmostEqual(queued.latest_departure, self.now + 1.0)

    def test_notice_of_another_service_ends_no_wait(self) -> None:
        """It has another directory."""
        self.offer()
        effects = self.tell(pack_notice(NOTICE), 'proof')
        self.assertEqual(self.list_passed(effects), [])

    def test_greeting_of_an_earlier_release_does(self) -> None:
        """It never tells anything."""
        self.offer()
        self.assertEqual(len(self.list_passed(self.tell(b''))), 1)

    def test_process_that_stops_gives_it_back(self) -> None:
        """Another agent takes it."""
        self.offer()
        effects = self.take(StopRequested(self.now))
        kinds = [
            one.envelope.kind for one in effects if isinstance(one, SendToPeer)
        ]
        self.assertIn(EnvelopeKind.MISS, kinds)

    def test_memory_is_bounded(self) -> None:
        """Callers repeat what was dropped."""
        pending_openings = self.state.registrar.pending_openings
        packet = make_packet(FLOW, SYN)
        envelope = Envelope(EnvelopeKind.OPEN, 0, 3, 0, 500, 0, packet)
        event = EnvelopeArrived(self.now, BALANCER, envelope)
        for number in range(defaults.MAX_PENDING_OPENINGS):
            pending_openings[number.to_bytes(12)] = event
        self.assertIn(Decided('untold_full'), self.offer())
