"""What an agent decides beside its upstream."""

from typing import Any
from unittest import TestCase, mock

from keelgap.catalog.defaults import ENTRY_RECOVERY_SECONDS
from keelgap.packets.envelopes import (
    CallerWait,
    Envelope,
    EnvelopeKind,
    Stamp,
    compute_service_tag,
    unpack_report,
)
from keelgap_agent.packets import defaults
from keelgap_agent.packets.effects import (
    Decided,
    SendToCaller,
    SendToPeer,
    SendToUpstream,
)
from keelgap_agent.packets.events import (
    AgentEvent,
    EnvelopeArrived,
    StopRequested,
    TimerFired,
    UpstreamPacket,
)
from keelgap_agent.packets.reducer import reduce
from keelgap_agent.packets.state import AgentState
from keelgap_balancer.packets import defaults as balancer_defaults
from tests.packets.building import (
    ACK,
    BOUNCED,
    FIN,
    FORMAT,
    SYN,
    FlowName,
    make_packet,
)

FLOW = FlowName('100.64.0.7', 40001)
BALANCER = '10.1.0.1'
TAG = compute_service_tag('board')
SLOTS = 3
ROOM = SLOTS + defaults.PREFETCH_COUNT


class AgentTestCase(TestCase):
    """An agent of the board."""

    def setUp(self) -> None:
        """Start without flows."""
        self.now = 10.0
        self.state = AgentState(FORMAT, 'board', self.now)

    def take(self, event: AgentEvent) -> list[Any]:
        """Reduce one event; return the effects of sending."""
        self.state, effects = reduce(self.state, event)
        kinds = SendToPeer | SendToCaller | SendToUpstream
        return [effect for effect in effects if isinstance(effect, kinds)]

    def hear(
        self,
        kind: EnvelopeKind,
        packet: bytes,
        *,
        sender: str = BALANCER,
        **fields: Any,
    ) -> list[Any]:
        """Let a balancer send an envelope."""
        usual = Envelope(kind, 1, SLOTS, 0, 200, TAG, packet)
        envelope = usual._replace(**fields)
        return self.take(EnvelopeArrived(self.now, sender, envelope))

    def open(self, port: int, **fields: Any) -> list[Any]:
        """Let a balancer offer a new flow."""
        packet = make_packet(FLOW._replace(port=port), SYN)
        return self.hear(EnvelopeKind.OPEN, packet, **fields)

    def serve(self, port: int, flags: int = ACK, data: bytes = b'') -> Any:
        """Let the upstream send a packet."""
        flow = FLOW._replace(port=port)
        packet = make_packet(flow, flags, data=data, back=True)
        return self.take(UpstreamPacket(self.now, packet))


class StampTests(AgentTestCase):
    """What balancers told of the store is told to all others."""

    def hear_stamp(self, latest_change: int, *, missed: bool) -> None:
        """Let a balancer greet with a stamp."""
        hello = Envelope(EnvelopeKind.HELLO, 0, 0, 0, 0, TAG, b'')
        stamp = Stamp(latest_change, missed)
        self.take(EnvelopeArrived(self.now, BALANCER, hello, stamp))

    def test_latest_change_is_passed_on(self) -> None:
        """Whoever told of it."""
        for change in (3, 9, 5):
            self.hear_stamp(change, missed=False)
        self.assertEqual(self.state.make_stamp(self.now), Stamp(9, False))

    def test_an_outage_is_told_until_entries_are_back(self) -> None:
        """A balancer that starts then reads a store without some."""
        self.hear_stamp(3, missed=True)
        self.now += ENTRY_RECOVERY_SECONDS - 0.1
        self.assertEqual(self.state.make_stamp(self.now), Stamp(3, True))
        self.now += 0.2
        self.assertEqual(self.state.make_stamp(self.now), Stamp(3, False))


class RequestLogTests(AgentTestCase):
    """What is logged of requests on flows that a balancer searches."""

    def search(self) -> None:
        """Let a balancer search with a packet in which a request begins."""
        data = b'GET / HTTP/1.1\r\nX-Keelgap-Request-Id: r1\r\n\r\n'
        packet = make_packet(FLOW, ACK, data=data)
        envelope = Envelope(EnvelopeKind.SEARCH, 1, 3, 0, 0, TAG, packet)
        self.reduce(EnvelopeArrived(self.now, BALANCER, envelope))
        self.packet = packet

    def reduce(self, event: AgentEvent) -> None:
        """Reduce one event; keep the names of what is logged."""
        self.state, effects = reduce(self.state, event)
        self.logged = [
            effect.name
            for effect in effects
            if isinstance(effect, Decided) and effect.fields is not None
        ]

    def test_agent_that_does_not_hold_the_flow_logs_nothing(self) -> None:
        """Else one search would tell of a request at each agent.

        Found in the logs of hizlitur-pano scale-2: after the power failure
        most lines were of requests that never were at that upstream.
        """
        self.search()
        self.assertEqual(self.logged, [])
        bounced = bytearray(self.packet)
        bounced[26] |= BOUNCED
        self.reduce(UpstreamPacket(self.now, bytes(bounced)))
        self.assertEqual(self.logged, [])

    def test_agent_that_holds_it_logs_the_request(self) -> None:
        """When its upstream shows that it does."""
        self.search()
        answer = make_packet(FLOW, ACK, back=True, data=b'HTTP/1.1 200 OK')
        self.reduce(UpstreamPacket(self.now, answer))
        self.assertEqual(self.logged, ['request_began', 'request_answered'])


class ReportTests(AgentTestCase):
    """Whom an agent tells its load."""

    def test_question_is_answered_once(self) -> None:
        """A greeting is answered for some seconds."""
        for kind, at_least in ((EnvelopeKind.ASK, 1), (EnvelopeKind.HELLO, 4)):
            sender = f'10.1.0.{int(kind)}'
            sent = self.hear(kind, b'', sender=sender)
            for _ in range(20):
                self.now += 0.05
                sent += self.take(TimerFired(self.now))
            reports = [one for one in sent if one.host == sender]
            self.assertGreaterEqual(len(reports), at_least)
            self.assertLessEqual(len(reports), 1 if at_least == 1 else 20)


class PacketTests(AgentTestCase):
    """Packets on their way to and from the upstream."""

    def test_packet_reaches_the_upstream_with_nothing_but_a_mark(self) -> None:
        """Only what its sum does not cover is ours."""
        (passed,) = self.open(1)
        self.assertIsInstance(passed, SendToUpstream)
        self.assertEqual(
            FORMAT.without_bounce(passed.datagram),
            make_packet(FLOW._replace(port=1), SYN),
        )

    def test_answers_go_straight_to_the_caller(self) -> None:
        """As the upstream wrote them."""
        self.open(1)
        packet = make_packet(FLOW._replace(port=1), SYN | ACK, back=True)
        effects = self.take(UpstreamPacket(self.now, packet))
        self.assertEqual(effects, [SendToCaller(packet)])

    def test_other_services_packets_are_given_back(self) -> None:
        """Whatever kind they come as."""
        for kind in (
            EnvelopeKind.OPEN,
            EnvelopeKind.FORWARD,
            EnvelopeKind.SEARCH,
        ):
            packet = make_packet(FLOW, SYN)
            (miss,) = self.hear(kind, packet, service_tag=TAG + 1)
            self.assertEqual(miss.envelope.kind, EnvelopeKind.MISS)
            self.assertEqual(miss.envelope.content, packet)

    def test_bounced_packet_goes_back_as_it_was(self) -> None:
        """To the balancer it came from, with its hop."""
        (passed,) = self.open(1)
        bounced = bytearray(passed.datagram)
        bounced[26] |= BOUNCED
        (miss,) = self.take(UpstreamPacket(self.now, bytes(bounced)))
        self.assertEqual(miss.host, BALANCER)
        self.assertEqual(miss.envelope.hop, 1)
        self.assertEqual(
            miss.envelope.content,
            make_packet(FLOW._replace(port=1), SYN),
        )
        self.assertEqual(self.state.flows, {})
        self.assertEqual(self.state.busy, 0)

    def test_search_is_answered_by_what_the_upstream_shows(self) -> None:
        """An agent that started anew does not know its upstream's flows."""
        packet = make_packet(FLOW, ACK)
        (passed,) = self.hear(EnvelopeKind.SEARCH, packet)
        self.assertIsInstance(passed, SendToUpstream)
        effects = self.serve(FLOW.port)
        owned = effects[-1]
        self.assertEqual(owned.envelope.kind, EnvelopeKind.OWNED)
        self.assertEqual(owned.envelope.content, FLOW.key)
        effects = self.hear(EnvelopeKind.SEARCH, packet)
        self.assertEqual(effects[-1].envelope.kind, EnvelopeKind.OWNED)

    def test_cut_packets_and_odd_kinds_are_dropped(self) -> None:
        """They are counted, and nothing is sent."""
        packet = make_packet(FLOW, ACK, data=b'abc')
        self.assertEqual(self.hear(EnvelopeKind.FORWARD, packet[:-1]), [])
        self.assertEqual(self.hear(EnvelopeKind.REPORT, packet), [])

    def test_flows_are_bounded_and_packets_still_pass(self) -> None:
        """A flood of strangers' packets must not use up the memory."""
        with mock.patch.object(defaults, 'MAX_FLOWS', 3):
            for port in range(10):
                flow = FLOW._replace(port=port)
                packet = make_packet(flow, ACK, data=b'x')
                (passed,) = self.hear(EnvelopeKind.SEARCH, packet)
                self.assertIsInstance(passed, SendToUpstream)
            self.assertEqual(len(self.state.flows), 3)
            self.assertEqual(self.state.busy, 3)

    def test_bounce_with_a_mark_of_an_earlier_life_is_dropped(self) -> None:
        """Its caller repeats it."""
        packet = FORMAT.with_mark(make_packet(FLOW, ACK | BOUNCED), 99 << 16)
        self.assertEqual(self.take(UpstreamPacket(self.now, packet)), [])


class AdmissionTests(AgentTestCase):
    """New flows wait here while the upstream has no room."""

    def fill(self) -> None:
        """Take as many flows as there is room for."""
        for port in range(ROOM):
            (passed,) = self.open(port)
            self.assertIsInstance(passed, SendToUpstream)
            data = make_packet(FLOW._replace(port=port), ACK, data=b'request')
            self.hear(EnvelopeKind.FORWARD, data)

    def list_passed(self, effects: list[Any]) -> list[int]:
        """Return the ports of the flows that the upstream got."""
        return [
            int.from_bytes(effect.datagram[8:10], 'little')
            for effect in effects
            if isinstance(effect, SendToUpstream)
        ]

    def ask(self, port: int, **fields: Any) -> list[Any]:
        """Let a caller open a flow and send its request."""
        self.open(port, **fields)
        data = make_packet(FLOW._replace(port=port), ACK, data=b'request')
        return self.hear(EnvelopeKind.FORWARD, data)

    def test_request_waits_for_room_and_goes_when_there_is(self) -> None:
        """Its flow opens at once; copies of the request are not passed on."""
        self.fill()
        self.assertEqual(self.list_passed(self.open(50)), [50])
        data = make_packet(FLOW._replace(port=50), ACK, data=b'request')
        for _ in range(2):
            self.assertEqual(self.hear(EnvelopeKind.FORWARD, data), [])
        self.assertEqual(self.list_passed(self.serve(0, data=b'a')), [50])

    def test_those_who_can_be_in_time_go_first_then_by_priority(self) -> None:
        """The latest callers before the earlier ones."""
        self.fill()
        self.ask(50, left_ms=-300)
        self.ask(51, left_ms=100, priority=2)
        self.ask(52, left_ms=150, priority=2)
        self.ask(53, left_ms=50, priority=1)
        order = []
        for port in range(4):
            order.extend(self.list_passed(self.serve(port, data=b'a')))
        self.assertEqual(order, [53, 52, 51, 50])

    def test_request_whose_caller_left_is_dropped(self) -> None:
        """Whether it says so or not; its slot would serve nobody."""
        self.fill()
        wait = CallerWait(0, 500, 500)
        self.ask(50, wait=wait)
        self.ask(51, wait=wait)
        ends = make_packet(FLOW._replace(port=50), FIN | ACK)
        (passed,) = self.hear(EnvelopeKind.FORWARD, ends)
        self.assertIsInstance(passed, SendToUpstream)
        self.assertEqual(list(self.state.queued), [FLOW._replace(port=51).key])
        self.now += 0.51
        self.take(TimerFired(self.now))
        self.assertEqual(self.state.queued, {})
        self.assertEqual(self.list_passed(self.serve(0, data=b'a')), [])

    def test_full_queue_gives_what_comes_back(self) -> None:
        """Another agent may have room, else the caller hears at once.

        What waits already is open towards its caller and stays.
        """
        self.fill()
        most = SLOTS * defaults.MAX_QUEUED_PER_SLOT
        for port in range(100, 100 + most):
            self.ask(port)
        (miss,) = self.open(99, left_ms=5000)
        packet = make_packet(FLOW._replace(port=99), SYN)
        self.assertEqual(miss.envelope.kind, EnvelopeKind.MISS)
        self.assertEqual(miss.envelope.content, packet)
        self.assertEqual(len(self.state.queued), most)

    def test_request_in_several_packets_is_passed_on_whole(self) -> None:
        """In its own order, however it came."""
        self.fill()
        flow = FLOW._replace(port=50)
        self.open(50)
        for seq in (201, 1, 101, 1):
            data = make_packet(flow, ACK, seq=seq, data=bytes(100))
            self.assertEqual(self.hear(EnvelopeKind.FORWARD, data), [])
        passed = self.serve(0, data=b'a')
        numbers = [
            FORMAT.sequence(effect.datagram)
            for effect in passed
            if isinstance(effect, SendToUpstream)
        ]
        self.assertEqual(numbers, [1, 101, 201])
        self.assertEqual(self.state.busy, ROOM)

    def test_packets_of_one_request_are_bounded(self) -> None:
        """A caller sends 16 without an answer."""
        self.fill()
        self.open(50)
        for seq in range(3 * defaults.MAX_QUEUED_PACKETS):
            data = make_packet(FLOW._replace(port=50), ACK, seq=seq, data=b'x')
            self.hear(EnvelopeKind.FORWARD, data)
        (queued,) = self.state.queued.values()
        self.assertEqual(len(queued.packets), defaults.MAX_QUEUED_PACKETS)

    def test_search_finds_a_flow_whose_request_waits(self) -> None:
        """The upstream cannot show it yet; a denial would end in a reset."""
        self.fill()
        self.open(50)
        data = make_packet(FLOW._replace(port=50), ACK, data=b'request')
        (owned,) = self.hear(EnvelopeKind.SEARCH, data)
        self.assertEqual(owned.envelope.kind, EnvelopeKind.OWNED)
        self.assertEqual(self.list_passed(self.serve(0, data=b'a')), [50])

    def test_copies_of_answered_data_are_no_work(self) -> None:
        """A late copy of an upload's data once kept its slot for ever.

        Found on edspa-keelgap scale-2: archive-submit was worth 0.759.
        """
        self.open(1)
        flow = FLOW._replace(port=1)
        for seq in (1, 2, 1):
            data = make_packet(flow, ACK, seq=seq, data=b'x')
            self.hear(EnvelopeKind.FORWARD, data)
        self.assertEqual(self.state.busy, 1)
        self.serve(1, data=b'answer')
        copy = make_packet(flow, ACK, seq=1, data=b'x')
        self.hear(EnvelopeKind.FORWARD, copy)
        self.assertEqual(self.state.busy, 0)
        following = make_packet(flow, ACK, seq=3, data=b'x')
        self.hear(EnvelopeKind.FORWARD, following)
        self.assertEqual(self.state.busy, 1)

    def test_opened_flow_without_a_request_takes_no_room(self) -> None:
        """Callers may open a flow ahead of their need, or be gone."""
        self.open(1)
        self.assertEqual(self.state.busy, 0)
        self.assertEqual(len(self.state.flows), 1)
        self.take(TimerFired(self.now + defaults.TIMER_SECONDS))
        data = make_packet(FLOW._replace(port=1), ACK, data=b'x')
        (passed,) = self.hear(EnvelopeKind.FORWARD, data)
        self.assertIsInstance(passed, SendToUpstream)
        self.assertEqual(self.state.busy, 1)

    def test_ended_and_idle_flows_are_forgotten(self) -> None:
        """Each kind after its own time."""
        self.open(1)
        self.serve(1, FIN | ACK)
        self.open(2)
        self.open(3)
        self.serve(3)
        self.now += defaults.UNANSWERED_OPENING_SECONDS + 0.1
        self.take(TimerFired(self.now))
        self.assertEqual(list(self.state.flows), [FLOW._replace(port=3).key])
        self.now += defaults.IDLE_FLOW_SECONDS
        self.take(TimerFired(self.now))
        self.assertEqual(self.state.flows, {})


class StopTests(AgentTestCase):
    """A planned stop takes no new flows and keeps the open ones."""

    def test_waiting_requests_go_on_and_new_flows_are_refused(self) -> None:
        """Balancers hear it in the same moment.

        A flow that waits is open towards its caller: no other agent could
        take it, and the upstream outlives this process.
        """
        self.hear(EnvelopeKind.HELLO, b'')
        for port in range(ROOM + 1):
            self.open(port)
            data = make_packet(FLOW._replace(port=port), ACK, data=b'x')
            self.hear(EnvelopeKind.FORWARD, data)
        self.assertEqual(len(self.state.queued), 1)
        passed, report = self.take(StopRequested(self.now))
        self.assertIsInstance(passed, SendToUpstream)
        self.assertEqual(report.envelope.kind, EnvelopeKind.REPORT)
        self.assertTrue(unpack_report(report.envelope.content).closed)
        (miss,) = self.open(77)
        self.assertEqual(miss.envelope.kind, EnvelopeKind.MISS)
        data = make_packet(FLOW._replace(port=0), ACK, data=b'y', seq=2)
        (passed,) = self.hear(EnvelopeKind.FORWARD, data)
        self.assertIsInstance(passed, SendToUpstream)

    def test_offers_are_answered_without_a_greeting(self) -> None:
        """A large fleet's balancers hear nothing else of an agent."""
        self.open(1)
        (report,) = self.take(TimerFired(self.now + 0.05))
        self.assertEqual(report.envelope.kind, EnvelopeKind.REPORT)
        self.assertEqual(self.take(TimerFired(self.now + 0.1)), [])

    def test_reports_stop_for_balancers_that_stopped_asking(self) -> None:
        """They may be gone for good."""
        self.hear(EnvelopeKind.HELLO, b'')
        self.now += defaults.MAX_REPORT_INTERVAL_SECONDS
        self.assertEqual(len(self.take(TimerFired(self.now))), 1)
        self.now += defaults.SUBSCRIPTION_SECONDS
        self.assertEqual(self.take(TimerFired(self.now)), [])


class AgreementTests(TestCase):
    """Figures of both programs that must fit together."""

    def test_calm_agents_are_never_taken_for_silent(self) -> None:
        """With 0.18 s flows went to other zones in calm.

        Found on edspa-keelgap scale-2: 0.036 GB between zones, not 0.009.
        """
        late = defaults.MAX_REPORT_INTERVAL_SECONDS + defaults.TIMER_SECONDS
        self.assertLess(late, balancer_defaults.UNRESPONSIVE_SECONDS)
        self.assertLess(
            balancer_defaults.UNRESPONSIVE_SECONDS,
            balancer_defaults.ISOLATED_SECONDS,
        )

    def test_reports_go_on_between_greetings(self) -> None:
        """A lost greeting does not end them."""
        self.assertLess(
            balancer_defaults.POLL_INTERVAL_SECONDS * 2,
            defaults.SUBSCRIPTION_SECONDS,
        )
