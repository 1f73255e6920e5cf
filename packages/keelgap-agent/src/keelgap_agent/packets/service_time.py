"""Service time of a request: how long it occupies one slot of the upstream.

The time to an answer consists of service time and waiting time in the upstream.
Balancers compare upstreams by the service time alone, so that an upstream which
answers late only because of its load does not count as slow.  The time to an
answer of a request that finds a free slot is its service time; for any other
request the share caused by the requests ahead of it is taken off.
"""

from typing import Final

from keelgap_agent.packets import defaults

__all__ = ('ServiceTimeEstimator',)

_MILLISECONDS: Final = 1000


class ServiceTimeEstimator:
    """Mean service time of requests, over the latest answers."""

    def __init__(self) -> None:
        """Start without samples."""
        #: Answers in the mean, up to the number over which it is taken.
        self.samples = 0
        #: The mean service time.
        self.seconds: float = 0

    def record(self, duration: float, busy_on_arrival: int, slots: int) -> None:
        """Update the mean with the seconds to one answer.

        ``busy_on_arrival`` is the number of requests that were in progress or
        waiting at the upstream when this one arrived.
        """
        queued = max(busy_on_arrival - slots + 1, 0)
        sample = duration / (1 + queued / slots)
        if self.samples >= defaults.MIN_SAMPLES_TO_CAP:
            # A single long request says little about the others.
            sample = min(sample, defaults.MAX_SAMPLE_RATIO * self.seconds)
        # A plain mean first, a moving average once there are enough samples.
        self.samples = min(self.samples + 1, defaults.SERVICE_TIME_SAMPLES)
        self.seconds += (sample - self.seconds) / self.samples

    @property
    def milliseconds(self) -> int:
        """Return the mean service time; 0 if there are too few samples yet."""
        if self.samples < defaults.MIN_SERVICE_TIME_SAMPLES:
            return 0
        return max(round(self.seconds * _MILLISECONDS), 1)
