"""What this agent tells the directory of its service.

Each flow is registered when its opening packet passes to the upstream, before
a packet of the open flow can reach a balancer that does not know it.  A
registration a second, if only an empty one, shows the directory that none was
lost; without it for some time the directory speaks for this agent no more.
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
from keelgap.runtime.lines import MAX_NAMED
from keelgap_agent.packets import defaults
from keelgap_agent.packets.effects import AgentEffect, Decided, SendToPeer
from keelgap_agent.packets.events import EnvelopeArrived
from keelgap_agent.packets.flows import Flow
from keelgap_agent.packets.registrar import Stream
from keelgap_agent.packets.state import AgentState

__all__ = (
    'keep_registered',
    'move',
    'note_upstream',
    'register',
    'resync',
    'tell_complete',
)

Effects = tuple[AgentEffect, ...]


def note_upstream(state: AgentState, notice: UpstreamNotice) -> str:
    """Find out whether this process has seen all flows of the upstream.

    It has if the upstream began after it: nothing ran there when this process
    began, and the upstream has started a moment ago.  That alone does not tell,
    since another process may have been here in that moment; nor does the name
    of a former upstream, which a balancer may take for the present one.
    Returns the reason why it knows all flows from now on; empty if nothing
    changed.
    """
    registrar = state.registrar
    if notice.upstream_revision <= registrar.upstream_revision:
        return ''
    registrar.upstream_revision = notice.upstream_revision
    if notice.upstream_tag == registrar.upstream_tag:
        return ''
    registrar.upstream_tag = notice.upstream_tag
    if registrar.is_complete or not (registrar.is_older and notice.is_young):
        return ''
    registrar.is_complete = True
    return 'older_than_upstream'


def tell_complete(state: AgentState, reason: str, now: float) -> Effects:
    """Tell the directory at once that it may speak for this agent.

    After an outage of everything verdicts on dead flows wait for it.
    """
    registrar = state.registrar
    fields = {
        'reason': reason,
        'upstream_tag': registrar.upstream_tag,
        'age': round(now - registrar.began, 3),
        'flows': len(state.flows),
    }
    told = (
        _continue_stream(state, node, (), now) for node in registrar.streams
    )
    return (Decided('knows_all_flows', fields), *told)


def move(
    state: AgentState,
    directory: FlowDirectory,
    now: float,
) -> Effects:
    """Register with the nodes of a directory, no more with former ones."""
    registrar = state.registrar
    if directory.shards != registrar.directory.shards:
        # Flows may belong to other nodes now.
        registrar.streams.clear()
    is_first = not registrar.directory.shards
    registrar.directory = directory
    nodes = {node for nodes in directory.shards for node in nodes}
    nodes.discard(registrar.own)
    added = sorted(nodes - registrar.streams.keys())
    begun = tuple(
        effect for node in added for effect in _begin_stream(state, node, now)
    )
    if not added:
        return begun
    fields = {
        'revision': directory.revision,
        'nodes': len(nodes),
        'added_hosts': added[:MAX_NAMED],
        'is_first': is_first,
        'age': round(now - registrar.began, 3),
        'flows': len(state.flows),
    }
    return (*begun, Decided('directory_told', fields))


def resync(state: AgentState, event: EnvelopeArrived) -> Effects:
    """Register all flows anew with a node that missed some."""
    if event.sender not in state.registrar.streams:
        return ()
    return _begin_stream(state, event.sender, event.now)


def register(
    state: AgentState,
    key: bytes,
    flow: Flow,
    now: float,
) -> Effects:
    """Tell the directory that the upstream may hold a flow."""
    flow.is_registered = True
    registrar = state.registrar
    return tuple(
        _continue_stream(state, node, (key,), now)
        for node in choose_nodes(registrar.directory, key)
        if node in registrar.streams
    )


def keep_registered(state: AgentState, now: float) -> Effects:
    """Show the directory from time to time that nothing was lost."""
    registrar = state.registrar
    effects: list[AgentEffect] = []
    is_old = now - registrar.began >= defaults.FLOW_LIFE_SECONDS
    if is_old and not registrar.is_complete:
        # Whatever flows another agent passed on, they have ended.
        registrar.is_complete = True
        effects.extend(tell_complete(state, 'former_flows_ended', now))
    for node, stream in tuple(registrar.streams.items()):
        if now - stream.began >= defaults.RENEW_SECONDS:
            effects.extend(_begin_stream(state, node, now))
        elif now - stream.sent_at >= _choose_pause(state, now):
            effects.append(_continue_stream(state, node, (), now))
    return tuple(effects)


def _choose_pause(state: AgentState, now: float) -> float:
    """Return how long to wait with the next registration.

    A node that starts with this agent may have missed the first ones.  With
    more shards there are more agents, and more nodes to tell.
    """
    registrar = state.registrar
    if now - registrar.began >= defaults.REGISTER_SECONDS:
        return defaults.REGISTER_SECONDS
    shards = len(registrar.directory.shards)
    pause = defaults.FIRST_REGISTER_SECONDS * shards
    return min(pause, defaults.REGISTER_SECONDS)


def _begin_stream(state: AgentState, node: str, now: float) -> Effects:
    registrar = state.registrar
    registrar.stream_number += 1
    stream = Stream(registrar.stream_number, now)
    registrar.streams[node] = stream
    keys = tuple(
        key
        for key in state.flows
        if node in choose_nodes(registrar.directory, key)
    )
    # The first datagram tells how many follow.
    stream.end = len(keys)
    effects = []
    sequence = 0
    for group in tuple(split_keys(keys)) or ((),):
        effects.append(_send(state, node, stream, sequence, group))
        sequence += len(group)
    return tuple(effects)


def _continue_stream(
    state: AgentState,
    node: str,
    keys: tuple[bytes, ...],
    now: float,
) -> SendToPeer:
    stream = state.registrar.streams[node]
    stream.sent_at = now
    sequence = stream.end
    stream.end += len(keys)
    return _send(state, node, stream, sequence, keys)


def _send(
    state: AgentState,
    node: str,
    stream: Stream,
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
