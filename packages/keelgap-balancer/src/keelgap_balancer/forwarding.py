"""Routing decisions for datagrams from callers, agents and balancers."""

from collections.abc import Callable
from types import MappingProxyType
from typing import Final

from xxhash import xxh3_64_intdigest

from keelgap.addresses import UNSPECIFIED, Address, pack_address
from keelgap.routing.connection_ids import FlowOwner
from keelgap.routing.rendezvous import WeightedSeed, rank_members
from keelgap.wire.encapsulation import MAX_CANDIDATES, Envelope, MessageKind
from keelgap.wire.exceptions import (
    ForeignService,
    ForgedConnectionId,
    NoUpstream,
    UnknownOwner,
    WireError,
)
from keelgap.wire.packets import parse_header
from keelgap_balancer.effects import (
    BalancerEffect,
    Count,
    Drop,
    SendEnvelope,
    SendToCaller,
)
from keelgap_balancer.events import CallerDatagram, EnvelopeReceived
from keelgap_balancer.state import BalancerState

__all__ = ('handle_caller_datagram', 'handle_envelope', 'make_control_envelope')

Effects = tuple[BalancerEffect, ...]


def make_control_envelope(state: BalancerState, kind: MessageKind) -> Envelope:
    """Return an envelope without a service, a caller and a payload."""
    return Envelope(kind, 0, state.table.revision)


def handle_caller_datagram(
    state: BalancerState,
    event: CallerDatagram,
) -> Effects:
    """Route a datagram to the agent that owns its flow or may accept it."""
    state.last_caller_datagram_at = event.now
    try:
        return _route(state, event)
    except WireError as error:
        return (Drop(error.code),)


def _route(state: BalancerState, event: CallerDatagram) -> Effects:
    """Forward a datagram to its owner, or open a flow if it is a first one.

    Raises a WireError if the datagram must be dropped.
    """
    header = parse_header(event.payload)
    try:
        owner = state.codec.read(header.destination_id)
    except ForgedConnectionId:
        if not header.may_open_flow:
            raise
        return _open_flow(state, event, header.destination_id)
    return _forward_to_owner(state, event, owner)


def _forward_to_owner(
    state: BalancerState,
    event: CallerDatagram,
    owner: FlowOwner,
) -> Effects:
    """Forward a datagram to the agent that owns its flow.

    A suspect agent is reached through a peer balancer.
    """
    if owner.service != event.service:
        raise ForeignService
    if not state.may_own_flows(owner.agent):
        raise UnknownOwner
    envelope = _encapsulate(state, event, ())
    if state.health.is_suspect(owner.agent):
        return _detour(state, owner.agent, envelope, event.now)
    forward = SendEnvelope(owner.agent, envelope)
    if state.health.start_probe_if_due(owner.agent, event.now):
        probe = make_control_envelope(state, MessageKind.PROBE)
        return forward, SendEnvelope(owner.agent, probe)
    return (forward,)


def _open_flow(
    state: BalancerState,
    event: CallerDatagram,
    connection_id: bytes,
) -> Effects:
    """Forward a first datagram to the best candidate agent.

    Raises NoUpstream if there is no candidate.
    """
    candidates = choose_candidates(state, event.service, connection_id)
    if not candidates:
        raise NoUpstream
    first = candidates[0]
    envelope = _encapsulate(state, event, candidates)
    if state.health.is_suspect(first):
        return _detour(state, first, envelope, event.now)
    state.health.expect_answer(first, event.now)
    return (SendEnvelope(first, envelope),)


def choose_candidates(
    state: BalancerState,
    service: int,
    connection_id: bytes,
) -> tuple[Address, ...]:
    """Return the ranked agents for a new flow, suspects last.

    Suspects are agents presumed dead.  The hash key is the connection id that
    the caller chose, so that every balancer ranks the agents in the same order
    for all datagrams of one handshake.
    """
    eligible = state.eligible_upstreams.get(service, ())
    # At most half of the upstreams are suspect, so that twice as many of them
    # include enough others.
    ranked = rank_members(connection_id, eligible, MAX_CANDIDATES * 2)
    agents = [upstream.agent for upstream in ranked]
    agents.sort(key=state.health.is_suspect)
    return tuple(agents[:MAX_CANDIDATES])


def _encapsulate(
    state: BalancerState,
    event: CallerDatagram,
    candidates: tuple[Address, ...],
) -> Envelope:
    """Return the envelope that forwards a caller's datagram."""
    return Envelope(
        MessageKind.FORWARD,
        event.service,
        state.table.revision,
        event.caller,
        candidates=candidates,
        payload=event.payload,
    )


def _detour(
    state: BalancerState,
    agent: Address,
    envelope: Envelope,
    now: float,
) -> Effects:
    """Send an envelope to a suspect agent through a peer balancer.

    The peer delivers or drops the datagram and never passes it to a third
    balancer, which rules out loops.  The peer may be cut off as well, so the
    choice is made anew each second.
    """
    if not state.peers:
        return (SendEnvelope(agent, envelope),)
    weighted_peers = (
        (WeightedSeed(xxh3_64_intdigest(pack_address(peer)), 1), peer)
        for peer in state.peers
    )
    key = b'%s%d' % (pack_address(agent), int(now))
    peer = rank_members(key, weighted_peers, 1)[0]
    detour = envelope._replace(
        kind=MessageKind.DETOUR,
        via=agent,
    )
    return SendEnvelope(peer, detour), Count('detours')


def handle_envelope(state: BalancerState, event: EnvelopeReceived) -> Effects:
    """Handle an envelope from an agent or from another balancer."""
    state.health.record_message(event.sender, event.now)
    handler = _HANDLERS.get(event.envelope.kind)
    if handler is None:
        return (Drop('unknown_kind'),)
    return handler(state, event)


def _return_to_caller(
    state: BalancerState,
    event: EnvelopeReceived,
) -> Effects:
    """Send an agent's datagram to its caller from the port of the service."""
    envelope = event.envelope
    if envelope.service not in state.table.services:
        return (Drop(ForeignService.code),)
    return (SendToCaller(envelope.service, envelope.caller, envelope.payload),)


def _deliver_detour(state: BalancerState, event: EnvelopeReceived) -> Effects:
    """Forward a datagram from a peer balancer to its agent."""
    agent = event.envelope.via
    if not state.may_own_flows(agent):
        return (Drop(UnknownOwner.code),)
    forward = event.envelope._replace(
        kind=MessageKind.FORWARD,
        via=UNSPECIFIED,
        revision=state.table.revision,
    )
    return SendEnvelope(agent, forward), Count('detours_delivered')


def _reply_to_probe(state: BalancerState, event: EnvelopeReceived) -> Effects:
    """Send a probe reply to the process that sent the probe."""
    reply = make_control_envelope(state, MessageKind.PROBE_REPLY)
    return (SendEnvelope(event.sender, reply),)


def _ignore(state: BalancerState, event: EnvelopeReceived) -> Effects:
    """Do nothing: that the envelope arrived is already recorded."""
    return ()


_HANDLERS: Final = MappingProxyType[
    MessageKind,
    Callable[[BalancerState, EnvelopeReceived], Effects],
]({
    MessageKind.RETURN: _return_to_caller,
    MessageKind.DETOUR: _deliver_detour,
    MessageKind.PROBE: _reply_to_probe,
    MessageKind.PROBE_REPLY: _ignore,
})
