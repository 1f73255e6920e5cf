"""Events of the balancer's reducer; ``now`` is in seconds of one clock."""

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
    """A caller's datagram arrived on the port of a service."""

    now: float
    service: int
    caller: Address
    payload: bytes


class EnvelopeReceived(NamedTuple):
    """An authentic envelope arrived from another process."""

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
