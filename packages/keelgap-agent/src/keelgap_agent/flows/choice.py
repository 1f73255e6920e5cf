"""Whether this agent takes a new flow, passes it on or refuses it."""

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
    'close_flow',
    'end_idle_flows',
    'forget_handovers',
    'offer_flow',
    'open_flow',
)

Effects = tuple[AgentEffect, ...]
#: A flow with no free slot is passed on while a candidate is left.
_NO_SLOT: Final = 'flows_passed_on_busy'


def offer_flow(state: AgentState, event: FlowOffered) -> Effects:
    """Decide on what is true here, not on what a balancer believed.

    The choice to pass on is remembered by the caller's connection id, so that
    later datagrams of the same handshake reach the same agent.
    """
    if not accepts_service(state, event.service):
        return (Drop(ForeignService.code),)
    remembered = state.handovers.get(event.connection_id)
    if remembered is not None:
        agent, turn, _ = remembered
        return (PassFlow(agent, turn),)
    reason = _find_obstacle(state, event)
    if reason is None:
        return _take(event)
    if event.turn + 1 < len(event.candidates):
        return _pass_on(state, event, reason)
    if reason == _NO_SLOT:
        return _take(event)
    return RefuseFlow(), Count('flows_refused')


def _find_obstacle(state: AgentState, event: FlowOffered) -> str | None:
    if state.row is None or state.is_leaving:
        return 'flows_passed_on_leaving'
    if state.is_down(event.now):
        return 'flows_passed_on_down'
    if len(state.flows) >= state.row.connections:
        return 'flows_passed_on_full'
    if state.busy >= state.count_slots(event.now):
        return _NO_SLOT
    return None


def _take(event: FlowOffered) -> Effects:
    crowded = event.handshakes >= defaults.HANDSHAKES_BEFORE_RETRY
    if crowded and not event.validated:
        return ChallengeFlow(), Count('flows_challenged')
    return (TakeFlow(),)


def _pass_on(state: AgentState, event: FlowOffered, reason: str) -> Effects:
    turn = event.turn + 1
    agent = event.candidates[turn]
    until = event.now + defaults.HANDOVER_MEMORY_SECONDS
    state.handovers[event.connection_id] = (agent, turn, until)
    return PassFlow(agent, turn), Count(reason)


def open_flow(state: AgentState, event: FlowOpened) -> Effects:
    """Count a flow that was taken."""
    state.flows[event.flow_id] = 0
    return (Count('flows_opened'),)


def close_flow(state: AgentState, event: FlowClosed) -> Effects:
    """Forget a flow that ended."""
    state.flows.pop(event.flow_id, None)
    state.ended_flows.discard(event.flow_id)
    return (Count('flows_closed'),)


def end_idle_flows(state: AgentState, now: float) -> Effects:
    """End the flows of a leaving agent that have no request left.

    Not before callers had time to learn that it is leaving: a request that
    was on its way when the flow is closed would be lost without a word.
    """
    announced_at = state.announced_at
    if announced_at is None or now - announced_at < defaults.GOAWAY_SECONDS:
        return ()
    idle = [
        flow_id
        for flow_id, requests in state.flows.items()
        if not requests and flow_id not in state.ended_flows
    ]
    state.ended_flows.update(idle)
    return tuple(map(EndFlow, idle))


def accepts_service(state: AgentState, number: int) -> bool:
    """Return whether a datagram is meant for the service served here.

    This is the last of three checks; the balancer compares the port and the
    connection id before it.
    """
    return state.service is not None and state.service.number == number


def forget_handovers(state: AgentState, now: float) -> None:
    """Drop choices that no handshake can ask for any more."""
    if state.handovers:
        state.handovers = {
            connection_id: choice
            for connection_id, choice in state.handovers.items()
            if choice[2] > now
        }
