"""Opening packets that arrive before the first notice of a balancer.

Until that notice the agent does not know the directory nodes to register its
flows with.  For some seconds the nodes still answer for the previous agent
process on this host, and deny every flow that is not registered.  So an opening
packet waits for one round trip until the notice arrives; no flow is opened in
the meantime.
"""

from typing import Final

from keelgap.packets.envelopes import CallerWait, EnvelopeKind
from keelgap.packets.openings import OPENING_SECONDS
from keelgap_agent.packets import defaults
from keelgap_agent.packets.admission import take_opening
from keelgap_agent.packets.effects import AgentEffect, Decided
from keelgap_agent.packets.events import EnvelopeArrived
from keelgap_agent.packets.state import AgentState

__all__ = (
    'ask_again',
    'hold_untold',
    'is_untold',
    'release_untold',
)

Effects = tuple[AgentEffect, ...]
_MILLISECONDS: Final = 1000


def is_untold(state: AgentState) -> bool:
    """Return whether no balancer has sent a notice yet."""
    return bool(state.registrar.own) and not state.registrar.is_greeted


def hold_untold(
    state: AgentState,
    key: bytes,
    event: EnvelopeArrived,
) -> Effects:
    """Queue an opening packet and request a notice from its balancer."""
    untold = state.registrar.untold
    is_copy = key in untold
    if len(untold) >= defaults.MAX_UNTOLD and not is_copy:
        # Its caller retransmits it.
        return (Decided('untold_full'),)
    untold[key] = event
    logged = () if is_copy else _log_queued(state, key, event)
    return (*_request_notice(state, event.sender, event.now), *logged)


def ask_again(state: AgentState, now: float) -> Effects:
    """Request the notice again and drop openings of callers that gave up.

    The request or its reply may have been lost, or the balancer may be down, so
    the sender of the latest opening packet is asked.
    """
    untold = state.registrar.untold
    expired = [
        key
        for key, event in untold.items()
        if now - event.now > OPENING_SECONDS
    ]
    for key in expired:
        untold.pop(key)
    dropped = tuple(Decided('drop_untold') for _ in expired)
    if not untold:
        return dropped
    latest = max(untold.values(), key=lambda event: event.now)
    return (*dropped, *_request_notice(state, latest.sender, now))


def release_untold(state: AgentState, now: float) -> Effects:
    """Admit the opening packets that waited for a notice."""
    untold = state.registrar.untold
    state.registrar.untold = {}
    return tuple(
        effect
        for key, event in untold.items()
        for effect in take_opening(state, key, _shift_to_now(event, now))
    )


def _request_notice(state: AgentState, balancer: str, now: float) -> Effects:
    registrar = state.registrar
    if now - registrar.asked_at < defaults.ASK_NOTICE_SECONDS:
        return ()
    registrar.asked_at = now
    return (state.send(balancer, EnvelopeKind.ASK, b''),)


def _shift_to_now(event: EnvelopeArrived, now: float) -> EnvelopeArrived:
    """Return an opening as if it arrived now, with its times adjusted."""
    envelope = event.envelope
    waited = round((now - event.now) * _MILLISECONDS)
    wait = CallerWait(
        envelope.wait.age_ms + waited,
        max(envelope.wait.patience_ms - waited, 0),
        max(envelope.wait.assured_ms - waited, 0),
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
        'age': round(event.now - state.registrar.began, 3),
    }
    return (Decided('held_untold', fields),)
