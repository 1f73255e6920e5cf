"""What follows from a new table or a new list of instances."""

from xxhash import xxh3_64_intdigest

from keelgap.routing.rendezvous import Weighted
from keelgap.table import Service, Table, Upstream
from keelgap_balancer.defaults import OWNER_MEMORY_SECONDS
from keelgap_balancer.effects import BalancerEffect, CloseService, OpenService
from keelgap_balancer.events import InstancesChanged, TableChanged
from keelgap_balancer.state import BalancerState, RankedUpstream

__all__ = ('change_instances', 'change_table')


def change_table(
    state: BalancerState,
    event: TableChanged,
) -> tuple[BalancerEffect, ...]:
    """Put a table in force, unless it is older than the one in force."""
    if event.table.version <= state.table.version:
        return ()
    effects = _compare_services(state.table, event.table)
    _remember_owners(state, event.now)
    state.table = event.table
    _remember_owners(state, event.now)
    _refresh_takers(state)
    return effects


def change_instances(
    state: BalancerState,
    event: InstancesChanged,
) -> tuple[BalancerEffect, ...]:
    """Take note of who is live and who is leaving."""
    if event.instances.revision <= state.instances.revision:
        return ()
    state.instances = event.instances
    peers = event.instances.select_data('balancer', 'live')
    state.peers = tuple(sorted(peers - {state.address}))
    _remember_owners(state, event.now)
    _refresh_takers(state)
    return ()


def _compare_services(
    before: Table,
    after: Table,
) -> tuple[BalancerEffect, ...]:
    old = _index_listeners(before)
    new = _index_listeners(after)
    closed = sorted(old.keys() - new.keys())
    opened = sorted(new.keys() - old.keys())
    return (
        *(CloseService(old[key]) for key in closed),
        *(OpenService(new[key]) for key in opened),
    )


def _index_listeners(table: Table) -> dict[tuple[int, int], Service]:
    return {
        (service.number, service.port): service
        for service in table.services.values()
    }


def _remember_owners(state: BalancerState, now: float) -> None:
    # A row may go before its last flow ends, and a balancer that joins later
    # never saw it: the platform's list counts as published, too.
    for instance in state.instances.instances:
        if instance.role == 'agent':
            state.published[instance.data] = now
    for members in state.table.upstreams.values():
        for upstream in members:
            state.published[upstream.agent] = now
    oldest = now - OWNER_MEMORY_SECONDS
    state.published = {
        agent: seen for agent, seen in state.published.items() if seen > oldest
    }
    state.health.keep_only(frozenset(state.published))


def _refresh_takers(state: BalancerState) -> None:
    leaving = state.instances.select_data('agent', 'leaving')
    state.takers = {
        number: tuple(
            _make_ranked(upstream)
            for upstream in members
            if upstream.state == 'active' and upstream.agent not in leaving
        )
        for number, members in state.table.upstreams.items()
    }


def _make_ranked(upstream: Upstream) -> RankedUpstream:
    seed = xxh3_64_intdigest(upstream.name.encode())
    return Weighted(seed, upstream.weight), upstream
