"""Events handled by the reducers of both programs.

``now`` is the time of the event in seconds, on the same clock for all events.
"""

from typing import NamedTuple

from keelgap.instances import InstanceList
from keelgap.table import Table

__all__ = ('InstancesChanged', 'StopRequested', 'TableChanged', 'TimerFired')


class TableChanged(NamedTuple):
    """A later table came into force."""

    now: float
    table: Table


class InstancesChanged(NamedTuple):
    """A later list of instances came into force."""

    now: float
    instances: InstanceList


class TimerFired(NamedTuple):
    """The periodic timer of the driver fired."""

    now: float


class StopRequested(NamedTuple):
    """The process was asked to shut down gracefully."""

    now: float
