"""Leaving: by table row, platform's list, the upstream's word or signal."""

from keelgap_agent import defaults
from keelgap_agent.effects import (
    AgentEffect,
    Exit,
    StopNewRequests,
)
from keelgap_agent.events import (
    InstancesChanged,
    StopRequested,
    TableChanged,
    UpstreamStateRead,
)
from keelgap_agent.requests.admission import admit
from keelgap_agent.state import AgentState, LeaveCause

__all__ = (
    'change_instances',
    'change_table',
    'check_exit',
    'read_upstream_state',
    'request_stop',
)

Effects = tuple[AgentEffect, ...]


def change_table(state: AgentState, event: TableChanged) -> Effects:
    """Put a table in force, unless it is older than the one in force."""
    if event.table.version <= state.table.version:
        return ()
    state.table = event.table
    state.service = None
    state.row = None
    for service in event.table.services.values():
        if service.name == state.identity.service:
            state.service = service
            rows = event.table.upstreams[service.number]
            own = (row for row in rows if row.agent == state.identity.data)
            state.row = next(own, None)
    row = state.row
    draining = row is not None and row.state == 'draining'
    return _note_cause(state, LeaveCause.TABLE, draining, event.now)


def change_instances(state: AgentState, event: InstancesChanged) -> Effects:
    """Take note of who is live; this agent may be leaving."""
    if event.instances.revision <= state.instances.revision:
        return ()
    state.instances = event.instances
    leaving = event.instances.select_data('agent', 'leaving')
    listed = state.identity.data in leaving
    return _note_cause(state, LeaveCause.LIST, listed, event.now)


def read_upstream_state(
    state: AgentState,
    event: UpstreamStateRead,
) -> Effects:
    """Believe the upstream when it says that it is leaving."""
    cause = LeaveCause.UPSTREAM
    return _note_cause(state, cause, event.draining, event.now)


def request_stop(state: AgentState, event: StopRequested) -> Effects:
    """Start a planned stop of this process."""
    return _note_cause(state, LeaveCause.SIGNAL, True, event.now)


def _note_cause(
    state: AgentState,
    cause: LeaveCause,
    holds: bool,
    now: float,
) -> Effects:
    if holds:
        state.leave_causes.add(cause)
    else:
        state.leave_causes.discard(cause)
    return _announce(state, now)


def _announce(state: AgentState, now: float) -> Effects:
    if not state.is_leaving:
        state.announced_at = None
        return ()
    if state.announced_at is not None:
        return ()
    state.announced_at = now
    # Those who wait may still find a place elsewhere: ask again for each.
    waiting = state.queue
    state.queue = []
    effects: list[AgentEffect] = [StopNewRequests()]
    for request in waiting:
        effects.extend(admit(state, request, now))
    return tuple(effects)


def check_exit(state: AgentState, now: float) -> Effects:
    """Exit after a stop once nothing is left, with time for late retries."""
    stopping = LeaveCause.SIGNAL in state.leave_causes
    if not stopping or state.flows or state.requests:
        state.idle_since = None
        return ()
    if state.idle_since is None:
        state.idle_since = now
    linger = defaults.LINGER_SECONDS if state.ledger.entries else 0
    return (Exit(),) if now - state.idle_since >= linger else ()
