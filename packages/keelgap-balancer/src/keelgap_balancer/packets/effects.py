"""Effects that the packet balancer asks its driver for."""

from typing import Any, Final, NamedTuple

from keelgap.packets.envelopes import Envelope

__all__ = (
    'CatchUp',
    'Decided',
    'Observed',
    'PacketEffect',
    'SendReset',
    'SendToAgent',
    'TellBalancers',
    'keep_one_catch_up',
)


class SendToAgent(NamedTuple):
    """Send an envelope to the agent or balancer on a host."""

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
_CATCH_UP: Final = CatchUp()


def keep_one_catch_up(
    effects: tuple[PacketEffect, ...],
) -> tuple[PacketEffect, ...]:
    """Leave the first of those that one event leads to.

    After an outage thousands of searches may wait for one catalog.
    """
    if len(effects) == 1 or effects.count(_CATCH_UP) <= 1:
        return effects
    others = tuple(one for one in effects if one != _CATCH_UP)
    return (_CATCH_UP, *others)
