"""How long one request keeps one slot of the upstream at work.

The time to an answer is work and waiting in the upstream.  Balancers compare
upstreams by the work alone: one that is slow only because it was given much
is not slow.  A request that found a free slot shows its work directly; of
another the part is taken that the requests before it did not cause.
"""

from typing import Final

from keelgap_agent.packets import defaults

__all__ = ('Pace',)

_MILLISECONDS: Final = 1000


class Pace:
    """Mean work of a request, over the latest answers."""

    def __init__(self) -> None:
        """Start without an answer."""
        self.samples = 0
        self.seconds: float = 0

    def note(self, taken: float, before: int, slots: int) -> None:
        """Take the time to one answer.

        ``before`` requests were at work or waiting when its own arrived.
        """
        queued = max(before - slots + 1, 0)
        work = taken / (1 + queued / slots)
        if self.samples >= defaults.FIRST_PACE_SAMPLES:
            # One long request says little of the others.
            work = min(work, defaults.MOST_PACE_SAMPLE * self.seconds)
        # All count alike until there are enough of them.
        self.samples = min(self.samples + 1, defaults.PACE_SAMPLES)
        self.seconds += (work - self.seconds) / self.samples

    @property
    def milliseconds(self) -> int:
        """Return the mean work; 0 until it rests on enough answers."""
        if self.samples < defaults.FEWEST_PACE_SAMPLES:
            return 0
        return max(round(self.seconds * _MILLISECONDS), 1)
