"""Searches that come to no result in time."""

from keelgap.packets.directory import COPIES
from keelgap.runtime.lines import MAX_NAMED
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.effects import Decided, PacketEffect
from keelgap_balancer.packets.searches import Search
from keelgap_balancer.packets.state import PacketState
from keelgap_balancer.packets.verdicts import list_nodes, list_undenied

__all__ = ('expire_searches',)

Effects = tuple[PacketEffect, ...]


def expire_searches(state: PacketState, now: float) -> Effects:
    """Give up searches without a result; a later packet starts anew."""
    late = [
        key for key, search in state.searches.items() if _is_late(search, now)
    ]
    return tuple(
        effect
        for key in late
        for effect in _give_up(state, key, state.searches.pop(key))
    )


def _is_late(search: Search, now: float) -> bool:
    """Return whether to give a search up.

    One that waits asks nobody, and goes on before its caller comes again; a
    caller that was not heard again has left, whatever is being asked.
    """
    if now - search.heard > defaults.REPEAT_SECONDS:
        return True
    is_long = now - search.renewed > defaults.SEARCH_SECONDS
    return is_long and not search.is_waiting


def _give_up(state: PacketState, key: bytes, search: Search) -> Effects:
    """Tell who may still hold a flow that could not be found or reset."""
    route = state.find_route(search.latest) if search.latest else None
    if route is None:
        # A new flow that was offered to several agents.
        return ()
    nodes = list_nodes(state, route, key)
    undenied = list_undenied(state, search, route, nodes, 1)
    unsure = list_undenied(state, search, route, nodes, COPIES)
    fields = {
        'flow': state.format.describe_key(key),
        'asked': search.questions,
        'undenied': len(undenied),
        'hosts': [view.host for view in undenied[:MAX_NAMED]],
        'unsure': len(unsure),
        'nodes': nodes,
        'denied_by': tuple(search.denied),
    }
    return (Decided('search_given_up', fields),)
