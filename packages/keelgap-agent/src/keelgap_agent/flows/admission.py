"""Admission of new flows: accept, hand over to another agent or refuse."""

from typing import Final

from keelgap.wire.exceptions import ForeignService
from keelgap_agent import defaults
from keelgap_agent.effects import (
    AgentEffect,
    ChallengeFlow,
    Count,
    Drop,
    EndFlow,
    PassFlow,
    RefuseFlow,
    TakeFlow,
)
from keelgap_agent.events import FlowClosed, FlowOffered, FlowOpened
from keelgap_agent.state import AgentState

__all__ = (
    'accepts_service',
    'handle_flow_closed',
    'close_idle_flows',
    'expire_handovers',
    'handle_flow_offer',
    'handle_flow_opened',
)

Effects = tuple[AgentEffect, ...]
#: Reason that the last candidate ignores: it accepts a flow though no slot is
#: free.
_NO_FREE_SLOT: Final = 'flows_passed_on_busy'


def handle_flow_offer(state: AgentState, event: FlowOffered) -> Effects:
    """Accept, hand over or refuse a flow.

    The decision uses the agent's own state, since the balancer's view may be
    outdated.  A handover, which passes the flow on to another agent, is
    remembered by the caller's connection id, so that later datagrams of the
    same handshake reach the same agent.
    """
    if not accepts_service(state, event.service):
        return (Drop(ForeignService.code),)
    handover = state.handovers.get(event.connection_id)
    if handover is not None:
        agent, turn, _ = handover
        return (PassFlow(agent, turn),)
    reason = _find_rejection_reason(state, event)
    if reason is None:
        return _accept(event)
    if event.turn + 1 < len(event.candidates):
        return _hand_over(state, event, reason)
    if reason == _NO_FREE_SLOT:
        return _accept(event)
    return RefuseFlow(), Count('flows_refused')


def _find_rejection_reason(state: AgentState, event: FlowOffered) -> str | None:
    """Return the name of the counter for why a new flow does not fit here.

    Returns None if this agent can accept the flow.
    """
    if state.row is None or state.is_leaving:
        return 'flows_passed_on_leaving'
    if state.is_down(event.now):
        return 'flows_passed_on_down'
    if len(state.flows) >= state.row.connections:
        return 'flows_passed_on_full'
    if state.busy >= state.count_slots(event.now):
        return _NO_FREE_SLOT
    return None


def _accept(event: FlowOffered) -> Effects:
    """Accept a flow, or require address validation if many are opening."""
    needs_validation = event.handshakes >= defaults.HANDSHAKES_BEFORE_RETRY
    if needs_validation and not event.validated:
        return ChallengeFlow(), Count('flows_challenged')
    return (TakeFlow(),)


def _hand_over(state: AgentState, event: FlowOffered, reason: str) -> Effects:
    """Pass a flow on to the next candidate and remember that agent."""
    turn = event.turn + 1
    agent = event.candidates[turn]
    expires_at = event.now + defaults.HANDOVER_TTL_SECONDS
    state.handovers[event.connection_id] = (agent, turn, expires_at)
    return PassFlow(agent, turn), Count(reason)


def handle_flow_opened(state: AgentState, event: FlowOpened) -> Effects:
    """Record a flow that was accepted."""
    state.flows[event.flow_id] = 0
    return (Count('flows_opened'),)


def handle_flow_closed(state: AgentState, event: FlowClosed) -> Effects:
    """Remove a flow that ended."""
    state.flows.pop(event.flow_id, None)
    state.closing_flows.discard(event.flow_id)
    return (Count('flows_closed'),)


def close_idle_flows(state: AgentState, now: float) -> Effects:
    """Close the flows of a leaving agent that have no open request.

    This waits until callers have had time to receive the GOAWAY.  A request
    in flight when its flow closes would be lost without an answer.
    """
    goaway_sent_at = state.goaway_sent_at
    if (
        goaway_sent_at is None
        or now - goaway_sent_at < defaults.GOAWAY_GRACE_SECONDS
    ):
        return ()
    idle_flow_ids = [
        flow_id
        for flow_id, requests in state.flows.items()
        if not requests and flow_id not in state.closing_flows
    ]
    state.closing_flows.update(idle_flow_ids)
    return tuple(map(EndFlow, idle_flow_ids))


def accepts_service(state: AgentState, number: int) -> bool:
    """Return whether a datagram belongs to the service of this agent.

    This is the last of three checks: the balancer has compared the port and
    the connection id before.
    """
    return state.service is not None and state.service.number == number


def expire_handovers(state: AgentState, now: float) -> None:
    """Forget the flows passed on whose handshake must have ended by now."""
    if state.handovers:
        state.handovers = {
            connection_id: handover_entry
            for connection_id, handover_entry in state.handovers.items()
            if handover_entry[2] > now
        }
