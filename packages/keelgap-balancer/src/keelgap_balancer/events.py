"""Events of the balancer's reducer; ``now`` is in seconds of one clock."""

from typing import NamedTuple

from keelgap.addresses import Address
from keelgap.instances import InstanceList
from keelgap.table import Table
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


class TableChanged(NamedTuple):
    """A later table is in force."""

    now: float
    table: Table


class InstancesChanged(NamedTuple):
    """A later list of instances is known."""

    now: float
    instances: InstanceList


class TimerFired(NamedTuple):
    """The periodic timer of the driver fired."""

    now: float


class StopRequested(NamedTuple):
    """The process was asked to stop in a planned way."""

    now: float


BalancerEvent = (
    CallerDatagram
    | EnvelopeReceived
    | TableChanged
    | InstancesChanged
    | TimerFired
    | StopRequested
)
