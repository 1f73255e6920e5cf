"""Who holds an open flow that this balancer does not know.

The agents of a small service are asked one after the other.  A large service
has a directory: two agents are asked, whatever the number of upstreams; they
name who holds the flow, or deny it for all agents that registered completely.
The others, such as agents younger than their upstreams, are asked themselves.
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
    """Ask for the owner with a packet that stands for its flow."""
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
    is_waiting = now - search.pending_since < search.patience
    if search.pending is not None and is_waiting:
        return ask(state, search, search.pending, datagram)
    if search.lookups and is_waiting:
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
    """Ask the next agent, or come to a verdict."""
    search = state.searches[key]
    search.keep_packet(datagram, now)
    for named in search.named:
        if named not in search.missed and named not in search.asked:
            return ask_next(state, search, named, now)
    nodes = list_nodes(state, route, key)
    asked = _look_up_next(state, search, nodes, key, now)
    if asked or search.lookups:
        return asked
    unproved = ask_unproved(state, search, route, nodes, key, now)
    if unproved is not None:
        return unproved
    return give_verdict(state, route, search, key, now)


def _rank_hosts(
    state: PacketState,
    hosts: Iterable[str],
    now: float,
) -> list[str]:
    """Return hosts of agents that answer before others, near ones first."""
    views = [state.by_host[host] for host in hosts if host in state.by_host]
    views.sort(key=lambda view: (view.is_quiet(now), not state.is_near(view)))
    return [view.host for view in views]


def _look_up_next(
    state: PacketState,
    search: Search,
    nodes: tuple[str, ...],
    key: bytes,
    now: float,
) -> Effects:
    """Ask the next directory node; the first one knows most owners."""
    for node in _rank_hosts(state, nodes, now):
        if node not in search.tried:
            search.tried.add(node)
            search.lookups.add(node)
            search.pending_since = now
            search.questions += 1
            return look_up(state, node, key, now)
    return ()


def take_found(state: PacketState, event: EnvelopeArrived) -> Effects:
    """Go on where a directory node answered; raise MalformedEnvelope."""
    lookup, sent = take_answer(state, event)
    effects: list[PacketEffect] = list(sent)
    for key, hosts in lookup.rows:
        search = state.searches.get(key)
        if search is None:
            continue
        search.lookups.discard(event.sender)
        search.may_lack_entries |= event.stamp.may_lack_entries
        strangers = list_strangers(state, search, hosts)
        if strangers:
            effects.extend(_wait_for_owner(state, search, key, strangers))
            continue
        search.named.extend(hosts)
        search.denied[event.sender] = lookup.digest
        if search.pending is None:
            effects.extend(go_on(state, search, key, event.now))
    return tuple(effects)


def _wait_for_owner(
    state: PacketState,
    search: Search,
    key: bytes,
    hosts: list[str],
) -> Effects:
    """Keep a flow that lives where this balancer knows no upstream yet.

    Without later changes to read its entry has lapsed; the caller repeats its
    packet.
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
    """Go on where it was unknown for whom a node speaks.

    What it denied before it spoke for more agents, it is asked again.
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
    """Return whether a search of an open flow waits for nobody's answer."""
    is_asking = search.pending is not None or bool(search.lookups)
    return bool(search.latest) and not is_asking and not search.is_waiting


def go_on(
    state: PacketState,
    search: Search,
    key: bytes,
    now: float,
) -> Effects:
    """Go on with a search without another packet of its flow."""
    route = state.find_route(search.latest)
    if route is None:
        state.searches.pop(key, None)
        return (Decided('drop_unknown_route'),)
    return continue_search(state, route, key, search.latest, now)


def pass_over_silent(state: PacketState, now: float) -> Effects:
    """Ask the next agent where the last one did not answer in time.

    Callers repeat their packets too seldom to wait for that.  A directory
    that did not know enough is asked again.
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
    """Return whether to go on without the answers that are owed."""
    if not search.latest or search.is_waiting:
        return False
    if now - search.pending_since < search.patience:
        return False
    return search.pending is None or _has_others(state, search)


def _has_others(state: PacketState, search: Search) -> bool:
    """Return whether there are agents that were not asked yet."""
    route = state.find_route(search.latest)
    if route is None:
        return True
    asked = set(search.asked)
    return any(view.host not in asked for view in list_members(state, route))
