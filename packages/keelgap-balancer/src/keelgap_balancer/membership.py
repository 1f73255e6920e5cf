"""What follows from a new table or a new list of instances."""

from xxhash import xxh3_64_intdigest

from keelgap.addresses import Address
from keelgap.routing.rendezvous import Weighted
from keelgap.table import EMPTY_TABLE, Service, Table, Upstream
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
    before = state.table
    state.table = event.table
    _update_owners(state, event.now)
    _refresh_takers(state, before)
    return _compare_services(before, event.table)


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
    _update_owners(state, event.now)
    _refresh_takers(state, state.table)
    return ()


def _compare_services(
    before: Table,
    after: Table,
) -> tuple[BalancerEffect, ...]:
    if before.services == after.services:
        return ()
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


def _update_owners(state: BalancerState, now: float) -> None:
    """Note who may own flows; those who depart stay owners for a day.

    A row may go before its last flow ends, and a balancer that joins later
    never saw it: the platform's list counts as published, too.
    """
    listed = (
        instance.data
        for instance in state.instances.instances
        if instance.role == 'agent'
    )
    rows = (
        upstream.agent
        for members in state.table.upstreams.values()
        for upstream in members
    )
    owners = frozenset((*listed, *rows))
    until = now + OWNER_MEMORY_SECONDS
    departed = {
        agent: end for agent, end in state.departed.items() if end > now
    }
    departed.update(dict.fromkeys(state.owners - owners, until))
    state.owners = owners
    state.departed = departed
    state.health.keep_only(owners | departed.keys())


def _refresh_takers(state: BalancerState, before: Table) -> None:
    """Rank anew the services whose rows or leaving upstreams changed."""
    leaving = state.instances.select_data('agent', 'leaving')
    if leaving != state.leaving:
        before = EMPTY_TABLE
    state.leaving = leaving
    old = before.upstreams
    state.takers = {
        number: state.takers[number]
        if old.get(number) is members
        else _rank_members(members, leaving)
        for number, members in state.table.upstreams.items()
    }


def _rank_members(
    members: tuple[Upstream, ...],
    leaving: frozenset[Address],
) -> tuple[RankedUpstream, ...]:
    return tuple(
        _make_ranked(upstream)
        for upstream in members
        if upstream.state == 'active' and upstream.agent not in leaving
    )


def _make_ranked(upstream: Upstream) -> RankedUpstream:
    seed = xxh3_64_intdigest(upstream.name.encode())
    return Weighted(seed, upstream.weight), upstream
