"""The packet balancer's reducer: ``(state, event) -> (state, effects)``."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Final

from keelgap.packets.envelopes import (
    EnvelopeKind,
)
from keelgap.packets.exceptions import MalformedEnvelope
from keelgap.packets.formats import (
    ENDS_FLOW,
    FLOW_KEY_LENGTH,
    Flags,
)
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.catalog_changes import (
    change_catalog,
    forget_former_routes,
    forget_missing_upstreams,
)
from keelgap_balancer.packets.effects import (
    Decided,
    Observed,
    PacketEffect,
    keep_one_refresh,
)
from keelgap_balancer.packets.ejection import (
    forget_ejections,
)
from keelgap_balancer.packets.events import (
    CallerPacket,
    CatalogChanged,
    EnvelopeArrived,
    PacketEvent,
    PeerStampReceived,
    StorePolled,
    TimerFired,
)
from keelgap_balancer.packets.flow_opening import (
    OpeningPacket,
    open_flow,
    reoffer_flow,
)
from keelgap_balancer.packets.forwarding import forward
from keelgap_balancer.packets.notices import send_notice
from keelgap_balancer.packets.owner_search import (
    continue_overdue_searches,
    resume_after_denial,
    resume_answered,
    resume_denied,
    search_for_owner,
)
from keelgap_balancer.packets.parking import drain_parked, park
from keelgap_balancer.packets.peer_bootstrap import (
    answer_peer_query,
    handle_served_hosts,
    query_peer,
)
from keelgap_balancer.packets.refusals import broadcast_refused, handle_refused
from keelgap_balancer.packets.report_polling import poll_agents
from keelgap_balancer.packets.route_reports import (
    expire_routes,
    handle_held_routes,
    handle_report,
    handle_route_services,
)
from keelgap_balancer.packets.search_expiry import expire_searches
from keelgap_balancer.packets.state import PacketState
from keelgap_balancer.packets.suspended_searches import (
    resume_awaiting_catalog,
    resume_awaiting_entries,
    resume_awaiting_routes,
    retry_lookups,
)
from keelgap_balancer.packets.unlisted_agents import (
    expire_unlisted,
    find_sender,
)
from keelgap_balancer.packets.views import AgentView

__all__ = ('reduce',)

Effects = tuple[PacketEffect, ...]
_SYN: Final = int(Flags.SYN)


def reduce(
    state: PacketState,
    event: PacketEvent,
) -> tuple[PacketState, Effects]:
    """Return the state after an event and the effects for the driver."""
    effects = _HANDLERS[type(event)](state, event)
    return state, keep_one_refresh(effects)


def _handle_caller_packet(state: PacketState, event: CallerPacket) -> Effects:
    """Route a caller's packet, or buffer it until the first catalog."""
    datagram = event.datagram
    now = event.now
    state.caller_waits.last_packet_at = now
    key = state.format.caller_key(datagram)
    if not state.has_catalog:
        return park(state, key, datagram, now)
    return _route_packet(state, key, datagram, now)


def _route_packet(
    state: PacketState,
    key: bytes,
    datagram: bytes,
    now: float,
) -> Effects:
    """Forward a caller's packet, or place its flow if it opens a new one.

    If the owner of an open flow is unknown, it is searched for.
    """
    flags = state.format.flags(datagram)
    if flags & _SYN:
        return open_flow(state, key, datagram, now)
    if flags & ENDS_FLOW:
        state.latency_placement.flow_durations.record_end(key, now)
    state.caller_waits.record_opened(key)
    owner = state.owners.get(key)
    if owner is not None and not _is_owner_lost(owner, now):
        return (forward(state, owner, datagram),)
    state.owners.forget(key)
    route = state.find_route(datagram)
    if route is None:
        return (Decided('drop_unknown_route'),)
    return search_for_owner(state, route, key, datagram, now)


def _is_owner_lost(owner: AgentView, now: float) -> bool:
    """Return whether the upstream that held a flow is gone for good.

    It was replaced by a restarted process, or its entry and messages have
    both long been missing.
    """
    if owner.is_replaced:
        return True
    since = owner.missing_since
    if since is None or now - since < defaults.MISSING_ENTRY_SECONDS:
        return False
    return now - owner.last_heard > defaults.MISSING_ENTRY_SECONDS


def _forward_denied(
    state: PacketState,
    owner: AgentView,
    event: EnvelopeArrived,
) -> Effects:
    """Forward a packet that another agent returned to the owner of its flow.

    A packet is forwarded at most MAX_HOPS times.
    """
    hop = event.envelope.hop + 1
    if hop > defaults.MAX_HOPS:
        return (Decided('drop_too_many_hops'),)
    return (forward(state, owner, event.envelope.content, hop),)


def _handle_envelope(state: PacketState, event: EnvelopeArrived) -> Effects:
    """Handle a message from an agent or another balancer.

    A message from an agent also repeats lookups that it left unanswered.
    """
    handler = _BALANCER_HANDLERS.get(event.envelope.kind)
    if handler is not None:
        return handler(state, event)
    view, logged = find_sender(state, event)
    if view is None:
        return logged
    state.record_stamp(event.stamp)
    effects = _dispatch_envelope(state, event, view)
    return (*logged, *effects, *retry_lookups(state, view.host, event.now))


def _dispatch_envelope(
    state: PacketState,
    event: EnvelopeArrived,
    view: AgentView,
) -> Effects:
    """Pass a message from a known agent to the handler of its kind."""
    handler = _ENVELOPE_HANDLERS.get(event.envelope.kind)
    if handler is None:
        return (Decided('drop_unexpected_kind'),)
    try:
        return handler(state, event, view)
    except MalformedEnvelope as error:
        return (Decided(error.code),)


def _handle_found(
    state: PacketState,
    event: EnvelopeArrived,
    view: AgentView,
) -> Effects:
    """Handle a directory node's answer to a lookup."""
    return resume_answered(state, event)


def _handle_covered(
    state: PacketState,
    event: EnvelopeArrived,
    view: AgentView,
) -> Effects:
    """Handle a directory node's message on which agents it covers."""
    return resume_denied(state, event)


def _handle_owned(
    state: PacketState,
    event: EnvelopeArrived,
    view: AgentView,
) -> Effects:
    """End the search for a flow, as an agent reported that it holds it."""
    key = event.envelope.content
    if len(key) != FLOW_KEY_LENGTH:
        return (Decided(MalformedEnvelope.code),)
    view.record_search_answer()
    search = state.searches.pop(key, None)
    state.owners.put(key, view)
    if search is None:
        return ()
    fields = {
        'flow': state.format.describe_key(key),
        'owner': view.upstream.upstream_id,
        'asked': search.query_count,
        'listed': state.agents_by_host.get(view.host) is view,
    }
    search_seconds = event.now - search.started_at
    service = view.upstream.service
    return (
        Decided('found_owner', fields),
        Observed('search_seconds', service, search_seconds),
    )


def _handle_miss(
    state: PacketState,
    event: EnvelopeArrived,
    view: AgentView,
) -> Effects:
    """Handle a packet that an agent returned because it did not take it.

    An opening packet is offered to another agent.  Another packet is forwarded
    to the known owner of its flow, or the search for the owner continues.
    """
    datagram = event.envelope.content
    if not state.format.has_valid_length(datagram):
        return (Decided(MalformedEnvelope.code),)
    key = state.format.caller_key(datagram)
    route = state.find_route(datagram)
    if route is None:
        return (Decided('drop_unknown_route'),)
    owner = state.owners.get(key)
    if owner is not None and owner.host == view.host:
        # The owner may be an earlier upstream on the same host.
        state.owners.forget(key)
        owner = None
    is_opening = state.format.flags(datagram) & _SYN
    if owner is not None:
        # The flow has another owner by now.  Offering the packet to a further
        # agent would lose the answer of that owner.
        return () if is_opening else _forward_denied(state, owner, event)
    if is_opening:
        hop = event.envelope.hop + 1
        start_ms = event.envelope.left_ms
        opening = OpeningPacket(key, route, datagram, event.now, hop, start_ms)
        return reoffer_flow(state, opening, view)
    return resume_after_denial(state, event, view, route)


def _handle_catalog(state: PacketState, event: CatalogChanged) -> Effects:
    """Put a catalog in force, and serve what waited for one.

    That is parked packets and suspended searches.
    """
    effects = change_catalog(state, event.catalog, event.now)
    parked = drain_parked(state, event.now) if state.has_catalog else ()
    parked_effects = tuple(
        effect
        for key, datagram in parked
        for effect in _route_packet(state, key, datagram, event.now)
    )
    polled = poll_agents(state, event.now)
    resumed = (
        *resume_awaiting_catalog(state, event.now),
        *resume_awaiting_entries(state, event.now),
        *resume_awaiting_routes(state, event.now),
    )
    return (
        *effects,
        *polled,
        *resumed,
        *parked_effects,
    )


def _handle_store_polled(state: PacketState, event: StorePolled) -> Effects:
    """Record up to which revision the catalog is complete; resume searches."""
    state.confirmed_revision = max(state.confirmed_revision, event.revision)
    state.latest_change = max(state.latest_change, event.latest_change)
    state.reaches_store = event.reaches_store
    return resume_awaiting_catalog(state, event.now)


def _handle_peer_stamp(state: PacketState, event: PeerStampReceived) -> Effects:
    """Record the latest store change that another balancer knows of.

    Shortly after the start, also ask it which services hosts served before.
    """
    state.record_stamp(event.stamp)
    return query_peer(state, event.sender, event.now)


def _handle_timer(state: PacketState, event: TimerFired) -> Effects:
    """Drop what has expired, and send what is due."""
    now = event.now
    state.owners.expire(now)
    state.caller_waits.expire(now)
    state.latency_placement.flow_durations.expire(now)
    expired = expire_searches(state, now)
    forget_missing_upstreams(state, now)
    expire_unlisted(state, now)
    forget_ejections(state)
    forget_former_routes(state, now)
    expire_routes(state, now)
    awaits_entries = state.is_newly_started(now) or state.is_after_catalog_gap(
        now
    )
    resumed = resume_awaiting_routes(state, now)
    if not awaits_entries:
        resumed = (*resumed, *resume_awaiting_entries(state, now))
    return (
        *broadcast_refused(state, now),
        *expired,
        *resumed,
        *continue_overdue_searches(state, now),
        *poll_agents(state, now),
    )


#: Handlers of messages that balancers send each other.  Agents send the last
#: one, too; the sender does not matter.
_BALANCER_HANDLERS: Final[
    Mapping[int, Callable[[PacketState, EnvelopeArrived], Effects]]
] = MappingProxyType({
    int(EnvelopeKind.REFUSED): handle_refused,
    int(EnvelopeKind.SERVED_ASKED): answer_peer_query,
    int(EnvelopeKind.SERVED_TOLD): handle_served_hosts,
    int(EnvelopeKind.ROUTE_SERVICES): handle_route_services,
})

#: Handlers of messages from agents.
_ENVELOPE_HANDLERS: Final[
    Mapping[
        int,
        Callable[[PacketState, EnvelopeArrived, AgentView], Effects],
    ]
] = MappingProxyType({
    int(EnvelopeKind.REPORT): handle_report,
    int(EnvelopeKind.OWNED): _handle_owned,
    int(EnvelopeKind.MISS): _handle_miss,
    int(EnvelopeKind.ASK): send_notice,
    int(EnvelopeKind.FOUND): _handle_found,
    int(EnvelopeKind.COVERED): _handle_covered,
    int(EnvelopeKind.HELD_ROUTES): handle_held_routes,
})

_HANDLERS: Final[Mapping[type, Callable[[PacketState, Any], Effects]]] = (
    MappingProxyType({
        CallerPacket: _handle_caller_packet,
        EnvelopeArrived: _handle_envelope,
        CatalogChanged: _handle_catalog,
        PeerStampReceived: _handle_peer_stamp,
        StorePolled: _handle_store_polled,
        TimerFired: _handle_timer,
    })
)
