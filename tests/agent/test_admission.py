"""Slots, queue, classes, hand-over, drain and placement of flows."""

from typing import Any
from unittest import TestCase

from keelgap.addresses import Address
from keelgap_agent import events
from keelgap_agent.requests.outcomes import OutcomeKind
from tests.agent.fakes import World, get_kind
from tests.effects import typed


class AgentTestCase(TestCase):
    """One agent of two, with two slots and a queue of three."""

    def setUp(self) -> None:
        """Open a flow at each agent; they cannot reach each other."""
        self.world = World()
        self.agent, self.other = self.world.agents
        self.agent.open_flow()
        self.other.open_flow()
        self.world.cut.add(frozenset((0, 1)))

    def get_reason(self, request_id: int) -> str:
        """Return why a request was refused."""
        reason: str = self.agent.answers[request_id].reason
        return reason

    def request(self, path: str = '/page', **head: Any) -> int:
        """Have a request arrive that cannot be passed on."""
        return self.agent.request(path, portable=False, **head)


class AdmissionTests(AgentTestCase):
    """Who starts, who waits, who is refused."""

    def test_slots_bound_what_runs(self) -> None:
        """A free slot is given to the first who waits."""
        first, second, third = (self.request() for _ in range(3))
        self.assertEqual(self.agent.running, [first, second])
        self.agent.finish(first)
        self.assertEqual(self.agent.running, [second, third])

    def test_long_streams_take_no_slot(self) -> None:
        """Feeds do not keep submissions out."""
        for _ in range(10):
            self.request('/feed')
        submission = self.request()
        self.assertIn(submission, self.agent.running)

    def test_important_class_starts_first_and_displaces(self) -> None:
        """Submissions go before pages when the queue is full."""
        ticket = self.agent.get_ticket()
        running = [self.request() for _ in range(2)]
        pages = [self.request() for _ in range(3)]
        head = {'key': f'{ticket}.a', 'portable': False}
        submission = self.agent.submit(**head)
        self.assertEqual(self.get_reason(pages[-1]), 'displaced')
        self.agent.finish(running[0])
        self.assertIn(submission, self.agent.running)

    def test_full_queue_refuses_at_once_with_a_hint(self) -> None:
        """The final answer is not held back."""
        for _ in range(5):
            self.request()
        refused = self.request()
        problem = self.agent.answers[refused]
        self.assertEqual(problem.reason, 'queue_full')
        self.assertGreater(problem.retry_after, 0)

    def test_hints_grow_while_refusals_go_on(self) -> None:
        """Callers are spread out by backoff and jitter."""
        for _ in range(5):
            self.request()
        hints = [
            self.agent.answers[self.request()].retry_after for _ in range(80)
        ]
        self.assertGreater(min(hints[-8:]), max(hints[:8]))
        self.assertGreater(len(set(hints)), 70)

    def test_expired_request_is_refused_when_its_deadline_passes(self) -> None:
        """Not later, and it never starts."""
        running = [self.request() for _ in range(2)]
        waiting = self.request(deadline_seconds=1)
        self.world.pass_time(1.1)
        self.assertEqual(self.get_reason(waiting), 'deadline')
        self.agent.finish(running[0])
        self.assertNotIn(waiting, self.agent.started)

    def test_request_that_cannot_make_its_deadline_is_shed_early(self) -> None:
        """The estimated wait decides, before the time is wasted."""
        self.agent.state.service_seconds = 2
        for _ in range(2):
            self.request()
        shed = self.request(deadline_seconds=0.5)
        self.assertEqual(self.get_reason(shed), 'deadline_too_near')

    def test_cancelled_request_leaves_the_queue(self) -> None:
        """It does not start."""
        running = [self.request() for _ in range(2)]
        waiting = self.request()
        self.agent.cancel(waiting)
        self.agent.finish(running[0])
        self.assertEqual(self.agent.running, [running[1]])

    def test_cancelled_run_frees_its_slot(self) -> None:
        """The upstream is told, and the next one starts."""
        running = [self.request() for _ in range(2)]
        waiting = self.request()
        self.agent.cancel(running[0])
        self.assertEqual(self.agent.running, [running[1], waiting])
        self.assertEqual(self.agent.state.busy, 2)

    def test_cold_start_ramps_slots(self) -> None:
        """An instance that started just now runs one at a time."""
        world = World(slots=4, cold_start_seconds=10)
        agent = world.agents[0]
        self.assertEqual(agent.state.count_slots(world.now), 1)
        self.assertEqual(agent.state.count_slots(world.now + 5), 2)
        self.assertEqual(agent.state.count_slots(world.now + 10), 4)


class HandOverTests(AgentTestCase):
    """A request that has not started may go to another agent, once."""

    def setUp(self) -> None:
        """Let the agents reach each other."""
        super().setUp()
        self.world.cut.clear()
        for _ in range(2):
            self.request()

    def test_busy_agent_passes_a_request_on(self) -> None:
        """The answer comes back through the first agent."""
        request_id = self.agent.request()
        self.other.finish(self.other.running[0])
        self.assertEqual(get_kind(self.agent.answers[request_id]), 'answered')

    def test_busy_peer_leaves_it_in_the_own_queue(self) -> None:
        """It is not passed on a second time."""
        for _ in range(2):
            self.other.request(portable=False)
        request_id = self.agent.request()
        self.assertEqual(len(self.agent.state.queue), 1)
        self.agent.finish(self.agent.running[0])
        self.assertIn(request_id, self.agent.running)

    def test_retry_budget_bounds_what_is_passed_on(self) -> None:
        """A share of first attempts, not all of an overload."""
        self.agent.state.handover_budget = 0
        passed = 0
        for _ in range(100):
            self.agent.request()
            passed += len(self.other.running)
            for running in tuple(self.other.running):
                self.other.finish(running)
        self.assertEqual(passed, 20)

    def test_silent_runner_of_an_unsafe_request_is_not_replaced(self) -> None:
        """It may have started there."""
        self.world.pause(1)
        request_id = self.agent.request(method='POST')
        self.world.pass_time(6.5)
        kind = get_kind(self.agent.answers[request_id])
        self.assertEqual(kind, 'upstream-failed')

    def test_silent_runner_of_a_safe_request_is_replaced(self) -> None:
        """A GET may run twice, so its caller need not wait."""
        self.world.pause(1)
        request_id = self.agent.request()
        self.world.pass_time(1.2)
        self.agent.finish(self.agent.running[0])
        self.assertIn(request_id, self.agent.running)

    def test_keyed_request_passed_on_runs_once(self) -> None:
        """The issuer keeps the ledger while the other runs it."""
        key = f'{self.agent.get_ticket()}.a'
        first = self.agent.submit(key)
        retry = self.other.submit(key)
        self.other.finish(self.other.running[0])
        for agent, request_id in ((self.agent, first), (self.other, retry)):
            self.assertEqual(get_kind(agent.answers[request_id]), 'answered')
        self.assertEqual(self.other.run_keys + self.agent.run_keys[2:], [key])

    def test_answer_for_an_earlier_incarnation_is_not_taken(self) -> None:
        """A restarted asker must not hand it to another caller."""
        self.agent.request('/page?of=first')
        self.world.restart(0)
        restarted = self.world.agents[0]
        restarted.open_flow()
        for _ in range(2):
            restarted.request(portable=False)
        second = restarted.request('/page?of=second')
        first_run = self.other.running[0]
        self.assertEqual(self.other.heads[first_run].path, '/page?of=first')
        self.other.finish(first_run)
        self.assertNotIn(second, restarted.answers)
        self.other.finish(self.other.running[0])
        self.assertEqual(get_kind(restarted.answers[second]), 'answered')

    def test_unreachable_upstream_gets_no_new_work(self) -> None:
        """After three refused connections requests go elsewhere."""
        for running in tuple(self.agent.running):
            self.agent.finish(running, OutcomeKind.NOT_SENT)
        third = self.request()
        self.agent.finish(third, OutcomeKind.NOT_SENT)
        elsewhere = self.agent.request()
        self.assertNotIn(elsewhere, self.agent.started)
        self.world.pass_time(1.1)
        tried = self.request()
        self.assertIn(tried, self.agent.started)


class DrainTests(AgentTestCase):
    """All four reasons to leave, and what stays whole."""

    def check_leaving(self) -> None:
        """No new work is taken, and what runs goes on."""
        self.assertTrue(self.agent.state.is_leaving)
        refused = self.request()
        self.assertEqual(self.get_reason(refused), 'leaving')

    def test_row_list_upstream_and_signal_each_make_it_leave(self) -> None:
        """Each alone is enough, at once."""
        now = self.world.now
        triggers: tuple[Any, ...] = (
            events.UpstreamStateRead(now, draining=True),
            events.StopRequested(now),
        )
        for trigger in triggers:
            self.setUp()
            self.agent.feed(trigger)
            self.check_leaving()
        self.setUp()
        self.world.draining = {0}
        self.world.publish()
        self.check_leaving()

    def test_callers_are_told_and_idle_flows_end(self) -> None:
        """Flows with a request stay until it ends."""
        self.agent.open_flow(2)
        upload = self.request('/feed', flow_id=2)
        emitted = self.agent.feed(events.StopRequested(self.world.now))
        self.assertIn(('StopNewRequests',), typed(emitted))
        self.world.pass_time(1.1)
        self.assertIn(('EndFlow', 1), typed(self.agent.emitted))
        self.assertNotIn(('EndFlow', 2), typed(self.agent.emitted))
        self.agent.finish(upload)
        self.world.pass_time(0.1)
        self.assertIn(('EndFlow', 2), typed(self.agent.emitted))

    def test_idle_flows_stay_until_callers_know(self) -> None:
        """A request on its way when the flow closed was lost in the demo."""
        self.agent.feed(events.StopRequested(self.world.now))
        self.world.pass_time(0.9)
        late = self.request()
        self.assertNotIn(('EndFlow', 1), typed(self.agent.emitted))
        self.assertEqual(self.get_reason(late), 'leaving')
        self.world.pass_time(0.2)
        ends = typed(self.agent.emitted).count(('EndFlow', 1))
        self.assertEqual(ends, 1)

    def test_waiting_requests_find_a_place_elsewhere(self) -> None:
        """What has not started is passed on, not dropped."""
        for _ in range(2):
            self.request()
        waiting = self.agent.request()
        self.world.pass_time(1.5)
        self.world.cut.clear()
        request = self.agent.state.requests[waiting]
        request.was_passed_on = False
        self.agent.feed(events.StopRequested(self.world.now))
        self.assertEqual(len(self.other.running), 1)

    def test_it_exits_when_the_last_flow_has_ended(self) -> None:
        """And not before."""
        feed = self.request('/feed')
        self.agent.feed(events.StopRequested(self.world.now))
        self.world.pass_time(30)
        self.assertNotIn(('Exit',), typed(self.agent.emitted))
        self.agent.finish(feed)
        self.agent.feed(events.FlowClosed(self.world.now, 1))
        self.world.pass_time(0.1)
        self.assertIn(('Exit',), typed(self.agent.emitted))

    def test_it_stays_for_late_retries_if_its_ledger_holds_any(self) -> None:
        """A caller whose answer was lost can still ask."""
        key = f'{self.agent.get_ticket()}.a'
        self.agent.finish(self.agent.submit(key))
        self.agent.feed(events.StopRequested(self.world.now))
        self.agent.feed(events.FlowClosed(self.world.now, 1))
        self.world.pass_time(1)
        self.assertNotIn(('Exit',), typed(self.agent.emitted))
        self.world.pass_time(1.2)
        self.assertIn(('Exit',), typed(self.agent.emitted))

    def test_taking_the_drain_back_lets_it_work_again(self) -> None:
        """Operators may change their minds."""
        self.world.draining = {0}
        self.world.publish()
        self.world.draining = set()
        self.world.publish()
        self.agent.open_flow(2)
        request_id = self.request(flow_id=2)
        self.assertIn(request_id, self.agent.running)


class PlacementTests(AgentTestCase):
    """The first candidate decides on its own truth."""

    candidates = (
        Address('127.0.0.21', 7001),
        Address('127.0.0.22', 7001),
        Address('127.0.0.23', 7001),
    )

    def offer(
        self,
        turn: int = 0,
        **changes: Any,
    ) -> list[tuple[Any, ...]]:
        """Offer a flow and return the effects."""
        event = events.FlowOffered(
            self.world.now,
            b'dcid',
            1,
            self.candidates,
            turn,
            0,
        )
        return typed(self.agent.feed(event._replace(**changes)))

    def test_idle_agent_takes_the_flow(self) -> None:
        """That is the common case."""
        self.assertEqual(self.offer(), [('TakeFlow',)])

    def test_flow_of_another_service_is_dropped(self) -> None:
        """The third check, after port and connection id."""
        dropped = [('Drop', 'foreign_service')]
        self.assertEqual(self.offer(service=2), dropped)

    def test_busy_agent_passes_on_and_remembers(self) -> None:
        """Later datagrams of the handshake follow, even when it is idle."""
        running = [self.request() for _ in range(2)]
        passed = ('PassFlow', self.candidates[1], 1)
        self.assertEqual(self.offer()[0], passed)
        for request_id in running:
            self.agent.finish(request_id)
        self.assertEqual(self.offer(), [passed])
        self.world.pass_time(11)
        self.assertEqual(self.offer(), [('TakeFlow',)])

    def test_last_candidate_takes_a_flow_though_its_slots_are_busy(
        self,
    ) -> None:
        """Requests may wait; a refused flow cannot."""
        for _ in range(2):
            self.request()
        self.assertEqual(self.offer(turn=2), [('TakeFlow',)])

    def test_last_candidate_that_is_leaving_or_full_refuses(self) -> None:
        """The caller learns it at once."""
        self.agent.state.row = self.agent.state.row._replace(connections=1)
        self.assertEqual(self.offer(turn=2)[0], ('RefuseFlow',))
        self.setUp()
        self.agent.feed(events.StopRequested(self.world.now))
        self.assertEqual(self.offer(turn=2)[0], ('RefuseFlow',))

    def test_many_handshakes_lead_to_address_validation(self) -> None:
        """A validated caller is taken."""
        challenged = self.offer(handshakes=64)[0]
        self.assertEqual(challenged, ('ChallengeFlow',))
        taken = self.offer(handshakes=64, validated=True)
        self.assertEqual(taken, [('TakeFlow',)])
