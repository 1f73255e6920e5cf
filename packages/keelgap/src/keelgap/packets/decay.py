"""Counts that fade: what happened lately, in a few numbers."""

from math import exp, expm1

__all__ = ('DecayingCount',)


class DecayingCount:
    """Events of the last ``span`` seconds, the older the less they count."""

    __slots__ = ('amount', 'at', 'began', 'span')

    def __init__(self, span: float, now: float) -> None:
        """Start at zero."""
        self.span = span
        self.amount: float = 0
        self.at = now
        self.began = now

    def add(self, now: float, weight: float = 1) -> None:
        """Count an event."""
        self.amount = self.read(now) + weight
        self.at = now

    def read(self, now: float) -> float:
        """Return the count."""
        return self.amount * exp((self.at - now) / self.span)

    def compute_rate(self, now: float, fewest: float) -> float:
        """Return events a second, over ``fewest`` seconds at least.

        A young count has seen less than its span.
        """
        seen = self.span * -expm1((self.began - now) / self.span)
        return self.read(now) / max(seen, fewest)
