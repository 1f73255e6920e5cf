"""What an agent learns of its upstream's pace."""

from unittest import TestCase

from keelgap.packets.envelopes import Envelope, EnvelopeKind
from keelgap.packets.features import Features
from keelgap.packets.notices import UpstreamNotice, pack_notice
from keelgap_agent.packets import defaults
from keelgap_agent.packets.events import EnvelopeArrived, UpstreamPacket
from keelgap_agent.packets.flows import Flow
from keelgap_agent.packets.reducer import reduce
from keelgap_agent.packets.service_time import ServiceTimeEstimator
from keelgap_agent.packets.state import AgentState
from tests.packets.building import ACK, FIN, FORMAT, FlowName, make_packet

ON = Features(placement=True)
OFF = Features()
GOOD = b'HTTP/1.1 200 OK\r\n\r\n'
BAD = b'HTTP/1.1 503 Busy\r\n\r\n'


class PaceTests(TestCase):
    """Work told apart from waiting."""

    def test_free_slots(self) -> None:
        """The time of a request that found one is its work."""
        service_time = ServiceTimeEstimator()
        for _ in range(40):
            service_time.record(0.05, busy_on_arrival=1, slots=2)
        self.assertEqual(service_time.milliseconds, 50)

    def test_queue(self) -> None:
        """Four requests before it at two slots: it waited for a while."""
        service_time = ServiceTimeEstimator()
        for _ in range(40):
            service_time.record(0.05 * 2.5, busy_on_arrival=4, slots=2)
        self.assertEqual(service_time.milliseconds, 50)

    def test_unknown_at_first(self) -> None:
        """A single long request sends nobody away."""
        service_time = ServiceTimeEstimator()
        for _ in range(defaults.MIN_SERVICE_TIME_SAMPLES - 1):
            service_time.record(0.5, busy_on_arrival=0, slots=2)
        self.assertEqual(service_time.milliseconds, 0)

    def test_one_long_request(self) -> None:
        """One of thirty runs for ten times as long."""
        service_time = ServiceTimeEstimator()
        for _ in range(32):
            service_time.record(0.05, busy_on_arrival=0, slots=2)
        service_time.record(0.5, busy_on_arrival=0, slots=2)
        self.assertLess(service_time.milliseconds, 56)

    def test_turns_slow(self) -> None:
        """An upstream that takes five times as long is known in a while."""
        service_time = ServiceTimeEstimator()
        for _ in range(32):
            service_time.record(0.05, busy_on_arrival=0, slots=2)
        for _ in range(20):
            service_time.record(0.25, busy_on_arrival=0, slots=2)
        self.assertGreater(service_time.milliseconds, 110)


class AgentPaceTests(TestCase):
    """Which answers count."""

    def answer(
        self,
        content: bytes,
        flags: int = ACK,
        features: Features = ON,
    ) -> AgentState:
        """Let an agent see twenty requests answered after 40 ms."""
        state = AgentState(FORMAT, 'board', 0, features=features)
        for number in range(20):
            flow = FlowName('100.64.0.1', 2000 + number)
            opened = Flow(0)
            state.flows[flow.key] = opened
            state.start_request(opened, 1)
            packet = make_packet(flow, flags, data=content, back=True)
            reduce(state, UpstreamPacket(1.04, packet))
        return state

    def hear_start(self, state: AgentState, tag: int, revision: int) -> None:
        """Let a balancer name the start of the upstream."""
        notice = UpstreamNotice(
            revision,
            upstream_tag=tag,
            upstream_revision=revision,
        )
        envelope = Envelope(
            EnvelopeKind.HELLO,
            0,
            0,
            0,
            0,
            state.service_tag,
            pack_notice(notice),
        )
        reduce(state, EnvelopeArrived(2, '10.0.0.1', envelope))

    def test_answers(self) -> None:
        """They are told in the report."""
        state = self.answer(GOOD)
        self.assertEqual(state.make_report().work_ms, 40)

    def test_failures(self) -> None:
        """Neither quick failures nor closed flows show how long work takes."""
        for content, flags in ((BAD, ACK), (b'', FIN)):
            with self.subTest(flags):
                state = self.answer(content, flags)
                self.assertEqual(state.make_report().work_ms, 0)

    def test_refusals(self) -> None:
        """A caller without rights, and one who asks too often."""
        for status in (401, 404, 429):
            with self.subTest(status):
                state = self.answer(b'HTTP/1.1 %d No\r\n\r\n' % status)
                self.assertEqual(state.make_report().work_ms, 0)

    def test_moved(self) -> None:
        """An answer that points elsewhere is one that was asked for."""
        state = self.answer(b'HTTP/1.1 302 Found\r\n\r\n')
        self.assertEqual(state.make_report().work_ms, 40)

    def test_later_start(self) -> None:
        """Another upstream has started here: nothing is known of it."""
        state = self.answer(GOOD)
        self.hear_start(state, 1, 4)
        self.hear_start(state, 2, 5)
        self.assertEqual(state.make_report().work_ms, 0)

    def test_same_start(self) -> None:
        """A balancer greets again."""
        state = self.answer(GOOD)
        self.hear_start(state, 1, 4)
        self.hear_start(state, 1, 5)
        self.assertEqual(state.make_report().work_ms, 40)

    def test_switched_off(self) -> None:
        """The report is that of the release before."""
        state = self.answer(GOOD, features=OFF)
        self.assertEqual(state.make_report().work_ms, 0)
