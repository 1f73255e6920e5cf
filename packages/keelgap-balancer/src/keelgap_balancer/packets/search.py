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
from keelgap_balancer.packets.asking import ask, ask_next, ask_unproved
from keelgap_balancer.packets.directories import (
    look_up,
    take_answer,
    take_coverage,
    tell_uncovered,
)
from keelgap_balancer.packets.effects import (
    CatchUp,
    Decided,
    PacketEffect,
)
from keelgap_balancer.packets.events import EnvelopeArrived
from keelgap_balancer.packets.searches import Search
from keelgap_balancer.packets.state import PacketState
from keelgap_balancer.packets.verdicts import (
    give_verdict,
    list_members,
    list_nodes,
    list_strangers,
)

__all__ = (
    'continue_search',
    'go_on',
    'pass_over_silent',
    'take_found',
    'take_covered',
    'take_unknown_flow',
)

Effects = tuple[PacketEffect, ...]


def take_unknown_flow(
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
        search = Search(now)
        state.searches[key] = search
    search.take_packet(datagram, now)
    if search.is_parked:
        return (CatchUp(),)
    if search.is_waiting:
        return ()
    is_in_time = now - search.pending_since < search.patience
    if search.pending is not None and is_in_time:
        return ask(state, search, search.pending, datagram)
    if search.lookups and is_in_time:
        return ()
    search.stop_waiting()
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
    search.keep_packet(datagram, now)
    for host in search.named:
        if host not in search.missed and host not in search.asked:
            return ask_next(state, search, host, now)
    nodes = list_nodes(state, route, key)
    lookup = _query_next_node(state, search, nodes, key, now)
    if lookup or search.lookups:
        return lookup
    queries = ask_unproved(state, search, route, nodes, key, now)
    if queries is not None:
        return queries
    return give_verdict(state, route, search, key, now)


def _rank_hosts(
    state: PacketState,
    hosts: Iterable[str],
    now: float,
) -> list[str]:
    """Sort hosts: responsive agents first, then those of the same zone."""
    views = [state.by_host[host] for host in hosts if host in state.by_host]
    views.sort(
        key=lambda view: (view.is_unresponsive(now), not state.is_near(view))
    )
    return [view.host for view in views]


def _query_next_node(
    state: PacketState,
    search: Search,
    nodes: tuple[str, ...],
    key: bytes,
    now: float,
) -> Effects:
    """Query the next directory node.

    Nodes are queried one after the other: the first one knows most owners.
    """
    for node in _rank_hosts(state, nodes, now):
        if node not in search.tried:
            search.tried.add(node)
            search.lookups.add(node)
            search.pending_since = now
            search.questions += 1
            return look_up(state, node, key, now)
    return ()


def take_found(state: PacketState, event: EnvelopeArrived) -> Effects:
    """Resume the searches that a directory node answered.

    Raises MalformedEnvelope.
    """
    lookup, sent = take_answer(state, event)
    effects: list[PacketEffect] = list(sent)
    for key, hosts in lookup.rows:
        search = state.searches.get(key)
        if search is None:
            continue
        search.lookups.discard(event.sender)
        search.may_lack_entries |= event.stamp.may_lack_entries
        unknown_hosts = list_strangers(state, search, hosts)
        if unknown_hosts:
            effects.extend(
                _await_owner_entry(state, search, key, unknown_hosts)
            )
            continue
        search.named.extend(hosts)
        search.denied[event.sender] = lookup.digest
        if search.pending is None:
            effects.extend(go_on(state, search, key, event.now))
    return tuple(effects)


def _await_owner_entry(
    state: PacketState,
    search: Search,
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
    if not state.is_behind:
        state.searches.pop(key, None)
        return (decided,)
    search.is_parked = True
    return CatchUp(), decided


def take_covered(state: PacketState, event: EnvelopeArrived) -> Effects:
    """Resume searches that depend on which agents a directory node covers.

    If the coverage has changed since the node denied a flow, the node is
    queried again.
    """
    if not take_coverage(state, event):
        return ()
    host = event.sender
    digest = state.nodes[host].digest
    effects = list(tell_uncovered(state, host, event.now))
    for key, search in tuple(state.searches.items()):
        if host not in search.denied or not _is_idle(search):
            continue
        if search.denied[host] != digest:
            search.begin_anew()
        effects.extend(go_on(state, search, key, event.now))
    return tuple(effects)


def _is_idle(search: Search) -> bool:
    """Return whether a search of an open flow awaits no answer."""
    is_pending = search.pending is not None or bool(search.lookups)
    return bool(search.latest) and not is_pending and not search.is_waiting


def go_on(
    state: PacketState,
    search: Search,
    key: bytes,
    now: float,
) -> Effects:
    """Continue a search with the latest packet of its flow."""
    route = state.find_route(search.latest)
    if route is None:
        state.searches.pop(key, None)
        return (Decided('drop_unknown_route'),)
    return continue_search(state, route, key, search.latest, now)


def pass_over_silent(state: PacketState, now: float) -> Effects:
    """Continue searches whose pending answer is overdue.

    Callers repeat their packets too seldom for that to drive a search.  If
    the directory answered without deciding the search, it is queried again.
    """
    effects: list[PacketEffect] = []
    for key, search in tuple(state.searches.items()):
        if not _is_overdue(state, search, now):
            continue
        if _is_idle(search):
            search.begin_anew()
        search.stop_waiting()
        effects.extend(go_on(state, search, key, now))
    return tuple(effects)


def _is_overdue(state: PacketState, search: Search, now: float) -> bool:
    """Return whether to stop waiting for the pending answers."""
    if not search.latest or search.is_waiting:
        return False
    if now - search.pending_since < search.patience:
        return False
    return search.pending is None or _has_unqueried_agents(state, search)


def _has_unqueried_agents(state: PacketState, search: Search) -> bool:
    """Return whether an agent of the route has not been queried yet."""
    route = state.find_route(search.latest)
    if route is None:
        return True
    queried = set(search.asked)
    return any(view.host not in queried for view in list_members(state, route))
