"""Take later routes and upstreams into the balancer's state."""

from keelgap.catalog.models import (
    Catalog,
    PacketUpstream,
    UpstreamIdentity,
)
from keelgap.runtime.lines import MAX_NAMED
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.directories import change_directories
from keelgap_balancer.packets.effects import Decided, PacketEffect
from keelgap_balancer.packets.notices import tell_zones
from keelgap_balancer.packets.state import FormerRoute, PacketState
from keelgap_balancer.packets.unlisted import note_displaced
from keelgap_balancer.packets.views import AgentView

__all__ = ('change_catalog', 'forget_former_routes', 'forget_gone')

Effects = tuple[PacketEffect, ...]


def change_catalog(
    state: PacketState,
    catalog: Catalog,
    now: float,
) -> Effects:
    """Put a catalog in force; what went stays findable for a while."""
    if catalog.routes.version != state.catalog.routes.version:
        _change_routes(state, catalog, now)
    before = state.catalog
    state.catalog = catalog
    state.confirmed_revision = max(state.confirmed_revision, catalog.revision)
    state.latest_change = max(state.latest_change, catalog.latest_change)
    if state.informed_at is None:
        state.informed_at = now
        state.holders.first_revision = catalog.revision
    if catalog.has_gap:
        state.holders.gap_at = now
    by_host = state.by_host
    effects = _change_upstreams(state, catalog, now)
    _index(state)
    note_displaced(state, by_host, now)
    return (
        *effects,
        *change_directories(state, now),
        *_change_zones(state, before, now),
    )


def _change_zones(
    state: PacketState,
    before: Catalog,
    now: float,
) -> Effects:
    """Tell agents and operators which availability zones take new flows."""
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
        *tell_zones(state, frozenset(left | returned), now),
    )


def _change_routes(
    state: PacketState,
    catalog: Catalog,
    now: float,
) -> None:
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


def _change_upstreams(
    state: PacketState,
    catalog: Catalog,
    now: float,
) -> Effects:
    """Take the entries of a catalog; return lines on what changed."""
    changed: dict[str, list[str]] = {}
    for upstream_id, upstream in catalog.upstreams.items():
        change = _take_report(state, upstream, now)
        if change:
            changed.setdefault(change, []).append(upstream_id)
    for missed in catalog.missed:
        if missed.identity not in state.agents:
            _take_missed(state, missed, now)
            changed.setdefault('missed', []).append(missed.upstream_id)
    listed = {one.identity for one in catalog.upstreams.values()}
    missing = [
        identity
        for identity in state.agents
        if identity not in listed and identity not in state.gone
    ]
    for identity in missing:
        change = _miss_entry(state, identity, catalog, now)
        changed.setdefault(change, []).append(identity.upstream_id)
    for returned in tuple(state.gone):
        if returned.upstream_id in catalog.upstreams:
            _end_start(state, returned, now)
    return tuple(
        line
        for change, ids in changed.items()
        for line in _tell_change(change, ids, catalog)
    )


def _take_report(
    state: PacketState,
    upstream: PacketUpstream,
    now: float,
) -> str:
    """Take what an upstream says; return what changed, if anything."""
    identity = upstream.identity
    view = state.agents.get(identity)
    if view is None:
        state.agents[identity] = AgentView(upstream, now)
        return 'added'
    before = view.upstream.state
    view.change_upstream(upstream, now)
    state.gone.discard(identity)
    return '' if before == upstream.state else upstream.state


def _take_missed(
    state: PacketState,
    upstream: PacketUpstream,
    now: float,
) -> None:
    """Take an upstream whose entry lapsed before it was read.

    It may live, and hold flows that others opened there.
    """
    view = AgentView(upstream, now)
    view.gone_since = now
    state.agents[upstream.identity] = view
    state.gone.add(upstream.identity)


def _miss_entry(
    state: PacketState,
    identity: UpstreamIdentity,
    catalog: Catalog,
    now: float,
) -> str:
    """Note that a start has no entry any more; return what became of it."""
    if identity.upstream_id in catalog.upstreams:
        _end_start(state, identity, now)
        return 'restarted'
    state.agents[identity].gone_since = now
    state.gone.add(identity)
    return 'gone'


def _end_start(
    state: PacketState,
    identity: UpstreamIdentity,
    now: float,
) -> None:
    """Forget a start whose upstream started again.

    It cannot come back, so nobody waits for it.  That it holds no flow is for
    the agents to say, whose upstreams answer or deny.
    """
    state.agents.pop(identity).end(now)
    state.gone.discard(identity)


def _tell_change(
    change: str,
    upstream_ids: list[str],
    catalog: Catalog,
) -> Effects:
    """Return a line for each upstream, or one for many.

    After an outage all of them change at once, and the lines of decisions on
    flows must not be dropped for that.
    """
    if len(upstream_ids) > MAX_NAMED:
        fields = {
            'change': change,
            'count': len(upstream_ids),
            'upstreams': upstream_ids[:MAX_NAMED],
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


def _index(state: PacketState) -> None:
    """Sort the agents by service and by host.

    An address may be used again before the entry of its former upstream
    lapses.  Of two upstreams on one host, one with an entry counts before
    one without, and then the one whose entry was written later.
    """
    by_host: dict[str, AgentView] = {}
    for view in state.agents.values():
        other = by_host.get(view.host)
        if other is None or _rank_on_host(other) <= _rank_on_host(view):
            by_host[view.host] = view
    by_service: dict[str, list[AgentView]] = {}
    for view in by_host.values():
        by_service.setdefault(view.upstream.service, []).append(view)
    _forget_answers(state, by_host)
    state.by_host = by_host
    state.holders.unspoken.clear()
    state.greeting.near_agents = sum(map(state.is_near, by_host.values()))
    state.by_service = {
        service: tuple(views) for service, views in by_service.items()
    }


def _forget_answers(
    state: PacketState,
    by_host: dict[str, AgentView],
) -> None:
    """Let searches ask again where another upstream is now."""
    changed = {
        host
        for host, view in by_host.items()
        if state.by_host.get(host) is not view
    }
    for search in state.searches.values():
        search.missed -= changed
        search.gave_back -= changed
        search.asked = [host for host in search.asked if host not in changed]


def _rank_on_host(view: AgentView) -> tuple[bool, int]:
    return view.gone_since is None, view.upstream.revision


def forget_former_routes(state: PacketState, now: float) -> None:
    """Forget dropped routes whose flows are too old to go on."""
    old = [
        key
        for key, former in state.former_routes.items()
        if now - former.dropped_at > defaults.FORMER_ROUTE_SECONDS
    ]
    for key in old:
        state.former_routes.pop(key)


def _is_over(view: AgentView, now: float) -> bool:
    since = view.gone_since
    if since is None or now - since <= defaults.GONE_SECONDS:
        return False
    return now - view.last_heard > defaults.GONE_SECONDS


def forget_gone(state: PacketState, now: float) -> None:
    """Forget upstreams whose entry has been missing for long enough."""
    over = [
        identity
        for identity in state.gone
        if _is_over(state.agents[identity], now)
    ]
    for identity in over:
        state.agents.pop(identity)
        state.gone.discard(identity)
    if over:
        _index(state)
