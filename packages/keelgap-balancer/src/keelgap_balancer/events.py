"""Events of the balancer's reducer.

``now`` is the time in seconds of one monotonic clock.
"""

from typing import NamedTuple

from keelgap.addresses import Address
from keelgap.events import (
    InstancesChanged,
    StopRequested,
    TableChanged,
    TimerFired,
)
from keelgap.wire.encapsulation import Envelope

__all__ = (
    'BalancerEvent',
    'CallerDatagram',
    'EnvelopeReceived',
    'InstancesChanged',
    'StopRequested',
    'TableChanged',
    'TimerFired',
)


class CallerDatagram(NamedTuple):
    """A datagram from a caller arrived on the port of a service."""

    now: float
    service: int
    caller: Address
    payload: bytes


class EnvelopeReceived(NamedTuple):
    """An authenticated envelope arrived from another process."""

    now: float
    sender: Address
    envelope: Envelope


BalancerEvent = (
    CallerDatagram
    | EnvelopeReceived
    | TableChanged
    | InstancesChanged
    | TimerFired
    | StopRequested
)
