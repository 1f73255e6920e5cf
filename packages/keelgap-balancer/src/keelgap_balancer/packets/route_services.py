"""Services that may hold flows of a route to which the table has other ones.

The table in force says where new flows go.  Open flows stay where they are when
the operators send a route elsewhere, and other balancers may open flows by a
table that is newer or older than the one in force here.  So each route has,
besides the services of the table, those that may hold its flows:

- those that the table in force here had before,
- those whose agents report that they hold flows of the route,
- those that agents of the route's present services name when they deny a flow,
  and other balancers name when this one starts.

A balancer that has just started knows none of the first: see ``held_routes``.
"""

from collections.abc import Mapping

from keelgap.catalog.models import PacketRoute
from keelgap.packets.envelopes import compute_service_tag
from keelgap.packets.route_services import (
    NO_SERVICE_TAG,
    RouteService,
    unpack_route_services,
)
from keelgap.runtime.json_log import MAX_LISTED
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.effects import Decided, PacketEffect
from keelgap_balancer.packets.events import EnvelopeArrived
from keelgap_balancer.packets.state import PacketState
from keelgap_balancer.packets.views import AgentView

__all__ = (
    'expire_route_services',
    'find_service_name',
    'is_announced',
    'is_listed_here',
    'list_former_routes',
    'list_services',
    'list_table',
    'record_announced',
    'leads_to',
    'log_added',
    'log_moved',
    'record_replaced',
    'record_service_of_route',
)

Effects = tuple[PacketEffect, ...]


def list_services(state: PacketState, route: PacketRoute) -> tuple[str, ...]:
    """Return the services that may hold flows of a route, listed ones first.

    Those whose name is not known, since no upstream of theirs is, are left out.
    """
    listed = tuple(dict.fromkeys(share.service for share in route.shares))
    if not state.catalog_gaps.route_services.seen_at:
        return listed
    route_key = state.format.make_route_key(route.host, route.port)
    tags = state.catalog_gaps.route_services.seen_at.get(route_key)
    if not tags:
        return listed
    names = _get_service_names(state)
    others = (names[tag] for tag in tags if tag in names)
    return tuple(dict.fromkeys((*listed, *others)))


def is_listed_here(view: AgentView, route: PacketRoute) -> bool:
    """Return whether the table in force sends flows of a route to a service."""
    return any(share.service == view.upstream.service for share in route.shares)


def _get_service_names(state: PacketState) -> Mapping[int, str]:
    """Return the names of the services of all known upstreams, by tag."""
    names = state.catalog_gaps.route_services.names
    if names is None:
        names = {
            views[0].service_tag: service
            for service, views in state.agents_by_service.items()
        }
        unserved = {row.service for row in state.catalog.unserved.values()}
        names.update({compute_service_tag(one): one for one in unserved})
        state.catalog_gaps.route_services.names = names
    return names


def find_service_name(state: PacketState, tag: int) -> str | None:
    """Return the name of a service that may hold flows of some route."""
    seen_at = state.catalog_gaps.route_services.seen_at
    if not any(tag in tags for tags in seen_at.values()):
        return None
    return _get_service_names(state).get(tag)


def record_service_of_route(
    state: PacketState, row: RouteService, now: float
) -> bool:
    """Record that a service may hold flows of a route; return if new."""
    is_new = state.catalog_gaps.route_services.record(row, now)
    if is_new:
        state.catalog_gaps.uncovered_agents.clear()
    return is_new


def list_former_routes(state: PacketState) -> dict[bytes, PacketRoute]:
    """Return the routes in force, and the removed ones, by route key."""
    removed = {
        route_key: former.route
        for route_key, former in state.former_routes.items()
    }
    return {**removed, **state.routes}


def record_replaced(
    state: PacketState,
    former: Mapping[bytes, PacketRoute],
    now: float,
) -> frozenset[bytes]:
    """Record the services that routes had in the table before.

    ``former`` has the routes of that table, also removed ones, by route key.
    Returns the keys of routes whose services changed.  A route that was removed
    is none of them: its flows go on as they are.
    """
    moved = set()
    for route_key, route in former.items():
        present = state.routes.get(route_key)
        if present is None or present.shares == route.shares:
            continue
        before = {share.service for share in route.shares}
        after = {share.service for share in present.shares}
        if before != after:
            moved.add(route_key)
        for service in before - after:
            row = RouteService(route_key, compute_service_tag(service))
            record_service_of_route(state, row, now)
    return frozenset(moved)


def log_moved(
    state: PacketState,
    former: Mapping[bytes, PacketRoute],
    moved: frozenset[bytes],
) -> Effects:
    """Return a log line on routes that got other services."""
    if not moved:
        return ()
    names = sorted(state.routes[route_key].name for route_key in moved)
    services = {
        share.service
        for route_key in moved
        for share in former[route_key].shares
    }
    fields = {
        'count': len(names),
        'routes': names[:MAX_LISTED],
        'former_services': sorted(services)[:MAX_LISTED],
        'revision': state.confirmed_revision,
    }
    return (Decided('routes_moved', fields),)


def list_table(routes: Mapping[bytes, PacketRoute]) -> list[RouteService]:
    """Return routes with the services to which a table sends new flows."""
    return [
        RouteService(route_key, compute_service_tag(share.service))
        for route_key, route in routes.items()
        for share in route.shares
    ]


def leads_to(state: PacketState, route_key: bytes, tag: int) -> bool:
    """Return whether the table in force sends flows of a route to a service.

    Returns True for an unknown route, whose flows are not searched for.
    """
    route = state.find_route_by_key(route_key)
    return route is None or any(
        compute_service_tag(share.service) == tag for share in route.shares
    )


def log_added(
    state: PacketState,
    told_by: str,
    added: list[RouteService],
) -> Effects:
    """Return a log line on services that are newly known to hold flows."""
    if not added:
        return ()
    names = _get_service_names(state)
    tags = {row.service_tag for row in added}
    fields = {
        'told_by': told_by,
        'count': len(added),
        'services': sorted(str(names.get(tag, tag)) for tag in tags),
        'revision': state.confirmed_revision,
    }
    return (Decided('route_held_elsewhere', fields),)


def record_announced(state: PacketState, event: EnvelopeArrived) -> Effects:
    """Record what an agent or a balancer knows of services of routes.

    Raises MalformedEnvelope.
    """
    added = []
    for row in unpack_route_services(event.envelope.content):
        announced = (event.sender, row.route_key)
        state.catalog_gaps.route_services.announced_at[announced] = event.now
        if row.service_tag == NO_SERVICE_TAG:
            continue
        if leads_to(state, row.route_key, row.service_tag):
            continue
        if record_service_of_route(state, row, event.now):
            added.append(row)
    return log_added(state, event.sender, added)


def is_announced(
    state: PacketState,
    event: EnvelopeArrived,
    route_key: bytes,
) -> bool:
    """Return whether a denial counts for a flow of a route.

    If it is marked, it depends on a message that the same host has sent a
    moment before, and that may have been lost.
    """
    if not event.envelope.slots:
        return True
    announced_at = state.catalog_gaps.route_services.announced_at.get(
        (event.sender, route_key),
        float('-inf'),
    )
    return event.now - announced_at < defaults.ANNOUNCEMENT_SECONDS


def expire_route_services(state: PacketState, now: float) -> None:
    """Forget services whose flows of a route have reached the maximum age."""
    services = state.catalog_gaps.route_services
    services.announced_at = {
        announced: at
        for announced, at in services.announced_at.items()
        if now - at < defaults.ANNOUNCEMENT_SECONDS
    }
    if services.drop_old(now):
        state.catalog_gaps.uncovered_agents.clear()
