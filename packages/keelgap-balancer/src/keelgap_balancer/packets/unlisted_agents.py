"""Agents that may serve a service for which the catalog does not list them.

Addresses are reused, and balancers learn of that at different times.  A
balancer with an outdated catalog may open flows at an upstream that no
balancer has read of yet, on a host that the catalog in force here lists for
another service.  Such an agent is detected in three ways: its host was listed
for the service until a moment ago, its own envelopes name the service, or
other balancers still list it for the service.
"""

from collections.abc import Mapping

from keelgap.catalog.models import PacketRoute
from keelgap.packets.envelopes import compute_service_tag
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.effects import Decided, PacketEffect
from keelgap_balancer.packets.events import EnvelopeArrived
from keelgap_balancer.packets.route_services import (
    find_service_name,
    list_services,
)
from keelgap_balancer.packets.state import PacketState
from keelgap_balancer.packets.views import AgentView

__all__ = (
    'find_agent',
    'find_sender',
    'expire_unlisted',
    'list_unlisted',
    'record_displaced',
    'record_service',
)

Effects = tuple[PacketEffect, ...]


def list_unlisted(state: PacketState, route: PacketRoute) -> list[AgentView]:
    """Return agents that may hold flows of a route and are not listed.

    The catalog lists their hosts for other services.
    """
    if not state.catalog_gaps.unlisted:
        return []
    services = list_services(state, route)
    return [
        view
        for view in state.catalog_gaps.unlisted.values()
        if view.upstream.service in services
    ]


def find_agent(
    state: PacketState,
    route: PacketRoute,
    host: str,
) -> AgentView | None:
    """Return the agent on a host that may hold flows of a route, or None.

    It may be listed in the catalog or unlisted.
    """
    services = list_services(state, route)
    listed = state.agents_by_host.get(host)
    if listed is not None and listed.upstream.service in services:
        return listed
    unsure = state.catalog_gaps.route_services.unsure.get(host)
    if unsure is not None:
        return unsure
    unlisted = (
        state.catalog_gaps.unlisted.get((host, service)) for service in services
    )
    return next(filter(None, unlisted), None)


def record_displaced(
    state: PacketState,
    before: Mapping[str, AgentView],
    now: float,
) -> None:
    """Update the unlisted agents after the catalog or its indexes changed.

    Agents whose host is listed for another service now are recorded, and those
    listed for their own service are forgotten.

    ``before`` maps hosts to agents as they were before the change.
    """
    for view in (*before.values(), *state.agents.values()):
        listed = state.agents_by_host.get(view.host)
        if listed is None or listed.service_tag == view.service_tag:
            continue
        _record_view(state, view, now)
    relisted = [
        (host, service)
        for host, service in state.catalog_gaps.unlisted
        if host in state.agents_by_host
        and state.agents_by_host[host].upstream.service == service
    ]
    for key in relisted:
        state.catalog_gaps.unlisted.pop(key)


def _record_view(state: PacketState, view: AgentView, now: float) -> AgentView:
    """Record an unlisted agent, seen at this moment, and return its view.

    The view stands for the host and service, not for one process start.
    """
    key = (view.host, view.upstream.service)
    view_without_entry = state.catalog_gaps.unlisted.get(key)
    if view_without_entry is None:
        view_without_entry = AgentView(view.upstream, now)
        state.catalog_gaps.unlisted[key] = view_without_entry
        state.catalog_gaps.uncovered_agents.clear()
    view_without_entry.missing_since = now
    return view_without_entry


def find_sender(
    state: PacketState,
    event: EnvelopeArrived,
) -> tuple[AgentView | None, Effects]:
    """Return the agent that sent an envelope, or None, and log lines.

    Its message is recorded, and the service that it names.

    The service named in the envelope takes precedence over the one that the
    catalog lists.
    """
    tag = event.envelope.service_tag
    effects = record_service(state, event.sender, tag, event.now)
    listed = state.agents_by_host.get(event.sender)
    views = [
        view
        for view in (listed, *state.catalog_gaps.unlisted.values())
        if view is not None and view.host == event.sender
    ]
    if not views:
        return None, (Decided('drop_unknown_sender'),)
    for candidate in views:
        candidate.reply_due_since = None
    if listed is not None:
        listed.record_message(event.now)
    matching = (view for view in views if view.service_tag == tag)
    sender = next(matching, views[0])
    sender.record_message(event.now)
    return sender, effects


def record_service(
    state: PacketState,
    host: str,
    tag: int,
    now: float,
) -> Effects:
    """Record that a host serves a service for which it is not listed.

    Does nothing unless a route leads to the service, or it may hold flows of
    one, and the catalog lists the host.
    """
    listed = state.agents_by_host.get(host)
    if listed is None or listed.service_tag == tag:
        return ()
    service = _find_service(state, tag)
    if service is None:
        return ()
    was_known = (host, service) in state.catalog_gaps.unlisted
    row = listed.upstream._replace(service=service)
    _record_view(state, AgentView(row, now), now)
    if was_known:
        return ()
    fields = {
        'host': host,
        'serves': service,
        'listed_for': listed.upstream.service,
        'revision': state.confirmed_revision,
    }
    return (Decided('agent_of_unlisted_service', fields),)


def _find_service(state: PacketState, tag: int) -> str | None:
    """Return the service with a tag, or None if it holds flows of no route."""
    services = (
        share.service
        for route in state.routes.values()
        for share in route.shares
    )
    return next(
        (name for name in services if compute_service_tag(name) == tag),
        find_service_name(state, tag),
    )


def expire_unlisted(state: PacketState, now: float) -> None:
    """Forget unlisted agents that were not seen for UNLISTED_SECONDS."""
    expired = [
        key
        for key, view in state.catalog_gaps.unlisted.items()
        if now - max(view.missing_since or 0, view.last_heard)
        > defaults.UNLISTED_SECONDS
    ]
    for key in expired:
        state.catalog_gaps.unlisted.pop(key)
    if expired:
        state.catalog_gaps.uncovered_agents.clear()
