"""Handlers of load reports, and of what agents and balancers tell of routes."""

from keelgap.packets.envelopes import (
    LONG_REPORT_LENGTH,
    is_without_routes,
    unpack_report,
)
from keelgap.packets.exceptions import MalformedEnvelope
from keelgap.packets.route_services import unpack_held_routes
from keelgap_balancer.packets.catalog_changes import apply_unserved
from keelgap_balancer.packets.effects import Decided, PacketEffect
from keelgap_balancer.packets.ejection import record_ejection
from keelgap_balancer.packets.events import EnvelopeArrived
from keelgap_balancer.packets.held_routes import (
    expire_unknown_past,
    expire_untold,
    poll_untold,
    record_earlier_release,
    record_held_routes,
)
from keelgap_balancer.packets.route_services import (
    expire_route_services,
    record_announced,
)
from keelgap_balancer.packets.state import PacketState
from keelgap_balancer.packets.suspended_searches import resume_awaiting_routes
from keelgap_balancer.packets.views import AgentView

__all__ = (
    'expire_routes',
    'handle_held_routes',
    'handle_report',
    'handle_route_services',
)

Effects = tuple[PacketEffect, ...]


def handle_report(
    state: PacketState,
    event: EnvelopeArrived,
    view: AgentView,
) -> Effects:
    """Record an agent's load report, and the ejection state in it."""
    content = event.envelope.content
    report = unpack_report(content)
    if is_without_routes(content):
        record_earlier_release(state, view)
    told: Effects = ()
    if len(content) > LONG_REPORT_LENGTH:
        told = _record_routes(state, event, content[LONG_REPORT_LENGTH:])
    if state.agents_by_host.get(view.host) is not view:
        # The view is of an upstream that gets no new flows from here.
        return told
    view.report = report
    view.flows_since_report = 0
    view.reported_at = event.now
    return (*told, *record_ejection(state, view, view.report, event.now))


def handle_held_routes(
    state: PacketState,
    event: EnvelopeArrived,
    view: AgentView,
) -> Effects:
    """Record the routes of the flows that an agent holds."""
    return _record_routes(state, event, event.envelope.content)


def _record_routes(
    state: PacketState,
    event: EnvelopeArrived,
    content: bytes,
) -> Effects:
    """Record held routes; raise MalformedEnvelope."""
    held = unpack_held_routes(content)
    recorded = record_held_routes(state, event, held)
    return (*recorded, *_apply_route_services(state, event.now))


def handle_route_services(
    state: PacketState,
    event: EnvelopeArrived,
) -> Effects:
    """Record which services hold flows of routes that do not lead to them."""
    try:
        recorded = record_announced(state, event)
    except MalformedEnvelope as error:
        return (Decided(error.code),)
    return (*recorded, *_apply_route_services(state, event.now))


def _apply_route_services(state: PacketState, now: float) -> Effects:
    """Apply what was learned of the services of routes."""
    return (
        *apply_unserved(state, now),
        *resume_awaiting_routes(state, now),
    )


def expire_routes(state: PacketState, now: float) -> None:
    """Forget what is too old, and poll agents that have not told of routes."""
    expire_route_services(state, now)
    expire_unknown_past(state, now)
    expire_untold(state, now)
    poll_untold(state)
