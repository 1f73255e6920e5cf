"""Effects that the reducer of the packet agent requests from its driver."""

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
    """Send a packet to the upstream."""

    datagram: bytes


class SendToCaller(NamedTuple):
    """Send a packet of the upstream, or a reset, to its caller."""

    datagram: bytes


class SendToPeer(NamedTuple):
    """Send an envelope to the balancer or the agent on a host."""

    host: str
    envelope: Envelope


class Decided(NamedTuple):
    """Count a decision of the reducer by name; log it if it has fields."""

    name: str
    fields: dict[str, Any] | None = None


class Observed(NamedTuple):
    """Record a duration in the histogram with this name."""

    name: str
    seconds: float


AgentEffect = Observed | SendToUpstream | SendToCaller | SendToPeer | Decided
