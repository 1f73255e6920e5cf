"""Counts and histograms of one process, cheap enough for each packet.

A metrics page turns them into the library's types when somebody asks;
``keelgap.packets.metrics`` imports the library only then.
"""

from bisect import bisect_left
from typing import Final

__all__ = ('BUCKETS', 'Counters', 'Histogram')

#: Upper bounds of the buckets in seconds; the last bucket has none.
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
    """How often a duration fell into each bucket."""

    def __init__(self) -> None:
        """Start empty."""
        self.counts = [0 for _ in (*BUCKETS, None)]
        self.total: float = 0

    def observe(self, seconds: float) -> None:
        """Count one duration."""
        self.counts[bisect_left(BUCKETS, seconds)] += 1
        self.total += seconds


class Counters:
    """Counts by name, and histograms by name and label."""

    def __init__(self) -> None:
        """Start at zero."""
        self.totals: dict[str, int] = {}
        #: By name and service.
        self.histograms: dict[tuple[str, str], Histogram] = {}

    def count(self, name: str) -> None:
        """Count one event."""
        self.totals[name] = self.totals.get(name, 0) + 1

    def observe(self, name: str, service: str, seconds: float) -> None:
        """Count one duration."""
        key = (name, service)
        histogram = self.histograms.get(key)
        if histogram is None:
            histogram = Histogram()
            self.histograms[key] = histogram
        histogram.observe(seconds)
