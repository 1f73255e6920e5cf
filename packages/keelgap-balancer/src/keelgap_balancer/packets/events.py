"""Events of the packet balancer; ``now`` is in seconds of one clock."""

from typing import NamedTuple

from keelgap.catalog.models import Catalog
from keelgap.packets.envelopes import NO_STAMP, Envelope, Stamp

__all__ = (
    'CallerPacket',
    'CatalogChanged',
    'EnvelopeArrived',
    'PacketEvent',
    'StampHeard',
    'StoreSeen',
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
    stamp: Stamp = NO_STAMP


class CatalogChanged(NamedTuple):
    """Later routes or upstreams are in force."""

    now: float
    catalog: Catalog


class StoreSeen(NamedTuple):
    """The store answered without news, or no longer answers."""

    now: float
    #: Revision up to which the catalog in force is known to be complete.
    revision: int
    #: Revision of the latest change that the store told of.
    latest_change: int
    reaches_store: bool


class StampHeard(NamedTuple):
    """Another balancer told what it knows of the store."""

    now: float
    stamp: Stamp
    #: Its host, if it can be asked.
    sender: str = ''


class TimerFired(NamedTuple):
    """The periodic timer fired."""

    now: float


PacketEvent = (
    CallerPacket
    | EnvelopeArrived
    | CatalogChanged
    | StampHeard
    | StoreSeen
    | TimerFired
)
