"""Effects that the packet agent asks its driver for."""

from typing import Any, NamedTuple

from keelgap.packets.envelopes import Envelope

__all__ = (
    'AgentEffect',
    'Decided',
    'Observed',
    'SendToPeer',
    'SendToCaller',
    'SendToUpstream',
)


class SendToUpstream(NamedTuple):
    """Hand a packet to the upstream."""

    datagram: bytes


class SendToCaller(NamedTuple):
    """Send a packet of the upstream to its caller, unchanged."""

    datagram: bytes


class SendToPeer(NamedTuple):
    """Send an envelope to the balancer or the agent on a host."""

    host: str
    envelope: Envelope


class Decided(NamedTuple):
    """Count a decision by name, and log it if it has fields."""

    name: str
    fields: dict[str, Any] | None = None


class Observed(NamedTuple):
    """Count a duration under a name."""

    name: str
    seconds: float


AgentEffect = Observed | SendToUpstream | SendToCaller | SendToPeer | Decided
