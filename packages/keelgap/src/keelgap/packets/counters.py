"""Counters and histograms cheap enough to update for every packet.

``keelgap.packets.metrics`` converts them to the types of the Prometheus client
when the metrics page is requested, and imports that library only then.
"""

from bisect import bisect_left
from typing import Final

__all__ = ('BUCKETS', 'Counters', 'Histogram')

#: Upper bounds of the buckets, in seconds; one more bucket has no bound.
BUCKETS: Final = (
    0.0001,
    0.0003,
    0.001,
    0.003,
    0.01,
    0.03,
    0.1,
    0.2,
    0.3,
    0.5,
    1.0,
    2.0,
    5.0,
)


class Histogram:
    """Number of durations in each bucket, and the sum of all durations."""

    def __init__(self) -> None:
        """Initialize all buckets to zero."""
        #: Number of durations in each bucket, not cumulative.
        self.counts = [0 for _ in (*BUCKETS, None)]
        #: Sum of all durations in seconds.
        self.total: float = 0

    def observe(self, seconds: float) -> None:
        """Add one duration in seconds."""
        self.counts[bisect_left(BUCKETS, seconds)] += 1
        self.total += seconds


class Counters:
    """Event counters by name, and duration histograms by name and service."""

    def __init__(self) -> None:
        """Initialize without counters or histograms."""
        #: Number of events by name.
        self.totals: dict[str, int] = {}
        #: Keyed by name and service.
        self.histograms: dict[tuple[str, str], Histogram] = {}

    def count(self, name: str) -> None:
        """Increment the counter with a name."""
        self.totals[name] = self.totals.get(name, 0) + 1

    def observe(self, name: str, service: str, seconds: float) -> None:
        """Add a duration to the histogram with a name and service.

        The histogram is created if needed.
        """
        key = (name, service)
        histogram = self.histograms.get(key)
        if histogram is None:
            histogram = Histogram()
            self.histograms[key] = histogram
        histogram.observe(seconds)
