"""The agent's reducer: ``(state, event) -> (state, effects)``.

The reducer owns the state and changes it in place, as in the balancer.
"""

from collections.abc import Callable
from types import MappingProxyType
from typing import Any, Final

from keelgap_agent import events
from keelgap_agent.drain import (
    change_instances,
    change_table,
    check_exit,
    read_upstream_state,
    request_stop,
)
from keelgap_agent.effects import AgentEffect
from keelgap_agent.flows.choice import (
    close_flow,
    end_idle_flows,
    forget_handovers,
    offer_flow,
    open_flow,
)
from keelgap_agent.requests.admission import drop_expired, start_waiting
from keelgap_agent.requests.keyed import ask_issuers_again
from keelgap_agent.requests.lifecycle import (
    arrive,
    ask,
    cancel,
    finish,
    give_up_on_peers,
    take_peer_answer,
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
    forget_handovers(state, event.now)
    state.ledger.forget_expired(event.now)
    return tuple(
        effect
        for handler in _TIMER_HANDLERS
        for effect in handler(state, event.now)
    )


#: Handlers that run on every timer event, in this order.
_TIMER_HANDLERS: Final = (
    drop_expired,
    start_waiting,
    ask_issuers_again,
    give_up_on_peers,
    end_idle_flows,
    check_exit,
)

_HANDLERS: Final = MappingProxyType[
    type,
    Callable[[AgentState, Any], Effects],
]({
    events.FlowOffered: offer_flow,
    events.FlowOpened: open_flow,
    events.FlowClosed: close_flow,
    events.RequestArrived: arrive,
    events.RequestCancelled: cancel,
    events.RequestFinished: finish,
    events.PeerAsked: ask,
    events.PeerAnswered: take_peer_answer,
    events.UpstreamStateRead: read_upstream_state,
    events.TableChanged: change_table,
    events.InstancesChanged: change_instances,
    events.TimerFired: _handle_timer,
    events.StopRequested: request_stop,
})
