"""What follows from the outcome of a request."""

from typing import Final

from keelgap_agent.packets.effects import AgentEffect, Decided
from keelgap_agent.packets.outcomes import defaults
from keelgap_agent.packets.outcomes.giving_up import give_up_all
from keelgap_agent.packets.outcomes.score import Outcome, Score
from keelgap_agent.packets.state import AgentState

__all__ = ('note_outcome',)

Effects = tuple[AgentEffect, ...]
_MILLISECONDS: Final = 1000
#: A flow key holds address and port of the caller, then of the route.
_ROUTE_AT: Final = 6


def note_outcome(
    state: AgentState,
    key: bytes,
    outcome: Outcome,
    now: float,
) -> Effects:
    """Add an outcome to the score, and decide on the upstream."""
    outcomes = state.outcomes
    route = key[_ROUTE_AT:]
    if outcome is Outcome.ANSWERED:
        outcomes.score.note_good(route, now)
        return _note_good(state, key, now) if outcomes.ejection.is_out else ()
    outcomes.score.note_failure(outcome, route)
    failed = Decided(f'outcome_{outcome.value}')
    if outcomes.ejection.is_out:
        return (failed, *_note_failure(state, key, outcome, now))
    if outcomes.score.compute(now) < defaults.EJECTION_SCORE:
        return (failed,)
    return (failed, *_eject(state, key, outcome, now))


def _eject(
    state: AgentState,
    key: bytes,
    outcome: Outcome,
    now: float,
) -> Effects:
    outcomes = state.outcomes
    is_silent = _shows_silence(state, outcome)
    outcomes.ejection.eject(now, is_silent=is_silent)
    outcomes.has_news = True
    fields = {
        **_describe(state, key, outcome, now),
        'busy': state.busy,
        'waiting': len(state.held),
        'answer_ms': round(state.answer_seconds * _MILLISECONDS, 1),
    }
    ejected = Decided('upstream_ejected', fields)
    return (ejected, *give_up_all(state, now))


def _note_failure(
    state: AgentState,
    key: bytes,
    outcome: Outcome,
    now: float,
) -> Effects:
    ejection = state.outcomes.ejection
    if key not in ejection.trials:
        return _note_silence(state, outcome, now)
    ejection.is_silent = outcome is Outcome.SILENT
    ejection.note_trial(key, now, is_good=False)
    state.outcomes.has_news = True
    trial = Decided('upstream_trial', _describe(state, key, outcome, now))
    return (trial, *give_up_all(state, now))


def _note_silence(
    state: AgentState,
    outcome: Outcome,
    now: float,
) -> Effects:
    """Give up what waits, if an upstream ejected before is found silent."""
    ejection = state.outcomes.ejection
    if ejection.is_silent or not _shows_silence(state, outcome):
        return ()
    ejection.is_silent = True
    return give_up_all(state, now)


def _shows_silence(state: AgentState, outcome: Outcome) -> bool:
    """Return whether those who wait would wait for nothing.

    It takes as many silent requests as would eject an upstream, and an answer
    before them: until then nobody knows how long answers take.
    """
    if outcome is not Outcome.SILENT or not state.outcomes.answers:
        return False
    proof = len(state.outcomes.stuck) * defaults.LOST_WEIGHT
    return proof >= defaults.EJECTION_SCORE


def _note_good(state: AgentState, key: bytes, now: float) -> Effects:
    outcomes = state.outcomes
    ejection = outcomes.ejection
    if not ejection.is_taken(key):
        return ()
    ejection.note_trial(key, now, is_good=True)
    outcomes.has_news = True
    fields = _describe(state, key, Outcome.ANSWERED, now)
    if not ejection.has_passed():
        return (Decided('upstream_trial', fields),)
    ejection.end(now)
    outcomes.score = Score(defaults.RETURN_SCORE)
    return (Decided('upstream_returned', fields),)


def _describe(
    state: AgentState,
    key: bytes,
    outcome: Outcome,
    now: float,
) -> dict[str, object]:
    outcomes = state.outcomes
    return {
        'flow': state.format.describe_key(key),
        'outcome': outcome.value,
        'score': round(outcomes.score.compute(now), 2),
        'wait': outcomes.ejection.wait,
        'good_trials': outcomes.ejection.good_trials,
    }
