"""Who goes first while those who come too late are refused."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from keelgap_agent.packets import defaults as agent_defaults
from keelgap_agent.packets.room import defaults

if TYPE_CHECKING:
    from keelgap_agent.packets.flows import Held
    from keelgap_agent.packets.state import AgentState

__all__ = ('choose_under_pressure',)

_Rank = tuple[int, int, float]


def choose_under_pressure(
    state: 'AgentState',
    ready: Iterable[bytes],
    now: float,
) -> bytes:
    """Return the flow that goes next.

    Who was taken to be in time is not overtaken by equals that came later.
    Some of the late ones that are about to leave go before all others, since
    they were not refused.
    """
    answer = state.answer_seconds
    held = state.held
    ranks = {key: _rank(held[key], now, answer) for key in ready}
    first = max(ranks, key=ranks.__getitem__)
    pause = state.room.pace / defaults.RESCUE_SHARE
    if now - state.room.rescued_at < pause:
        return first
    leaving = [key for key in ranks if _is_leaving(held[key], now, answer)]
    if not leaving:
        return first
    state.room.rescued_at = now
    return min(leaving, key=lambda key: held[key].leaves)


def _rank(held: 'Held', now: float, answer: float) -> _Rank:
    group, priority, due = held.rank(now, answer)
    return (group, priority, -due) if group == 1 else (group, priority, due)


def _is_leaving(held: 'Held', now: float, answer: float) -> bool:
    """Return whether this is the last moment for an answer."""
    left = held.leaves - now - answer
    return 0 < left < agent_defaults.RESCUE_SECONDS
