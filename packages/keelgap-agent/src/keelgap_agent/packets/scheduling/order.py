"""Whether the upstream has room, and which request is next."""

from collections.abc import Sequence
from typing import Final

from keelgap_agent.packets import defaults as agent_defaults
from keelgap_agent.packets.effects import AgentEffect, Observed
from keelgap_agent.packets.flows import Held
from keelgap_agent.packets.scheduling import defaults
from keelgap_agent.packets.scheduling.rests import note_released
from keelgap_agent.packets.state import AgentState

__all__ = ('choose_next', 'has_room', 'observe_wait')

#: Place of callers from an outage who are about to leave, as ``Held`` ranks.
_RESCUED: Final = 2
#: Part of the time to its aim that an answer is taken to need at most.  A
#: caller whose aim is shorter than the mean answer of all routes may still
#: be in time; in the other half it may go first.
_MOST_OF_AIM: Final = 0.5


def has_room(state: AgentState, now: float) -> bool:
    """Return whether the upstream can start on another request."""
    state.work.note_answers(now, state.answer_seconds)
    if state.has_room:
        return True
    if not state.features.scheduling:
        return False
    current = state.work.count_current(now)
    return current < state.slots + agent_defaults.EXTRA_SLOTS


def choose_next(
    state: AgentState,
    ready: Sequence[bytes],
    now: float,
) -> bytes:
    """Return which flow's request is passed on next: the first in rank.

    So that nobody waits without end, late or of a low priority, now and then
    it is one that waits too long, if its caller stays until the answer.
    """
    answer = state.answer_seconds
    held = state.held
    if not state.features.scheduling:
        return max(ready, key=lambda key: held[key].rank(now, answer))
    best = max(ready, key=lambda key: _rank(held[key], now, answer))
    chosen = _find_starved(state, ready, now) or best
    state.work.served_at[held[chosen].priority] = now
    return chosen


def _find_starved(
    state: AgentState,
    ready: Sequence[bytes],
    now: float,
) -> bytes | None:
    """Return who goes out of turn, if one waits too long and it is time.

    Of the priority that was served longest ago: else the late requests of
    one that fills the upstream would take all such turns of the others.
    """
    latest = now - defaults.STARVED_SECONDS
    start = now + state.answer_seconds
    held = state.held
    starved = [
        key
        for key in ready
        if held[key].came < latest and start < held[key].leaves
    ]
    if not starved:
        return None
    state.work.passed_over += 1
    if state.work.passed_over < defaults.PASSED_OVER:
        return None
    state.work.passed_over = 0
    served_at = state.work.served_at
    return min(
        starved,
        key=lambda key: (
            served_at.get(held[key].priority, float('-inf')),
            held[key].came,
        ),
    )


def observe_wait(
    state: AgentState,
    held: Held,
    now: float,
) -> tuple[AgentEffect, ...]:
    """Count how long a request waited that is passed on, and note its end."""
    waited = Observed('wait_seconds', now - held.came)
    if not state.features.scheduling:
        return (waited,)
    note_released(state, held)
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
    equal priority the earliest deadline first.  The others have what is left,
    who leaves first before them, and last is who leaves before an answer.
    """
    if held.is_from_outage:
        rank = held.rank(now, answer)
        if rank[0] == _RESCUED:
            return rank
    start = now + answer
    # The mean is of all routes: long requests of others make nobody late in
    # the first part of its own time.
    own_answer = min(answer, _MOST_OF_AIM * (held.in_time - held.came))
    if now + own_answer < held.in_time:
        return 1, -held.priority, -held.in_time
    return -int(start >= held.leaves), -held.priority, -held.leaves
