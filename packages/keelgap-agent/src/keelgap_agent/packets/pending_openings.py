"""Opening packets that arrive before the first notice of a balancer.

Until that notice the agent does not know the directory nodes to register its
flows with.  For some seconds the nodes still answer for the previous agent
process on this host, and deny every flow that is not registered.  So an opening
packet waits for one round trip until the notice arrives; no flow is opened in
the meantime.
"""

from typing import Final

from keelgap.packets.envelopes import CallerWait, EnvelopeKind
from keelgap.packets.retransmission import OPEN_TIMEOUT_SECONDS
from keelgap_agent.packets import defaults
from keelgap_agent.packets.admission import admit_opening
from keelgap_agent.packets.effects import AgentEffect, Decided
from keelgap_agent.packets.events import EnvelopeArrived
from keelgap_agent.packets.state import AgentState

__all__ = (
    'retry_notice_request',
    'queue_opening',
    'awaits_first_notice',
    'release_openings',
)

Effects = tuple[AgentEffect, ...]
_MILLISECONDS: Final = 1000


def awaits_first_notice(state: AgentState) -> bool:
    """Return whether no balancer has sent a notice yet.

    An agent that takes part in no directory needs none.
    """
    return bool(state.registrar.own_host) and not state.registrar.has_notice


def queue_opening(
    state: AgentState,
    key: bytes,
    event: EnvelopeArrived,
) -> Effects:
    """Queue an opening packet and request a notice from its balancer.

    The notice names the directory nodes, which the agent needs to register the
    flow.  If the queue is full, the packet is dropped.
    """
    pending_openings = state.registrar.pending_openings
    is_copy = key in pending_openings
    if len(pending_openings) >= defaults.MAX_PENDING_OPENINGS and not is_copy:
        # Its caller retransmits it.
        return (Decided('untold_full'),)
    pending_openings[key] = event
    logged = () if is_copy else _log_queued(state, key, event)
    return (*_request_notice(state, event.sender, event.now), *logged)


def retry_notice_request(state: AgentState, now: float) -> Effects:
    """Request the notice again and drop openings of callers that gave up.

    The first request or its reply may have been lost, or its balancer may be
    down, so the sender of the latest opening packet is asked.
    """
    pending_openings = state.registrar.pending_openings
    expired = [
        key
        for key, event in pending_openings.items()
        if now - event.now > OPEN_TIMEOUT_SECONDS
    ]
    for key in expired:
        pending_openings.pop(key)
    dropped = tuple(Decided('drop_untold') for _ in expired)
    if not pending_openings:
        return dropped
    latest = max(pending_openings.values(), key=lambda event: event.now)
    return (*dropped, *_request_notice(state, latest.sender, now))


def release_openings(state: AgentState, now: float) -> Effects:
    """Admit the opening packets that waited for a notice."""
    pending_openings = state.registrar.pending_openings
    state.registrar.pending_openings = {}
    return tuple(
        effect
        for key, event in pending_openings.items()
        for effect in admit_opening(state, key, _shift_to_now(event, now))
    )


def _request_notice(state: AgentState, balancer: str, now: float) -> Effects:
    """Request a notice of a balancer, unless that was done a moment ago.

    A notice names the directory nodes with which to register flows.
    """
    registrar = state.registrar
    if now - registrar.notice_requested_at < defaults.NOTICE_RETRY_SECONDS:
        return ()
    registrar.notice_requested_at = now
    return (state.send(balancer, EnvelopeKind.ASK, b''),)


def _shift_to_now(event: EnvelopeArrived, now: float) -> EnvelopeArrived:
    """Return an opening packet as if it arrived now, with times adjusted."""
    envelope = event.envelope
    waited = round((now - event.now) * _MILLISECONDS)
    wait = CallerWait(
        envelope.wait.age_ms + waited,
        max(envelope.wait.max_remaining_ms - waited, 0),
        max(envelope.wait.min_remaining_ms - waited, 0),
    )
    shifted = envelope._replace(left_ms=envelope.left_ms - waited, wait=wait)
    return event._replace(now=now, envelope=shifted)


def _log_queued(
    state: AgentState,
    key: bytes,
    event: EnvelopeArrived,
) -> Effects:
    fields = {
        'flow': state.format.describe_key(key),
        'hop': event.envelope.hop,
        'asked': event.sender,
        'age': round(event.now - state.registrar.started_at, 3),
    }
    return (Decided('held_untold', fields),)
