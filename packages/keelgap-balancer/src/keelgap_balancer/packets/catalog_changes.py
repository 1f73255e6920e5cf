"""Applies new versions of the catalog to the balancer's state."""

from collections.abc import Mapping

from keelgap.catalog.models import (
    Catalog,
    PacketRoute,
    PacketUpstream,
    UpstreamIdentity,
)
from keelgap.runtime.json_log import MAX_LISTED
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.directory_client import rebuild_directories
from keelgap_balancer.packets.effects import Decided, PacketEffect
from keelgap_balancer.packets.held_routes import (
    rebuild_untold,
    select_unserved,
    tell_moved,
)
from keelgap_balancer.packets.notices import notify_zones
from keelgap_balancer.packets.route_services import (
    list_former_routes,
    log_moved,
    record_replaced,
)
from keelgap_balancer.packets.state import FormerRoute, PacketState
from keelgap_balancer.packets.unlisted_agents import record_displaced
from keelgap_balancer.packets.views import AgentView

__all__ = (
    'apply_unserved',
    'change_catalog',
    'forget_former_routes',
    'forget_missing_upstreams',
)

Effects = tuple[PacketEffect, ...]


def change_catalog(
    state: PacketState,
    catalog: Catalog,
    now: float,
) -> Effects:
    """Put a catalog in force; return log lines and messages to agents.

    Removed routes and upstreams are kept for a while, so that their open
    flows are still found.
    """
    moved: frozenset[bytes] = frozenset()
    former: dict[bytes, PacketRoute] = {}
    if catalog.routes.version != state.catalog.routes.version:
        former = list_former_routes(state)
        moved = _apply_routes(state, catalog, former, now)
    unserved = select_unserved(state, catalog.unserved)
    if unserved:
        served = {**catalog.upstreams, **unserved}
        catalog = catalog._replace(upstreams=served)
    before = state.catalog
    state.catalog = catalog
    state.confirmed_revision = max(state.confirmed_revision, catalog.revision)
    state.latest_change = max(state.latest_change, catalog.latest_change)
    if state.first_catalog_at is None:
        state.first_catalog_at = now
        state.catalog_gaps.first_revision = catalog.revision
    if catalog.has_gap:
        state.catalog_gaps.gap_at = now
    agents_by_host = state.agents_by_host
    effects = _apply_upstreams(state, catalog, now)
    _rebuild_indexes(state)
    record_displaced(state, agents_by_host, now)
    return (
        *effects,
        *rebuild_directories(state, now),
        *log_moved(state, former, moved),
        *tell_moved(state, former, moved, now),
        *_report_zone_changes(state, before, now),
    )


def apply_unserved(state: PacketState, now: float) -> Effects:
    """Apply the upstreams of services that are now known to hold flows.

    Their services are not in the operators' table.
    """
    catalog = state.catalog
    wanted = select_unserved(state, catalog.unserved)
    if wanted.keys() <= catalog.upstreams.keys():
        return ()
    unchanged = catalog._replace(missed=(), has_gap=False)
    return change_catalog(state, unchanged, now)


def _report_zone_changes(
    state: PacketState,
    before: Catalog,
    now: float,
) -> Effects:
    """Log the availability zones that left or resumed service.

    The agents of these zones are notified, too.
    """
    evacuated = state.catalog.evacuated
    left = evacuated.keys() - before.evacuated.keys()
    returned = before.evacuated.keys() - evacuated.keys()
    if not left and not returned:
        return ()
    fields = {
        'left': {zone: evacuated[zone] for zone in sorted(left)},
        'returned': sorted(returned),
        'out_of_service': sorted(evacuated),
        'revision': state.catalog.revision,
    }
    return (
        Decided('zones_changed', fields),
        *notify_zones(state, frozenset(left | returned), now),
    )


def _apply_routes(
    state: PacketState,
    catalog: Catalog,
    former_routes: Mapping[bytes, PacketRoute],
    now: float,
) -> frozenset[bytes]:
    """Index the routes by key, and keep what their open flows need.

    That is removed routes, and the services that the others had before.
    Returns the keys of routes that got other services.
    """
    if not state.has_catalog:
        state.catalog_gaps.route_services.first_table_revision = (
            catalog.routes.revision
        )
    make_key = state.format.make_route_key
    routes = {
        make_key(route.host, route.port): route
        for route in catalog.routes.routes
    }
    for key, route in state.routes.items():
        if key not in routes:
            state.former_routes[key] = FormerRoute(route, now)
    for key in routes:
        state.former_routes.pop(key, None)
    state.routes = routes
    return record_replaced(state, former_routes, now)


def _apply_upstreams(
    state: PacketState,
    catalog: Catalog,
    now: float,
) -> Effects:
    """Apply the upstreams of a catalog; return log lines on the changes."""
    changed: dict[str, list[str]] = {}
    for upstream_id, upstream in catalog.upstreams.items():
        change = _apply_entry(state, upstream, now)
        if change:
            changed.setdefault(change, []).append(upstream_id)
    for missed in catalog.missed:
        if missed.identity not in state.agents:
            _add_missed(state, missed, now)
            changed.setdefault('missed', []).append(missed.upstream_id)
    listed = {one.identity for one in catalog.upstreams.values()}
    missing = [
        identity
        for identity in state.agents
        if identity not in listed and identity not in state.missing
    ]
    for identity in missing:
        change = _mark_missing(state, identity, catalog, now)
        changed.setdefault(change, []).append(identity.upstream_id)
    for returned in tuple(state.missing):
        if returned.upstream_id in catalog.upstreams:
            _replace_process(state, returned, now)
    return tuple(
        decision
        for change, ids in changed.items()
        for decision in _log_upstream_changes(change, ids, catalog)
    )


def _apply_entry(
    state: PacketState,
    upstream: PacketUpstream,
    now: float,
) -> str:
    """Apply the entry of an upstream; return its change to log, or ''."""
    identity = upstream.identity
    view = state.agents.get(identity)
    if view is None:
        state.agents[identity] = AgentView(upstream, now)
        return 'added'
    before = view.upstream.state
    view.update_upstream(upstream, now)
    state.missing.discard(identity)
    return '' if before == upstream.state else upstream.state


def _add_missed(
    state: PacketState,
    upstream: PacketUpstream,
    now: float,
) -> None:
    """Add an upstream whose entry expired before this balancer read it.

    It may still be running, with flows that other balancers opened there.
    """
    view = AgentView(upstream, now)
    view.missing_since = now
    state.agents[upstream.identity] = view
    state.missing.add(upstream.identity)


def _mark_missing(
    state: PacketState,
    identity: UpstreamIdentity,
    catalog: Catalog,
    now: float,
) -> str:
    """Mark an upstream process without an entry; return its change to log.

    If the entry of another process has replaced its entry, it has restarted
    and is forgotten at once.
    """
    if identity.upstream_id in catalog.upstreams:
        _replace_process(state, identity, now)
        return 'restarted'
    state.agents[identity].missing_since = now
    state.missing.add(identity)
    return 'gone'


def _replace_process(
    state: PacketState,
    identity: UpstreamIdentity,
    now: float,
) -> None:
    """Forget an upstream process that was replaced by a restarted one.

    It cannot return, so no search waits for it.  Whether the upstream still
    has a flow is decided by the answers of the agents alone.
    """
    state.agents.pop(identity).mark_replaced(now)
    state.missing.discard(identity)


def _log_upstream_changes(
    change: str,
    upstream_ids: list[str],
    catalog: Catalog,
) -> Effects:
    """Return a log line for each upstream, or a single one for many.

    After an outage all upstreams change at once.  A line for each of them
    would make the log drop lines about flows.
    """
    if len(upstream_ids) > MAX_LISTED:
        fields = {
            'change': change,
            'count': len(upstream_ids),
            'upstreams': upstream_ids[:MAX_LISTED],
            'revision': catalog.revision,
        }
        return (Decided('upstreams_changed', fields),)
    return tuple(
        Decided(
            f'upstream_{change}',
            {'upstream': upstream_id, 'revision': catalog.revision},
        )
        for upstream_id in upstream_ids
    )


def _rebuild_indexes(state: PacketState) -> None:
    """Index agents by service and host; drop data about replaced agents.

    An address may be reused before the entry of its former upstream expires.
    Of two upstreams on one host, one with an entry takes precedence over one
    without, and then the one whose entry was written later.
    """
    agents_by_host: dict[str, AgentView] = {}
    for view in state.agents.values():
        other = agents_by_host.get(view.host)
        if other is None or _get_host_precedence(other) <= _get_host_precedence(
            view
        ):
            agents_by_host[view.host] = view
    agents_by_service: dict[str, list[AgentView]] = {}
    for view in agents_by_host.values():
        agents_by_service.setdefault(view.upstream.service, []).append(view)
    _forget_answers(state, agents_by_host)
    state.agents_by_host = agents_by_host
    state.catalog_gaps.uncovered_agents.clear()
    rebuild_untold(state)
    state.polling.zone_agent_count = sum(
        map(state.is_same_zone, agents_by_host.values())
    )
    state.agents_by_service = {
        service: tuple(views) for service, views in agents_by_service.items()
    }


def _forget_answers(
    state: PacketState,
    agents_by_host: dict[str, AgentView],
) -> None:
    """Forget answers of hosts that have another upstream now.

    The searches for owners query these hosts again.
    """
    changed = {
        host
        for host, view in agents_by_host.items()
        if state.agents_by_host.get(host) is not view
    }
    for search in state.searches.values():
        search.denied_by -= changed
        search.declined_by -= changed
        search.queried_hosts = [
            host for host in search.queried_hosts if host not in changed
        ]


def _get_host_precedence(view: AgentView) -> tuple[bool, int]:
    """Return a sort key; of two upstreams on one host the higher one wins."""
    return view.missing_since is None, view.upstream.revision


def forget_former_routes(state: PacketState, now: float) -> None:
    """Forget removed routes whose flows have reached the maximum age."""
    expired = [
        key
        for key, former in state.former_routes.items()
        if now - former.removed_at > defaults.FORMER_ROUTE_SECONDS
    ]
    for key in expired:
        state.former_routes.pop(key)


def _should_forget(view: AgentView, now: float) -> bool:
    """Return whether an upstream has long had no entry and sent no message."""
    since = view.missing_since
    if since is None or now - since <= defaults.MISSING_ENTRY_SECONDS:
        return False
    return now - view.last_heard > defaults.MISSING_ENTRY_SECONDS


def forget_missing_upstreams(state: PacketState, now: float) -> None:
    """Forget upstreams long missing from the catalog with silent agents."""
    expired = [
        identity
        for identity in state.missing
        if _should_forget(state.agents[identity], now)
    ]
    for identity in expired:
        state.agents.pop(identity)
        state.missing.discard(identity)
    if expired:
        _rebuild_indexes(state)
