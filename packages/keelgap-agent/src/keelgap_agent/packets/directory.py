"""Directory node: the part of the service's flow directory kept by this agent.

A node answers which agents may own a flow, and which agents it covers, that is,
whose registrations it has completely.  A covered agent does not own a flow that
the node does not know.  All of this is soft state: after a restart of the node
the agents register again as soon as they notice.
"""

from keelgap.packets.directory_messages import (
    LookupResponse,
    pack_coverage,
    pack_lookup_response,
    unpack_lookup_request,
    unpack_registration,
)
from keelgap.packets.envelopes import EnvelopeKind
from keelgap.runtime.json_log import MAX_LISTED
from keelgap_agent.packets import defaults
from keelgap_agent.packets.effects import AgentEffect, Decided
from keelgap_agent.packets.events import EnvelopeArrived
from keelgap_agent.packets.route_services import precede_denial
from keelgap_agent.packets.state import AgentState

__all__ = (
    'handle_lookup',
    'request_resyncs',
    'notify_watchers',
    'handle_registration',
)

Effects = tuple[AgentEffect, ...]


def handle_registration(state: AgentState, event: EnvelopeArrived) -> Effects:
    """Record which flows another agent owns; raise MalformedEnvelope.

    The first registration after a restart of that agent is also logged.
    """
    registration = unpack_registration(event.envelope.content)
    if event.envelope.service_tag != state.service_tag:
        return (Decided('drop_other_service'),)
    agent = state.directory.record(event.sender, registration, event.now)
    if agent is None or agent.former_tag is None:
        return ()
    fields = {
        'host': event.sender,
        'upstream_tag': registration.upstream_tag,
        'former_tag': agent.former_tag,
        'knows_all_flows': registration.is_complete,
        'flows': registration.end,
    }
    return (Decided('agent_restarted', fields),)


def handle_lookup(state: AgentState, event: EnvelopeArrived) -> Effects:
    """Answer which agents may own flows; raise MalformedEnvelope.

    The list of covered agents is sent as well, unless the digest in the
    request shows that the balancer has it.  Changes of the list are sent for
    some time, since the balancer may need them to decide whether a flow is
    dead.
    """
    request = unpack_lookup_request(event.envelope.content)
    now = event.now
    updated = _update_coverage(state, now)
    directory = state.directory
    rows = tuple((key, _find_owners(state, key, now)) for key in request.keys)
    content = pack_lookup_response(LookupResponse(directory.digest, rows))
    found = state.send(event.sender, EnvelopeKind.FOUND, content)
    directory.watchers[event.sender] = now + defaults.WATCHER_TIMEOUT_SECONDS
    answer = precede_denial(state, found, request.keys)
    if request.digest == directory.digest:
        return (*updated, *answer)
    return (*updated, *_send_coverage(state, event.sender), *answer)


def _send_coverage(state: AgentState, host: str) -> Effects:
    """Send a balancer the list of agents whose flows are all known here."""
    return tuple(
        state.send(host, EnvelopeKind.COVERED, content)
        for content in pack_coverage(state.directory.covered)
    )


def notify_watchers(state: AgentState, now: float) -> Effects:
    """Send the list of covered agents to recent clients, if it has changed.

    They are balancers that may need it to decide whether a flow is dead.
    """
    directory = state.directory
    directory.expire_watchers(now)
    if not directory.watchers:
        return ()
    updated = _update_coverage(state, now)
    if directory.digest == directory.notified_digest:
        return updated
    directory.notified_digest = directory.digest
    notified = tuple(
        effect
        for host in directory.watchers
        for effect in _send_coverage(state, host)
    )
    return (*updated, *notified)


def request_resyncs(state: AgentState, now: float) -> Effects:
    """Ask agents to register all flows again if some were not received."""
    return tuple(
        state.send(host, EnvelopeKind.RESYNC, b'')
        for host in state.directory.list_lagging(now)
    )


def _update_coverage(state: AgentState, now: float) -> Effects:
    """Update which agents have all their flows known here; log changes."""
    registrar = state.registrar
    own_host = registrar.own_host if registrar.is_complete else ''
    change = state.directory.update_coverage(own_host, now)
    if not change.added and not change.removed:
        return ()
    fields = {
        'added': len(change.added),
        'added_hosts': sorted(change.added)[:MAX_LISTED],
        'removed': len(change.removed),
        'removed_hosts': sorted(change.removed)[:MAX_LISTED],
        'covered': len(state.directory.covered),
        'members': len(state.directory.agents),
    }
    return (Decided('coverage_changed', fields),)


def _find_owners(
    state: AgentState,
    key: bytes,
    now: float,
) -> tuple[str, ...]:
    """Return the hosts of the agents that may own a flow.

    Agents not heard from for long are left out: they are gone, or balancers
    ask them directly, since they are not covered.
    """
    flow = state.flows.get(key)
    own_hosts: tuple[str, ...] = ()
    if flow is not None and flow.is_registered:
        own_hosts = (state.registrar.own_host,)
    return own_hosts + state.directory.list_owners(key, now)
