"""Estimates of an upstream's throughput, and of the demand for it."""

from keelgap.packets.decay import DecayingCounter
from keelgap_agent.packets.capacity import defaults

__all__ = ('CapacityEstimate',)


class CapacityEstimate:
    """How fast the upstream responds, and how many requests arrive for it."""

    def __init__(self, now: float) -> None:
        """Start without any response."""
        #: Mean seconds from one response to the next while all slots are busy.
        self.response_interval: float = 0
        #: Number of responses in that mean.
        self.responses = 0
        #: Time of the latest response if all slots were busy after it.
        self.saturated_since: float | None = None
        #: New flows by priority (one octet): those admitted count fully, those
        #: refused here count in part.
        self.demand: dict[int, DecayingCounter] = {}
        #: Recently admitted new flows by priority.
        self.admitted: dict[int, DecayingCounter] = {}
        #: When a flow was last refused because it would miss its deadline.
        self.last_refusal_at = float('-inf')
        #: When a late request last went before others.
        self.last_rescue_at = float('-inf')

    @property
    def has_estimate(self) -> bool:
        """Return whether there are enough responses to predict waits."""
        return self.responses >= defaults.MIN_RESPONSES

    def record_response(self, now: float, *, is_full: bool) -> None:
        """Update the mean interval between responses while all slots are busy.

        ``is_full`` tells whether all slots are still busy after it.
        """
        if self.saturated_since is not None:
            self.responses += 1
            weight = max(defaults.RESPONSE_INTERVAL_WEIGHT, 1 / self.responses)
            self.response_interval += weight * (
                now - self.saturated_since - self.response_interval
            )
        self.saturated_since = now if is_full else None

    def record_refusal(self, priority: int, now: float) -> None:
        """Count a refused new flow, in part: other agents count it as well."""
        self.last_refusal_at = now
        count = _get_counter(
            self.demand, priority, defaults.LOAD_WINDOW_SECONDS, now
        )
        count.add(now, defaults.REFUSED_WEIGHT)

    def record_admitted(self, priority: int, now: float) -> None:
        """Count an admitted new flow, in the usual load and the recent one."""
        _get_counter(
            self.demand, priority, defaults.LOAD_WINDOW_SECONDS, now
        ).add(now)
        span = defaults.HIGHER_PRIORITY_WINDOW_SECONDS
        _get_counter(self.admitted, priority, span, now).add(now)

    def compute_spare_share(self, priority: int, now: float) -> float:
        """Return the share of capacity (0 to 1) that the usual load leaves.

        The load is that of new flows of this or a higher priority.
        """
        demand = sum(
            count.compute_rate(now, defaults.MIN_LOAD_SECONDS)
            for other, count in self.demand.items()
            if other <= priority
        )
        return max(1 - demand * self.response_interval, 0)

    def compute_higher_priority_load(self, priority: int, now: float) -> float:
        """Return the share of capacity that flows of higher priority use."""
        higher = sum(
            count.compute_rate(now, defaults.HIGHER_PRIORITY_WINDOW_SECONDS)
            for other, count in self.admitted.items()
            if other < priority
        )
        return higher * self.response_interval

    def is_overloaded(self, now: float) -> bool:
        """Return whether a flow was refused recently for lack of time."""
        return now - self.last_refusal_at < defaults.OVERLOAD_SECONDS


def _get_counter(
    counts: dict[int, DecayingCounter],
    priority: int,
    span: float,
    now: float,
) -> DecayingCounter:
    """Return a priority's counter; a new one covers ``span`` seconds."""
    count = counts.get(priority)
    if count is None:
        count = DecayingCounter(span, now)
        counts[priority] = count
    return count
