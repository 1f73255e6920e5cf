"""Who holds an open flow that this balancer does not know."""

from xxhash import xxh3_64_intdigest

from keelgap.catalog.models import PacketRoute
from keelgap.packets.envelopes import EnvelopeKind
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.effects import (
    CatchUp,
    Decided,
    PacketEffect,
    SendReset,
)
from keelgap_balancer.packets.state import AgentView, PacketState, Search

__all__ = (
    'continue_search',
    'expire_searches',
    'pass_over_silent',
    'resume_parked',
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
    if search.parked is not None:
        search.parked = datagram
        return (CatchUp(),)
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
    search.latest = datagram
    unanswered = []
    for view in _rank(state, route, key, now):
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
    """Reset a flow that no upstream of its route holds.

    Its upstream may be unknown here: one that started a moment ago, or one
    whose entry lapsed before this process read anything.  Silence then; the
    caller repeats its packet.
    """
    if not search.missed:
        state.searches.pop(key, None)
        return (Decided('search_without_upstream'),)
    fields = {
        'flow': state.format.describe_key(key),
        'route': route.name,
        'asked': len(search.missed),
        'milliseconds': round((now - search.started) * 1000, 1),
        'revision': state.confirmed_revision,
    }
    if state.is_behind:
        search.parked = datagram
        fields['latest_change'] = state.latest_change
        return CatchUp(), Decided('verdict_waits_for_catalog', fields)
    state.searches.pop(key, None)
    if search.may_lack_entries and state.is_newly_informed(now):
        return (Decided('no_verdict_without_entries', fields),)
    state.ages.note_reset(key, now)
    return SendReset(datagram), Decided('reset_dead_flow', fields)


def pass_over_silent(state: PacketState, now: float) -> Effects:
    """Ask the next agent where the last one did not answer in time.

    Callers repeat their packets too seldom to wait for that.
    """
    effects: list[PacketEffect] = []
    late = [
        (key, search)
        for key, search in state.searches.items()
        if search.pending is not None
        and now - search.pending_since >= defaults.SEARCH_STEP_SECONDS
    ]
    for key, search in late:
        route = state.find_route(search.latest)
        if route is not None and _has_others(state, route, search):
            search.pending = None
            effects.extend(
                continue_search(state, route, key, search.latest, now),
            )
    return tuple(effects)


def _has_others(
    state: PacketState,
    route: PacketRoute,
    search: Search,
) -> bool:
    """Return whether there are agents that were not asked yet."""
    asked = set(search.asked)
    return any(view.host not in asked for view in _list_members(state, route))


def _list_members(state: PacketState, route: PacketRoute) -> list[AgentView]:
    return [
        view
        for share in route.shares
        for view in state.by_service.get(share.service, ())
    ]


def resume_parked(state: PacketState, now: float) -> Effects:
    """Go on with searches that waited for a later catalog."""
    effects: list[PacketEffect] = []
    parked = [
        (key, search)
        for key, search in state.searches.items()
        if search.parked is not None
    ]
    for key, search in parked:
        datagram = search.parked
        search.parked = None
        route = None if datagram is None else state.find_route(datagram)
        if datagram is None or route is None:
            state.searches.pop(key, None)
            continue
        effects.extend(continue_search(state, route, key, datagram, now))
    return tuple(effects)


def _rank(
    state: PacketState,
    route: PacketRoute,
    key: bytes,
    now: float,
) -> list[AgentView]:
    """Return the agents that may hold a flow, the likely ones first.

    Those that went, or do not answer, come last: each takes a pause.
    """
    members = _list_members(state, route)
    members.sort(
        key=lambda view: (
            view.gone_since is not None or view.is_quiet(now),
            not state.is_near(view),
            xxh3_64_intdigest(key, view.seed),
        ),
    )
    return members


def expire_searches(state: PacketState, now: float) -> None:
    """Give up searches without a result; a later packet starts anew."""
    late = [
        key
        for key, search in state.searches.items()
        if now - search.started > defaults.SEARCH_SECONDS
    ]
    for key in late:
        state.searches.pop(key)
