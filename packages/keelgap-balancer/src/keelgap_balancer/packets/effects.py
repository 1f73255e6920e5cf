"""Effects that the packet balancer asks its driver for."""

from typing import Any, NamedTuple

from keelgap.packets.envelopes import Envelope

__all__ = (
    'CatchUp',
    'Decided',
    'Observed',
    'PacketEffect',
    'SendReset',
    'SendToAgent',
    'TellBalancers',
)


class SendToAgent(NamedTuple):
    """Send an envelope to the agent on a host."""

    host: str
    envelope: Envelope


class TellBalancers(NamedTuple):
    """Send a message of this kind to the other balancers."""

    kind: int
    content: bytes


class SendReset(NamedTuple):
    """Reset the flow of this packet towards its caller."""

    datagram: bytes


class CatchUp(NamedTuple):
    """Read at once what the store has changed; a verdict waits for it."""


class Decided(NamedTuple):
    """Count a decision by name, and log it if it has fields."""

    name: str
    fields: dict[str, Any] | None = None


class Observed(NamedTuple):
    """Count a duration under a name and a service."""

    name: str
    service: str
    seconds: float


PacketEffect = (
    Observed | SendToAgent | TellBalancers | SendReset | CatchUp | Decided
)
