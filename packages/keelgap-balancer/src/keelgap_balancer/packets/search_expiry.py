"""Expiry of searches that find no result in time."""

from keelgap.packets.directory import REPLICAS
from keelgap.runtime.json_log import MAX_LISTED
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.dead_flows import (
    list_directory_nodes,
    list_possible_owners,
)
from keelgap_balancer.packets.effects import Decided, PacketEffect
from keelgap_balancer.packets.flow_search import FlowSearch
from keelgap_balancer.packets.state import PacketState

__all__ = ('expire_searches',)

Effects = tuple[PacketEffect, ...]


def expire_searches(state: PacketState, now: float) -> Effects:
    """Drop searches without a result in time, and log them.

    A later packet of the flow starts a new search.
    """
    expired = [
        key
        for key, search in state.searches.items()
        if _is_expired(search, now)
    ]
    return tuple(
        effect
        for key in expired
        for effect in _log_expired(state, key, state.searches.pop(key), now)
    )


def _is_expired(search: FlowSearch, now: float) -> bool:
    """Return whether to drop a search.

    The time limit does not apply to a suspended search, which sends no queries
    and is resumed before its caller repeats its packet.  A caller that has not
    repeated its packet has left, whatever the state of the search.
    """
    if now - search.last_packet_at > defaults.CALLER_SILENCE_SECONDS:
        return True
    has_timed_out = now - search.active_since > defaults.SEARCH_TIMEOUT_SECONDS
    return has_timed_out and not search.is_suspended


def _log_expired(
    state: PacketState,
    key: bytes,
    search: FlowSearch,
    now: float,
) -> Effects:
    """Return a log line on the agents that may still hold a flow.

    It names those for which nobody denied the flow, and counts those for which
    fewer than REPLICAS directory nodes did.  For a new flow or an unknown
    route no line is returned.
    """
    route = (
        state.find_route(search.latest_packet) if search.latest_packet else None
    )
    if route is None:
        # A new flow that was offered to several agents, or a removed route.
        return ()
    directory_nodes = list_directory_nodes(state, route, key, now)
    undenied = list_possible_owners(
        state, search, route, directory_nodes, 1, now
    )
    unsure = list_possible_owners(
        state, search, route, directory_nodes, REPLICAS, now
    )
    fields = {
        'flow': state.format.describe_key(key),
        'asked': search.query_count,
        'undenied': len(undenied),
        'hosts': [view.host for view in undenied[:MAX_LISTED]],
        'unsure': len(unsure),
        'nodes': directory_nodes,
        'denied_by': tuple(search.answer_digests),
    }
    return (Decided('search_given_up', fields),)
