"""Whose answer would surely come too late, before its flow is open.

An open flow is ended by its upstream only, so a request that cannot be served
is refused with its opening packet or not at all.  (One exception: beside an
ejected upstream that is silent, ``outcomes/giving_up.py``.)  One that
can be answered in time is taken.  One that would be late is taken unless so
many late ones wait already that the room left by the usual load cannot serve
them before its caller leaves, even with less than that load.
"""

from typing import TYPE_CHECKING, Final, NamedTuple

from keelgap.packets.envelopes import Envelope
from keelgap_agent.packets.room import defaults

if TYPE_CHECKING:
    from keelgap_agent.packets.flows import Held
    from keelgap_agent.packets.state import AgentState

__all__ = ('NO_TIME', 'compute_room_ms', 'lacks_time')

#: The reason as it is counted and logged.
NO_TIME: Final = 'miss_no_time'
_MILLISECONDS: Final = 1000
#: The longest wait that an envelope can name.
_MOST_MS: Final = 32767


class _Queue(NamedTuple):
    """Those who wait, as a new request sees them."""

    #: Those that go before it.
    ahead: int
    #: Those as urgent that are late already and can still be answered.
    late: int


def lacks_time(
    state: 'AgentState',
    held: 'Held',
    envelope: Envelope,
    now: float,
) -> bool:
    """Return whether a new request surely gets no answer here.

    Who waits since an outage never had a chance before.
    """
    if held.is_from_outage or not state.room.is_known:
        return False
    if _has_room_now(state):
        return False
    queue = _count_waiting(state, held, now)
    is_first_try = envelope.wait.age_ms < defaults.RETRY_AGE_MS
    if _is_in_time(state, held, queue, now, is_first_try):
        return False
    share = defaults.LATE_SHARE if is_first_try else 1
    return queue.late >= share * _count_late_places(state, held, now)


def _has_room_now(state: 'AgentState') -> bool:
    """Return whether a request would be passed on at once."""
    return state.has_room and not state.held


def _is_in_time(
    state: 'AgentState',
    held: 'Held',
    queue: _Queue,
    now: float,
    is_first_try: bool,
) -> bool:
    work = state.room.pace * state.slots
    margin = defaults.MARGIN_WORKS * work if is_first_try else 0
    answered = now + _expect_start(state, held, queue, now) + work
    return answered + margin < held.in_time


def compute_room_ms(state: 'AgentState', held: 'Held', now: float) -> int:
    """Return the milliseconds until a request like this one would start."""
    queue = _count_waiting(state, held, now)
    wait = _expect_start(state, held, queue, now)
    return max(min(round(wait * _MILLISECONDS), _MOST_MS), 1)


def _count_waiting(state: 'AgentState', held: 'Held', now: float) -> _Queue:
    work = state.room.pace * state.slots
    ahead = 0
    late = 0
    for other in state.held.values():
        is_here = other.packets or now - other.came < defaults.HANDSHAKE_SECONDS
        if not is_here or now + work >= other.leaves:
            continue
        if other.priority > held.priority:
            continue
        if other.rank(now, work)[0] > 0:
            ahead += 1
        else:
            late += 1
    return _Queue(ahead, late)


def _expect_start(
    state: 'AgentState',
    held: 'Held',
    queue: _Queue,
    now: float,
) -> float:
    """Return the seconds until the upstream begins on a new request."""
    room = state.room
    higher = room.compute_higher_load(held.priority, now)
    if higher > defaults.MOST_HIGHER_LOAD:
        return float(_MOST_MS)
    answers = max(queue.ahead + state.busy + 1 - state.slots, 0)
    return answers * room.pace / (1 - higher)


def _count_late_places(
    state: 'AgentState',
    held: 'Held',
    now: float,
) -> float:
    """Return how many late requests may be served until a caller leaves."""
    room = state.room
    work = room.pace * state.slots
    left = max(held.leaves - now - work, 0)
    spare = room.compute_spare(held.priority, now)
    return defaults.SURE_FACTOR * left * spare / room.pace
