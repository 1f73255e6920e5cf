"""Search for the agent that holds an open flow unknown to this balancer.

The agents of a small service are queried one after the other.  A large service
has a flow directory: two directory nodes are queried, whatever the number of
upstreams.  They name the owner of the flow, or deny the flow on behalf of all
agents whose registrations they hold completely.  The remaining agents, such as
those that started after their upstreams, are queried directly.
"""

from collections.abc import Iterable

from keelgap.catalog.models import PacketRoute
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.dead_flows import (
    conclude_search,
    list_directory_nodes,
    list_route_agents,
    list_unknown_hosts,
)
from keelgap_balancer.packets.directory_client import (
    handle_coverage,
    handle_lookup_answer,
    notify_uncovered,
    queue_lookup,
)
from keelgap_balancer.packets.effects import (
    Decided,
    PacketEffect,
    RefreshCatalog,
)
from keelgap_balancer.packets.events import EnvelopeArrived
from keelgap_balancer.packets.flow_search import FlowSearch
from keelgap_balancer.packets.owner_queries import (
    query_candidates,
    query_host,
    send_query,
)
from keelgap_balancer.packets.state import PacketState

__all__ = (
    'continue_search',
    'resume_search',
    'skip_unresponsive',
    'handle_found',
    'handle_covered',
    'search_for_owner',
)

Effects = tuple[PacketEffect, ...]


def search_for_owner(
    state: PacketState,
    route: PacketRoute,
    key: bytes,
    datagram: bytes,
    now: float,
) -> Effects:
    """Search for the owner of a flow, using one of its packets as the query.

    A search that waits for an answer resends the packet to the same host.
    """
    search = state.searches.get(key)
    if search is None:
        if len(state.searches) >= defaults.MAX_SEARCHES:
            return (Decided('search_table_full'),)
        search = FlowSearch(now)
        state.searches[key] = search
    search.record_packet(datagram, now)
    if search.awaits_catalog:
        return (RefreshCatalog(),)
    if search.is_suspended:
        return ()
    is_in_time = now - search.pending_since < search.answer_timeout
    if search.pending_host is not None and is_in_time:
        return send_query(state, search, search.pending_host, datagram)
    if search.pending_lookups and is_in_time:
        return ()
    search.drop_pending()
    return continue_search(state, route, key, datagram, now)


def continue_search(
    state: PacketState,
    route: PacketRoute,
    key: bytes,
    datagram: bytes,
    now: float,
) -> Effects:
    """Query the next agent, or conclude the search if none is left."""
    search = state.searches[key]
    search.replace_packet(datagram, now)
    for host in search.named_owners:
        if host not in search.missed and host not in search.queried_hosts:
            return query_host(state, search, host, now)
    directory_nodes = list_directory_nodes(state, route, key)
    lookup = _query_next_node(state, search, directory_nodes, key, now)
    if lookup or search.pending_lookups:
        return lookup
    queries = query_candidates(state, search, route, directory_nodes, key, now)
    if queries is not None:
        return queries
    return conclude_search(state, route, search, key, now)


def _rank_hosts(
    state: PacketState,
    hosts: Iterable[str],
    now: float,
) -> list[str]:
    """Sort hosts: responsive agents first, then those of the same zone."""
    views = [
        state.agents_by_host[host]
        for host in hosts
        if host in state.agents_by_host
    ]
    views.sort(
        key=lambda view: (
            view.is_unresponsive(now),
            not state.is_same_zone(view),
        )
    )
    return [view.host for view in views]


def _query_next_node(
    state: PacketState,
    search: FlowSearch,
    directory_nodes: tuple[str, ...],
    key: bytes,
    now: float,
) -> Effects:
    """Query the next directory node.

    Nodes are queried one after the other: the first one knows most owners.
    """
    for node in _rank_hosts(state, directory_nodes, now):
        if node not in search.queried_nodes:
            search.queried_nodes.add(node)
            search.pending_lookups.add(node)
            search.pending_since = now
            search.query_count += 1
            return queue_lookup(state, node, key, now)
    return ()


def handle_found(state: PacketState, event: EnvelopeArrived) -> Effects:
    """Resume the searches that a directory node answered.

    Raises MalformedEnvelope.
    """
    response, sent = handle_lookup_answer(state, event)
    effects: list[PacketEffect] = list(sent)
    for key, hosts in response.rows:
        search = state.searches.get(key)
        if search is None:
            continue
        search.pending_lookups.discard(event.sender)
        search.may_lack_entries |= event.stamp.may_lack_entries
        unknown_hosts = list_unknown_hosts(state, search, hosts)
        if unknown_hosts:
            effects.extend(
                _await_owner_entry(state, search, key, unknown_hosts)
            )
            continue
        search.named_owners.extend(hosts)
        search.denying_nodes[event.sender] = response.digest
        if search.pending_host is None:
            effects.extend(resume_search(state, search, key, event.now))
    return tuple(effects)


def _await_owner_entry(
    state: PacketState,
    search: FlowSearch,
    key: bytes,
    hosts: list[str],
) -> Effects:
    """Suspend a search whose owner is missing from the catalog in force.

    If the store has no later changes to read, the owner's entry has lapsed.
    The search is dropped then; the caller repeats its packet.
    """
    fields = {
        'flow': state.format.describe_key(key),
        'hosts': hosts,
        'revision': state.confirmed_revision,
    }
    decided = Decided('owner_not_in_catalog', fields)
    if not state.is_catalog_stale:
        state.searches.pop(key, None)
        return (decided,)
    search.awaits_catalog = True
    return RefreshCatalog(), decided


def handle_covered(state: PacketState, event: EnvelopeArrived) -> Effects:
    """Resume searches that depend on which agents a directory node covers.

    If the coverage has changed since the node denied a flow, the node is
    queried again.
    """
    if not handle_coverage(state, event):
        return ()
    host = event.sender
    digest = state.directory_nodes[host].digest
    effects = list(notify_uncovered(state, host, event.now))
    for key, search in tuple(state.searches.items()):
        if host not in search.denying_nodes or not _is_idle(search):
            continue
        if search.denying_nodes[host] != digest:
            search.restart_lookups()
        effects.extend(resume_search(state, search, key, event.now))
    return tuple(effects)


def _is_idle(search: FlowSearch) -> bool:
    """Return whether a search of an open flow awaits no answer."""
    is_pending = search.pending_host is not None or bool(search.pending_lookups)
    return (
        bool(search.latest_packet)
        and not is_pending
        and not search.is_suspended
    )


def resume_search(
    state: PacketState,
    search: FlowSearch,
    key: bytes,
    now: float,
) -> Effects:
    """Continue a search with the latest packet of its flow."""
    route = state.find_route(search.latest_packet)
    if route is None:
        state.searches.pop(key, None)
        return (Decided('drop_unknown_route'),)
    return continue_search(state, route, key, search.latest_packet, now)


def skip_unresponsive(state: PacketState, now: float) -> Effects:
    """Continue searches whose pending answer is overdue.

    Callers repeat their packets too seldom for that to drive a search.  If
    the directory answered without deciding the search, it is queried again.
    """
    effects: list[PacketEffect] = []
    for key, search in tuple(state.searches.items()):
        if not _is_overdue(state, search, now):
            continue
        if _is_idle(search):
            search.restart_lookups()
        search.drop_pending()
        effects.extend(resume_search(state, search, key, now))
    return tuple(effects)


def _is_overdue(state: PacketState, search: FlowSearch, now: float) -> bool:
    """Return whether to stop waiting for the pending answers."""
    if not search.latest_packet or search.is_suspended:
        return False
    if now - search.pending_since < search.answer_timeout:
        return False
    return search.pending_host is None or _has_unqueried_agents(state, search)


def _has_unqueried_agents(state: PacketState, search: FlowSearch) -> bool:
    """Return whether an agent of the route has not been queried yet."""
    route = state.find_route(search.latest_packet)
    if route is None:
        return True
    queried = set(search.queried_hosts)
    return any(
        view.host not in queried for view in list_route_agents(state, route)
    )
