"""Update the score of the upstream, and eject it or return it to service."""

from typing import Final

from keelgap_agent.packets.effects import AgentEffect, Decided
from keelgap_agent.packets.outcomes import defaults
from keelgap_agent.packets.outcomes.giving_up import give_up_all
from keelgap_agent.packets.outcomes.score import Outcome, Score
from keelgap_agent.packets.state import AgentState

__all__ = ('note_outcome',)

Effects = tuple[AgentEffect, ...]
_MILLISECONDS: Final = 1000
#: A flow key holds the address and port of the caller (6 octets), then those
#: of the route.
_ROUTE_OFFSET: Final = 6


def note_outcome(
    state: AgentState,
    key: bytes,
    outcome: Outcome,
    now: float,
) -> Effects:
    """Add an outcome to the score, and update the ejection accordingly."""
    outcomes = state.outcomes
    route = key[_ROUTE_OFFSET:]
    if outcome is Outcome.ANSWERED:
        outcomes.score.note_good(route, now)
        return (
            _record_success(state, key, now) if outcomes.ejection.is_out else ()
        )
    outcomes.score.note_failure(outcome, route)
    failure = Decided(f'outcome_{outcome.value}')
    if outcomes.ejection.is_out:
        return (failure, *_record_failure(state, key, outcome, now))
    if outcomes.score.compute(now) < defaults.EJECTION_SCORE:
        return (failure,)
    return (failure, *_eject(state, key, outcome, now))


def _eject(
    state: AgentState,
    key: bytes,
    outcome: Outcome,
    now: float,
) -> Effects:
    outcomes = state.outcomes
    is_silent = _proves_unresponsive(state, outcome)
    outcomes.ejection.eject(now, is_silent=is_silent)
    outcomes.has_news = True
    fields = {
        **_describe(state, key, outcome, now),
        'busy': state.busy,
        'waiting': len(state.queued),
        'answer_ms': round(state.answer_seconds * _MILLISECONDS, 1),
    }
    ejected = Decided('upstream_ejected', fields)
    return (ejected, *give_up_all(state, now))


def _record_failure(
    state: AgentState,
    key: bytes,
    outcome: Outcome,
    now: float,
) -> Effects:
    ejection = state.outcomes.ejection
    if key not in ejection.trials:
        return _check_responsiveness(state, outcome, now)
    ejection.is_silent = outcome is Outcome.SILENT
    ejection.note_trial(key, now, is_good=False)
    state.outcomes.has_news = True
    trial = Decided('upstream_trial', _describe(state, key, outcome, now))
    return (trial, *give_up_all(state, now))


def _check_responsiveness(
    state: AgentState,
    outcome: Outcome,
    now: float,
) -> Effects:
    """Abandon queued flows if an ejected upstream proves unresponsive."""
    ejection = state.outcomes.ejection
    if ejection.is_silent or not _proves_unresponsive(state, outcome):
        return ()
    ejection.is_silent = True
    return give_up_all(state, now)


def _proves_unresponsive(state: AgentState, outcome: Outcome) -> bool:
    """Return whether queued requests would get no response at all.

    It takes as many silent requests as would eject an upstream, and at least
    one response before: until then the usual response time is not known.
    """
    if outcome is not Outcome.SILENT or not state.outcomes.answers:
        return False
    silence_score = len(state.outcomes.stuck) * defaults.LOST_WEIGHT
    return silence_score >= defaults.EJECTION_SCORE


def _record_success(state: AgentState, key: bytes, now: float) -> Effects:
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
