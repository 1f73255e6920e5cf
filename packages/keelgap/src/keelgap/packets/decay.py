"""An exponentially decaying event counter."""

from math import exp, expm1

__all__ = ('DecayingCounter',)


class DecayingCounter:
    """Weighted count of events that decays by e per time constant."""

    __slots__ = ('value_at_update', 'updated_at', 'started_at', 'time_constant')

    def __init__(self, time_constant: float, now: float) -> None:
        """Initialize to zero; ``time_constant`` is in seconds."""
        self.time_constant = time_constant
        self.value_at_update: float = 0
        self.updated_at = now
        self.started_at = now

    def add(self, now: float, weight: float = 1) -> None:
        """Add an event at time ``now`` in seconds, with its weight."""
        self.value_at_update = self.read(now) + weight
        self.updated_at = now

    def read(self, now: float) -> float:
        """Return the sum of the weights, decayed until time ``now``."""
        return self.value_at_update * exp(
            (self.updated_at - now) / self.time_constant
        )

    def compute_rate(self, now: float, min_seconds: float) -> float:
        """Return the weight of events per second, as a decaying mean.

        The divisor is the decay-weighted observation time, because a new
        counter has observed less than one time constant.  It is at least
        ``min_seconds``.
        """
        observed_seconds = self.time_constant * -expm1(
            (self.started_at - now) / self.time_constant
        )
        return self.read(now) / max(observed_seconds, min_seconds)
