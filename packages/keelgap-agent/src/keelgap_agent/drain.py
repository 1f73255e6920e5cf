"""Planned drain of the agent.

It is triggered by the table, the instance list, the upstream or a signal.
"""

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
from keelgap_agent.state import AgentState, LeaveReason

__all__ = (
    'handle_instances_change',
    'handle_table_change',
    'check_exit',
    'handle_upstream_state',
    'handle_stop',
)

Effects = tuple[AgentEffect, ...]


def handle_table_change(state: AgentState, event: TableChanged) -> Effects:
    """Apply the operators' table of services if it is newer."""
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
    return _update_leave_reason(state, LeaveReason.TABLE, draining, event.now)


def handle_instances_change(
    state: AgentState, event: InstancesChanged
) -> Effects:
    """Apply an instance list, which may report this agent as leaving."""
    if event.instances.revision <= state.instances.revision:
        return ()
    state.instances = event.instances
    leaving = event.instances.select_data_addresses('agent', 'leaving')
    listed_as_leaving = state.identity.data in leaving
    return _update_leave_reason(
        state, LeaveReason.INSTANCE_LIST, listed_as_leaving, event.now
    )


def handle_upstream_state(
    state: AgentState,
    event: UpstreamStateRead,
) -> Effects:
    """Start or end the drain according to the upstream's own state."""
    reason = LeaveReason.UPSTREAM
    return _update_leave_reason(state, reason, event.draining, event.now)


def handle_stop(state: AgentState, event: StopRequested) -> Effects:
    """Start the drain that ends with the exit of this process."""
    return _update_leave_reason(state, LeaveReason.SIGNAL, True, event.now)


def _update_leave_reason(
    state: AgentState,
    reason: LeaveReason,
    applies: bool,
    now: float,
) -> Effects:
    """Add or remove a reason to leave, and announce a drain that starts."""
    if applies:
        state.leave_reasons.add(reason)
    else:
        state.leave_reasons.discard(reason)
    return _announce_leaving(state, now)


def _announce_leaving(state: AgentState, now: float) -> Effects:
    """Send GOAWAY on all flows once, and pass queued requests on.

    When no reason to leave remains, the next drain announces itself again.
    """
    if not state.is_leaving:
        state.goaway_sent_at = None
        return ()
    if state.goaway_sent_at is not None:
        return ()
    state.goaway_sent_at = now
    # Other agents may have capacity for the queued requests: admit each one
    # again, which passes it on or refuses it.
    queued = state.queue
    state.queue = []
    effects: list[AgentEffect] = [StopNewRequests()]
    for request in queued:
        effects.extend(admit(state, request, now))
    return tuple(effects)


def check_exit(state: AgentState, now: float) -> Effects:
    """Let a stopping process exit once it is idle.

    If the ledger holds outcomes, it stays some time longer for late retries.
    """
    stopping = LeaveReason.SIGNAL in state.leave_reasons
    if not stopping or state.flows or state.requests:
        state.idle_since = None
        return ()
    if state.idle_since is None:
        state.idle_since = now
    linger = defaults.LINGER_SECONDS if state.ledger.entries else 0
    return (Exit(),) if now - state.idle_since >= linger else ()
