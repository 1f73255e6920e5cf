"""Who holds an open flow that this balancer does not know."""

from collections.abc import Iterator

from xxhash import xxh3_64_intdigest

from keelgap.catalog.models import PacketRoute
from keelgap.packets.envelopes import EnvelopeKind
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.effects import (
    Decided,
    PacketEffect,
    SendReset,
)
from keelgap_balancer.packets.state import AgentView, PacketState, Search

__all__ = ('continue_search', 'expire_searches', 'take_unknown_flow')

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
    if search.pending is not None:
        if now - search.pending_since < defaults.SEARCH_STEP_SECONDS:
            return _ask(state, search, search.pending, datagram)
        search.pending = None
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
    unanswered = []
    for view in _rank(state, route, key):
        if view.host in search.missed:
            continue
        if view.host not in search.asked:
            search.asked.append(view.host)
            search.pending = view.host
            search.pending_since = now
            view.expect_answer(now)
            return _ask(state, search, view.host, datagram)
        unanswered.append(view)
    if unanswered:
        return _ask_again(state, search, unanswered, datagram, now)
    return _give_verdict(state, route, search, key, datagram, now)


def _ask(
    state: PacketState,
    search: Search,
    host: str,
    datagram: bytes,
) -> Effects:
    view = state.by_host.get(host)
    if view is None:
        return (Decided('search_agent_unknown'),)
    hop = len(search.asked)
    return (view.send(EnvelopeKind.SEARCH, datagram, hop),)


def _ask_again(
    state: PacketState,
    search: Search,
    unanswered: list[AgentView],
    datagram: bytes,
    now: float,
) -> Effects:
    """Try those that did not answer by turns; silence is no verdict."""
    turn = len(search.asked) % len(unanswered)
    view = unanswered[turn]
    search.asked.append(view.host)
    search.pending = view.host
    search.pending_since = now
    return _ask(state, search, view.host, datagram)


def _give_verdict(
    state: PacketState,
    route: PacketRoute,
    search: Search,
    key: bytes,
    datagram: bytes,
    now: float,
) -> Effects:
    """Reset a flow that no upstream of its route holds."""
    state.searches.pop(key, None)
    state.ages.note_reset(key, now)
    if not search.missed:
        return (Decided('search_without_upstream'),)
    fields = {
        'flow': state.format.describe_key(key),
        'route': route.name,
        'asked': len(search.missed),
        'milliseconds': round((now - search.started) * 1000, 1),
        'revision': state.catalog.revision,
    }
    return SendReset(datagram), Decided('reset_dead_flow', fields)


def _rank(
    state: PacketState,
    route: PacketRoute,
    key: bytes,
) -> Iterator[AgentView]:
    """Yield the agents that may hold a flow, the likely ones first."""
    members = [
        view
        for share in route.shares
        for view in state.by_service.get(share.service, ())
    ]
    zone = state.availability_zone
    members.sort(
        key=lambda view: (
            view.upstream.availability_zone != zone,
            xxh3_64_intdigest(key, view.seed),
        ),
    )
    return iter(members)


def expire_searches(state: PacketState, now: float) -> None:
    """Give up searches without a result; a later packet starts anew."""
    late = [
        key
        for key, search in state.searches.items()
        if now - search.started > defaults.SEARCH_SECONDS
    ]
    for key in late:
        state.searches.pop(key)
