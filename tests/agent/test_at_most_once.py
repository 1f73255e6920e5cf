"""A keyed request runs at most once, and "not run" is the truth."""

from typing import Any
from unittest import TestCase

from keelgap_agent import defaults
from keelgap_agent.requests.outcomes import OutcomeKind
from tests.agent.fakes import Agent, World, get_kind


class KeyedTestCase(TestCase):
    """Two agents; the first one issues the ticket."""

    def setUp(self) -> None:
        """Get a ticket on a flow at the first agent."""
        self.start(World())

    def start(self, world: World) -> None:
        """Use a world."""
        self.world = world
        self.issuer, self.other = world.agents
        for agent in world.agents:
            agent.open_flow()
        self.ticket = self.issuer.get_ticket()
        self.key = f'{self.ticket}.run-1'

    def check_answer(self, agent: Agent, request_id: int, kind: str) -> None:
        """Compare the final answer of a request."""
        answer = agent.answers.get(request_id)
        self.assertEqual(get_kind(answer) if answer else 'none', kind, answer)

    def count_runs(self, key: str | None = None) -> int:
        """Return how often a key was given to an upstream."""
        wanted = key or self.key
        return sum(agent.run_keys.count(wanted) for agent in self.world.agents)

    def get_problem(self, agent: Agent, request_id: int) -> Any:
        """Return the problem that a request got."""
        return agent.answers[request_id]


class RetryTests(KeyedTestCase):
    """Retries on other connections, through other agents."""

    def test_retry_elsewhere_waits_while_the_first_runs(self) -> None:
        """Both get the one answer."""
        first = self.issuer.submit(self.key)
        retry = self.other.submit(self.key)
        same = self.issuer.submit(self.key)
        self.check_answer(self.other, retry, 'none')
        self.issuer.finish(first)
        for agent, request_id in (
            (self.issuer, first),
            (self.other, retry),
            (self.issuer, same),
        ):
            body = f'run {first}'.encode()
            self.assertEqual(agent.answers[request_id].body, body)
        self.assertEqual(self.count_runs(), 1)

    def test_lost_answer_is_repeated_from_the_ledger(self) -> None:
        """The caller's flow ended after the run."""
        first = self.issuer.submit(self.key)
        self.issuer.cancel(first)
        self.issuer.finish(first)
        retry = self.other.submit(self.key)
        self.check_answer(self.other, retry, 'answered')
        self.assertEqual(self.count_runs(), 1)

    def test_first_attempt_elsewhere_runs_at_the_issuer(self) -> None:
        """Only the issuing incarnation runs it."""
        request_id = self.other.submit(self.key)
        self.issuer.finish(self.issuer.running[0])
        self.check_answer(self.other, request_id, 'answered')
        self.assertEqual(self.issuer.run_keys, [self.key])

    def test_body_that_cannot_be_passed_is_refused_for_ever(self) -> None:
        """The tombstone stops the same key at the issuer, too."""
        refused = self.other.submit(self.key, portable=False)
        late = self.issuer.submit(self.key)
        self.check_answer(self.other, refused, 'not-run')
        self.check_answer(self.issuer, late, 'not-run')
        self.assertEqual(self.count_runs(), 0)

    def test_upstream_that_breaks_off_is_not_tried_again(self) -> None:
        """It may have run, and every attempt is told so."""
        first = self.issuer.submit(self.key)
        self.issuer.finish(first, OutcomeKind.BROKEN)
        retry = self.other.submit(self.key)
        self.check_answer(self.issuer, first, 'upstream-failed')
        self.check_answer(self.other, retry, 'upstream-failed')
        self.assertEqual(self.count_runs(), 1)

    def test_unreachable_upstream_means_not_run(self) -> None:
        """Nothing was sent; with nobody to pass to it is buried."""
        self.start(World(agents=2))
        self.world.draining.add(1)
        self.world.publish()
        first = self.issuer.submit(self.key)
        self.issuer.finish(first, OutcomeKind.NOT_SENT)
        self.check_answer(self.issuer, first, 'not-run')
        late = self.issuer.submit(self.key)
        self.check_answer(self.issuer, late, 'not-run')

    def test_own_503_means_not_run_only_where_the_row_says_so(self) -> None:
        """Otherwise the 503 is stored as the answer."""
        first = self.issuer.submit(self.key)
        self.issuer.finish(first, status=503)
        retry = self.other.submit(self.key)
        self.assertEqual(self.other.answers[retry].status, 503)
        self.world.service = self.world.service._replace(
            unavailable_means_not_run=True,
        )
        self.world.publish()
        second = self.issuer.submit(f'{self.ticket}.run-2')
        self.issuer.finish(second, status=503)
        again = self.other.submit(f'{self.ticket}.run-2')
        self.check_answer(self.other, again, 'not-run')


class IssuerFaultTests(KeyedTestCase):
    """The issuer pauses, restarts, drains, fills up or is cut off."""

    def test_issuer_paused_for_ten_seconds_answers_when_it_wakes(self) -> None:
        """The retry waits, and it runs once."""
        request_id = self.other.submit(self.key, deadline_seconds=14)
        self.world.pause(0)
        retry = self.other.submit(f'{self.ticket}.run-2')
        self.world.pass_time(9.5)
        self.check_answer(self.other, retry, 'none')
        self.world.wake(0)
        self.world.pass_time(0.1)
        for running in tuple(self.issuer.running):
            self.issuer.finish(running)
        self.check_answer(self.other, request_id, 'answered')
        self.check_answer(self.other, retry, 'answered')
        self.assertEqual(self.count_runs(), 1)
        self.assertEqual(self.count_runs(f'{self.ticket}.run-2'), 1)

    def test_silent_issuer_that_is_listed_leaves_the_outcome_pending(
        self,
    ) -> None:
        """It may come back: ask again, and it is not said to be unknown."""
        self.world.pause(0)
        request_id = self.other.submit(self.key)
        self.world.pass_time(10.1)
        self.check_answer(self.other, request_id, 'outcome-pending')
        problem = self.get_problem(self.other, request_id)
        self.assertIsNotNone(problem.retry_after)

    def test_issuer_that_is_gone_leaves_the_outcome_unknown(self) -> None:
        """Never "not run", and nobody runs it."""
        self.world.cut.add(frozenset((0, 1)))
        self.world.unlisted.add(0)
        self.world.publish()
        request_id = self.other.submit(self.key)
        self.world.pass_time(10.1)
        self.check_answer(self.other, request_id, 'outcome-unknown')
        self.assertEqual(self.count_runs(), 0)

    def test_restarted_issuer_does_not_know(self) -> None:
        """The ledger died with the incarnation."""
        first = self.issuer.submit(self.key)
        self.issuer.finish(first)
        self.world.restart(0)
        restarted = self.world.agents[0]
        restarted.open_flow()
        for agent in self.world.agents:
            request_id = agent.submit(self.key)
            self.check_answer(agent, request_id, 'outcome-unknown')
        self.assertEqual(restarted.run_keys, [])

    def test_draining_issuer_starts_nothing_and_repeats_answers(self) -> None:
        """With nobody to pass to, a new key is refused for ever."""
        first = self.issuer.submit(self.key)
        self.issuer.finish(first)
        self.world.draining = {0}
        self.world.publish()
        self.world.cut.add(frozenset((0, 1)))
        new = self.issuer.submit(f'{self.ticket}.new', portable=False)
        self.check_answer(self.issuer, new, 'not-run')
        self.world.cut.clear()
        retry = self.other.submit(self.key)
        self.check_answer(self.other, retry, 'answered')
        late = self.other.submit(f'{self.ticket}.new')
        self.check_answer(self.other, late, 'not-run')

    def test_full_ledger_refuses_before_it_forgets(self) -> None:
        """What it refused stays refused when there is room again."""
        self.issuer.state.ledger.capacity = 1
        first = self.issuer.submit(self.key)
        self.issuer.finish(first)
        refused = self.issuer.submit(f'{self.ticket}.run-2')
        self.check_answer(self.issuer, refused, 'not-run')
        no_ticket = self.issuer.request('/.well-known/keelgap/ticket')
        self.check_answer(self.issuer, no_ticket, 'ledger-full')
        self.issuer.state.ledger.capacity = 10
        late = self.issuer.submit(f'{self.ticket}.run-2')
        self.check_answer(self.issuer, late, 'not-run')
        retry = self.issuer.submit(self.key)
        self.check_answer(self.issuer, retry, 'answered')
        fresh = self.issuer.submit(f'{self.issuer.get_ticket()}.run-2')
        self.issuer.finish(fresh)
        self.check_answer(self.issuer, fresh, 'answered')

    def test_ledger_entries_outlive_their_tickets(self) -> None:
        """An expired ticket starts nothing, but its answer is repeated."""
        first = self.issuer.submit(self.key)
        self.issuer.finish(first)
        self.world.now += defaults.TICKET_LIFETIME_SECONDS + 1
        self.world.pass_time(0.1)
        retry = self.issuer.submit(self.key)
        self.check_answer(self.issuer, retry, 'answered')
        new = self.issuer.submit(f'{self.ticket}.new')
        self.check_answer(self.issuer, new, 'ticket-expired')
        self.world.now += defaults.LEDGER_RETENTION_SECONDS
        self.world.pass_time(0.1)
        self.assertEqual(self.issuer.state.ledger.entries, {})
        self.assertEqual(self.count_runs(), 1)

    def test_repeated_asks_start_one_run(self) -> None:
        """The asker repeats its question; the key is run once."""
        request_id = self.other.submit(self.key)
        self.world.pass_time(5)
        self.issuer.finish(self.issuer.running[0])
        self.check_answer(self.other, request_id, 'answered')
        self.assertEqual(self.count_runs(), 1)


class CancellationTests(KeyedTestCase):
    """A cancellation finds a request before its start, or after it."""

    def fill_slots(self) -> None:
        """Keep both slots busy, with nobody to pass requests to."""
        self.world.cut.add(frozenset((0, 1)))
        for number in range(2):
            self.issuer.submit(f'{self.ticket}.fill-{number}', portable=False)

    def test_cancelled_before_its_start_it_never_runs(self) -> None:
        """A late copy of the request is refused."""
        self.fill_slots()
        waiting = self.issuer.submit(self.key, portable=False)
        self.issuer.cancel(waiting)
        for running in tuple(self.issuer.running):
            self.issuer.finish(running)
        late = self.issuer.submit(self.key)
        self.check_answer(self.issuer, late, 'not-run')
        self.assertEqual(self.count_runs(), 0)

    def test_cancelled_after_its_start_it_runs_to_its_end(self) -> None:
        """A retry gets the answer."""
        first = self.issuer.submit(self.key)
        self.issuer.cancel(first)
        self.assertEqual(self.issuer.running, [first])
        self.issuer.finish(first)
        retry = self.issuer.submit(self.key)
        self.check_answer(self.issuer, retry, 'answered')

    def test_cancelled_first_attempt_still_serves_a_waiting_retry(self) -> None:
        """The retry's caller still wants it."""
        self.fill_slots()
        waiting = self.issuer.submit(self.key, portable=False)
        retry = self.issuer.submit(self.key)
        self.issuer.cancel(waiting)
        for running in tuple(self.issuer.running):
            self.issuer.finish(running)
        self.issuer.finish(self.issuer.running[0])
        self.check_answer(self.issuer, retry, 'answered')
        self.assertEqual(self.count_runs(), 1)

    def test_cancelled_waiter_is_forgotten(self) -> None:
        """It gets no second answer later."""
        first = self.issuer.submit(self.key)
        retry = self.issuer.submit(self.key)
        self.issuer.cancel(retry)
        self.issuer.finish(first)
        self.check_answer(self.issuer, retry, 'none')


class TicketTests(KeyedTestCase):
    """Tickets that must not be honoured."""

    def test_missing_malformed_and_forged_keys_are_told_apart(self) -> None:
        """Each problem says what to do."""
        forged = f'{self.ticket[:-2]}AA.run'
        cases = (
            (None, 'ticket-required'),
            ('short.key', 'malformed-key'),
            (f'{self.ticket}.', 'malformed-key'),
            (f'{self.ticket}.{"x" * 65}', 'malformed-key'),
            (forged, 'ticket-refused'),
        )
        for key, kind in cases:
            request_id = self.issuer.submit(key)
            self.check_answer(self.issuer, request_id, kind)
        self.assertEqual(self.issuer.run_keys, [])

    def test_ticket_of_another_caller_is_refused(self) -> None:
        """Knowing a key is not enough to read its answer."""
        first = self.issuer.submit(self.key)
        self.issuer.finish(first)
        thief = self.other.submit(self.key, caller=b'caller-b')
        self.check_answer(self.other, thief, 'ticket-refused')

    def test_ticket_of_another_service_is_refused(self) -> None:
        """The number of the service stands in the ticket."""
        self.world.service = self.world.service._replace(number=2)
        state = self.issuer.state
        state.service = self.world.service
        request_id = self.issuer.submit(self.key)
        self.check_answer(self.issuer, request_id, 'ticket-refused')
