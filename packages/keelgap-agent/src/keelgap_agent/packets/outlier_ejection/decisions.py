"""Update the score of the upstream, and eject it or return it to service."""

from typing import Final

from keelgap_agent.packets.effects import AgentEffect, Decided
from keelgap_agent.packets.outlier_ejection import defaults
from keelgap_agent.packets.outlier_ejection.abandonment import (
    abandon_queued_flows,
)
from keelgap_agent.packets.outlier_ejection.score import Outcome, OutlierScore
from keelgap_agent.packets.state import AgentState

__all__ = ('record_outcome',)

Effects = tuple[AgentEffect, ...]
_MILLISECONDS: Final = 1000
#: A flow key holds the address and port of the caller (6 octets), then those
#: of the route.
_ROUTE_OFFSET: Final = 6


def record_outcome(
    state: AgentState,
    key: bytes,
    outcome: Outcome,
    now: float,
) -> Effects:
    """Add a request's outcome to the score; eject or return the upstream."""
    outcomes = state.outcomes
    route = key[_ROUTE_OFFSET:]
    if outcome is Outcome.ANSWERED:
        outcomes.score.record_success(route, now)
        return (
            _record_success_while_ejected(state, key, now)
            if outcomes.ejection.is_ejected
            else ()
        )
    outcomes.score.record_failure(outcome, route)
    failure = Decided(f'outcome_{outcome.value}')
    if outcomes.ejection.is_ejected:
        return (
            failure,
            *_record_failure_while_ejected(state, key, outcome, now),
        )
    if outcomes.score.compute(now) < defaults.EJECTION_SCORE:
        return (failure,)
    return (failure, *_eject(state, key, outcome, now))


def _eject(
    state: AgentState,
    key: bytes,
    outcome: Outcome,
    now: float,
) -> Effects:
    """Eject the upstream, log it, and abandon its queued flows."""
    outcomes = state.outcomes
    is_unresponsive = _proves_unresponsive(state, outcome)
    outcomes.ejection.eject(now, is_unresponsive=is_unresponsive)
    outcomes.has_unreported_change = True
    fields = {
        **_describe(state, key, outcome, now),
        'busy': state.busy,
        'waiting': len(state.queued),
        'answer_ms': round(state.answer_seconds * _MILLISECONDS, 1),
    }
    ejected = Decided('upstream_ejected', fields)
    return (ejected, *abandon_queued_flows(state, now))


def _record_failure_while_ejected(
    state: AgentState,
    key: bytes,
    outcome: Outcome,
    now: float,
) -> Effects:
    """Record a failed trial, or check the failure of any other request."""
    ejection = state.outcomes.ejection
    if key not in ejection.trials:
        return _check_responsiveness(state, outcome, now)
    ejection.is_unresponsive = outcome is Outcome.SILENT
    ejection.record_trial(key, now, is_good=False)
    state.outcomes.has_unreported_change = True
    trial = Decided('upstream_trial', _describe(state, key, outcome, now))
    return (trial, *abandon_queued_flows(state, now))


def _check_responsiveness(
    state: AgentState,
    outcome: Outcome,
    now: float,
) -> Effects:
    """Abandon queued flows if an ejected upstream proves unresponsive."""
    ejection = state.outcomes.ejection
    if ejection.is_unresponsive or not _proves_unresponsive(state, outcome):
        return ()
    ejection.is_unresponsive = True
    return abandon_queued_flows(state, now)


def _proves_unresponsive(state: AgentState, outcome: Outcome) -> bool:
    """Return whether an outcome shows that queued requests get no response.

    It takes as many silent requests as would eject an upstream, and at least
    one response before: until then the usual response time is not known.
    """
    if outcome is not Outcome.SILENT or not state.outcomes.responses:
        return False
    silence_score = len(state.outcomes.timed_out) * defaults.LOST_WEIGHT
    return silence_score >= defaults.EJECTION_SCORE


def _record_success_while_ejected(
    state: AgentState, key: bytes, now: float
) -> Effects:
    """Record a good trial; enough of them return the upstream to service."""
    outcomes = state.outcomes
    ejection = outcomes.ejection
    if not ejection.is_admitted(key):
        return ()
    ejection.record_trial(key, now, is_good=True)
    outcomes.has_unreported_change = True
    fields = _describe(state, key, Outcome.ANSWERED, now)
    if not ejection.has_passed():
        return (Decided('upstream_trial', fields),)
    ejection.return_to_service(now)
    outcomes.score = OutlierScore(defaults.RETURN_SCORE)
    return (Decided('upstream_returned', fields),)


def _describe(
    state: AgentState,
    key: bytes,
    outcome: Outcome,
    now: float,
) -> dict[str, object]:
    """Return the log fields of an outcome that changes the ejection."""
    outcomes = state.outcomes
    return {
        'flow': state.format.describe_key(key),
        'outcome': outcome.value,
        'score': round(outcomes.score.compute(now), 2),
        'wait': outcomes.ejection.wait_seconds,
        'good_trials': outcomes.ejection.good_trials,
    }
