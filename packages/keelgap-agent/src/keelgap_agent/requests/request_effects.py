"""Handlers of the effects on requests."""

import asyncio
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from typing import Final

from keelgap.addresses import Address
from keelgap.control.messages import Answer, Ask
from keelgap.logs import logger
from keelgap_agent import effects, events
from keelgap_agent.ports import Dispatcher
from keelgap_agent.requests.exchanges import Exchange
from keelgap_agent.requests.outcomes import Outcome, OutcomeKind, StoredAnswer
from keelgap_agent.requests.peer_requests import PeerRequest

__all__ = ('RequestEffects',)

#: Seconds past its deadline after which a keyed run is aborted.  Until then
#: its outcome is worth more than the slot that it holds.
_KEYED_GRACE_SECONDS: Final = 10.0


class RequestEffects:
    """Carry out the effects on requests."""

    def __init__(self, driver: Dispatcher) -> None:
        """Use the ports of a driver."""
        self.driver = driver
        self.exchanges: dict[int, Exchange] = {}
        #: Requests of peers in progress, by asking agent and ask id, so that a
        #: repeated ask starts no second request.
        self.peer_asks: dict[tuple[Address, int], PeerRequest] = {}
        self.runs: dict[int, asyncio.Task[Outcome]] = {}

    def start_request(self, effect: effects.StartRequest) -> None:
        """Start a task that sends a request to the upstream."""
        request_id = effect.request_id
        run = asyncio.create_task(
            self.driver.ports.upstream.run(
                self.exchanges[request_id],
                effect.deadline_seconds,
                self._compute_timeout(effect),
                self._make_head_observer(request_id),
            ),
        )
        self.runs[request_id] = run
        run.add_done_callback(partial(self._finish_run, request_id))

    def cancel_run(self, effect: effects.CancelRun) -> None:
        """Cancel the task of a request and close its upstream connection."""
        run = self.runs.get(effect.request_id)
        if run is not None:
            run.cancel()

    def answer_request(self, effect: effects.AnswerRequest) -> None:
        """Answer with a complete response."""
        exchange = self.exchanges.pop(effect.request_id, None)
        if exchange is not None:
            exchange.send_answer(effect.answer)

    def refuse_request(self, effect: effects.RefuseRequest) -> None:
        """Count a refusal and answer with its problem."""
        problem = effect.problem
        metrics = self.driver.ports.metrics
        metrics.refusals.labels(
            problem.kind.slug,
            problem.reason,
        ).inc()
        exchange = self.exchanges.pop(effect.request_id, None)
        if exchange is not None:
            exchange.refuse(problem)

    def issue_ticket(self, effect: effects.IssueTicket) -> None:
        """Answer with a ticket."""
        exchange = self.exchanges.pop(effect.request_id, None)
        if exchange is not None:
            answer = StoredAnswer(
                HTTPStatus.OK,
                ((b'content-type', b'text/plain'),),
                effect.ticket.encode(),
            )
            exchange.send_answer(answer)

    def ask_peer(self, effect: effects.AskPeer) -> None:
        """Send a request to another agent, to be run or answered there."""
        exchange = self.exchanges.get(effect.request_id)
        service = self.driver.state.service
        if exchange is None or service is None:
            return
        head = exchange.head
        body = exchange.body.get_contents() if head.portable else None
        self.driver.ports.control.send(
            effect.peer,
            Ask(
                effect.request_id,
                effect.run_only,
                service.number,
                head.method,
                head.path,
                exchange.upstream_head.headers,
                head.caller,
                head.key,
                effect.deadline_seconds,
                body,
            ),
        )

    def answer_peer(self, request: PeerRequest, answer: Answer) -> None:
        """Send the final answer of a peer's request to that peer."""
        self.peer_asks.pop((request.asker, request.ask.ask_id), None)
        self.driver.ports.control.send(request.asker, answer)

    def _finish_run(
        self,
        request_id: int,
        run: asyncio.Task[Outcome],
    ) -> None:
        """Report the outcome of a run and drop its exchange if completed."""
        self.runs.pop(request_id, None)
        finished = events.RequestFinished(
            self.driver.loop.time(),
            request_id,
            _read_outcome(run),
        )
        self.driver.dispatch(finished)
        if request_id not in self.driver.state.requests:
            self.exchanges.pop(request_id, None)

    def _make_head_observer(self, request_id: int) -> Callable[[], None]:
        """Return a function that records the seconds until the first byte."""
        loop = self.driver.loop
        histograms = self.driver.ports.metrics.histograms
        request = self.driver.state.requests[request_id]
        name = request.traffic_class.name
        observer = histograms['first_byte_seconds'].labels(name)
        started = loop.time()
        return lambda: observer.observe(loop.time() - started)

    def _compute_timeout(self, effect: effects.StartRequest) -> float | None:
        """Return the seconds that a run may take, or None for no limit.

        Runs with an Idempotency-Key get extra time after the deadline.
        """
        request = self.driver.state.requests[effect.request_id]
        if not request.traffic_class.takes_slot:
            return None
        grace = (
            _KEYED_GRACE_SECONDS if request.traffic_class.at_most_once else 0
        )
        return effect.deadline_seconds + grace


def _read_outcome(run: asyncio.Task[Outcome]) -> Outcome:
    """Return the outcome of a finished task."""
    if run.cancelled():
        # The task was cancelled before its first step: nothing was sent.
        return Outcome(OutcomeKind.CANCELLED)
    error = run.exception()
    if error is not None:
        logger.bind(error=repr(error)).error('request_run_failed')
        return Outcome(OutcomeKind.BROKEN)
    return run.result()
