"""Which agents are asked for an open flow themselves, and in which order."""

from xxhash import xxh3_64_intdigest

from keelgap.catalog.models import PacketRoute
from keelgap.packets.directory import COPIES
from keelgap.packets.envelopes import EnvelopeKind
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.effects import Decided, PacketEffect
from keelgap_balancer.packets.searches import Search
from keelgap_balancer.packets.state import PacketState
from keelgap_balancer.packets.unlisted import find_agent
from keelgap_balancer.packets.verdicts import list_undenied
from keelgap_balancer.packets.views import AgentView

__all__ = ('ask', 'ask_next', 'ask_unproved')

Effects = tuple[PacketEffect, ...]


def ask_unproved(
    state: PacketState,
    search: Search,
    route: PacketRoute,
    nodes: tuple[str, ...],
    key: bytes,
    now: float,
) -> Effects | None:
    """Ask agents that nobody denied, or one node alone; None if all denied."""
    unknown = list_undenied(state, search, route, nodes, 1)
    if unknown:
        if _waits_for_coverage(search, unknown, nodes, now):
            return ()
        return _ask_members(state, search, key, unknown, now)
    # A registration may be on its way, or lost, at one node.
    unsure = list_undenied(state, search, route, nodes, COPIES)
    if not unsure:
        return None
    is_early = _waits_for_directory(search, unsure, nodes, now)
    if is_early or _is_node_dark(search, unsure, nodes):
        return ()
    return _ask_members(state, search, key, unsure, now)


def _waits_for_directory(
    search: Search,
    members: list[AgentView],
    nodes: tuple[str, ...],
    now: float,
) -> bool:
    """Return whether the directory may soon know more of many agents."""
    is_early = now - search.started < defaults.DIRECTORY_SECONDS
    return bool(nodes) and is_early and len(members) > defaults.MAX_ASKED


def _waits_for_coverage(
    search: Search,
    unknown: list[AgentView],
    nodes: tuple[str, ...],
    now: float,
) -> bool:
    """Return whether agents of which no node knows all may be known soon.

    Where all nodes have answered, only agents that just began may come in.
    """
    if not _waits_for_directory(search, unknown, nodes, now):
        return False
    is_answered = search.denied.keys() >= set(nodes)
    waited = now - search.started
    return not is_answered or waited < defaults.COVERAGE_SECONDS


def _is_node_dark(
    search: Search,
    unsure: list[AgentView],
    nodes: tuple[str, ...],
) -> bool:
    """Return whether a node is missing for many agents.

    Its own agent could not deny the flow either, so nobody need be asked.
    """
    answers = search.denied.keys()
    return len(unsure) > defaults.MAX_ASKED and not answers >= set(nodes)


def _ask_members(
    state: PacketState,
    search: Search,
    key: bytes,
    members: list[AgentView],
    now: float,
) -> Effects:
    """Ask the next of some agents that denied nothing.

    One after the other where they are few, since the first ones are likely to
    know.  Of many, for which no directory speaks, several at once.
    """
    ranked = _rank(state, members, key, now)
    unasked = [view.host for view in ranked if view.host not in search.asked]
    if not unasked:
        return _ask_again(state, search, ranked, now)
    is_many = len(members) > defaults.MAX_ASKED
    at_once = defaults.ASKED_AT_ONCE if is_many else 1
    return tuple(
        effect
        for host in unasked[:at_once]
        for effect in ask_next(state, search, host, now)
    )


def _ask_again(
    state: PacketState,
    search: Search,
    unanswered: list[AgentView],
    now: float,
) -> Effects:
    """Try those that did not answer by turns; silence is no denial."""
    turn = len(search.asked) % len(unanswered)
    return ask_next(state, search, unanswered[turn].host, now)


def ask_next(
    state: PacketState,
    search: Search,
    host: str,
    now: float,
) -> Effects:
    search.asked.append(host)
    search.pending = host
    search.pending_since = now
    search.questions += 1
    return ask(state, search, host, search.latest)


def ask(
    state: PacketState,
    search: Search,
    host: str,
    datagram: bytes,
) -> Effects:
    route = state.find_route(datagram)
    view = None if route is None else find_agent(state, route, host)
    if view is None:
        return (Decided('search_agent_unknown'),)
    view.expect_answer(search.pending_since)
    hop = len(search.asked)
    return (view.send(EnvelopeKind.SEARCH, datagram, hop),)


def _rank(
    state: PacketState,
    members: list[AgentView],
    key: bytes,
    now: float,
) -> list[AgentView]:
    """Return the agents that may hold a flow, the likely ones first.

    Those that went, or do not answer, come last: each takes a pause.
    """
    return sorted(
        members,
        key=lambda view: (
            view.gone_since is not None or view.is_quiet(now),
            not state.is_near(view),
            xxh3_64_intdigest(key, view.seed),
        ),
    )
