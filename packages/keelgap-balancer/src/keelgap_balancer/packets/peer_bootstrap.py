"""Learn from other balancers which services hosts served before this start.

A host may have changed its service at that moment.  A balancer that still
lists it for the former service may open flows there, and no other balancer
would search for them on that host.
"""

from typing import Final

from keelgap.packets.envelopes import Envelope, EnvelopeKind
from keelgap.packets.exceptions import MalformedEnvelope
from keelgap.packets.route_services import pack_route_services
from keelgap.packets.served_hosts import (
    MAX_SERVED_HOSTS,
    ServedHost,
    ServedHostsRequest,
    digest_served,
    pack_served,
    pack_served_request,
    unpack_served,
    unpack_served_request,
)
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.effects import (
    Decided,
    PacketEffect,
    SendToAgent,
)
from keelgap_balancer.packets.events import EnvelopeArrived
from keelgap_balancer.packets.state import PacketState
from keelgap_balancer.packets.unlisted_agents import record_service

__all__ = ('answer_peer_query', 'query_peer', 'handle_served_hosts')

Effects = tuple[PacketEffect, ...]
#: Messages between balancers concern no service.
_NO_SERVICE_TAG: Final = 0


def query_peer(state: PacketState, host: str, now: float) -> Effects:
    """Ask another balancer which services hosts served before.

    Done only until INHERIT_SECONDS after the first catalog.  The query is
    repeated with its later messages, since one may be lost.
    """
    first_catalog_at = state.first_catalog_at
    if first_catalog_at is None or not host:
        return ()
    asked_at = state.catalog_gaps.queried_peers.get(host, float('-inf'))
    is_over = now - first_catalog_at > defaults.INHERIT_SECONDS
    if is_over or now - asked_at < defaults.INHERIT_INTERVAL_SECONDS:
        return ()
    state.catalog_gaps.queried_peers[host] = now
    request = ServedHostsRequest(
        state.catalog_gaps.first_revision,
        digest_served(_list_served(state)),
    )
    return (
        _make_message(
            host, EnvelopeKind.SERVED_ASKED, pack_served_request(request)
        ),
    )


def _make_message(host: str, kind: EnvelopeKind, content: bytes) -> SendToAgent:
    """Return the effect that sends a message to another balancer."""
    return SendToAgent(
        host,
        Envelope(kind, 0, 0, 0, 0, _NO_SERVICE_TAG, content),
    )


def _list_served(state: PacketState) -> list[ServedHost]:
    """Return the hosts that the catalog lists, with tags of their services."""
    return [
        ServedHost(view.host, view.service_tag)
        for view in state.agents_by_host.values()
        if view.missing_since is None
    ]


def answer_peer_query(state: PacketState, event: EnvelopeArrived) -> Effects:
    """Send the known hosts and their services to a balancer started later.

    It is also told which services hold flows of routes that do not lead to
    them.  Hosts are not sent if it lists the same and no unlisted agent is
    known.
    One answer is enough: the balancer follows all changes from its first
    catalog on.  The message is limited to MAX_SERVED_HOSTS rows, unlisted
    agents first; in a large fleet nothing else fits.
    """
    try:
        request = unpack_served_request(event.envelope.content)
    except MalformedEnvelope as error:
        return (Decided(error.code),)
    answered = state.catalog_gaps.answered_peers
    is_answered = answered.get(event.sender) == request.first_revision
    began_later = state.catalog_gaps.first_revision < request.first_revision
    if is_answered or not state.has_catalog or not began_later:
        return ()
    route_services = _tell_route_services(state, event.sender)
    served = _list_served(state)
    unlisted = [
        ServedHost(view.host, view.service_tag)
        for view in state.catalog_gaps.unlisted.values()
    ]
    is_same = not unlisted and digest_served(served) == request.digest
    if is_same and not route_services:
        return ()
    if len(answered) >= defaults.MAX_INHERITING:
        answered.clear()
    answered[event.sender] = request.first_revision
    if is_same:
        return route_services
    content = pack_served((*unlisted, *served)[:MAX_SERVED_HOSTS])
    told = _make_message(event.sender, EnvelopeKind.SERVED_TOLD, content)
    return (*route_services, told)


def _tell_route_services(state: PacketState, host: str) -> Effects:
    """Tell a balancer which services hold flows of routes led elsewhere."""
    # The latest ones first: only some may fit.
    rows = reversed(state.catalog_gaps.route_services.rows)
    messages = pack_route_services(rows)
    return tuple(
        _make_message(host, EnvelopeKind.ROUTE_SERVICES, message)
        for message in messages[: defaults.MAX_ROUTE_SERVICE_MESSAGES]
    )


def handle_served_hosts(state: PacketState, event: EnvelopeArrived) -> Effects:
    """Record hosts that another balancer lists for another service."""
    try:
        rows = unpack_served(event.envelope.content)
    except MalformedEnvelope as error:
        return (Decided(error.code),)
    effects = [
        effect
        for row in rows
        for effect in record_service(
            state, row.host, row.service_tag, event.now
        )
    ]
    return tuple(effects)
