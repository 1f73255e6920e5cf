"""Whether the upstream has capacity, and which request is sent to it next."""

from collections.abc import Sequence
from typing import Final

from keelgap_agent.packets import defaults as agent_defaults
from keelgap_agent.packets.effects import AgentEffect, Observed
from keelgap_agent.packets.flows import QueuedRequest
from keelgap_agent.packets.scheduling import defaults
from keelgap_agent.packets.scheduling.continuations import (
    record_released_request,
)
from keelgap_agent.packets.state import AgentState

__all__ = ('choose_next', 'has_capacity', 'observe_wait')

#: The rank in ``QueuedRequest.rank`` of callers from an outage that are about
#: to leave.
_RESCUED: Final = 2
#: A response is assumed to take at most this share of the time to the request's
#: deadline.  A request whose route has a deadline below the mean response time
#: of all routes may then still be in time: it can go first in the other half.
_MAX_DEADLINE_SHARE: Final = 0.5


def has_capacity(state: AgentState, now: float) -> bool:
    """Return whether the upstream can take another request.

    With the feature ``scheduling``, overdue requests do not count against it.
    """
    state.workload.record_mean_response(now, state.answer_seconds)
    if state.has_capacity:
        return True
    if not state.features.scheduling:
        return False
    in_flight = state.workload.count_not_overdue(now)
    return in_flight < state.slots + agent_defaults.PREFETCH_COUNT


def choose_next(
    state: AgentState,
    ready: Sequence[bytes],
    now: float,
) -> bytes:
    """Return the flow whose request is sent to the upstream next.

    This is the request of the highest rank.  To prevent the starvation of late
    requests and low priorities, from time to time it is one that has been
    queued for too long, if its caller stays until the response.
    """
    response_time = state.answer_seconds
    queued = state.queued
    if not state.features.scheduling:
        return max(ready, key=lambda key: queued[key].rank(now, response_time))
    best = max(ready, key=lambda key: _rank(queued[key], now, response_time))
    chosen = _find_starved(state, ready, now) or best
    state.workload.last_served_at[queued[chosen].priority] = now
    return chosen


def _find_starved(
    state: AgentState,
    ready: Sequence[bytes],
    now: float,
) -> bytes | None:
    """Return the starved request that goes before all others now, if any.

    Starved requests have been queued for too long.  The chosen one is of the
    priority that was served longest ago.  Otherwise the late requests of a
    priority that saturates the upstream would take all such turns from the
    others.
    """
    starved_before = now - defaults.STARVED_SECONDS
    expected_at = now + state.answer_seconds
    queued = state.queued
    starved = [
        key
        for key in ready
        if queued[key].arrived_at < starved_before
        and expected_at < queued[key].latest_departure
    ]
    if not starved:
        return None
    state.workload.released_since_starved += 1
    if state.workload.released_since_starved < defaults.STARVED_INTERVAL:
        return None
    state.workload.released_since_starved = 0
    last_served_at = state.workload.last_served_at
    return min(
        starved,
        key=lambda key: (
            last_served_at.get(queued[key].priority, float('-inf')),
            queued[key].arrived_at,
        ),
    )


def observe_wait(
    state: AgentState,
    queued: QueuedRequest,
    now: float,
) -> tuple[AgentEffect, ...]:
    """Return the measured queueing time of a request that is released.

    Also record whether its last packet was full.
    """
    waited = Observed('wait_seconds', now - queued.arrived_at)
    if not state.features.scheduling:
        return (waited,)
    record_released_request(state, queued)
    priority_label = min(queued.priority, defaults.MAX_COUNTED_PRIORITY)
    by_priority = Observed(
        f'wait_seconds_priority_{priority_label}', now - queued.arrived_at
    )
    return waited, by_priority


def _rank(
    queued: QueuedRequest,
    now: float,
    response_time: float,
) -> tuple[int, int, float]:
    """Return the rank in the queue; the highest goes first.

    Callers from an outage that are about to leave come first, as they do
    without scheduling.  Then come requests that can be in time, by priority,
    and with equal priority the earliest deadline first.  The late ones follow,
    by priority and then by the time when their callers leave.  Requests whose
    callers leave before a response come last.
    """
    if queued.is_from_outage:
        rank = queued.rank(now, response_time)
        if rank[0] == _RESCUED:
            return rank
    expected_at = now + response_time
    # The mean covers all routes.  Long requests of other routes must not make
    # a request late in the first part of its own time.
    own_response_time = min(
        response_time,
        _MAX_DEADLINE_SHARE * (queued.deadline - queued.arrived_at),
    )
    if now + own_response_time < queued.deadline:
        return 1, -queued.priority, -queued.deadline
    return (
        -int(expected_at >= queued.latest_departure),
        -queued.priority,
        -queued.latest_departure,
    )
