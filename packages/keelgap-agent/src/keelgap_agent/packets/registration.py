"""Registration of this agent's flows with the directory of its service.

Each flow is registered when its opening packet is forwarded to the upstream,
before a packet of the open flow can reach a balancer that does not know it.  At
least one registration a second, even if empty, shows the directory nodes that
none was lost.  Without it for some time they no longer cover this agent.
"""

from keelgap.packets.directory import (
    FlowDirectory,
    choose_nodes,
)
from keelgap.packets.directory_messages import (
    Registration,
    pack_registration,
    split_keys,
)
from keelgap.packets.envelopes import EnvelopeKind
from keelgap.packets.notices import UpstreamNotice
from keelgap.runtime.json_log import MAX_LISTED
from keelgap_agent.packets import defaults
from keelgap_agent.packets.effects import AgentEffect, Decided, SendToPeer
from keelgap_agent.packets.events import EnvelopeArrived
from keelgap_agent.packets.flows import Flow
from keelgap_agent.packets.registrar import RegistrationStream
from keelgap_agent.packets.state import AgentState

__all__ = (
    'refresh_registrations',
    'update_directory',
    'record_upstream',
    'register_flow',
    'handle_resync',
    'announce_complete',
)

Effects = tuple[AgentEffect, ...]


def record_upstream(state: AgentState, notice: UpstreamNotice) -> str:
    """Record the upstream's id, and whether this process knows all its flows.

    It does if the upstream started after this process: nothing ran at its
    address when this process started, and the upstream has started recently.
    The recent start is not sufficient, since another agent process may have run
    here at that moment.  Neither is the id of a former upstream, which a
    balancer may mistake for the present one.

    Return the reason why this process knows all flows from now on, or an empty
    string if nothing changed.
    """
    registrar = state.registrar
    if notice.upstream_revision <= registrar.upstream_revision:
        return ''
    registrar.upstream_revision = notice.upstream_revision
    if notice.upstream_tag == registrar.upstream_tag:
        return ''
    registrar.upstream_tag = notice.upstream_tag
    if registrar.is_complete or not (
        registrar.predates_upstream and notice.is_recent_start
    ):
        return ''
    registrar.is_complete = True
    return 'older_than_upstream'


def announce_complete(state: AgentState, reason: str, now: float) -> Effects:
    """Tell the directory nodes that this agent knows all its upstream's flows.

    They may then cover this agent.  They are told at once: after an outage of
    the whole fleet, balancers wait for that before they reset dead flows.
    """
    registrar = state.registrar
    fields = {
        'reason': reason,
        'upstream_tag': registrar.upstream_tag,
        'age': round(now - registrar.started_at, 3),
        'flows': len(state.flows),
    }
    sent = (
        _continue_stream(state, node, (), now) for node in registrar.streams
    )
    return (Decided('knows_all_flows', fields), *sent)


def update_directory(
    state: AgentState,
    directory: FlowDirectory,
    now: float,
) -> Effects:
    """Register all flows with new directory nodes; drop former nodes."""
    registrar = state.registrar
    if directory.shards != registrar.directory.shards:
        # Flows may belong to other shards now.
        registrar.streams.clear()
    is_first = not registrar.directory.shards
    registrar.directory = directory
    nodes = {node for nodes in directory.shards for node in nodes}
    nodes.discard(registrar.own_host)
    added = sorted(nodes - registrar.streams.keys())
    registered = tuple(
        effect for node in added for effect in _begin_stream(state, node, now)
    )
    if not added:
        return registered
    fields = {
        'revision': directory.revision,
        'nodes': len(nodes),
        'added_hosts': added[:MAX_LISTED],
        'is_first': is_first,
        'age': round(now - registrar.started_at, 3),
        'flows': len(state.flows),
    }
    return (*registered, Decided('directory_told', fields))


def handle_resync(state: AgentState, event: EnvelopeArrived) -> Effects:
    """Register all flows again with a node that missed some."""
    if event.sender not in state.registrar.streams:
        return ()
    return _begin_stream(state, event.sender, event.now)


def register_flow(
    state: AgentState,
    key: bytes,
    flow: Flow,
    now: float,
) -> Effects:
    """Register a flow with the directory nodes of its shard.

    The upstream may accept the flow, or already has it.
    """
    flow.is_registered = True
    registrar = state.registrar
    return tuple(
        _continue_stream(state, node, (key,), now)
        for node in choose_nodes(registrar.directory, key)
        if node in registrar.streams
    )


def refresh_registrations(state: AgentState, now: float) -> Effects:
    """Send due registrations, even empty ones; renew old streams.

    A renewed stream registers all flows again.  Once all flows that another
    agent process forwarded must have ended, also announce that this agent
    knows all flows of its upstream.
    """
    registrar = state.registrar
    effects: list[AgentEffect] = []
    is_old = now - registrar.started_at >= defaults.MAX_FLOW_AGE_SECONDS
    if is_old and not registrar.is_complete:
        # All flows that another agent process forwarded have ended by now.
        registrar.is_complete = True
        effects.extend(announce_complete(state, 'former_flows_ended', now))
    for node, stream in tuple(registrar.streams.items()):
        if now - stream.started_at >= defaults.STREAM_RENEWAL_SECONDS:
            effects.extend(_begin_stream(state, node, now))
        elif now - stream.sent_at >= _choose_interval(state, now):
            effects.append(_continue_stream(state, node, (), now))
    return tuple(effects)


def _choose_interval(state: AgentState, now: float) -> float:
    """Return the seconds between two registrations with a node.

    A node that starts together with this agent may have missed the first ones,
    so the interval is short in the first second.  It grows with the number of
    shards, since more shards mean more agents and more nodes to register with.
    """
    registrar = state.registrar
    if now - registrar.started_at >= defaults.REGISTER_INTERVAL_SECONDS:
        return defaults.REGISTER_INTERVAL_SECONDS
    shards = len(registrar.directory.shards)
    interval = defaults.STARTUP_REGISTER_SECONDS * shards
    return min(interval, defaults.REGISTER_INTERVAL_SECONDS)


def _begin_stream(state: AgentState, node: str, now: float) -> Effects:
    """Register all flows of a directory node's shards, in a new stream."""
    registrar = state.registrar
    registrar.stream_number += 1
    stream = RegistrationStream(registrar.stream_number, now)
    registrar.streams[node] = stream
    keys = tuple(
        key
        for key in state.flows
        if node in choose_nodes(registrar.directory, key)
    )
    # Set first, so that the first datagram tells how many flows follow.
    stream.end = len(keys)
    effects = []
    sequence = 0
    for group in tuple(split_keys(keys)) or ((),):
        effects.append(_send_registration(state, node, stream, sequence, group))
        sequence += len(group)
    return tuple(effects)


def _continue_stream(
    state: AgentState,
    node: str,
    keys: tuple[bytes, ...],
    now: float,
) -> SendToPeer:
    """Register more flows, or none, with a directory node."""
    stream = state.registrar.streams[node]
    stream.sent_at = now
    sequence = stream.end
    stream.end += len(keys)
    return _send_registration(state, node, stream, sequence, keys)


def _send_registration(
    state: AgentState,
    node: str,
    stream: RegistrationStream,
    sequence: int,
    keys: tuple[bytes, ...],
) -> SendToPeer:
    registrar = state.registrar
    registration = Registration(
        registrar.boot,
        stream.number,
        sequence,
        stream.end,
        registrar.upstream_tag,
        registrar.is_complete,
        keys,
    )
    content = pack_registration(registration)
    return state.send(node, EnvelopeKind.REGISTER, content)
