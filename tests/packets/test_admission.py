"""What a balancer refuses where agents have no time for new flows."""

from typing import Any

from keelgap.packets.envelopes import (
    Envelope,
    EnvelopeKind,
    LoadReport,
    pack_report,
)
from keelgap.packets.features import Features
from keelgap.packets.refusals import (
    MAX_REFUSED_CALLERS,
    RefusedCaller,
    pack_refused,
    unpack_refused,
)
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.caller_waits import CallerWaits
from keelgap_balancer.packets.effects import (
    Decided,
    SendReset,
    SendToAgent,
    SendToBalancers,
)
from keelgap_balancer.packets.events import EnvelopeArrived, TimerFired
from keelgap_balancer.packets.fair_shares import CallerShares, Queue
from tests.packets.building import (
    BOARD,
    PROOF,
    SYN,
    FlowName,
    make_catalog,
    make_packet,
    make_upstream,
)
from tests.packets.test_balancer import FLOW, BalancerTestCase

ROUTE = BOARD._replace(target_seconds=0.2, timeout_seconds=2.5)
ROOM_MS = 400
#: Reports of an upstream whose answers come after about a second.
FULL = LoadReport(busy=30, flows=30, answer_ms=100, closed=False)
OTHER_BALANCER = '10.1.0.2'
HOST = b'host'
QUEUE = Queue('board', 0)


class AdmissionTestCase(BalancerTestCase):
    """A balancer with five upstreams that makes use of early refusal."""

    def setUp(self) -> None:
        """Serve a route with an aim."""
        super().setUp()
        self.state.features = Features(admission=True)
        self.now = defaults.SETTLING_SECONDS + 1
        boards = [make_upstream(number) for number in range(1, 6)]
        self.hosts = [board.address.host for board in boards]
        self.change(make_catalog(2, boards, (ROUTE,)))

    def report_full(self, *hosts: str) -> None:
        """Let agents report long queues."""
        for host in hosts:
            self.answer(host, EnvelopeKind.REPORT, pack_report(FULL))

    def give_back(self, offer: SendToAgent, room_ms: int = ROOM_MS) -> Any:
        """Let an agent give a flow back; return all effects."""
        miss = Envelope(
            EnvelopeKind.MISS,
            offer.envelope.hop,
            0,
            0,
            room_ms,
            0,
            offer.envelope.content,
        )
        return self.take(EnvelopeArrived(self.now, offer.host, miss))

    def open(self, flow: FlowName = FLOW) -> Any:
        """Open a flow and let agents lack time; return the last effects."""
        effects = self.send(SYN, flow)
        self.asked: list[str] = []
        while isinstance(effects[0], SendToAgent):
            self.asked.append(effects[0].host)
            effects = self.give_back(effects[0])
        return effects

    def get_age(self, flow: FlowName) -> int:
        """Open a flow; return the age that its agent hears."""
        (offer,) = self.send(SYN, flow)
        age: int = offer.envelope.wait.age_ms
        return age


class RefusalTests(AdmissionTestCase):
    """No agent has room for a flow."""

    def test_flow_is_reset_after_three_agents_without_time(self) -> None:
        """The others report long queues; the caller hears it at once."""
        self.report_full(*self.hosts)
        reset, decided, counted, _ = self.open()
        self.assertEqual(reset, SendReset(make_packet(FLOW, SYN)))
        self.assertEqual(decided.name, 'reset_no_room')
        self.assertEqual(counted, Decided('refused_priority_0'))
        self.assertEqual(len(self.asked), defaults.MIN_LATE_DECLINES)

    def test_whoever_reports_room_is_asked_before(self) -> None:
        """No refusal while anybody has room."""
        for full in range(len(self.hosts)):
            self.report_full(*self.hosts)
            idle = self.hosts[full:]
            for host in idle:
                self.report(host)
            self.open(FLOW._replace(port=full + 1))
            self.assertLessEqual(set(idle), set(self.asked))

    def test_balancer_that_hears_nobody_refuses_nobody(self) -> None:
        """Silence says nothing of room."""
        self.now += defaults.UNRESPONSIVE_SECONDS + 1
        for copy in range(3):
            (offer,) = self.send(SYN, ack=copy)
            self.assertIsInstance(offer, SendToAgent)
            self.now += defaults.UNRESPONSIVE_SECONDS + 0.1

    def test_other_reasons_do_not_count(self) -> None:
        """As an agent of an earlier release gives flows back."""
        self.report_full(*self.hosts)
        effects = self.send(SYN)
        for _ in range(defaults.MIN_LATE_DECLINES):
            effects = self.give_back(effects[0], room_ms=0)
        self.assertIsInstance(effects[0], SendToAgent)

    def test_without_the_feature_all_agents_are_asked(self) -> None:
        """As before."""
        self.state.features = Features()
        self.report_full(*self.hosts)
        effects = self.open()
        self.assertEqual(len(self.asked), 5)
        self.assertEqual(effects[1].name, 'reset_no_taker')


class CopyTests(AdmissionTestCase):
    """A copy of an opening packet may be of a flow that is open elsewhere."""

    def setUp(self) -> None:
        """Report long queues."""
        super().setUp()
        self.report_full(*self.hosts)

    def test_copy_without_a_first_packet_is_not_reset(self) -> None:
        """Another balancer may have offered the flow, and was answered."""
        effects = self.send(SYN, ack=1)
        while isinstance(effects[0], SendToAgent):
            effects = self.give_back(effects[0])
        self.assertEqual(effects, [Decided('no_room_for_copy')])

    def test_copy_after_a_lost_reset_is_reset_again(self) -> None:
        """This balancer refused the flow itself."""
        self.open()
        effects = self.send(SYN, ack=1)
        while isinstance(effects[0], SendToAgent):
            effects = self.give_back(effects[0])
        self.assertIsInstance(effects[0], SendReset)

    def test_copy_is_offered_though_its_caller_had_its_share(self) -> None:
        """Only an agent can tell whether it holds the flow."""
        for port in range(1, 9):
            self.send(SYN, FLOW._replace(port=port))
        for number in range(100):
            self.open(FlowName(f'100.64.2.{number + 1}', 7))
        (offer,) = self.send(SYN, FLOW._replace(port=10), ack=1)
        self.assertIsInstance(offer, SendToAgent)


class ReturnTests(AdmissionTestCase):
    """Refused callers try again, from other ports."""

    def setUp(self) -> None:
        """Refuse one."""
        super().setUp()
        self.report_full(*self.hosts)
        self.effects = self.open()
        self.now += 0.15
        self.again = FLOW._replace(port=FLOW.port + 1)

    def hear_refused(self, *callers: RefusedCaller) -> list[Any]:
        """Let another balancer tell of refused callers."""
        content = pack_refused(callers)
        told = Envelope(EnvelopeKind.REFUSED, 0, 0, 0, 0, 0, content)
        return self.take(EnvelopeArrived(self.now, OTHER_BALANCER, told))

    def test_the_next_flow_counts_as_a_retry(self) -> None:
        """Its age is that of the request."""
        self.assertEqual(self.get_age(self.again), 150)

    def test_other_balancers_are_told(self) -> None:
        """Most retries meet another one, since the routers hash the port."""
        told = self.effects[-1]
        self.assertIsInstance(told, SendToBalancers)
        expected = (RefusedCaller(FLOW.key, 0, 1),)
        self.assertEqual(unpack_refused(told.content), expected)

    def test_retry_of_another_balancer_s_caller_is_known(self) -> None:
        """Else it would take the room of somebody in time."""
        stranger = FlowName('100.64.0.8', 5)
        self.hear_refused(RefusedCaller(stranger.key, 100, 1))
        self.now += 0.1
        self.assertEqual(self.get_age(stranger._replace(port=6)), 200)

    def test_caller_that_does_not_come_back_is_soon_forgotten(self) -> None:
        """Later requests of its host are no retries."""
        self.now += defaults.REFUSED_RETRY_SECONDS
        self.take(TimerFired(self.now))
        self.assertEqual(self.get_age(self.again), 0)

    def test_after_the_last_try_nobody_is_expected(self) -> None:
        """The next request of the host is a new one."""
        for port in range(1, defaults.MAX_CALLER_TRIES):
            self.open(FLOW._replace(port=port))
            self.now += 0.15
        self.assertEqual(self.get_age(self.again), 0)

    def test_messages_are_few(self) -> None:
        """Those refused within a moment share one."""
        effects = []
        for number in range(1, 11):
            effects.extend(self.open(FlowName(f'100.64.1.{number}', 5)))
        told = [one for one in effects if isinstance(one, SendToBalancers)]
        self.assertEqual(len(told), 1)
        self.now += defaults.REFUSED_INTERVAL_SECONDS
        effects = self.take(TimerFired(self.now))
        (told,) = [one for one in effects if isinstance(one, SendToBalancers)]
        self.assertEqual(len(unpack_refused(told.content)), 9)

    def test_message_that_is_cut_is_dropped(self) -> None:
        """And counted."""
        told = Envelope(EnvelopeKind.REFUSED, 0, 0, 0, 0, 0, b'short')
        effects = self.take(EnvelopeArrived(self.now, OTHER_BALANCER, told))
        self.assertEqual(effects, [Decided('malformed_envelope')])

    def test_flood_of_refused_callers_is_bounded(self) -> None:
        """Whoever tells of them."""
        caller_waits = CallerWaits(0)
        for number in range(defaults.MAX_OPENINGS + 5):
            key = number.to_bytes(12, 'big')
            caller_waits.expect_retry(RefusedCaller(key, 0, 1), self.now)
        self.assertEqual(len(caller_waits.openings), defaults.MAX_OPENINGS)

    def test_longest_message_fits_into_a_datagram(self) -> None:
        """More callers wait for the next one."""
        rows = [
            RefusedCaller(FLOW.key, 10, 1) for _ in range(MAX_REFUSED_CALLERS)
        ]
        self.assertLessEqual(len(pack_refused(rows)), 1200)
        self.assertEqual(unpack_refused(pack_refused(rows)), tuple(rows))


class ShareTests(AdmissionTestCase):
    """One caller asks for more than the others while there is no room."""

    def press(self) -> None:
        """Refuse callers until the level is that of a single flow."""
        self.report_full(*self.hosts)
        for number in range(100):
            self.open(FlowName(f'100.64.2.{number + 1}', 7))

    def test_who_got_more_is_refused_before_others(self) -> None:
        """Without asking agents, who would take it before somebody else."""
        for port in range(1, 9):
            self.send(SYN, FLOW._replace(port=port))
        self.press()
        (reset,) = self.send(SYN, FLOW._replace(port=10))
        self.assertIsInstance(reset, SendReset)
        (offer,) = self.send(SYN, FlowName('100.64.3.1', 7))
        self.assertIsInstance(offer, SendToAgent)

    def test_refused_flows_are_nothing_that_a_caller_got(self) -> None:
        """Its next try is not behind those of others."""
        self.press()
        (offer,) = self.send(SYN, FlowName('100.64.2.1', 8))
        self.assertIsInstance(offer, SendToAgent)

    def test_other_services_have_room_of_their_own(self) -> None:
        """What one service lacks, callers of another do not pay for.

        Found with too little room at one of two services, whose kinds of
        request had the same priority: a fifth of those of the other were
        refused, though its upstreams were idle.
        """
        proof = make_upstream(9, 'proof')
        boards = [make_upstream(number) for number in range(1, 6)]
        self.change(make_catalog(3, [*boards, proof], (ROUTE, PROOF)))
        for port in range(1, 9):
            self.send(SYN, FLOW._replace(port=port, route=PROOF))
        self.press()
        flow = FLOW._replace(port=10, route=PROOF)
        (offer,) = self.send(SYN, flow)
        self.assertIsInstance(offer, SendToAgent)

    def test_without_pressure_nobody_is_refused(self) -> None:
        """A second after the last refusal."""
        for port in range(1, 9):
            self.send(SYN, FLOW._replace(port=port))
        self.press()
        self.now += defaults.PRESSURE_SECONDS
        (offer,) = self.send(SYN, FLOW._replace(port=10))
        self.assertIsInstance(offer, SendToAgent)

    def test_free_slots_raise_the_level(self) -> None:
        """So the caller is served again, though others were refused."""
        for port in range(1, 9):
            self.send(SYN, FLOW._replace(port=port))
        self.press()
        for step in range(20):
            for host in self.hosts:
                self.report(host)
            self.now += defaults.LEVEL_PAUSE_SECONDS * 1.01
            self.send(SYN, FlowName(f'100.64.4.{step + 1}', 7))
        if (
            self.now
            - self.state.caller_waits.shares.levels[QUEUE].last_pressure_at
            < 1
        ):
            self.fail('pressure must have lasted for the test to say much')
        (offer,) = self.send(SYN, FLOW._replace(port=10))
        self.assertIsInstance(offer, SendToAgent)

    def test_thousands_of_callers_take_bounded_memory(self) -> None:
        """The one that presses is never among those forgotten."""
        shares = CallerShares()
        for number in range(5 * defaults.MAX_CALLERS):
            if not number % 100:
                shares.record_offered(QUEUE, HOST, self.now)
            shares.record_offered(QUEUE, number.to_bytes(4, 'big'), self.now)
        self.assertEqual(len(shares.counts), defaults.MAX_CALLERS)
        got = 5 * defaults.MAX_CALLERS // 100
        self.assertGreater(
            shares.get_recent_flows(QUEUE, HOST, self.now), got - 1
        )


class FormatTests(AdmissionTestCase):
    """What the other side of an earlier release hears."""

    def test_offer_is_the_same_with_and_without_the_feature(self) -> None:
        """Earlier agents need to know nothing of it."""
        (offer,) = self.send(SYN)
        self.setUp()
        self.state.features = Features()
        (before,) = self.send(SYN)
        self.assertEqual(offer, before)
