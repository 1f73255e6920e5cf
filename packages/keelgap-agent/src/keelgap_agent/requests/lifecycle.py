"""The lifecycle of a request, from its arrival to its final answer."""

from typing import Final

from keelgap_agent import defaults
from keelgap_agent.effects import AgentEffect, CancelRun, Count, Observe
from keelgap_agent.events import (
    PeerAnswered,
    PeerAsked,
    RequestArrived,
    RequestCancelled,
    RequestFinished,
    RequestHead,
)
from keelgap_agent.requests.admission import (
    admit,
    pass_to_peer,
    release_slot,
    start_queued,
)
from keelgap_agent.requests.completion import (
    answer_all,
    complete_without_answer,
    refuse,
    refuse_all,
    remove_from_flow,
)
from keelgap_agent.requests.keyed import admit_keyed, issue_ticket
from keelgap_agent.requests.ledger import EntryState
from keelgap_agent.requests.outcomes import Outcome, OutcomeKind, StoredAnswer
from keelgap_agent.requests.problems import NOT_RUN, UPSTREAM_FAILED, Problem
from keelgap_agent.state import AgentState, Phase, Request, match_class

__all__ = (
    'TICKET_PATH',
    'handle_arrival',
    'handle_peer_ask',
    'handle_cancellation',
    'record_outcome',
    'abandon_silent_peers',
    'handle_peer_answer',
)

Effects = tuple[AgentEffect, ...]

#: Path from which callers fetch one ticket per connection.
TICKET_PATH: Final = '/.well-known/keelgap/ticket'
_SAFE_METHODS: Final = frozenset(('GET', 'HEAD', 'OPTIONS'))
_SERVICE_UNAVAILABLE: Final = 503


def handle_arrival(state: AgentState, event: RequestArrived) -> Effects:
    """Handle the arrival of a caller's request."""
    request = _make_request(state, event, event.flow_id)
    state.flows[event.flow_id] = state.flows.get(event.flow_id, 0) + 1
    state.handover_budget = min(
        state.handover_budget + defaults.HANDOVER_BUDGET_RATIO,
        defaults.MAX_HANDOVER_BUDGET,
    )
    if event.head.path == TICKET_PATH:
        return issue_ticket(state, request, event.head, event.now)
    if request.traffic_class.at_most_once:
        return admit_keyed(state, request, event.head, event.now)
    return admit(state, request, event.now)


def handle_peer_ask(state: AgentState, event: PeerAsked) -> Effects:
    """Handle a request that another agent passes on or asks about."""
    request = _make_request(state, event, None)
    request.run_only = event.run_only
    if event.run_only:
        return admit(state, request, event.now)
    return admit_keyed(state, request, event.head, event.now)


def _make_request(
    state: AgentState,
    event: RequestArrived | PeerAsked,
    flow_id: int | None,
) -> Request:
    """Create and store the state of a request that arrived."""
    head: RequestHead = event.head
    traffic_class = match_class(state.service, head.method, head.path)
    request = Request(event.request_id, flow_id, traffic_class, event.now)
    if head.deadline_seconds is not None:
        request.deadline_at = min(
            request.deadline_at,
            event.now + head.deadline_seconds,
        )
    request.portable = head.portable and traffic_class.takes_slot
    request.is_safe = head.method in _SAFE_METHODS
    state.requests[event.request_id] = request
    return request


def handle_cancellation(state: AgentState, event: RequestCancelled) -> Effects:
    """Drop or abort a request, unless its outcome is still needed.

    A keyed request that has started, or for which other attempts wait, runs
    to its end.  The reducer handles events one at a time, so a cancellation
    is handled either before the start of its request or after it.
    """
    request = state.requests.get(event.request_id)
    if request is None or request.detached:
        return ()
    if (
        request.phase is Phase.WAITING_FOR_OUTCOME
        or request.phase is Phase.ASKING_ISSUER
    ):
        _stop_waiting(state, request)
        complete_without_answer(state, request.request_id)
        return ()
    if request.key is not None:
        return _cancel_keyed_request(state, request)
    if request.phase is Phase.RUNNING:
        request.detached = True
        remove_from_flow(state, request)
        return (CancelRun(request.request_id),)
    _leave_queue(state, request)
    complete_without_answer(state, request.request_id)
    return ()


def _cancel_keyed_request(state: AgentState, request: Request) -> Effects:
    """Cancel a queued request, unless other attempts wait for its outcome.

    A cancelled request is recorded as never to be run.  Any other one goes on
    without its caller.
    """
    entry = state.ledger.find(request.key) if request.key else None
    has_waiters = entry is not None and entry.waiters
    if request.phase is Phase.QUEUED and request.key and not has_waiters:
        _leave_queue(state, request)
        state.ledger.record_tombstone(request.key, request.key_expires_at)
        complete_without_answer(state, request.request_id)
        return (Count('keyed_cancelled_before_start'),)
    request.detached = True
    remove_from_flow(state, request)
    return ()


def _leave_queue(state: AgentState, request: Request) -> None:
    """Remove a request from the queue if it is queued."""
    if request in state.queue:
        state.queue.remove(request)


def _stop_waiting(state: AgentState, request: Request) -> None:
    """Remove a request from those that wait for the outcome of its key."""
    entry = state.ledger.find(request.key) if request.key else None
    if entry is not None and request.request_id in entry.waiters:
        entry.waiters.remove(request.request_id)


def record_outcome(state: AgentState, event: RequestFinished) -> Effects:
    """Record how a started request ended, and start queued requests."""
    request = state.requests.get(event.request_id)
    if request is None:
        return ()
    release_slot(state, request, event.now)
    _record_upstream_result(state, event.outcome.kind, event.now)
    observation = Observe(
        'request_seconds',
        request.traffic_class.name,
        event.now - request.arrived_at,
    )
    return (
        observation,
        *_conclude(state, request, event.outcome, event.now),
        *start_queued(state, event.now),
    )


def _record_upstream_result(
    state: AgentState, kind: OutcomeKind, now: float
) -> None:
    """Record whether the upstream was reachable.

    If nothing could be sent, it counts as down for some seconds.
    """
    if kind is OutcomeKind.NOT_SENT:
        state.consecutive_failures += 1
        state.down_until = now + defaults.UPSTREAM_DOWN_SECONDS
    elif kind is OutcomeKind.ANSWERED:
        state.consecutive_failures = 0


def _conclude(
    state: AgentState,
    request: Request,
    outcome: Outcome,
    now: float,
) -> Effects:
    """Answer, pass on or refuse a request according to how its run ended."""
    if outcome.kind is OutcomeKind.ANSWERED:
        return _conclude_answered(state, request, outcome.answer)
    if outcome.kind is OutcomeKind.NOT_SENT:
        passed_on = pass_to_peer(state, request, now)
        return passed_on or refuse(state, request, 'upstream_unreachable', 0)
    if outcome.kind is OutcomeKind.CANCELLED and request.key is None:
        complete_without_answer(state, request.request_id)
        return ()
    return _conclude_broken(state, request, 'broke_off')


def _conclude_answered(
    state: AgentState,
    request: Request,
    answer: StoredAnswer | None,
) -> Effects:
    """Record a streamed answer and repeat it to the waiting attempts."""
    complete_without_answer(state, request.request_id)
    if request.key is None or answer is None:
        return ()
    service = state.service
    unavailable = answer.status == _SERVICE_UNAVAILABLE
    if unavailable and service and service.unavailable_means_not_run:
        # The caller got the upstream's own 503; record the refusal for
        # its retries and answer the waiting attempts.
        return refuse(state, request, 'upstream_unavailable', 0)
    waiters = _finish_key(state, request, EntryState.ANSWERED, answer)
    return answer_all(state, waiters, answer)


def _finish_key(
    state: AgentState,
    request: Request,
    entry_state: EntryState,
    answer: StoredAnswer | None,
) -> tuple[int, ...]:
    """Record the outcome of a request's key.

    Returns the ids of the attempts that waited for it.
    """
    if request.key is None:
        return ()
    return tuple(state.ledger.record_outcome(request.key, entry_state, answer))


def _conclude_broken(
    state: AgentState,
    request: Request,
    reason: str,
) -> Effects:
    """Answer a request that may have run with a problem.

    Attempts that wait for its outcome get the same problem.
    """
    waiters = _finish_key(state, request, EntryState.BROKEN, None)
    problem = Problem(UPSTREAM_FAILED, reason)
    return refuse_all(state, (request.request_id, *waiters), problem)


def handle_peer_answer(state: AgentState, event: PeerAnswered) -> Effects:
    """Handle the answer of an agent that was asked."""
    request = state.requests.get(event.request_id)
    if request is None:
        return ()
    if request.phase is Phase.ASKING_ISSUER:
        return _handle_issuer_answer(state, request, event)
    if request.phase is not Phase.PASSED_ON:
        return ()
    state.awaiting_peer.pop(event.request_id, None)
    return _handle_runner_answer(state, request, event)


def _handle_issuer_answer(
    state: AgentState,
    request: Request,
    event: PeerAnswered,
) -> Effects:
    """Complete a request with the answer or the problem from its issuer."""
    request_ids = (request.request_id,)
    if event.answer is not None:
        return answer_all(state, request_ids, event.answer)
    if event.problem is not None:
        return refuse_all(state, request_ids, event.problem)
    return ()


def _handle_runner_answer(
    state: AgentState,
    request: Request,
    event: PeerAnswered,
) -> Effects:
    """Complete a request that was passed on, or admit it here if not run."""
    if event.problem is not None and event.problem.kind is NOT_RUN:
        return admit(state, request, event.now)
    if event.answer is None:
        return _conclude_broken(state, request, 'peer_broke_off')
    waiters = _finish_key(state, request, EntryState.ANSWERED, event.answer)
    return answer_all(state, (request.request_id, *waiters), event.answer)


def abandon_silent_peers(state: AgentState, now: float) -> Effects:
    """Handle requests that a peer runs without answering in time.

    The peer may have started them, so only safe requests are run again.
    """
    late_requests = [
        request
        for request in state.awaiting_peer.values()
        if request.phase is Phase.PASSED_ON and _is_late(request, now)
    ]
    effects: list[AgentEffect] = []
    for request in late_requests:
        state.awaiting_peer.pop(request.request_id, None)
        if request.is_safe and now < request.deadline_at:
            effects.extend(admit(state, request, now))
        else:
            effects.extend(_conclude_broken(state, request, 'peer_silent'))
    return tuple(effects)


def _is_late(request: Request, now: float) -> bool:
    """Return whether a peer has not answered in time.

    A safe request may be run again soon; another one waits past its deadline.
    """
    elapsed = now - request.asked_at
    if request.is_safe:
        return elapsed >= defaults.ASK_RETRY_SECONDS
    return now >= request.deadline_at + defaults.ASK_RETRY_SECONDS
