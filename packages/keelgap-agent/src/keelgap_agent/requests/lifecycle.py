"""The life of a request, from its arrival to its final answer."""

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
    release,
    start_waiting,
)
from keelgap_agent.requests.keyed import issue_ticket, settle_keyed
from keelgap_agent.requests.ledger import EntryState
from keelgap_agent.requests.outcomes import Outcome, OutcomeKind, StoredAnswer
from keelgap_agent.requests.problems import NOT_RUN, UPSTREAM_FAILED, Problem
from keelgap_agent.requests.settling import (
    answer_all,
    leave_flow,
    refuse,
    refuse_all,
    settle_silently,
)
from keelgap_agent.state import AgentState, Phase, Request, match_class

__all__ = (
    'TICKET_PATH',
    'arrive',
    'ask',
    'cancel',
    'finish',
    'give_up_on_peers',
    'take_peer_answer',
)

Effects = tuple[AgentEffect, ...]

#: Where a caller gets a ticket, once a connection.
TICKET_PATH: Final = '/.well-known/keelgap/ticket'
_SAFE_METHODS: Final = frozenset(('GET', 'HEAD', 'OPTIONS'))
_UNAVAILABLE: Final = 503


def arrive(state: AgentState, event: RequestArrived) -> Effects:
    """Take a caller's request."""
    request = _make_request(state, event, event.flow_id)
    state.flows[event.flow_id] = state.flows.get(event.flow_id, 0) + 1
    state.budget = min(
        state.budget + defaults.BUDGET_SHARE,
        defaults.BUDGET_CAP,
    )
    if event.head.path == TICKET_PATH:
        return issue_ticket(state, request, event.head, event.now)
    if request.traffic_class.at_most_once:
        return settle_keyed(state, request, event.head, event.now)
    return admit(state, request, event.now)


def ask(state: AgentState, event: PeerAsked) -> Effects:
    """Take a request that another agent passes on or asks about."""
    request = _make_request(state, event, None)
    request.run_only = event.run_only
    if event.run_only:
        return admit(state, request, event.now)
    return settle_keyed(state, request, event.head, event.now)


def _make_request(
    state: AgentState,
    event: RequestArrived | PeerAsked,
    flow_id: int | None,
) -> Request:
    head: RequestHead = event.head
    traffic_class = match_class(state.service, head.method, head.path)
    request = Request(event.request_id, flow_id, traffic_class, event.now)
    if head.deadline_seconds is not None:
        request.deadline_at = min(
            request.deadline_at,
            event.now + head.deadline_seconds,
        )
    request.portable = head.portable and traffic_class.takes_slot
    request.safe = head.method in _SAFE_METHODS
    state.requests[event.request_id] = request
    return request


def cancel(state: AgentState, event: RequestCancelled) -> Effects:
    """Stop what has not started; let a started keyed request run to its end.

    The reducer takes one event after the other, so a cancellation finds a
    request either before its start or after it, never in between.
    """
    request = state.requests.get(event.request_id)
    if request is None or request.detached:
        return ()
    if request.phase is Phase.WAITING or request.phase is Phase.ASKING:
        _stop_waiting(state, request)
        settle_silently(state, request.request_id)
        return ()
    if request.key is not None:
        return _cancel_keyed(state, request)
    if request.phase is Phase.RUNNING:
        request.detached = True
        leave_flow(state, request)
        return (CancelRun(request.request_id),)
    _leave_queue(state, request)
    settle_silently(state, request.request_id)
    return ()


def _cancel_keyed(state: AgentState, request: Request) -> Effects:
    entry = state.ledger.find(request.key) if request.key else None
    waited_for = entry is not None and entry.waiters
    if request.phase is Phase.QUEUED and request.key and not waited_for:
        _leave_queue(state, request)
        state.ledger.bury(request.key, request.key_expires_at)
        settle_silently(state, request.request_id)
        return (Count('keyed_cancelled_before_start'),)
    request.detached = True
    leave_flow(state, request)
    return ()


def _leave_queue(state: AgentState, request: Request) -> None:
    if request in state.queue:
        state.queue.remove(request)


def _stop_waiting(state: AgentState, request: Request) -> None:
    entry = state.ledger.find(request.key) if request.key else None
    if entry is not None and request.request_id in entry.waiters:
        entry.waiters.remove(request.request_id)


def finish(state: AgentState, event: RequestFinished) -> Effects:
    """Take note of how a started request ended, and start the next."""
    request = state.requests.get(event.request_id)
    if request is None:
        return ()
    release(state, request, event.now)
    _note_upstream(state, event.outcome.kind, event.now)
    observed = Observe(
        'request_seconds',
        request.traffic_class.name,
        event.now - request.arrived,
    )
    return (
        observed,
        *_conclude(state, request, event.outcome, event.now),
        *start_waiting(state, event.now),
    )


def _note_upstream(state: AgentState, kind: OutcomeKind, now: float) -> None:
    if kind is OutcomeKind.NOT_SENT:
        state.failures += 1
        state.down_until = now + defaults.UPSTREAM_DOWN_SECONDS
    elif kind is OutcomeKind.ANSWERED:
        state.failures = 0


def _conclude(
    state: AgentState,
    request: Request,
    outcome: Outcome,
    now: float,
) -> Effects:
    if outcome.kind is OutcomeKind.ANSWERED:
        return _conclude_answered(state, request, outcome.answer)
    if outcome.kind is OutcomeKind.NOT_SENT:
        passed = pass_to_peer(state, request, now)
        return passed or refuse(state, request, 'upstream_unreachable', 0)
    if outcome.kind is OutcomeKind.CANCELLED and request.key is None:
        settle_silently(state, request.request_id)
        return ()
    return _conclude_broken(state, request, 'broke_off')


def _conclude_answered(
    state: AgentState,
    request: Request,
    answer: StoredAnswer | None,
) -> Effects:
    settle_silently(state, request.request_id)
    if request.key is None or answer is None:
        return ()
    service = state.service
    unavailable = answer.status == _UNAVAILABLE
    if unavailable and service and service.unavailable_means_not_run:
        # The caller has the upstream's own 503; this is for its retries.
        return refuse(state, request, 'upstream_unavailable', 0)
    waiters = _finish_key(state, request, EntryState.ANSWERED, answer)
    return answer_all(state, waiters, answer)


def _finish_key(
    state: AgentState,
    request: Request,
    entry_state: EntryState,
    answer: StoredAnswer | None,
) -> tuple[int, ...]:
    """Record how a key ended; return the attempts that wait for it."""
    if request.key is None:
        return ()
    return tuple(state.ledger.finish(request.key, entry_state, answer))


def _conclude_broken(
    state: AgentState,
    request: Request,
    reason: str,
) -> Effects:
    waiters = _finish_key(state, request, EntryState.BROKEN, None)
    problem = Problem(UPSTREAM_FAILED, reason)
    return refuse_all(state, (request.request_id, *waiters), problem)


def take_peer_answer(state: AgentState, event: PeerAnswered) -> Effects:
    """Take what the agent that was asked says."""
    request = state.requests.get(event.request_id)
    if request is None:
        return ()
    if request.phase is Phase.ASKING:
        return _take_issuer_answer(state, request, event)
    if request.phase is not Phase.PASSED:
        return ()
    state.asked.pop(event.request_id, None)
    return _take_runner_answer(state, request, event)


def _take_issuer_answer(
    state: AgentState,
    request: Request,
    event: PeerAnswered,
) -> Effects:
    request_ids = (request.request_id,)
    if event.answer is not None:
        return answer_all(state, request_ids, event.answer)
    if event.problem is not None:
        return refuse_all(state, request_ids, event.problem)
    return ()


def _take_runner_answer(
    state: AgentState,
    request: Request,
    event: PeerAnswered,
) -> Effects:
    if event.problem is not None and event.problem.kind is NOT_RUN:
        return admit(state, request, event.now)
    if event.answer is None:
        return _conclude_broken(state, request, 'peer_broke_off')
    waiters = _finish_key(state, request, EntryState.ANSWERED, event.answer)
    return answer_all(state, (request.request_id, *waiters), event.answer)


def give_up_on_peers(state: AgentState, now: float) -> Effects:
    """End requests whose runner is silent; it may have started them."""
    late = [
        request
        for request in state.asked.values()
        if request.phase is Phase.PASSED and _is_late(request, now)
    ]
    effects: list[AgentEffect] = []
    for request in late:
        state.asked.pop(request.request_id, None)
        if request.safe and now < request.deadline_at:
            effects.extend(admit(state, request, now))
        else:
            effects.extend(_conclude_broken(state, request, 'peer_silent'))
    return tuple(effects)


def _is_late(request: Request, now: float) -> bool:
    waited = now - request.asked_at
    if request.safe:
        return waited >= defaults.ASK_RETRY_SECONDS
    return now >= request.deadline_at + defaults.ASK_RETRY_SECONDS
