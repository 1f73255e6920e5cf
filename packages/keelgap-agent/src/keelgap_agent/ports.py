"""Interfaces through which effects reach the network and the driver."""

import asyncio
from typing import NamedTuple, Protocol

from keelgap.control.channel import ControlChannel
from keelgap_agent.events import AgentEvent
from keelgap_agent.metrics import AgentMetrics
from keelgap_agent.quic.connections import ConnectionHooks
from keelgap_agent.quic.flow_table import FlowTable
from keelgap_agent.requests.upstream import UpstreamClient
from keelgap_agent.state import AgentState

__all__ = ('AgentPorts', 'Dispatcher')


class AgentPorts(NamedTuple):
    """The components that the driver uses."""

    flows: FlowTable
    upstream: UpstreamClient
    control: ControlChannel
    metrics: AgentMetrics


class Dispatcher(Protocol):
    """The part of the driver that handlers of effects use."""

    state: AgentState
    ports: AgentPorts
    loop: asyncio.AbstractEventLoop
    connection_hooks: ConnectionHooks

    def dispatch(self, event: AgentEvent) -> None:
        """Apply an event to the state and carry out its effects."""
