"""Which new flows the upstream gets, and when.

An upstream serves its queue in order, so after an outage everybody would be
late: those who came back first, and all who come after them.  New flows wait
here instead, and the one whose caller began last goes first: it can still be
answered in time, while those that waited long are late in any case and get
what room is left.  Nothing is held that is not meant to be served.
"""

from keelgap.packets.envelopes import EnvelopeKind
from keelgap_agent.packets import defaults
from keelgap_agent.packets.effects import (
    AgentEffect,
    Decided,
    SendToBalancer,
    SendToUpstream,
)
from keelgap_agent.packets.events import EnvelopeArrived
from keelgap_agent.packets.state import AgentState, Flow, Held

__all__ = ('give_back_all', 'release_held', 'take_opening')

Effects = tuple[AgentEffect, ...]


def take_opening(
    state: AgentState,
    key: bytes,
    event: EnvelopeArrived,
) -> Effects:
    """Pass the first packet of a flow on, hold it, or give it back."""
    if key in state.held:
        return (Decided('copy_of_held'),)
    envelope = event.envelope
    if envelope.slots:
        state.slots = envelope.slots
    if state.stopping_since is not None:
        return _give_back(state, event, 'miss_closed')
    if len(state.flows) >= defaults.MAX_FLOWS:
        return _give_back(state, event, 'miss_full')
    copies = state.format.copies(envelope.content)
    copies = min(copies, len(defaults.COPY_SECONDS) - 1)
    opened = event.now - defaults.COPY_SECONDS[copies]
    held = Held(event.sender, envelope, opened)
    if state.has_room and not state.held:
        return (_pass(state, key, held, event.now),)
    if len(state.held) >= state.slots * defaults.HELD_PER_SLOT:
        return _give_back(state, event, 'miss_queue_full')
    state.held[key] = held
    return (Decided('held'), *release_held(state, event.now))


def _give_back(
    state: AgentState,
    event: EnvelopeArrived,
    reason: str,
) -> Effects:
    envelope = event.envelope
    miss = state.send(
        event.sender,
        EnvelopeKind.MISS,
        envelope.content,
        envelope.hop,
    )
    return miss, Decided(reason)


def _pass(
    state: AgentState,
    key: bytes,
    held: Held,
    now: float,
) -> SendToUpstream:
    flow = Flow(now)
    state.flows[key] = flow
    # Its request follows within a round trip and needs a slot.
    state.start_request(flow, now)
    state.openings[key] = flow
    envelope = held.envelope
    mark = state.balancers.make_mark(held.sender, envelope.hop, envelope.kind)
    return SendToUpstream(state.format.with_mark(envelope.content, mark))


def release_held(state: AgentState, now: float) -> Effects:
    """Pass on what the upstream has room for, the latest callers first."""
    effects: list[AgentEffect] = []
    while state.held and state.has_room:
        key = max(state.held, key=lambda one: state.held[one].opened)
        held = state.held.pop(key)
        if now - held.opened < defaults.OPENING_SECONDS:
            effects.append(_pass(state, key, held, now))
        else:
            effects.append(Decided('held_too_long'))
    return tuple(effects)


def give_back_all(state: AgentState) -> tuple[SendToBalancer, ...]:
    """Return all that waits to the balancers, who know other takers."""
    held = tuple(state.held.values())
    state.held.clear()
    return tuple(
        state.send(
            one.sender,
            EnvelopeKind.MISS,
            one.envelope.content,
            one.envelope.hop,
        )
        for one in held
    )
