"""The agent's reducer: ``(state, event) -> (state, effects)``.

The reducer owns the state and changes it in place, as in the balancer.
"""

from collections.abc import Callable
from types import MappingProxyType
from typing import Any, Final

from keelgap_agent import events
from keelgap_agent.drain import (
    check_exit,
    handle_instances_change,
    handle_stop,
    handle_table_change,
    handle_upstream_state,
)
from keelgap_agent.effects import AgentEffect
from keelgap_agent.flows.admission import (
    close_idle_flows,
    expire_handovers,
    handle_flow_closed,
    handle_flow_offer,
    handle_flow_opened,
)
from keelgap_agent.requests.admission import refuse_expired, start_queued
from keelgap_agent.requests.keyed import retry_issuer_asks
from keelgap_agent.requests.lifecycle import (
    abandon_silent_peers,
    handle_arrival,
    handle_cancellation,
    handle_peer_answer,
    handle_peer_ask,
    record_outcome,
)
from keelgap_agent.state import AgentState

__all__ = ('reduce',)

Effects = tuple[AgentEffect, ...]


def reduce(
    state: AgentState,
    event: events.AgentEvent,
) -> tuple[AgentState, Effects]:
    """Return the state after an event and the effects to carry out."""
    return state, _HANDLERS[type(event)](state, event)


def _handle_timer(state: AgentState, event: events.TimerFired) -> Effects:
    """Remove expired state and run all periodic handlers."""
    expire_handovers(state, event.now)
    state.ledger.forget_expired(event.now)
    return tuple(
        effect
        for handler in _TIMER_HANDLERS
        for effect in handler(state, event.now)
    )


#: Handlers that run on every timer event, in this order.
_TIMER_HANDLERS: Final = (
    refuse_expired,
    start_queued,
    retry_issuer_asks,
    abandon_silent_peers,
    close_idle_flows,
    check_exit,
)

_HANDLERS: Final = MappingProxyType[
    type,
    Callable[[AgentState, Any], Effects],
]({
    events.FlowOffered: handle_flow_offer,
    events.FlowOpened: handle_flow_opened,
    events.FlowClosed: handle_flow_closed,
    events.RequestArrived: handle_arrival,
    events.RequestCancelled: handle_cancellation,
    events.RequestFinished: record_outcome,
    events.PeerAsked: handle_peer_ask,
    events.PeerAnswered: handle_peer_answer,
    events.UpstreamStateRead: handle_upstream_state,
    events.TableChanged: handle_table_change,
    events.InstancesChanged: handle_instances_change,
    events.TimerFired: _handle_timer,
    events.StopRequested: handle_stop,
})
