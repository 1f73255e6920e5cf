"""Events that the reducers of both programs know.

``now`` is in seconds of one clock, in every event.
"""

from typing import NamedTuple

from keelgap.instances import InstanceList
from keelgap.table import Table

__all__ = ('InstancesChanged', 'StopRequested', 'TableChanged', 'TimerFired')


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
