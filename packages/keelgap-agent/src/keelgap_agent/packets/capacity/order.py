"""Order of queued requests while requests are refused early."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from keelgap_agent.packets import defaults as agent_defaults
from keelgap_agent.packets.capacity import defaults

if TYPE_CHECKING:
    from keelgap_agent.packets.flows import QueuedRequest
    from keelgap_agent.packets.state import AgentState

__all__ = ('choose_under_overload',)

_Rank = tuple[int, int, float]


def choose_under_overload(
    state: 'AgentState',
    ready: Iterable[bytes],
    now: float,
) -> bytes:
    """Return the flow whose request is served next while others are refused.

    A request that was admitted as in time is not overtaken by later ones of
    the same priority.  Some late requests whose callers are about to leave go
    before all others, since they were not refused.
    """
    response_time = state.answer_seconds
    queued = state.queued
    ranks = {key: _rank(queued[key], now, response_time) for key in ready}
    first = max(ranks, key=ranks.__getitem__)
    rescue_interval = state.capacity.response_interval / defaults.RESCUE_SHARE
    if now - state.capacity.last_rescue_at < rescue_interval:
        return first
    about_to_leave = [
        key
        for key in ranks
        if _is_about_to_leave(queued[key], now, response_time)
    ]
    if not about_to_leave:
        return first
    state.capacity.last_rescue_at = now
    return min(about_to_leave, key=lambda key: queued[key].latest_departure)


def _rank(queued: 'QueuedRequest', now: float, response_time: float) -> _Rank:
    """Return the rank of a queued request; the highest is served first.

    Unlike in ``QueuedRequest.rank``, requests in time and of equal priority go
    by the earliest deadline.
    """
    rank_class, priority, due_at = queued.rank(now, response_time)
    return (
        (rank_class, priority, -due_at)
        if rank_class == 1
        else (rank_class, priority, due_at)
    )


def _is_about_to_leave(
    queued: 'QueuedRequest', now: float, response_time: float
) -> bool:
    """Return whether the caller leaves soon, but can still be answered."""
    remaining = queued.latest_departure - now - response_time
    return 0 < remaining < agent_defaults.LAST_CHANCE_SECONDS
