"""New flows that come before any balancer told this agent of its directory.

Directory nodes speak for the process that was here before for some seconds,
and would deny a flow that is not registered with them.  So an opening packet
waits for the first notice, one round trip; no flow is open meanwhile.
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
    """Return whether no balancer has told of the directory so far."""
    return bool(state.registrar.own) and not state.registrar.is_greeted


def hold_untold(
    state: AgentState,
    key: bytes,
    event: EnvelopeArrived,
) -> Effects:
    """Keep an opening packet, and ask its balancer for a notice."""
    untold = state.registrar.untold
    is_copy = key in untold
    if len(untold) >= defaults.MAX_UNTOLD and not is_copy:
        # Its caller repeats it.
        return (Decided('untold_full'),)
    untold[key] = event
    told = () if is_copy else _describe(state, key, event)
    return (*_ask(state, event.sender, event.now), *told)


def ask_again(state: AgentState, now: float) -> Effects:
    """Ask who sent the latest opening again; drop those of callers that left.

    The question or its answer may have been lost, or the balancer.
    """
    untold = state.registrar.untold
    late = [
        key
        for key, event in untold.items()
        if now - event.now > OPENING_SECONDS
    ]
    for key in late:
        untold.pop(key)
    dropped = tuple(Decided('drop_untold') for _ in late)
    if not untold:
        return dropped
    latest = max(untold.values(), key=lambda event: event.now)
    return (*dropped, *_ask(state, latest.sender, now))


def release_untold(state: AgentState, now: float) -> Effects:
    """Take the opening packets that waited for a notice."""
    untold = state.registrar.untold
    state.registrar.untold = {}
    return tuple(
        effect
        for key, event in untold.items()
        for effect in take_opening(state, key, _delay(event, now))
    )


def _ask(state: AgentState, balancer: str, now: float) -> Effects:
    registrar = state.registrar
    if now - registrar.asked_at < defaults.ASK_NOTICE_SECONDS:
        return ()
    registrar.asked_at = now
    return (state.send(balancer, EnvelopeKind.ASK, b''),)


def _delay(event: EnvelopeArrived, now: float) -> EnvelopeArrived:
    """Return an opening as if it came now; its caller has waited longer."""
    envelope = event.envelope
    waited = round((now - event.now) * _MILLISECONDS)
    wait = CallerWait(
        envelope.wait.age_ms + waited,
        max(envelope.wait.patience_ms - waited, 0),
        max(envelope.wait.assured_ms - waited, 0),
    )
    later = envelope._replace(left_ms=envelope.left_ms - waited, wait=wait)
    return event._replace(now=now, envelope=later)


def _describe(
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
