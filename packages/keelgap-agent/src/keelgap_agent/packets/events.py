"""Events of the packet agent.

``now`` is the time in seconds of one monotonic clock.
"""

from typing import NamedTuple

from keelgap.packets.envelopes import NO_STAMP, Envelope, Stamp

__all__ = (
    'AgentEvent',
    'EnvelopeArrived',
    'StopRequested',
    'TimerFired',
    'UpstreamPacket',
)


class EnvelopeArrived(NamedTuple):
    """A balancer or another agent sent an envelope."""

    now: float
    sender: str
    envelope: Envelope
    stamp: Stamp = NO_STAMP


class UpstreamPacket(NamedTuple):
    """The upstream sent a packet, or returned one that it did not accept."""

    now: float
    datagram: bytes


class TimerFired(NamedTuple):
    """The periodic timer fired."""

    now: float


class StopRequested(NamedTuple):
    """The process was asked to stop gracefully."""

    now: float


AgentEvent = EnvelopeArrived | UpstreamPacket | TimerFired | StopRequested
