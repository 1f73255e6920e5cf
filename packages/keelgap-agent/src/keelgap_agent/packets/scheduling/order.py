"""Whether the upstream has room, and which request is next."""

from collections.abc import Callable, Sequence
from typing import Final

from keelgap_agent.packets import defaults as agent_defaults
from keelgap_agent.packets.effects import AgentEffect, Observed
from keelgap_agent.packets.scheduling import defaults
from keelgap_agent.packets.state import AgentState, Held

__all__ = ('choose_next', 'has_room', 'observe_wait')

#: Place of callers from an outage who are about to leave, as ``Held`` ranks.
_RESCUED: Final = 2


def has_room(state: AgentState, now: float) -> bool:
    """Return whether the upstream can start on another request."""
    if state.has_room:
        return True
    if not state.features.scheduling:
        return False
    current = state.work.count_current(now, state.answer_seconds)
    return current < state.slots + agent_defaults.EXTRA_SLOTS


def choose_next(
    state: AgentState,
    ready: Sequence[bytes],
    now: float,
) -> bytes:
    """Return which flow's request is passed on next: the first in rank.

    So that no priority waits without end, now and then it is the one that
    waits longest of the lower ones, if its caller stays until the answer.
    """
    answer = state.answer_seconds
    held = state.held
    if not state.features.scheduling:
        return max(ready, key=lambda key: held[key].rank(now, answer))
    best = max(ready, key=lambda key: _rank(held[key], now, answer))
    is_starved = _make_test(held[best].priority, now, answer)
    starved = [key for key in ready if is_starved(held[key])]
    if not starved:
        return best
    state.work.passed_over += 1
    if state.work.passed_over < defaults.PASSED_OVER:
        return best
    state.work.passed_over = 0
    return min(starved, key=lambda key: held[key].came)


def _make_test(
    priority: int,
    now: float,
    answer: float,
) -> Callable[[Held], bool]:
    """Return what tells who waits too long for those of a priority."""
    latest = now - defaults.STARVED_SECONDS
    start = now + answer

    def is_starved(held: Held) -> bool:
        is_lower = held.priority > priority
        return is_lower and held.came < latest and start < held.leaves

    return is_starved


def observe_wait(
    state: AgentState,
    held: Held,
    now: float,
) -> tuple[AgentEffect, ...]:
    """Count how long a request waited that is passed on."""
    waited = Observed('wait_seconds', now - held.came)
    if not state.features.scheduling:
        return (waited,)
    counted = min(held.priority, defaults.PRIORITIES_COUNTED)
    by_priority = Observed(f'wait_seconds_priority_{counted}', now - held.came)
    return waited, by_priority


def _rank(
    held: Held,
    now: float,
    answer: float,
) -> tuple[int, int, float]:
    """Return the place in the queue; the highest goes first.

    Callers from an outage who are about to leave come first, as without
    this order.  Then come those that can be in time, by priority, and at
    equal priority whose time ends first: a busy upstream makes half as many
    late that way as with the latest first.  The others have what is left,
    who leaves first before them, and last is who leaves before an answer.
    """
    if held.is_from_outage:
        rank = held.rank(now, answer)
        if rank[0] == _RESCUED:
            return rank
    start = now + answer
    if start < held.in_time:
        return 1, -held.priority, -held.in_time
    return -int(start >= held.leaves), -held.priority, -held.leaves
