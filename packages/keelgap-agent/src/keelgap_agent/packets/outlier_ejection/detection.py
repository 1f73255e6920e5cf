"""Determine the outcomes of requests from packets and from timeouts."""

from typing import Final

from keelgap.packets.formats import Flags
from keelgap_agent.packets.effects import AgentEffect
from keelgap_agent.packets.events import EnvelopeArrived
from keelgap_agent.packets.flows import Flow
from keelgap_agent.packets.outlier_ejection import defaults
from keelgap_agent.packets.outlier_ejection.abandonment import return_opening
from keelgap_agent.packets.outlier_ejection.acknowledgments import (
    acknowledges_upstream,
    follows_opening,
)
from keelgap_agent.packets.outlier_ejection.decisions import record_outcome
from keelgap_agent.packets.outlier_ejection.score import Outcome
from keelgap_agent.packets.outlier_ejection.state import InFlightRequest
from keelgap_agent.packets.state import AgentState

__all__ = (
    'record_packet_outcome',
    'record_bounce_outcome',
    'detect_timeouts',
    'track_opening',
    'record_opening_reply',
    'track_request',
)

Effects = tuple[AgentEffect, ...]
_SYN: Final = int(Flags.SYN)
_FIN: Final = int(Flags.FIN)
_RST: Final = int(Flags.RST)
#: The lowest HTTP status of a server error.
_FIRST_SERVER_ERROR: Final = 500
#: 503 Service Unavailable: may only mean a lack of capacity, whether or not
#: the response says that the request was not run.
_UNAVAILABLE: Final = 503
#: 421 Misdirected Request: the request does not belong to this upstream.
_MISDIRECTED: Final = 421


def track_opening(
    state: AgentState,
    key: bytes,
    event: EnvelopeArrived,
) -> None:
    """Start to wait for the upstream's reply to a flow's opening packet."""
    if state.features.ejection:
        state.outcomes.unanswered_openings[key] = event


def track_request(
    state: AgentState,
    key: bytes,
    flow: Flow,
    datagram: bytes,
    now: float,
) -> None:
    """Track a request of which data are sent to the upstream.

    Only flows of which the upstream has sent a packet are tracked: a flow that
    this process has not seen open may already be over.  If the upstream has
    sent no data yet, the caller's data must also acknowledge this upstream,
    since the caller may have chosen another one.
    """
    if not state.features.ejection or flow.busy_since is None:
        return
    if flow.in_flight_request is not None:
        state.outcomes.record_packet(flow.in_flight_request, now)
        return
    is_first_request = flow.initial_sequence is not None
    if not flow.confirmed or (
        is_first_request and not acknowledges_upstream(state, flow, datagram)
    ):
        return
    flow.in_flight_request = state.outcomes.start_tracking(key, now, state.busy)


def record_opening_reply(
    state: AgentState,
    key: bytes,
    flow: Flow,
    datagram: bytes,
) -> None:
    """Record the upstream's reply to an opening packet, if this is one."""
    if state.format.flags(datagram) & _SYN:
        flow.initial_sequence = state.format.sequence(datagram)
        state.outcomes.unanswered_openings.pop(key, None)


def record_packet_outcome(
    state: AgentState,
    key: bytes,
    flow: Flow,
    datagram: bytes,
    now: float,
) -> Effects:
    """Record the outcome that a packet from the upstream shows.

    To be called before ``AgentState.end_request``, which stops tracking the
    request.
    """
    if not state.features.ejection:
        return ()
    outcomes = state.outcomes
    was_unanswered = outcomes.unanswered_openings.pop(key, None) is not None
    if state.format.data_length(datagram):
        return _record_data_outcome(state, key, flow, datagram, now)
    if flow.in_flight_request in outcomes.timed_out:
        # The request was already counted as silent.
        return ()
    flags = state.format.flags(datagram)
    if flags & _RST and (flow.in_flight_request is not None or was_unanswered):
        return record_outcome(state, key, Outcome.RESET, now)
    if flags & _FIN and _closed_before_response(state, flow, datagram):
        return record_outcome(state, key, Outcome.CLOSED, now)
    return ()


def _closed_before_response(
    state: AgentState, flow: Flow, datagram: bytes
) -> bool:
    """Return whether the upstream closed a flow before any response.

    The closing packet may overtake the packets of the response, so its
    sequence number decides.  On a flow with earlier responses a close proves
    nothing: an upstream that shuts down closes after a response, and may not
    have seen the next request.
    """
    if flow.in_flight_request is None or flow.initial_sequence is None:
        return False
    return follows_opening(
        state.format.sequence(datagram), flow.initial_sequence
    )


def _record_data_outcome(
    state: AgentState,
    key: bytes,
    flow: Flow,
    datagram: bytes,
    now: float,
) -> Effects:
    """Record the outcome that data from the upstream show.

    Data of no tracked request are ignored, unless they were overtaken by the
    packet that closed the flow.
    """
    is_overtaken_by_close = flow.ended and flow.initial_sequence is not None
    flow.initial_sequence = None
    if flow.in_flight_request is None and not is_overtaken_by_close:
        return ()
    state.outcomes.record_response(flow.in_flight_request)
    # The busy count no longer includes a request whose flow was closed first.
    in_flight = state.busy + (flow.in_flight_request is None)
    outcome = _classify_response(state, datagram, in_flight)
    if outcome is None:
        # If the request was a trial, it showed nothing.
        state.outcomes.ejection.forget(key)
        return ()
    return record_outcome(state, key, outcome, now)


def _classify_response(
    state: AgentState,
    datagram: bytes,
    in_flight: int,
) -> Outcome | None:
    """Return the outcome that a response shows; None if it proves nothing."""
    status = state.format.read_status(datagram)
    is_full = in_flight > state.slots
    if state.format.says_not_run(datagram):
        if is_full or status == _MISDIRECTED:
            return None
        return Outcome.REFUSED
    if status < _FIRST_SERVER_ERROR:
        return Outcome.ANSWERED
    if is_full and status == _UNAVAILABLE:
        return None
    return Outcome.ERROR


def record_bounce_outcome(
    state: AgentState,
    key: bytes,
    flow: Flow,
    packet: bytes,
    now: float,
) -> Effects:
    """Record the outcome that a packet bounced by the upstream shows.

    The upstream bounces a packet, that is, returns it, if it does not accept
    it.  A bounce on an open flow only shows that the upstream restarted.
    A bounce of the caller's first data shows that the upstream lost the flow
    just after it accepted it.
    """
    was_just_accepted = (
        flow.in_flight_request is not None and flow.initial_sequence is not None
    )
    if not was_just_accepted or not state.format.data_length(packet):
        return ()
    return record_outcome(state, key, Outcome.FORGOTTEN, now)


def detect_timeouts(state: AgentState, now: float) -> Effects:
    """Record failures for overdue replies to openings and overdue responses.

    Also adapt the timeout of trials, and update which trials are wanted.
    """
    if not state.features.ejection:
        return ()
    response_timeout = _compute_response_timeout(state)
    state.outcomes.ejection.trial_timeout_seconds = max(
        defaults.TRIAL_TIMEOUT_SECONDS,
        2 * response_timeout,
    )
    state.outcomes.tick(now)
    return (
        *_detect_unanswered_openings(state, now),
        *_detect_silent_requests(state, now),
    )


def _detect_unanswered_openings(state: AgentState, now: float) -> Effects:
    """Send flows whose opening packet timed out back to their balancers.

    A single failure is recorded for all of them.
    """
    outcomes = state.outcomes
    limit = now - defaults.OPENING_TIMEOUT_SECONDS
    is_starting = now - outcomes.started_at < defaults.STARTUP_GRACE_SECONDS
    if is_starting or outcomes.running_since > limit:
        # After a pause of this process, replies may not have been read yet.
        return ()
    late = [
        key
        for key, event in outcomes.unanswered_openings.items()
        if event.now <= limit
        # An opening that most others have returned stays here.
        and event.envelope.hop < defaults.FORCED_ACCEPT_HOP
    ]
    effects: list[AgentEffect] = []
    for key in late:
        if key not in state.queued:
            outcomes.unanswered_openings.pop(key, None)
            continue
        if not effects:
            # A single short pause makes all of them late, so count it once.
            effects.extend(record_outcome(state, key, Outcome.UNOPENED, now))
        # Ejecting the upstream may have returned it already.
        if key in outcomes.unanswered_openings:
            effects.extend(return_opening(state, key, now))
    return tuple(effects)


def _detect_silent_requests(state: AgentState, now: float) -> Effects:
    """Record a failure for each request whose response is overdue."""
    outcomes = state.outcomes
    limit = now - _compute_response_timeout(state)
    if outcomes.running_since > limit:
        # After a pause of this process, replies may not have been read yet.
        return ()
    effects: list[AgentEffect] = []
    for request in tuple(outcomes.in_flight):
        if request.last_packet_at > limit:
            # Requests are ordered by their latest packets.
            break
        if _counts_as_silent(state, request):
            outcomes.mark_timed_out(request)
            effects.extend(
                record_outcome(state, request.key, Outcome.SILENT, now)
            )
    return tuple(effects)


def _compute_response_timeout(state: AgentState) -> float:
    """Return the seconds without a response until a request is overdue."""
    response_time = state.answer_seconds
    upper_bound = max(
        defaults.MAX_RESPONSE_TIMEOUT_SECONDS,
        defaults.SLOW_RESPONSE_FACTOR * response_time,
    )
    if not state.outcomes.responses:
        return upper_bound
    expected = min(
        defaults.RESPONSE_TIMEOUT_FACTOR * response_time, upper_bound
    )
    return max(expected, defaults.MIN_RESPONSE_TIMEOUT_SECONDS)


def _counts_as_silent(state: AgentState, request: InFlightRequest) -> bool:
    """Return whether an overdue request counts as lost.

    It does if the upstream has sent no response at all since the request, or
    so many that later requests have overtaken it.  While the upstream is
    ejected, responses are rare and prove nothing, so it always does.
    """
    if state.outcomes.ejection.is_ejected:
        return True
    responses = state.outcomes.responses - request.responses_before
    overtaking = 2 * request.requests_ahead + defaults.OVERTAKING_RESPONSES
    return not responses or responses >= overtaking
