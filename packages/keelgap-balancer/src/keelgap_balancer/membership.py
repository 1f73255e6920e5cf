"""Handlers of a new table and of a new list of instances."""

from xxhash import xxh3_64_intdigest

from keelgap.addresses import Address
from keelgap.routing.rendezvous import WeightedSeed
from keelgap.table import EMPTY_TABLE, Service, Table, Upstream
from keelgap_balancer.defaults import FORMER_OWNER_SECONDS
from keelgap_balancer.effects import BalancerEffect, CloseService, OpenService
from keelgap_balancer.events import InstancesChanged, TableChanged
from keelgap_balancer.state import BalancerState, WeightedUpstream

__all__ = ('handle_instances_change', 'handle_table_change')


def handle_table_change(
    state: BalancerState,
    event: TableChanged,
) -> tuple[BalancerEffect, ...]:
    """Apply a table of services if it is newer than the one in use."""
    if event.table.version <= state.table.version:
        return ()
    before = state.table
    state.table = event.table
    _update_owners(state, event.now)
    _update_eligible(state, before)
    return _compare_services(before, event.table)


def handle_instances_change(
    state: BalancerState,
    event: InstancesChanged,
) -> tuple[BalancerEffect, ...]:
    """Apply an instance list if it is newer than the one in use."""
    if event.instances.revision <= state.instances.revision:
        return ()
    state.instances = event.instances
    peers = event.instances.select_data_addresses('balancer', 'live')
    state.peers = tuple(sorted(peers - {state.address}))
    _update_owners(state, event.now)
    _update_eligible(state, state.table)
    return ()


def _compare_services(
    before: Table,
    after: Table,
) -> tuple[BalancerEffect, ...]:
    """Return the effects that close and open the ports that differ."""
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
    """Return the services of a table by number and port."""
    return {
        (service.number, service.port): service
        for service in table.services.values()
    }


def _update_owners(state: BalancerState, now: float) -> None:
    """Update the agents that may own flows.

    An agent that is no longer published may own flows for another
    FORMER_OWNER_SECONDS, because its row may be removed before its last flow
    ends.  Agents of the instance list count as published as well, because a
    balancer that joins later never had the row.
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
    expires_at = now + FORMER_OWNER_SECONDS
    former = {
        agent: end for agent, end in state.former_owners.items() if end > now
    }
    former.update(dict.fromkeys(state.owners - owners, expires_at))
    state.owners = owners
    state.former_owners = former
    state.health.keep_only(owners | former.keys())


def _update_eligible(state: BalancerState, before: Table) -> None:
    """Update the eligible upstreams of services whose rows changed.

    A change of the leaving agents updates all services.
    """
    leaving = state.instances.select_data_addresses('agent', 'leaving')
    if leaving != state.leaving:
        before = EMPTY_TABLE
    state.leaving = leaving
    previous = before.upstreams
    state.eligible_upstreams = {
        number: state.eligible_upstreams[number]
        if previous.get(number) is members
        else _select_eligible(members, leaving)
        for number, members in state.table.upstreams.items()
    }


def _select_eligible(
    members: tuple[Upstream, ...],
    leaving: frozenset[Address],
) -> tuple[WeightedUpstream, ...]:
    """Return the weighted upstreams that may take new flows."""
    return tuple(
        _add_weight(upstream)
        for upstream in members
        if upstream.state == 'active' and upstream.agent not in leaving
    )


def _add_weight(upstream: Upstream) -> WeightedUpstream:
    """Return an upstream with its weight and hash seed for the ranking."""
    seed = xxh3_64_intdigest(upstream.name.encode())
    return WeightedSeed(seed, upstream.weight), upstream
