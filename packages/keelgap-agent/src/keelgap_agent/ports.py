"""What effects act through: the ports of an agent, and its driver's part."""

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
    """What the driver acts through."""

    flows: FlowTable
    upstream: UpstreamClient
    control: ControlChannel
    metrics: AgentMetrics


class Dispatcher(Protocol):
    """What carries out effects and reports what came of them."""

    state: AgentState
    ports: AgentPorts
    loop: asyncio.AbstractEventLoop
    connection_hooks: ConnectionHooks

    def dispatch(self, event: AgentEvent) -> None:
        """Reduce an event and carry out the effects."""
