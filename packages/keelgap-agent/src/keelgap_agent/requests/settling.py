"""Give requests their final answer, exactly one each."""

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
    'settle',
    'settle_silently',
)

Effects = tuple[AgentEffect, ...]
_JITTER: Final = 0.5
_REFUSALS_A_STEP: Final = 16
_MAX_STEPS: Final = 5


def settle(
    state: AgentState,
    request_id: int,
    answer: AgentEffect,
) -> Effects:
    """Forget a request and emit its final answer, unless nobody waits."""
    request = _forget(state, request_id)
    if request is None or request.detached:
        return ()
    leave_flow(state, request)
    return (answer,)


def settle_silently(state: AgentState, request_id: int) -> None:
    """Forget a request whose answer the driver sent, or nobody awaits."""
    request = _forget(state, request_id)
    if request is not None and not request.detached:
        leave_flow(state, request)


def _forget(state: AgentState, request_id: int) -> Request | None:
    state.asked.pop(request_id, None)
    return state.requests.pop(request_id, None)


def leave_flow(state: AgentState, request: Request) -> None:
    """Count a request out of its flow."""
    if request.flow_id is not None:
        state.flows[request.flow_id] -= 1


def refuse(
    state: AgentState,
    request: Request,
    reason: str,
    wait: float,
) -> Effects:
    """Refuse a request that was not started, and see that it never runs."""
    state.refusals += 1
    problem = Problem(NOT_RUN, reason, _compute_retry_after(state, wait))
    waiters: list[int] = []
    if request.key is not None:
        state.ledger.bury(request.key, request.key_expires_at)
        waiters = state.ledger.take_waiters(request.key)
    return (
        Count(f'requests_refused_{reason}'),
        *refuse_all(state, (request.request_id, *waiters), problem),
    )


def refuse_all(
    state: AgentState,
    request_ids: tuple[int, ...],
    problem: Problem,
) -> Effects:
    """Give several attempts the same problem."""
    effects: list[AgentEffect] = []
    for request_id in request_ids:
        refusal = RefuseRequest(request_id, problem)
        effects.extend(settle(state, request_id, refusal))
    return tuple(effects)


def answer_all(
    state: AgentState,
    request_ids: tuple[int, ...],
    answer: StoredAnswer,
) -> Effects:
    """Give several attempts the same answer."""
    effects: list[AgentEffect] = []
    for request_id in request_ids:
        effect = make_answer(request_id, answer)
        effects.extend(settle(state, request_id, effect))
    return tuple(effects)


def make_answer(request_id: int, answer: StoredAnswer) -> AgentEffect:
    """Return the effect that repeats a stored answer."""
    if answer.body is None:
        problem = Problem(ANSWER_NOT_KEPT, EntryState.ANSWERED.value)
        return RefuseRequest(request_id, problem)
    return AnswerRequest(request_id, answer)


def _compute_retry_after(state: AgentState, wait: float) -> float:
    """Return a growing pause with jitter, so that callers spread out."""
    steps = min(state.refusals // _REFUSALS_A_STEP, _MAX_STEPS)
    pause = min(
        defaults.BACKOFF_BASE_SECONDS * 2**steps,
        defaults.BACKOFF_MAX_SECONDS,
    )
    jitter = 1 - _JITTER * state.random.random()
    return float(max(wait, pause) * jitter)
