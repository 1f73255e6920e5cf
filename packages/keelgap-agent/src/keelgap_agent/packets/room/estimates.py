"""Estimates of an upstream's throughput, and of the demand for it."""

from keelgap.packets.decay import DecayingCount
from keelgap_agent.packets.room import defaults

__all__ = ('Room',)


class Room:
    """How fast the upstream responds, and how many requests arrive for it."""

    def __init__(self, now: float) -> None:
        """Start without any response."""
        #: Mean seconds from one response to the next while all slots are busy.
        self.pace: float = 0
        self.answers = 0
        #: Time of the latest response if all slots were busy after it.
        self.saturated_since: float | None = None
        #: New flows by priority (one octet): those admitted count fully, those
        #: refused here count in part.
        self.demand: dict[int, DecayingCount] = {}
        #: Recently admitted new flows by priority.
        self.admitted: dict[int, DecayingCount] = {}
        #: When a flow was last refused because it would miss its deadline.
        self.last_refusal_at = float('-inf')
        #: When a late request last went before others.
        self.rescued_at = float('-inf')

    @property
    def is_known(self) -> bool:
        """Return whether there are enough responses to predict waits."""
        return self.answers >= defaults.FEWEST_ANSWERS

    def note_answer(self, now: float, *, is_full: bool) -> None:
        """Update the mean interval with a response.

        ``is_full`` tells whether all slots are still busy after it.
        """
        if self.saturated_since is not None:
            self.answers += 1
            weight = max(defaults.PACE_WEIGHT, 1 / self.answers)
            self.pace += weight * (now - self.saturated_since - self.pace)
        self.saturated_since = now if is_full else None

    def note_refused(self, priority: int, now: float) -> None:
        """Count a new flow that is refused here and by other agents."""
        self.last_refusal_at = now
        count = _get_count(self.demand, priority, defaults.LOAD_SECONDS, now)
        count.add(now, defaults.REFUSED_WEIGHT)

    def note_taken(self, priority: int, now: float) -> None:
        """Count a new flow that is admitted."""
        _get_count(self.demand, priority, defaults.LOAD_SECONDS, now).add(now)
        span = defaults.OVERTAKING_SECONDS
        _get_count(self.admitted, priority, span, now).add(now)

    def compute_spare(self, priority: int, now: float) -> float:
        """Return the share of capacity that the usual load leaves free.

        The load is that of flows of this or a higher priority.
        """
        demand = sum(
            count.compute_rate(now, defaults.FEWEST_LOAD_SECONDS)
            for other, count in self.demand.items()
            if other <= priority
        )
        return max(1 - demand * self.pace, 0)

    def compute_higher_load(self, priority: int, now: float) -> float:
        """Return the share of capacity that higher priorities use."""
        higher = sum(
            count.compute_rate(now, defaults.OVERTAKING_SECONDS)
            for other, count in self.admitted.items()
            if other < priority
        )
        return higher * self.pace

    def is_pressed(self, now: float) -> bool:
        """Return whether flows were refused recently."""
        return now - self.last_refusal_at < defaults.PRESSED_SECONDS


def _get_count(
    counts: dict[int, DecayingCount],
    priority: int,
    span: float,
    now: float,
) -> DecayingCount:
    count = counts.get(priority)
    if count is None:
        count = DecayingCount(span, now)
        counts[priority] = count
    return count
