"""Search for the agent that holds an open flow unknown to this balancer.

The agents of a small service are queried one after the other.  A large service
has a flow directory: two directory nodes are queried, whatever the number of
upstreams.  They name the owner of the flow, or deny the flow on behalf of all
agents whose registrations they hold completely.  The remaining agents, such as
those that started after their upstreams, are queried directly.
"""

from collections.abc import Iterable

from keelgap.catalog.models import PacketRoute
from keelgap.packets.formats import get_route_key
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.dead_flows import (
    conclude_search,
    list_directory_nodes,
    list_route_agents,
    list_unknown_hosts,
    serves_route,
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
    query_as_other_service,
    query_candidates,
    query_host,
    send_query,
)
from keelgap_balancer.packets.route_services import is_announced
from keelgap_balancer.packets.state import PacketState
from keelgap_balancer.packets.views import AgentView

__all__ = (
    'continue_search',
    'resume_search',
    'continue_overdue_searches',
    'resume_after_denial',
    'resume_answered',
    'resume_denied',
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

    While an agent's answer is pending, the packet is sent to it again; while
    that of a directory node is, nothing is sent.
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
    """Query the next candidate, or conclude the search if none is left.

    Named owners come first, then directory nodes, then other agents.
    """
    search = state.searches[key]
    search.replace_packet(datagram, now)
    for host in search.named_owners:
        if host not in search.denied_by and host not in search.queried_hosts:
            return query_host(state, search, host, now)
    directory_nodes = list_directory_nodes(state, route, key, now)
    lookup = _query_next_node(state, search, directory_nodes, key, now)
    if lookup or search.pending_lookups:
        return lookup
    queries = query_candidates(state, search, route, directory_nodes, key, now)
    if queries is not None:
        return queries
    return conclude_search(state, route, search, key, now)


def _sort_hosts(
    state: PacketState,
    hosts: Iterable[str],
    now: float,
) -> list[str]:
    """Sort hosts: responsive agents first, then those of the same zone.

    Hosts without an agent in the catalog are left out.
    """
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
    """Look the flow up at the next directory node, if one is left.

    Nodes are queried one after the other: for most flows the first one
    suffices to find the owner.
    """
    for node in _sort_hosts(state, directory_nodes, now):
        if node not in search.queried_nodes:
            search.queried_nodes.add(node)
            search.pending_lookups.add(node)
            search.pending_since = now
            search.query_count += 1
            return queue_lookup(state, node, key, now)
    return ()


def resume_answered(state: PacketState, event: EnvelopeArrived) -> Effects:
    """Record a directory node's answer, and resume the searches it concerns.

    A search whose owner is not in the catalog is suspended or dropped.
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
        if hosts or is_announced(state, event, get_route_key(key)):
            effects.extend(
                _record_answer(state, event, response.digest, key, hosts)
            )
        else:
            effects.append(Decided('drop_unannounced_denial'))
    return tuple(effects)


def resume_after_denial(
    state: PacketState,
    event: EnvelopeArrived,
    view: AgentView,
    route: PacketRoute,
) -> Effects:
    """Record that an agent denied an open flow, and resume the search for it.

    The denial does not count if it depends on a message that was lost, or if
    the agent was queried as one of another service than it serves.
    """
    datagram = event.envelope.content
    key = state.format.caller_key(datagram)
    view.record_search_answer()
    search = state.searches.setdefault(key, FlowSearch(event.now))
    if not is_announced(state, event, get_route_key(key)):
        return _drop_denial(search, view)
    queried_again = query_as_other_service(state, search, route, view)
    if queried_again is not None:
        return queried_again
    search.denied_by.add(view.host)
    if not search.query_count and serves_route(state, view, route):
        # The packet had been forwarded to the cached owner, which returned it;
        # that counts as the first query.
        search.query_count = 1
    search.may_lack_entries |= event.stamp.may_lack_entries
    if search.pending_host not in {None, view.host}:
        return ()
    search.pending_host = None
    return continue_search(state, route, key, datagram, event.now)


def _drop_denial(search: FlowSearch, view: AgentView) -> Effects:
    """Ignore a denial that depends on a lost message; query the agent again."""
    if search.pending_host == view.host:
        search.pending_host = None
    return (Decided('drop_unannounced_denial'),)


def _record_answer(
    state: PacketState,
    event: EnvelopeArrived,
    digest: int,
    key: bytes,
    hosts: tuple[str, ...],
) -> Effects:
    """Record a node's answer on one flow, and resume its search."""
    search = state.searches[key]
    unknown_hosts = list_unknown_hosts(state, search, hosts)
    if unknown_hosts:
        return _await_owner_entry(state, search, key, unknown_hosts)
    search.named_owners.extend(hosts)
    search.answer_digests[event.sender] = digest
    if search.pending_host is not None:
        return ()
    return resume_search(state, search, key, event.now)


def _await_owner_entry(
    state: PacketState,
    search: FlowSearch,
    key: bytes,
    hosts: list[str],
) -> Effects:
    """Suspend a search whose owner is missing from the catalog in force.

    If the store has no later changes to read, the owner's entry has lapsed.
    The search is dropped then; the caller's next packet starts another.
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


def resume_denied(state: PacketState, event: EnvelopeArrived) -> Effects:
    """Resume searches after a directory node told which agents it covers.

    It knows all flows of a covered agent.  If the coverage has changed since
    the node denied a flow, the node is queried again.
    """
    if not handle_coverage(state, event):
        return ()
    host = event.sender
    digest = state.directory_nodes[host].digest
    effects = list(notify_uncovered(state, host, event.now))
    for key, search in tuple(state.searches.items()):
        if host not in search.answer_digests or not _has_stalled(search):
            continue
        if search.answer_digests[host] != digest:
            search.restart_lookups()
        effects.extend(resume_search(state, search, key, event.now))
    return tuple(effects)


def _has_stalled(search: FlowSearch) -> bool:
    """Return whether an open flow's search awaits no answer or catalog."""
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
    """Continue a search with the latest packet of its flow.

    A search whose route is unknown is dropped.
    """
    route = state.find_route(search.latest_packet)
    if route is None:
        state.searches.pop(key, None)
        return (Decided('drop_unknown_route'),)
    return continue_search(state, route, key, search.latest_packet, now)


def continue_overdue_searches(state: PacketState, now: float) -> Effects:
    """Continue owner searches whose latest query was too long ago.

    Callers repeat their packets too seldom to keep a search going.  A search
    that awaits no answer, but has neither found an owner nor denied the flow,
    queries the flow directory again.
    """
    effects: list[PacketEffect] = []
    for key, search in tuple(state.searches.items()):
        if not _is_overdue(state, search, now):
            continue
        if _has_stalled(search):
            search.restart_lookups()
        search.drop_pending()
        effects.extend(resume_search(state, search, key, now))
    return tuple(effects)


def _is_overdue(state: PacketState, search: FlowSearch, now: float) -> bool:
    """Return whether a search has waited long enough to continue.

    While an agent's answer is pending, the search continues only if another
    agent is left to query.
    """
    if not search.latest_packet or search.is_suspended:
        return False
    if now - search.pending_since < search.answer_timeout:
        return False
    return search.pending_host is None or _has_unqueried_agents(state, search)


def _has_unqueried_agents(state: PacketState, search: FlowSearch) -> bool:
    """Return whether an agent of the route has not been queried yet."""
    route = state.find_route(search.latest_packet)
    if route is None:
        # resume_search drops a search without a route.
        return True
    queried = set(search.queried_hosts)
    return any(
        view.host not in queried for view in list_route_agents(state, route)
    )
