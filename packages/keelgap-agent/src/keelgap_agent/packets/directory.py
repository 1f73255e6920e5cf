"""The part of its service's flow directory that this agent keeps.

It answers who may hold a flow, and whose registrations it has completely: of
those a flow that it does not know is not held.  What it knows is soft; after
a restart the agents register anew as soon as they notice.
"""

from keelgap.packets.directory_messages import (
    Lookup,
    pack_coverage,
    pack_lookup,
    unpack_question,
    unpack_registration,
)
from keelgap.packets.envelopes import EnvelopeKind
from keelgap.runtime.lines import MAX_NAMED
from keelgap_agent.packets import defaults
from keelgap_agent.packets.effects import AgentEffect, Decided
from keelgap_agent.packets.events import EnvelopeArrived
from keelgap_agent.packets.state import AgentState

__all__ = (
    'answer_lookup',
    'ask_lagging',
    'tell_watchers',
    'take_registration',
)

Effects = tuple[AgentEffect, ...]


def take_registration(state: AgentState, event: EnvelopeArrived) -> Effects:
    """Note which flows another agent holds; raise MalformedEnvelope."""
    registration = unpack_registration(event.envelope.content)
    if event.envelope.service_tag != state.service_tag:
        return (Decided('drop_other_service'),)
    member = state.directory.take(event.sender, registration, event.now)
    if member is None or member.former_tag is None:
        return ()
    fields = {
        'host': event.sender,
        'upstream_tag': registration.upstream_tag,
        'former_tag': member.former_tag,
        'knows_all_flows': registration.is_complete,
        'flows': registration.end,
    }
    return (Decided('agent_restarted', fields),)


def answer_lookup(state: AgentState, event: EnvelopeArrived) -> Effects:
    """Tell a balancer who may hold flows; raise MalformedEnvelope.

    It is also told whose flows are all known here, unless it knows, and for
    some time whenever that changes: its verdicts may wait for it.
    """
    question = unpack_question(event.envelope.content)
    now = event.now
    counted = _count_covered(state, now)
    directory = state.directory
    rows = tuple((key, _find_holders(state, key, now)) for key in question.keys)
    content = pack_lookup(Lookup(directory.digest, rows))
    found = state.send(event.sender, EnvelopeKind.FOUND, content)
    directory.watchers[event.sender] = now + defaults.WATCH_SECONDS
    if question.digest == directory.digest:
        return (*counted, found)
    return (*counted, *_tell_covered(state, event.sender), found)


def _tell_covered(state: AgentState, host: str) -> Effects:
    return tuple(
        state.send(host, EnvelopeKind.COVERED, content)
        for content in pack_coverage(state.directory.covered)
    )


def tell_watchers(state: AgentState, now: float) -> Effects:
    """Tell balancers that wait for verdicts of agents that came in."""
    directory = state.directory
    directory.forget_watchers(now)
    if not directory.watchers:
        return ()
    counted = _count_covered(state, now)
    if directory.digest == directory.told_digest:
        return counted
    directory.told_digest = directory.digest
    told = tuple(
        effect
        for host in directory.watchers
        for effect in _tell_covered(state, host)
    )
    return (*counted, *told)


def ask_lagging(state: AgentState, now: float) -> Effects:
    """Ask agents for all their flows where registrations were lost."""
    return tuple(
        state.send(host, EnvelopeKind.RESYNC, b'')
        for host in state.directory.list_lagging(now)
    )


def _count_covered(state: AgentState, now: float) -> Effects:
    """Count for whom this node speaks; return a line if that changed."""
    registrar = state.registrar
    own = registrar.own if registrar.is_complete else ''
    change = state.directory.count_covered(own, now)
    if not change.added and not change.removed:
        return ()
    fields = {
        'added': len(change.added),
        'added_hosts': sorted(change.added)[:MAX_NAMED],
        'removed': len(change.removed),
        'removed_hosts': sorted(change.removed)[:MAX_NAMED],
        'covered': len(state.directory.covered),
        'members': len(state.directory.members),
    }
    return (Decided('coverage_changed', fields),)


def _find_holders(
    state: AgentState,
    key: bytes,
    now: float,
) -> tuple[str, ...]:
    """Return the hosts of the agents that may hold a flow.

    Not of those that were silent for long: they are gone, or are asked
    themselves.
    """
    flow = state.flows.get(key)
    own: tuple[str, ...] = ()
    if flow is not None and flow.is_registered:
        own = (state.registrar.own,)
    return own + state.directory.list_holders(key, now)
