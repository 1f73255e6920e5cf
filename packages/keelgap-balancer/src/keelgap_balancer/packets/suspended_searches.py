"""Resume searches that wait for the store or for a directory node to start.

A search is suspended if other processes know of changes that have not been
read here, if the entries of live upstreams may have lapsed while the store was
unavailable, or if agents have not yet told of which routes they hold flows.  It
is kept for as long as its caller waits: a caller whose flow is dead repeats its
packet up to 1.6 s later, and may have no time left by then.
"""

from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.directory_client import send_queued_lookups
from keelgap_balancer.packets.effects import PacketEffect
from keelgap_balancer.packets.flow_search import FlowSearch
from keelgap_balancer.packets.held_routes import awaits_held_routes
from keelgap_balancer.packets.owner_search import resume_search
from keelgap_balancer.packets.state import PacketState

__all__ = (
    'retry_lookups',
    'resume_awaiting_entries',
    'resume_awaiting_catalog',
    'resume_awaiting_routes',
)

Effects = tuple[PacketEffect, ...]


def resume_awaiting_catalog(state: PacketState, now: float) -> Effects:
    """Resume searches whose required catalog revision has been read."""
    effects: list[PacketEffect] = []
    for key, search in tuple(state.searches.items()):
        if not search.awaits_catalog:
            continue
        if search.required_revision > state.confirmed_revision:
            continue
        search.end_suspension(now)
        search.restart_lookups()
        effects.extend(resume_search(state, search, key, now))
    return tuple(effects)


def resume_awaiting_entries(state: PacketState, now: float) -> Effects:
    """Resume searches that waited for lapsed entries to be renewed.

    Agents whose entries are back are queried; if there are none, the search is
    concluded.  Agents and directory nodes whose denials still hold are not
    queried again.
    """
    effects: list[PacketEffect] = []
    for key, search in tuple(state.searches.items()):
        if search.awaiting_entries_since is None:
            continue
        search.end_suspension(now)
        if not _is_still_denied(state, search):
            search.restart_lookups()
        effects.extend(resume_search(state, search, key, now))
    return tuple(effects)


def resume_awaiting_routes(state: PacketState, now: float) -> Effects:
    """Resume searches for which all agents have told the routes they hold."""
    effects: list[PacketEffect] = []
    for key, search in tuple(state.searches.items()):
        if not search.awaits_held_routes:
            continue
        route = state.find_route(search.latest_packet)
        if route is not None and awaits_held_routes(state, route):
            continue
        search.end_suspension(now)
        effects.extend(resume_search(state, search, key, now))
    return tuple(effects)


def _is_still_denied(state: PacketState, search: FlowSearch) -> bool:
    """Return whether all nodes that denied a flow cover the same agents."""
    return all(
        state.directory_nodes[host].digest == digest
        for host, digest in search.answer_digests.items()
    )


def retry_lookups(state: PacketState, host: str, now: float) -> Effects:
    """Repeat lookups that the directory node on a host left unanswered.

    A message from the node shows that it is alive.  It started after the
    lookup was sent, so nothing received that.  The lookup is repeated once
    only: a node that is alive but never answers must not delay searches.
    """
    node = state.directory_nodes.get(host)
    if node is None or node.lookup_sent_at is None or node.was_lookup_repeated:
        return ()
    if now - node.lookup_sent_at < defaults.SEARCH_STEP_TIMEOUT_SECONDS:
        return ()
    for key, search in state.searches.items():
        if search.is_suspended or search.pending_host is not None:
            continue
        if search.has_unanswered_lookup(host):
            search.pending_lookups.add(host)
            search.pending_since = now
            node.queued_keys[key] = None
    node.was_lookup_repeated = True
    return send_queued_lookups(state, host, node, now)
