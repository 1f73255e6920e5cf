"""Effects that the reducer of the packet balancer returns to its driver."""

from typing import Any, Final, NamedTuple

from keelgap.packets.envelopes import Envelope

__all__ = (
    'RefreshCatalog',
    'Decided',
    'Observed',
    'PacketEffect',
    'SendReset',
    'SendToAgent',
    'SendToBalancers',
    'keep_one_refresh',
)


class SendToAgent(NamedTuple):
    """Send an envelope to the agent or balancer on a host."""

    host: str
    envelope: Envelope


class SendToBalancers(NamedTuple):
    """Send an envelope to the other balancers."""

    #: An EnvelopeKind.
    kind: int
    content: bytes


class SendReset(NamedTuple):
    """Send a reset to the caller of a packet."""

    datagram: bytes


class RefreshCatalog(NamedTuple):
    """Read the latest changes of the store now; a search waits for them."""


class Decided(NamedTuple):
    """Count an event by name, and log it if it has fields."""

    name: str
    fields: dict[str, Any] | None = None


class Observed(NamedTuple):
    """Record a duration in the histogram ``name`` for a service."""

    name: str
    service: str
    seconds: float


PacketEffect = (
    Observed
    | SendToAgent
    | SendToBalancers
    | SendReset
    | RefreshCatalog
    | Decided
)
_REFRESH: Final = RefreshCatalog()


def keep_one_refresh(
    effects: tuple[PacketEffect, ...],
) -> tuple[PacketEffect, ...]:
    """Drop repeated RefreshCatalog effects, and put the one kept first.

    After an outage thousands of searches may wait for the same catalog.
    """
    if len(effects) == 1 or effects.count(_REFRESH) <= 1:
        return effects
    others = tuple(effect for effect in effects if effect != _REFRESH)
    return (_REFRESH, *others)
