"""Find out how requests end, from the packets and from their absence."""

from typing import Final

from keelgap.packets.formats import Flags
from keelgap_agent.packets.effects import AgentEffect
from keelgap_agent.packets.events import EnvelopeArrived
from keelgap_agent.packets.flows import Flow
from keelgap_agent.packets.outcomes import defaults
from keelgap_agent.packets.outcomes.acknowledging import (
    acknowledges_upstream,
    is_next,
)
from keelgap_agent.packets.outcomes.giving_up import give_back_opening
from keelgap_agent.packets.outcomes.score import Outcome
from keelgap_agent.packets.outcomes.state import Work
from keelgap_agent.packets.outcomes.verdicts import note_outcome
from keelgap_agent.packets.state import AgentState

__all__ = (
    'judge_answer',
    'judge_bounce',
    'judge_silence',
    'note_opening',
    'note_upstream_packet',
    'note_work',
)

Effects = tuple[AgentEffect, ...]
_SYN: Final = int(Flags.SYN)
_FIN: Final = int(Flags.FIN)
_RST: Final = int(Flags.RST)
#: Statuses of an upstream that failed begin here.
_ERRORS: Final = 500
#: May be said for want of room, with or without a word on the request.
_UNAVAILABLE: Final = 503
#: Of a request that does not belong to this upstream.
_MISDIRECTED: Final = 421


def note_opening(
    state: AgentState,
    key: bytes,
    event: EnvelopeArrived,
) -> None:
    """Note that the upstream gets the opening packet of a flow."""
    if state.features.ejection:
        state.outcomes.unopened[key] = event


def note_work(
    state: AgentState,
    key: bytes,
    flow: Flow,
    datagram: bytes,
    now: float,
) -> None:
    """Note that the upstream gets data of a request.

    Only of a flow that it surely holds: those that this process has not seen
    open may be over, and their caller may have chosen another upstream.
    """
    if not state.features.ejection or flow.busy_since is None:
        return
    if flow.work is not None:
        state.outcomes.go_on(flow.work, now)
        return
    is_first = flow.opened_with is not None
    if not flow.confirmed or (
        is_first and not acknowledges_upstream(state, flow, datagram)
    ):
        return
    flow.work = state.outcomes.begin(key, now, state.busy)


def note_upstream_packet(
    state: AgentState,
    key: bytes,
    flow: Flow,
    datagram: bytes,
) -> None:
    """Note that the upstream answered an opening packet."""
    if state.format.flags(datagram) & _SYN:
        flow.opened_with = state.format.sequence(datagram)
        state.outcomes.unopened.pop(key, None)


def judge_answer(
    state: AgentState,
    key: bytes,
    flow: Flow,
    datagram: bytes,
    now: float,
) -> Effects:
    """Judge a packet of the upstream, before its request ends."""
    if not state.features.ejection:
        return ()
    outcomes = state.outcomes
    is_unopened = outcomes.unopened.pop(key, None) is not None
    if state.format.data_length(datagram):
        return _judge_data(state, key, flow, datagram, now)
    if flow.work in outcomes.stuck:
        # It counted when its answer was overdue.
        return ()
    flags = state.format.flags(datagram)
    if flags & _RST and (flow.work is not None or is_unopened):
        return note_outcome(state, key, Outcome.RESET, now)
    if flags & _FIN and _is_close_early(state, flow, datagram):
        return note_outcome(state, key, Outcome.CLOSED, now)
    return ()


def _is_close_early(state: AgentState, flow: Flow, datagram: bytes) -> bool:
    """Return whether the upstream closed a flow before any answer.

    The packet that closes may overtake those with the answer; its number
    tells.  On a flow with earlier answers it proves nothing: an upstream that
    leaves closes after one, and may not have seen the next request.
    """
    if flow.work is None or flow.opened_with is None:
        return False
    return is_next(state.format.sequence(datagram), flow.opened_with)


def _judge_data(
    state: AgentState,
    key: bytes,
    flow: Flow,
    datagram: bytes,
    now: float,
) -> Effects:
    is_overtaken = flow.ended and flow.opened_with is not None
    flow.opened_with = None
    if flow.work is None and not is_overtaken:
        return ()
    state.outcomes.note_answer(flow.work)
    # A request whose flow was closed first counts no more.
    at_work = state.busy + (flow.work is None)
    outcome = _find_outcome(state, datagram, at_work)
    if outcome is None:
        state.outcomes.ejection.forget(key)
        return ()
    return note_outcome(state, key, outcome, now)


def _find_outcome(
    state: AgentState,
    datagram: bytes,
    at_work: int,
) -> Outcome | None:
    """Return what an answer says; None if it proves nothing."""
    status = state.format.read_status(datagram)
    is_full = at_work > state.slots
    if state.format.says_not_run(datagram):
        if is_full or status == _MISDIRECTED:
            return None
        return Outcome.REFUSED
    if status < _ERRORS:
        return Outcome.ANSWERED
    if is_full and status == _UNAVAILABLE:
        return None
    return Outcome.ERROR


def judge_bounce(
    state: AgentState,
    key: bytes,
    flow: Flow,
    packet: bytes,
    now: float,
) -> Effects:
    """Judge a packet that the upstream gave back.

    One of a flow that was open says only that the upstream has started anew;
    the caller's first data that it lost the flow a moment after taking it.
    """
    is_lost = flow.work is not None and flow.opened_with is not None
    if not is_lost or not state.format.data_length(packet):
        return ()
    return note_outcome(state, key, Outcome.FORGOTTEN, now)


def judge_silence(state: AgentState, now: float) -> Effects:
    """Judge what has had no answer for too long."""
    if not state.features.ejection:
        return ()
    patience = _choose_patience(state)
    state.outcomes.ejection.trial_seconds = max(
        defaults.TRIAL_SECONDS,
        2 * patience,
    )
    state.outcomes.tick(now)
    return (*_judge_openings(state, now), *_judge_requests(state, now))


def _judge_openings(state: AgentState, now: float) -> Effects:
    outcomes = state.outcomes
    limit = now - defaults.OPENING_SILENCE_SECONDS
    is_young = now - outcomes.began < defaults.GRACE_SECONDS
    if is_young or outcomes.awake_since > limit:
        return ()
    late = [
        key
        for key, event in outcomes.unopened.items()
        if event.now <= limit and event.envelope.hop < defaults.FORCED_HOP
    ]
    effects: list[AgentEffect] = []
    for key in late:
        if key not in state.held:
            outcomes.unopened.pop(key, None)
            continue
        if not effects:
            # One short pause makes all of them late.
            effects.extend(note_outcome(state, key, Outcome.UNOPENED, now))
        if key in outcomes.unopened:
            effects.extend(give_back_opening(state, key, now))
    return tuple(effects)


def _judge_requests(state: AgentState, now: float) -> Effects:
    outcomes = state.outcomes
    limit = now - _choose_patience(state)
    if outcomes.awake_since > limit:
        return ()
    effects: list[AgentEffect] = []
    for work in tuple(outcomes.at_work):
        if work.latest > limit:
            break
        if _is_overdue(state, work):
            outcomes.judge_silent(work)
            effects.extend(note_outcome(state, work.key, Outcome.SILENT, now))
    return tuple(effects)


def _choose_patience(state: AgentState) -> float:
    """Return how long a request may go without an answer."""
    answer = state.answer_seconds
    longest = max(
        defaults.LONGEST_SILENCE_SECONDS,
        defaults.SLOW_ANSWERS * answer,
    )
    if not state.outcomes.answers:
        return longest
    usual = min(defaults.SILENCE_ANSWERS * answer, longest)
    return max(usual, defaults.SHORTEST_SILENCE_SECONDS)


def _is_overdue(state: AgentState, work: Work) -> bool:
    """Return whether nobody is answered, or those who came later are.

    While the upstream is ejected answers are rare, and prove nothing.
    """
    if state.outcomes.ejection.is_out:
        return True
    answers = state.outcomes.answers - work.answers
    overtaken = 2 * work.before + defaults.OVERTAKEN_ANSWERS
    return not answers or answers >= overtaken
