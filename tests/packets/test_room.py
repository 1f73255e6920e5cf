"""What an agent refuses because its answer would come too late."""

from typing import Any

from keelgap.packets.envelopes import CallerWait, EnvelopeKind
from keelgap.packets.features import Features
from keelgap_agent.packets import defaults as agent_defaults
from keelgap_agent.packets.capacity import defaults
from keelgap_agent.packets.effects import SendToPeer, SendToUpstream
from keelgap_agent.packets.events import TimerFired
from keelgap_agent.packets.state import AgentState
from tests.packets.building import ACK, FORMAT, make_packet
from tests.packets.test_agent import FLOW, AgentTestCase

#: Seconds that each request takes at the upstream's single slot.
WORK = 0.02
AIM_MS = 200
PATIENCE_MS = 2500
FIRST_TRY = CallerWait(0, PATIENCE_MS, PATIENCE_MS)
#: The upstream works on one and has one more in its own queue.
AT_WORK = 2


class RoomTestCase(AgentTestCase):
    """An agent of an upstream with one slot, whose pace is known."""

    def setUp(self) -> None:
        """Let the upstream answer at its pace."""
        super().setUp()
        features = Features(admission=True)
        self.state = AgentState(FORMAT, 'board', self.now, features=features)
        for port in range(1, defaults.MIN_RESPONSES + 4):
            self.ask(port)
        for port in range(1, defaults.MIN_RESPONSES + 4):
            self.now += WORK
            self.answer(port)
        self.port = 100

    def offer(self, port: int, **fields: Any) -> Any:
        """Let a balancer offer a flow; return what it is answered with."""
        usual = {'slots': 1, 'left_ms': AIM_MS, 'wait': FIRST_TRY}
        (effect,) = self.open(port, **(usual | fields))
        return effect

    def ask(self, port: int, **fields: Any) -> bool:
        """Offer a flow and send its request; return whether it is taken."""
        effect = self.offer(port, **fields)
        if isinstance(effect, SendToPeer):
            self.assertEqual(effect.envelope.kind, EnvelopeKind.MISS)
            return False
        flow = FLOW._replace(port=port)
        request = make_packet(flow, ACK, seq=2, data=b'GET / HTTP/1.1\r\n')
        self.hear(EnvelopeKind.FORWARD, request)
        return True

    def answer(self, port: int) -> list[int]:
        """Let the upstream answer; return ports passed on thereby."""
        effects = self.serve(port, data=b'HTTP/1.1 200 OK\r\n')
        return [
            int.from_bytes(FORMAT.caller_key(effect.datagram)[4:6], 'little')
            for effect in effects
            if isinstance(effect, SendToUpstream)
        ]

    def fill(self, **fields: Any) -> int:
        """Ask until somebody is refused; return how many were taken."""
        taken = 0
        while self.ask(self.port, **fields):
            self.port += 1
            taken += 1
        return taken

    def pass_time(self, seconds: float) -> None:
        """Go on without an outage: flows were asked for all the while."""
        self.now += seconds
        self.state.last_opening_at = self.now

    def overload(self, priority: int = 0) -> None:
        """Let much more be asked for than can be done, for a while."""
        for _ in range(round(defaults.LOAD_WINDOW_SECONDS / WORK)):
            self.now += WORK
            for _ in range(3):
                self.state.capacity.record_admitted(priority, self.now)
        self.pass_time(0)


class RefusalTests(RoomTestCase):
    """Lasting overload: more is asked for than can ever be answered."""

    def test_pace_is_that_of_answers_without_a_pause(self) -> None:
        """Pauses without work say nothing of it."""
        self.assertAlmostEqual(self.state.capacity.response_interval, WORK)
        self.now += 10
        self.ask(50)
        self.now += WORK
        self.answer(50)
        self.assertAlmostEqual(self.state.capacity.response_interval, WORK)

    def test_who_can_be_in_time_is_taken(self) -> None:
        """Eight answers of 20 ms fit into 200 ms, after the margin."""
        self.overload()
        taken = self.fill()
        answers_in_time = AIM_MS / 1000 / WORK
        self.assertLessEqual(taken, answers_in_time)
        self.assertGreaterEqual(taken, answers_in_time - AT_WORK)

    def test_refusal_comes_with_the_opening_packet(self) -> None:
        """The upstream has not seen the flow, so it did not run."""
        self.overload()
        self.fill()
        miss = self.offer(self.port)
        self.assertEqual(miss.envelope.kind, EnvelopeKind.MISS)
        self.assertNotIn(FLOW._replace(port=self.port).key, self.state.flows)

    def test_refusal_says_when_there_is_room(self) -> None:
        """In the envelope's time left, which earlier releases ignore."""
        self.overload()
        taken = self.fill()
        miss = self.offer(self.port)
        self.assertAlmostEqual(
            miss.envelope.left_ms,
            taken * WORK * 1000,
            delta=WORK * 1000,
        )

    def test_who_was_refused_before_may_use_the_margin(self) -> None:
        """A small reserve for those who come back."""
        self.overload()
        self.fill()
        retry = CallerWait(defaults.RETRY_AGE_MS, PATIENCE_MS, PATIENCE_MS)
        self.assertTrue(self.ask(self.port, wait=retry))

    def test_urgent_request_is_taken_among_less_urgent_ones(self) -> None:
        """Those that it goes before do not count."""
        self.overload(priority=2)
        self.fill(priority=2)
        self.assertTrue(self.ask(self.port + 1, priority=1))

    def test_less_urgent_ones_expect_to_be_overtaken(self) -> None:
        """Where urgent ones take all room there is none for them."""
        self.overload()
        self.ask(90)
        self.ask(91)
        self.ask(92)
        self.assertFalse(self.ask(93, priority=1))


class NoRefusalTests(RoomTestCase):
    """Nobody is refused who may be served."""

    def test_burst_after_little_load_waits(self) -> None:
        """Late answers are better than none where room is to come."""
        self.pass_time(defaults.LOAD_WINDOW_SECONDS)
        taken = self.fill()
        patience = PATIENCE_MS / 1000 / WORK
        self.assertGreater(taken, patience)
        self.assertLess(taken, patience * (defaults.LATE_EXCESS_FACTOR + 1))

    def test_idle_upstream_takes_who_is_late_already(self) -> None:
        """Nobody else would use its room."""
        self.overload()
        self.assertTrue(self.ask(90, left_ms=-100))

    def test_who_waits_since_an_outage_is_taken(self) -> None:
        """It never had a chance before."""
        self.overload()
        self.now += agent_defaults.OUTAGE_PAUSE_SECONDS + 0.1
        taken = self.fill()
        self.assertEqual(taken, agent_defaults.MAX_QUEUED_PER_SLOT + AT_WORK)

    def test_unknown_pace_refuses_nobody(self) -> None:
        """An agent that began a moment ago knows nothing of waits."""
        features = Features(admission=True)
        self.state = AgentState(FORMAT, 'board', self.now, features=features)
        self.assertTrue(all(self.ask(port) for port in range(1, 250)))

    def test_half_open_flows_count_for_a_moment_only(self) -> None:
        """A flood of opening packets takes no room from others."""
        self.overload()
        while isinstance(self.offer(self.port), SendToUpstream):
            self.port += 1
        self.now += defaults.HANDSHAKE_SECONDS
        self.assertTrue(self.ask(self.port + 1))

    def test_without_the_feature_nobody_is_refused(self) -> None:
        """As before, whoever waits."""
        self.overload()
        self.state.features = Features()
        self.assertTrue(all(self.ask(port) for port in range(300, 500)))


class OrderTests(RoomTestCase):
    """Who goes next while others are refused."""

    def setUp(self) -> None:
        """Fill the queue until somebody is refused."""
        super().setUp()
        self.overload()
        self.first = self.port
        self.fill()

    def test_who_was_taken_first_goes_first(self) -> None:
        """Equals that come later do not make it late."""
        self.now += WORK
        self.assertEqual(self.answer(self.first), [self.first + AT_WORK])

    def test_late_one_that_is_about_to_leave_goes_first(self) -> None:
        """It was not refused, so it gets an answer."""
        late = self.first + AT_WORK + 3
        key = FLOW._replace(port=late).key
        self.state.queued[key] = self.state.queued[key]._replace(
            deadline=self.now,
            latest_departure=self.now + agent_defaults.LAST_CHANCE_SECONDS,
        )
        self.now += WORK
        self.assertEqual(self.answer(self.first), [late])

    def test_a_second_after_the_last_refusal_all_is_as_before(self) -> None:
        """The latest goes first, so that most are in time."""
        self.pass_time(defaults.OVERLOAD_SECONDS + 0.01)
        self.take(TimerFired(self.now))
        self.ask(self.port + 1, left_ms=1000)
        self.assertEqual(self.answer(self.first), [self.port + 1])
