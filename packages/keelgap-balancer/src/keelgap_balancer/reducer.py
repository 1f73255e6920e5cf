"""The balancer's reducer: ``(state, event) -> (state, effects)``.

The reducer owns the state object and modifies it in place, because copying it
for each datagram would cost more than all decisions together.
"""

from collections.abc import Callable
from types import MappingProxyType
from typing import Any, Final

from keelgap.wire.encapsulation import MessageKind
from keelgap_balancer.effects import BalancerEffect, Count, SendEnvelope
from keelgap_balancer.events import (
    BalancerEvent,
    CallerDatagram,
    EnvelopeReceived,
    InstancesChanged,
    StopRequested,
    TableChanged,
    TimerFired,
)
from keelgap_balancer.forwarding import (
    handle_caller_datagram,
    handle_envelope,
    make_control_envelope,
)
from keelgap_balancer.membership import (
    handle_instances_change,
    handle_table_change,
)
from keelgap_balancer.state import BalancerState

__all__ = ('Effects', 'reduce')

Effects = tuple[BalancerEffect, ...]


def reduce(
    state: BalancerState,
    event: BalancerEvent,
) -> tuple[BalancerState, Effects]:
    """Return the state after an event and the effects for the driver."""
    return state, _HANDLERS[type(event)](state, event)


def _handle_timer(state: BalancerState, event: TimerFired) -> Effects:
    """Mark agents with overdue answers as suspects and send due probes."""
    health = state.health
    health.detect_pause(event.now)
    new_suspects = 0
    if health.has_overdue(event.now):
        new_suspects = sum(
            health.mark_suspects(
                [upstream.agent for upstream in members],
                event.now,
            )
            for members in state.table.upstreams.values()
        )
    probes = tuple(
        SendEnvelope(agent, make_control_envelope(state, MessageKind.PROBE))
        for agent in health.pop_due_probes(event.now)
    )
    return (*probes, *(Count('suspected') for _ in range(new_suspects)))


def _handle_stop(state: BalancerState, event: StopRequested) -> Effects:
    """Tell all agents that this balancer is leaving."""
    state.stopping = True
    message = make_control_envelope(state, MessageKind.LEAVING)
    return tuple(SendEnvelope(agent, message) for agent in sorted(state.owners))


_HANDLERS: Final = MappingProxyType[
    type,
    Callable[[BalancerState, Any], Effects],
]({
    CallerDatagram: handle_caller_datagram,
    EnvelopeReceived: handle_envelope,
    TableChanged: handle_table_change,
    InstancesChanged: handle_instances_change,
    TimerFired: _handle_timer,
    StopRequested: _handle_stop,
})
