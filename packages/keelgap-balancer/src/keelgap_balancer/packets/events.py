"""Events of the packet balancer; ``now`` is in seconds of one clock."""

from typing import NamedTuple

from keelgap.catalog.models import Catalog
from keelgap.packets.envelopes import Envelope

__all__ = (
    'CallerPacket',
    'CatalogChanged',
    'EnvelopeArrived',
    'PacketEvent',
    'TimerFired',
)


class CallerPacket(NamedTuple):
    """A whole packet of a caller arrived."""

    now: float
    datagram: bytes


class EnvelopeArrived(NamedTuple):
    """Another process sent an envelope."""

    now: float
    sender: str
    envelope: Envelope


class CatalogChanged(NamedTuple):
    """Later routes or upstreams are in force."""

    now: float
    catalog: Catalog


class TimerFired(NamedTuple):
    """The periodic timer fired."""

    now: float


PacketEvent = CallerPacket | EnvelopeArrived | CatalogChanged | TimerFired
