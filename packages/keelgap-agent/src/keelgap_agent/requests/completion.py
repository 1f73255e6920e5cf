"""Completion of requests with exactly one final answer each."""

from typing import Final

from keelgap_agent import defaults
from keelgap_agent.effects import (
    AgentEffect,
    AnswerRequest,
    Count,
    RefuseRequest,
)
from keelgap_agent.requests.ledger import EntryState
from keelgap_agent.requests.outcomes import StoredAnswer
from keelgap_agent.requests.problems import ANSWER_NOT_KEPT, NOT_RUN, Problem
from keelgap_agent.state import AgentState, Request

__all__ = (
    'answer_all',
    'make_answer',
    'refuse',
    'refuse_all',
    'complete',
    'complete_without_answer',
)

Effects = tuple[AgentEffect, ...]
_JITTER: Final = 0.5
_REFUSALS_PER_STEP: Final = 16
_MAX_BACKOFF_STEPS: Final = 5


def complete(
    state: AgentState,
    request_id: int,
    answer: AgentEffect,
) -> Effects:
    """Remove a request and return its final answer.

    Nothing is returned if it was completed before or its caller has left.
    """
    request = _remove(state, request_id)
    if request is None or request.detached:
        return ()
    remove_from_flow(state, request)
    return (answer,)


def complete_without_answer(state: AgentState, request_id: int) -> None:
    """Remove a request that the driver answered or nobody waits for."""
    request = _remove(state, request_id)
    if request is not None and not request.detached:
        remove_from_flow(state, request)


def _remove(state: AgentState, request_id: int) -> Request | None:
    """Remove a request from all requests and from those that await a peer."""
    state.awaiting_peer.pop(request_id, None)
    return state.requests.pop(request_id, None)


def remove_from_flow(state: AgentState, request: Request) -> None:
    """Decrement the number of open requests of the request's flow."""
    if request.flow_id is not None:
        state.flows[request.flow_id] -= 1


def refuse(
    state: AgentState,
    request: Request,
    reason: str,
    wait: float,
) -> Effects:
    """Refuse a request that was not started and prevent it from running."""
    state.consecutive_refusals += 1
    problem = Problem(NOT_RUN, reason, _compute_retry_after(state, wait))
    waiters: list[int] = []
    if request.key is not None:
        state.ledger.record_tombstone(request.key, request.key_expires_at)
        waiters = state.ledger.pop_waiters(request.key)
    return (
        Count(f'requests_refused_{reason}'),
        *refuse_all(state, (request.request_id, *waiters), problem),
    )


def refuse_all(
    state: AgentState,
    request_ids: tuple[int, ...],
    problem: Problem,
) -> Effects:
    """Refuse several attempts of one request with the same problem."""
    effects: list[AgentEffect] = []
    for request_id in request_ids:
        refusal = RefuseRequest(request_id, problem)
        effects.extend(complete(state, request_id, refusal))
    return tuple(effects)


def answer_all(
    state: AgentState,
    request_ids: tuple[int, ...],
    answer: StoredAnswer,
) -> Effects:
    """Answer several attempts of one request with the same stored answer."""
    effects: list[AgentEffect] = []
    for request_id in request_ids:
        effect = make_answer(request_id, answer)
        effects.extend(complete(state, request_id, effect))
    return tuple(effects)


def make_answer(request_id: int, answer: StoredAnswer) -> AgentEffect:
    """Return the effect that sends a stored answer.

    If its body was too long to store, a problem is sent.
    """
    if answer.body is None:
        problem = Problem(ANSWER_NOT_KEPT, EntryState.ANSWERED.value)
        return RefuseRequest(request_id, problem)
    return AnswerRequest(request_id, answer)


def _compute_retry_after(state: AgentState, wait: float) -> float:
    """Return a backoff with jitter in seconds, which spreads out retries."""
    steps = min(
        state.consecutive_refusals // _REFUSALS_PER_STEP, _MAX_BACKOFF_STEPS
    )
    backoff = min(
        defaults.BACKOFF_BASE_SECONDS * 2**steps,
        defaults.BACKOFF_MAX_SECONDS,
    )
    jitter = 1 - _JITTER * state.random.random()
    return float(max(wait, backoff) * jitter)
