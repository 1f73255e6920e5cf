"""What an agent does while there is no upstream beside it."""

from keelgap.packets.envelopes import EnvelopeKind
from keelgap_agent.packets.effects import (
    AgentEffect,
    Decided,
    ProbeUpstream,
)
from keelgap_agent.packets.events import EnvelopeArrived, UpstreamProbed
from keelgap_agent.packets.state import AgentState

__all__ = ('deny', 'look_for_upstream', 'take_probe')

Effects = tuple[AgentEffect, ...]


def look_for_upstream(state: AgentState, now: float) -> Effects:
    """Probe an upstream that owes a packet, or that was absent."""
    return (ProbeUpstream(),) if state.presence.must_probe(now) else ()


def take_probe(state: AgentState, event: UpstreamProbed) -> Effects:
    """Take whether somebody listens at the upstream's port."""
    presence = state.presence
    was_absent = presence.is_absent
    if event.listens:
        presence.note_accepted()
        return (Decided('upstream_there', {}),) if was_absent else ()
    if presence.owed_since is None:
        # It sent a packet while the probe was under way.
        return ()
    presence.note_refused()
    if was_absent:
        return ()
    fields = {'flows': len(state.flows), 'owed_since': presence.owed_since}
    return (Decided('upstream_absent', fields), *_forget_flows(state))


def _forget_flows(state: AgentState) -> Effects:
    """Give back what waits; whatever starts here knows none of the flows.

    So this process has seen each flow that the next upstream will hold.
    """
    waiting = tuple(state.held.values())
    for key in tuple(state.flows):
        state.forget(key)
    state.registrar.is_complete = True
    return tuple(
        state.give_back(packet.sender, packet.envelope)
        for held in waiting
        for packet in held.packets.values()
    )


def deny(state: AgentState, key: bytes, event: EnvelopeArrived) -> Effects:
    """Give a packet back at once: nobody is there who could hold its flow."""
    if event.envelope.kind == EnvelopeKind.OPEN:
        state.balancers.owed.add(event.sender)
    denied = Decided(
        'miss_absent',
        {'flow': state.format.describe_key(key), 'hop': event.envelope.hop},
    )
    return state.give_back(event.sender, event.envelope), denied
