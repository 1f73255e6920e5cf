"""Admission of requests: slots, queue and load shedding."""

from bisect import insort

from keelgap_agent import defaults
from keelgap_agent.effects import (
    AgentEffect,
    AskPeer,
    Count,
    Observe,
    StartRequest,
)
from keelgap_agent.requests.completion import refuse
from keelgap_agent.requests.peers import choose_peer
from keelgap_agent.state import AgentState, Phase, Request

__all__ = (
    'admit',
    'refuse_expired',
    'estimate_wait',
    'pass_to_peer',
    'release_slot',
    'start_queued',
)

Effects = tuple[AgentEffect, ...]


def admit(state: AgentState, request: Request, now: float) -> Effects:
    """Start a request, pass it on to another agent, queue or refuse it."""
    if state.is_leaving:
        return _pass_on_or_refuse(state, request, now, 'leaving')
    if state.is_down(now):
        return _pass_on_or_refuse(state, request, now, 'upstream_down')
    if not request.traffic_class.takes_slot:
        return _start(state, request, now)
    if state.busy < state.count_slots(now) and not state.queue:
        return _start(state, request, now)
    if request.run_only:
        return refuse(state, request, 'busy', 0)
    passed_on = pass_to_peer(state, request, now)
    return passed_on or _enqueue(state, request, now)


def _pass_on_or_refuse(
    state: AgentState,
    request: Request,
    now: float,
    reason: str,
) -> Effects:
    """Pass a request on to another agent, or refuse it."""
    passed_on = pass_to_peer(state, request, now)
    return passed_on or refuse(state, request, reason, 0)


def pass_to_peer(
    state: AgentState,
    request: Request,
    now: float,
) -> Effects:
    """Pass a request that has not started on to another agent, once.

    A budget earned by first attempts limits this, so that an overload of the
    whole service does not double its load.
    """
    may_be_passed_on = request.portable and not request.from_peer
    if (
        request.was_passed_on
        or not may_be_passed_on
        or state.handover_budget < 1
    ):
        return ()
    peer = choose_peer(state)
    if peer is None:
        return ()
    state.handover_budget -= 1
    request.was_passed_on = True
    request.phase = Phase.PASSED_ON
    request.asked_at = now
    state.awaiting_peer[request.request_id] = request
    remaining = request.deadline_at - now
    ask = AskPeer(request.request_id, peer, True, remaining)
    return ask, Count('requests_passed_on')


def _enqueue(state: AgentState, request: Request, now: float) -> Effects:
    """Queue a request by priority, or refuse it.

    A request is refused if its deadline is too near.  If the queue is full,
    the one that sorts last is refused.
    """
    wait = estimate_wait(state, request, now)
    if now + wait > request.deadline_at:
        return refuse(state, request, 'deadline_too_near', wait)
    limit = state.service.queue_limit if state.service else 0
    effects: Effects = ()
    if len(state.queue) >= limit:
        last = state.queue[-1] if state.queue else request
        if _get_sort_key(last) <= _get_sort_key(request):
            return refuse(state, request, 'queue_full', wait)
        state.queue.pop()
        effects = refuse(state, last, 'displaced', wait)
    request.phase = Phase.QUEUED
    insort(state.queue, request, key=_get_sort_key)
    return effects


def _get_sort_key(request: Request) -> tuple[int, float, int]:
    """Return the key that orders the queue by priority, then by arrival."""
    priority = request.traffic_class.priority
    return (priority, request.arrived_at, request.request_id)


def estimate_wait(state: AgentState, request: Request, now: float) -> float:
    """Return the estimated seconds until a request would get a slot.

    A slot is the permission to run one request against the upstream.
    """
    sort_key = _get_sort_key(request)
    ahead = sum(_get_sort_key(other) < sort_key for other in state.queue)
    slots = max(1, state.count_slots(now))
    return (ahead + 1) * state.service_seconds / slots


def _start(state: AgentState, request: Request, now: float) -> Effects:
    """Start a request, and occupy a slot if its traffic class takes one."""
    if request.traffic_class.takes_slot:
        state.busy += 1
    request.phase = Phase.RUNNING
    request.started_at = now
    state.consecutive_refusals = 0
    return (
        StartRequest(request.request_id, request.deadline_at - now),
        Observe(
            'queue_seconds',
            request.traffic_class.name,
            now - request.arrived_at,
        ),
    )


def release_slot(state: AgentState, request: Request, now: float) -> None:
    """Free the slot of a request that ended and record its service time."""
    if request.phase is Phase.RUNNING and request.traffic_class.takes_slot:
        state.busy -= 1
        smoothing = defaults.SERVICE_TIME_SMOOTHING
        service_time = now - request.started_at
        state.service_seconds += smoothing * (
            service_time - state.service_seconds
        )


def start_queued(state: AgentState, now: float) -> Effects:
    """Start queued requests in free slots, in order of priority."""
    effects: list[AgentEffect] = []
    slots = state.count_slots(now)
    while state.queue and state.busy < slots:
        request = state.queue.pop(0)
        if request.deadline_at <= now:
            effects.extend(refuse(state, request, 'deadline', 0))
        else:
            effects.extend(_start(state, request, now))
    return tuple(effects)


def refuse_expired(state: AgentState, now: float) -> Effects:
    """Refuse queued requests whose deadline has passed."""
    expired = [request for request in state.queue if request.deadline_at <= now]
    effects: list[AgentEffect] = []
    for request in expired:
        state.queue.remove(request)
        effects.extend(refuse(state, request, 'deadline', 0))
    return tuple(effects)
