"""Send queries for the owner of an open flow to single agents, in order."""

from xxhash import xxh3_64_intdigest

from keelgap.catalog.models import PacketRoute
from keelgap.packets.directory import REPLICAS
from keelgap.packets.envelopes import EnvelopeKind
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.dead_flows import (
    list_possible_owners,
    serves_route,
)
from keelgap_balancer.packets.effects import Decided, PacketEffect
from keelgap_balancer.packets.flow_search import FlowSearch
from keelgap_balancer.packets.route_services import is_listed_here
from keelgap_balancer.packets.state import PacketState
from keelgap_balancer.packets.unlisted_agents import find_agent
from keelgap_balancer.packets.views import AgentView

__all__ = (
    'query_as_other_service',
    'query_candidates',
    'query_host',
    'send_query',
)

Effects = tuple[PacketEffect, ...]


def query_candidates(
    state: PacketState,
    search: FlowSearch,
    route: PacketRoute,
    directory_nodes: tuple[str, ...],
    key: bytes,
    now: float,
) -> Effects | None:
    """Query the agents that may hold a flow; return None if none is left.

    Nothing is sent while the directory may soon rule out more agents.

    Agents for which no directory node denied the flow come first, then those
    for which only one node did.
    """
    undenied = list_possible_owners(
        state, search, route, directory_nodes, 1, now
    )
    if undenied:
        if _awaits_coverage(search, undenied, directory_nodes, now):
            return ()
        return _query_agents(state, search, route, key, undenied, now)
    # One node may have missed a registration, or not received it yet.
    unconfirmed = list_possible_owners(
        state, search, route, directory_nodes, REPLICAS, now
    )
    if not unconfirmed:
        return None
    is_early = _awaits_directory(search, unconfirmed, directory_nodes, now)
    if is_early or _is_node_unresponsive(search, unconfirmed, directory_nodes):
        return ()
    return _query_agents(state, search, route, key, unconfirmed, now)


def _awaits_directory(
    search: FlowSearch,
    agents: list[AgentView],
    directory_nodes: tuple[str, ...],
    now: float,
) -> bool:
    """Return whether to wait for the directory rather than query many agents.

    That is at most DIRECTORY_TIMEOUT_SECONDS from the start of the search.
    """
    is_early = now - search.started_at < defaults.DIRECTORY_TIMEOUT_SECONDS
    return (
        bool(directory_nodes) and is_early and len(agents) > defaults.MAX_ASKED
    )


def _awaits_coverage(
    search: FlowSearch,
    uncovered: list[AgentView],
    directory_nodes: tuple[str, ...],
    now: float,
) -> bool:
    """Return whether uncovered agents may soon be covered by a node.

    Once all nodes have answered, this applies only to agents that have just
    started.
    """
    if not _awaits_directory(search, uncovered, directory_nodes, now):
        return False
    is_answered = search.answer_digests.keys() >= set(directory_nodes)
    waited = now - search.started_at
    return not is_answered or waited < defaults.COVERAGE_WAIT_SECONDS


def _is_node_unresponsive(
    search: FlowSearch,
    unconfirmed: list[AgentView],
    directory_nodes: tuple[str, ...],
) -> bool:
    """Return whether a node has not answered and many agents are left.

    The node is itself an agent that would have to deny the flow and cannot, so
    querying the others could not conclude the search.
    """
    answers = search.answer_digests.keys()
    return len(unconfirmed) > defaults.MAX_ASKED and not answers >= set(
        directory_nodes
    )


def _query_agents(
    state: PacketState,
    search: FlowSearch,
    route: PacketRoute,
    key: bytes,
    agents: list[AgentView],
    now: float,
) -> Effects:
    """Query the next of the given agents, which may hold the flow.

    Few agents are queried one after the other, since the first ones are the
    likely owners.  Of many agents that the directory does not cover, several
    are queried at once.
    """
    ranked = _rank_agents(state, route, agents, key, now)
    unqueried = [
        view.host for view in ranked if view.host not in search.queried_hosts
    ]
    if not unqueried:
        return _query_again(state, search, ranked, now)
    are_many = len(agents) > defaults.MAX_ASKED
    batch_size = defaults.SEARCH_FANOUT if are_many else 1
    return tuple(
        effect
        for host in unqueried[:batch_size]
        for effect in query_host(state, search, host, now)
    )


def _query_again(
    state: PacketState,
    search: FlowSearch,
    unresponsive: list[AgentView],
    now: float,
) -> Effects:
    """Repeat the query to one agent that did not answer; to each in turn.

    A missing answer is not a denial.
    """
    position = len(search.queried_hosts) % len(unresponsive)
    return query_host(state, search, unresponsive[position].host, now)


def query_host(
    state: PacketState,
    search: FlowSearch,
    host: str,
    now: float,
) -> Effects:
    """Query a host with the flow's latest packet, and await its answer."""
    search.queried_hosts.append(host)
    search.pending_host = host
    search.pending_since = now
    search.query_count += 1
    return send_query(state, search, host, search.latest_packet)


def send_query(
    state: PacketState,
    search: FlowSearch,
    host: str,
    datagram: bytes,
) -> Effects:
    """Return the effect that sends a packet to a host to query its flow."""
    route = state.find_route(datagram)
    view = None if route is None else find_agent(state, route, host)
    if view is None:
        return (Decided('search_agent_unknown'),)
    return _send_query_to(search, view, datagram)


def _send_query_to(
    search: FlowSearch,
    view: AgentView,
    datagram: bytes,
) -> Effects:
    view.expect_answer(search.pending_since)
    view.expect_search_answer(search.pending_since)
    search.queried_tags[view.host] = view.service_tag
    hop = len(search.queried_hosts)
    return (view.send(EnvelopeKind.SEARCH, datagram, hop),)


def query_as_other_service(
    state: PacketState,
    search: FlowSearch,
    route: PacketRoute,
    view: AgentView,
) -> Effects | None:
    """Query an agent again that denied a flow as the agent of another service.

    Its host may have been queried as an agent of a former service of the
    route, and may serve the present one, or the other way round.  Returns None
    if the denial counts.
    """
    queried_tag = search.queried_tags.get(view.host)
    if queried_tag is None or queried_tag == view.service_tag:
        return None
    if not serves_route(state, view, route):
        return None
    return _send_query_to(search, view, search.latest_packet)


def _rank_agents(
    state: PacketState,
    route: PacketRoute,
    agents: list[AgentView],
    key: bytes,
    now: float,
) -> list[AgentView]:
    """Return the agents that may hold a flow, the most likely ones first.

    Agents without a catalog entry and unresponsive ones come last, since each
    costs a timeout; before them come agents of services that the table does not
    list for the route.
    """
    return sorted(
        agents,
        key=lambda view: (
            view.missing_since is not None or view.is_unresponsive(now),
            not is_listed_here(view, route),
            not state.is_same_zone(view),
            xxh3_64_intdigest(key, view.start_hash),
        ),
    )
