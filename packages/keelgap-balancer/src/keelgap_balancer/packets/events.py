"""Events of the packet balancer.

``now`` is in seconds; all events take it from the same clock.
"""

from typing import NamedTuple

from keelgap.catalog.models import Catalog
from keelgap.packets.envelopes import NO_STAMP, Envelope, Stamp

__all__ = (
    'CallerPacket',
    'CatalogChanged',
    'EnvelopeArrived',
    'PacketEvent',
    'PeerStampReceived',
    'StorePolled',
    'TimerFired',
)


class CallerPacket(NamedTuple):
    """A complete packet arrived from a caller."""

    now: float
    datagram: bytes


class EnvelopeArrived(NamedTuple):
    """An envelope arrived from another process."""

    now: float
    #: Host of the process.
    sender: str
    envelope: Envelope
    stamp: Stamp = NO_STAMP


class CatalogChanged(NamedTuple):
    """A new catalog, read from the store or from a peer, is to be applied."""

    now: float
    catalog: Catalog


class StorePolled(NamedTuple):
    """The store was polled without changes, or does not answer any more."""

    now: float
    #: Revision up to which the catalog in force is known to be complete.
    revision: int
    #: Revision of the latest change that the store reported.
    latest_change: int
    #: Whether the store answered.
    reaches_store: bool


class PeerStampReceived(NamedTuple):
    """Another balancer sent the latest store change that it knows of."""

    now: float
    stamp: Stamp
    #: Host of the balancer if it accepts queries, else empty.
    sender: str = ''


class TimerFired(NamedTuple):
    """The periodic timer fired."""

    now: float


PacketEvent = (
    CallerPacket
    | EnvelopeArrived
    | CatalogChanged
    | PeerStampReceived
    | StorePolled
    | TimerFired
)
