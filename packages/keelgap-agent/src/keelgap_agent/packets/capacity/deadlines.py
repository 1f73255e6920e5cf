"""Early refusal of requests that would surely get no response here.

Only the upstream ends an open flow, so a request that cannot be served is
refused with its opening packet or not at all.  (The one exception is an
ejected upstream that is unresponsive; see ``outlier_ejection/abandonment.py``.)
A request that can be answered in time is admitted.  A late one is admitted
unless so many late requests are already queued that the capacity left by the
usual load cannot serve them before its caller leaves, even if the load turns
out lower.
"""

from typing import TYPE_CHECKING, Final, NamedTuple

from keelgap.packets.envelopes import Envelope
from keelgap_agent.packets.capacity import defaults

if TYPE_CHECKING:
    from keelgap_agent.packets.flows import QueuedRequest
    from keelgap_agent.packets.state import AgentState

__all__ = ('NO_TIME', 'estimate_start_ms', 'cannot_be_served')

#: The reason for a refusal, as it is counted and logged.
NO_TIME: Final = 'miss_no_time'
_MILLISECONDS: Final = 1000
#: The longest wait that an envelope can hold.
_MAX_WAIT_MS: Final = 32767


class _Queue(NamedTuple):
    """Numbers of queued requests that compete with a new one."""

    #: Requests of the same or a higher priority that can be in time; they are
    #: served before it.
    ahead: int
    #: Requests of the same or a higher priority that are late already, but
    #: can still be answered before their callers leave.
    late: int


def cannot_be_served(
    state: 'AgentState',
    queued: 'QueuedRequest',
    envelope: Envelope,
    now: float,
) -> bool:
    """Return whether a new request would surely get no response here.

    Requests that have waited since an outage are never refused, since they had
    no chance to be served before.
    """
    if queued.is_from_outage or not state.capacity.has_estimate:
        return False
    if _can_start_now(state):
        return False
    queue = _count_queued(state, queued, now)
    is_first_try = envelope.wait.age_ms < defaults.RETRY_AGE_MS
    if _is_in_time(state, queued, queue, now, is_first_try):
        return False
    share = defaults.FIRST_TRY_LATE_SHARE if is_first_try else 1
    return queue.late >= share * _compute_late_limit(state, queued, now)


def _can_start_now(state: 'AgentState') -> bool:
    """Return whether a request would be sent to the upstream at once."""
    return state.has_capacity and not state.queued


def _is_in_time(
    state: 'AgentState',
    queued: 'QueuedRequest',
    queue: _Queue,
    now: float,
    is_first_try: bool,
) -> bool:
    """Return whether a new request would get its response by its deadline.

    First tries, which are not retries after a refusal, need a safety margin.
    """
    service_time = state.capacity.response_interval * state.slots
    margin = defaults.MARGIN_SERVICE_TIMES * service_time if is_first_try else 0
    expected_at = (
        now + _estimate_start(state, queued, queue, now) + service_time
    )
    return expected_at + margin < queued.deadline


def estimate_start_ms(
    state: 'AgentState', queued: 'QueuedRequest', now: float
) -> int:
    """Return the milliseconds until the upstream would start a new request."""
    queue = _count_queued(state, queued, now)
    wait = _estimate_start(state, queued, queue, now)
    return max(min(round(wait * _MILLISECONDS), _MAX_WAIT_MS), 1)


def _count_queued(
    state: 'AgentState', queued: 'QueuedRequest', now: float
) -> _Queue:
    """Count the queued requests that compete with a new one for capacity."""
    service_time = state.capacity.response_interval * state.slots
    ahead = 0
    late = 0
    for other in state.queued.values():
        is_present = (
            other.packets or now - other.arrived_at < defaults.HANDSHAKE_SECONDS
        )
        if not is_present or now + service_time >= other.latest_departure:
            continue
        if other.priority > queued.priority:
            continue
        if other.rank(now, service_time)[0] > 0:
            ahead += 1
        else:
            late += 1
    return _Queue(ahead, late)


def _estimate_start(
    state: 'AgentState',
    queued: 'QueuedRequest',
    queue: _Queue,
    now: float,
) -> float:
    """Return the seconds until the upstream starts on a new request."""
    capacity = state.capacity
    higher_load = capacity.compute_higher_priority_load(queued.priority, now)
    if higher_load > defaults.MAX_HIGHER_PRIORITY_LOAD:
        return float(_MAX_WAIT_MS)
    responses_before = max(queue.ahead + state.busy + 1 - state.slots, 0)
    return responses_before * capacity.response_interval / (1 - higher_load)


def _compute_late_limit(
    state: 'AgentState',
    queued: 'QueuedRequest',
    now: float,
) -> float:
    """Return how many late requests may be queued before more are refused.

    It is an estimate of the late requests that the upstream can serve before
    the caller of the new one leaves, times a factor in favour of admission.
    First tries may use a share of it.
    """
    capacity = state.capacity
    service_time = capacity.response_interval * state.slots
    remaining = max(queued.latest_departure - now - service_time, 0)
    spare_share = capacity.compute_spare_share(queued.priority, now)
    return (
        defaults.LATE_EXCESS_FACTOR
        * remaining
        * spare_share
        / capacity.response_interval
    )
