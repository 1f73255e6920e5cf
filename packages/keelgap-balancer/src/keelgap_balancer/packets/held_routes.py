"""The routes whose flows agents hold, as their reports state them.

An agent tells each balancer that polls it the routes of the flows that it has
seen its upstream hold.  Where the table sends a route to other services, its
flows are searched for at the agent's service as well, and the agents of the
other services are told, because balancers that start later ask these.

A balancer that has just started does not know which services a route had before
the first table that it read.  It gives no verdict on a flow then until the
agents have told what they hold whose upstreams may have run before that table
was written.  After an outage of everything there are none, and in a large
fleet, in which a balancer polls only some agents, it waits for a short time.
The agents of the route's present services know more by then.
"""

from collections.abc import Iterable, Mapping

from keelgap.catalog.models import PacketRoute, PacketUpstream
from keelgap.packets.envelopes import EnvelopeKind, compute_service_tag
from keelgap.packets.route_services import (
    HeldRoutes,
    RouteService,
    pack_route_services,
)
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.effects import PacketEffect, SendToBalancers
from keelgap_balancer.packets.events import EnvelopeArrived
from keelgap_balancer.packets.route_services import (
    leads_to,
    list_services,
    list_table,
    log_added,
    record_service_of_route,
)
from keelgap_balancer.packets.state import PacketState
from keelgap_balancer.packets.views import AgentView

__all__ = (
    'awaits_held_routes',
    'expire_unknown_past',
    'expire_untold',
    'list_unsure_agents',
    'poll_untold',
    'record_earlier_release',
    'tell_moved',
    'rebuild_untold',
    'record_held_routes',
    'select_unserved',
)

Effects = tuple[PacketEffect, ...]


def record_held_routes(
    state: PacketState,
    event: EnvelopeArrived,
    held: HeldRoutes,
) -> Effects:
    """Record the routes whose flows an agent holds; pass on what is unexpected.

    The agents of the services to which such a route leads are told, because
    they are asked by balancers that know nothing else.
    """
    tag = event.envelope.service_tag
    rows = [
        RouteService(route_key, tag)
        for route_key in held.route_keys
        if not leads_to(state, route_key, tag)
    ]
    added = [
        row for row in rows if record_service_of_route(state, row, event.now)
    ]
    _record_agent(state, event, held)
    logged = log_added(state, event.sender, added)
    return (*logged, *_tell_route_services(state, rows, event.now))


def _record_agent(
    state: PacketState,
    event: EnvelopeArrived,
    held: HeldRoutes,
) -> None:
    """Record that the agent on a host has reported the routes it holds.

    If it serves another service than the catalog lists for its host, nothing
    can reach the flows of the upstream that is listed.
    """
    view = state.agents_by_host.get(event.sender)
    if view is None:
        return
    view.has_told_routes = True
    _stop_awaiting(state, view)
    if view.service_tag != event.envelope.service_tag:
        return
    services = state.catalog_gaps.route_services
    is_unsure = not _knows_earlier_flows(view, held) and (
        _may_hold_earlier_flows(state, view)
    )
    if is_unsure != (view.host in services.unsure):
        state.catalog_gaps.uncovered_agents.clear()
    if is_unsure:
        services.unsure[view.host] = view
    else:
        services.unsure.pop(view.host, None)


def _knows_earlier_flows(view: AgentView, held: HeldRoutes) -> bool:
    """Return whether an agent knows all flows that its upstream may hold.

    It does if nothing listened when it started, so that the upstream is younger
    than the agent.  Only an upstream that is leaving holds flows, but may no
    longer listen.
    """
    is_leaving = view.upstream.state != 'active'
    return held.is_complete or (held.predates_upstream and not is_leaving)


def _stop_awaiting(state: PacketState, view: AgentView) -> None:
    """Record that an agent is not waited for to tell its routes."""
    untold = state.catalog_gaps.route_services.untold
    hosts = untold.get(view.upstream.service, set())
    hosts.discard(view.host)
    if not hosts:
        untold.pop(view.upstream.service, None)


def record_earlier_release(state: PacketState, view: AgentView) -> None:
    """Record that an agent does not tell the routes of the flows it holds."""
    view.states_routes = False
    _stop_awaiting(state, view)


def _tell_route_services(
    state: PacketState,
    rows: Iterable[RouteService],
    now: float,
) -> Effects:
    """Tell the agents of routes' services which others hold their flows.

    Each row is told every ROUTE_SERVICES_INTERVAL_SECONDS.
    """
    passed_on_at = state.catalog_gaps.route_services.passed_on_at
    by_host: dict[str, list[RouteService]] = {}
    for row in rows:
        told_at = passed_on_at.get(row, float('-inf'))
        if now - told_at < defaults.ROUTE_SERVICES_INTERVAL_SECONDS:
            continue
        passed_on_at[row] = now
        for host in _list_contacts(state, row.route_key):
            by_host.setdefault(host, []).append(row)
    return tuple(
        state.agents_by_host[receiver].send(
            EnvelopeKind.ROUTE_SERVICES, content
        )
        for receiver, host_rows in by_host.items()
        for content in pack_route_services(host_rows)
    )


def tell_moved(
    state: PacketState,
    former: Mapping[bytes, PacketRoute],
    moved: frozenset[bytes],
    now: float,
) -> Effects:
    """Tell others of routes that got other services with this table.

    Other balancers may not read it before a still later one, and get flows that
    are opened by it.  Balancers that start next ask the agents of the routes,
    perhaps before the agents of the former services have reported what they
    hold; in a large fleet only some balancers tell them.
    """
    if not moved:
        return ()
    before = list_table({one: former[one] for one in moved})
    after = list_table({one: state.routes[one] for one in moved})
    messages = pack_route_services(dict.fromkeys((*before, *after)))
    told = tuple(
        SendToBalancers(EnvelopeKind.ROUTE_SERVICES, content)
        for content in messages[: defaults.MAX_ROUTE_SERVICE_MESSAGES]
    )
    agent_count = len(state.agents_by_host)
    is_small = agent_count <= defaults.MAX_POLLED_AGENTS
    if is_small or state.polling.seed % agent_count < defaults.MOVE_TELLERS:
        kept = frozenset(after)
        replaced = [row for row in before if row not in kept]
        return (*told, *_tell_route_services(state, replaced, now))
    return told


def _list_contacts(state: PacketState, route_key: bytes) -> set[str]:
    """Return the hosts that are asked for any flow of a route.

    They are the directory nodes of its services, or all agents of a small
    service.  Agents of an earlier release, which would drop the message, are
    left out.
    """
    route = state.find_route_by_key(route_key)
    if route is None:
        return set()
    hosts: set[str] = set()
    for share in route.shares:
        directory = state.directories.get(share.service)
        if directory is None:
            views = state.agents_by_service.get(share.service, ())
            hosts.update(view.host for view in views)
        else:
            hosts.update(node for nodes in directory.shards for node in nodes)
    return {
        host
        for host in hosts
        if host in state.agents_by_host
        and state.agents_by_host[host].has_told_routes
    }


def _may_hold_earlier_flows(state: PacketState, view: AgentView) -> bool:
    """Return whether an upstream may hold flows of tables never read here."""
    services = state.catalog_gaps.route_services
    return services.is_past_unknown and _predates(
        view.upstream, services.first_table_revision
    )


def _predates(upstream: PacketUpstream, table_revision: int) -> bool:
    """Return whether an upstream may have run before a table was written.

    An entry that lapsed is created again, but then the upstream had missed
    some reports.
    """
    is_old = upstream.reports > defaults.MAX_FIRST_REPORTS
    return is_old or upstream.created < table_revision


def rebuild_untold(state: PacketState) -> None:
    """Update who has not told its routes, after the upstreams changed."""
    services = state.catalog_gaps.route_services
    services.names = None
    if not services.is_past_unknown:
        return
    services.unsure = {
        host: view
        for host, view in services.unsure.items()
        if state.agents_by_host.get(host) is view
    }
    services.untold = {}
    if services.is_wait_over:
        return
    for view in state.agents_by_host.values():
        if _is_untold(state, view):
            hosts = services.untold.setdefault(view.upstream.service, set())
            hosts.add(view.host)


def _is_untold(state: PacketState, view: AgentView) -> bool:
    """Return whether an agent may hold flows of earlier tables unknown here."""
    if view.has_told_routes or not view.states_routes:
        return False
    return _may_hold_earlier_flows(state, view)


def awaits_held_routes(state: PacketState, route: PacketRoute) -> bool:
    """Return whether agents of other services may soon tell of a route's flows.

    That is so until all of them have told whose upstreams ran before the first
    table read here was written; see ``expire_untold`` for the limits.
    """
    untold = state.catalog_gaps.route_services.untold
    if not untold:
        return False
    asked = sum(service in untold for service in list_services(state, route))
    return len(untold) > asked


def expire_untold(state: PacketState, now: float) -> None:
    """Stop waiting for agents that do not tell the routes they hold.

    The wait ends HELD_ROUTES_WAIT_SECONDS after the first catalog, or
    LARGE_FLEET_WAIT_SECONDS where not all agents are polled.
    """
    services = state.catalog_gaps.route_services
    first_catalog_at = state.first_catalog_at
    if first_catalog_at is None or services.is_wait_over:
        return
    is_small = len(state.agents_by_host) <= defaults.MAX_POLLED_AGENTS
    limit = (
        defaults.HELD_ROUTES_WAIT_SECONDS
        if is_small
        else defaults.LARGE_FLEET_WAIT_SECONDS
    )
    if now - first_catalog_at >= limit:
        services.is_wait_over = True
        services.untold = {}


def poll_untold(state: PacketState) -> None:
    """Poll again, at once, those who have not told the routes they hold.

    Processes that start together miss the first poll.  Nothing is done in a
    fleet in which a balancer polls only some agents.
    """
    if len(state.agents_by_host) > defaults.MAX_POLLED_AGENTS:
        return
    for hosts in state.catalog_gaps.route_services.untold.values():
        for host in hosts:
            state.agents_by_host[host].next_poll_at = float('-inf')


def list_unsure_agents(
    state: PacketState,
    services: tuple[str, ...],
) -> list[AgentView]:
    """Return agents of other services that cannot tell all they hold.

    They restarted beside their upstreams, which may hold flows of any earlier
    table.  In a large fleet there may be too many to ask, and none is returned.
    """
    unsure = state.catalog_gaps.route_services.unsure
    if not unsure or len(unsure) > defaults.MAX_UNSURE_AGENTS:
        return []
    return [
        view
        for view in unsure.values()
        if view.upstream.service not in services
    ]


def select_unserved(
    state: PacketState,
    unserved: Mapping[str, PacketUpstream],
) -> dict[str, PacketUpstream]:
    """Return upstreams that may hold flows though their service has no table.

    Those are the ones of services that are known to hold flows, and at first
    also those that ran before the first table read here was written, if they
    are few.
    """
    services = state.catalog_gaps.route_services
    if not unserved:
        return {}
    is_open = (
        services.is_past_unknown and len(unserved) <= defaults.MAX_POLLED_AGENTS
    )
    tags = {tag for tags in services.seen_at.values() for tag in tags}
    return {
        upstream_id: row
        for upstream_id, row in unserved.items()
        if compute_service_tag(row.service) in tags
        or (is_open and _predates(row, services.first_table_revision))
    }


def expire_unknown_past(state: PacketState, now: float) -> None:
    """Record that no flow is open by a table that was never read here.

    All of them have reached the maximum age.
    """
    services = state.catalog_gaps.route_services
    first_catalog_at = state.first_catalog_at
    if first_catalog_at is None or not services.is_past_unknown:
        return
    if now - first_catalog_at < defaults.FORMER_ROUTE_SECONDS:
        return
    services.is_past_unknown = False
    services.untold = {}
    services.unsure = {}
    state.catalog_gaps.uncovered_agents.clear()
