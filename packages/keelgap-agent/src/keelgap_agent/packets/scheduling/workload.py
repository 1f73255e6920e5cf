"""Requests in flight at an upstream, as counted by its agent."""

from typing import Protocol

from keelgap_agent.packets.scheduling import defaults

__all__ = ('BusyFlow', 'Workload')


class BusyFlow(Protocol):
    """A flow with a request in flight."""

    busy_since: float | None


class Workload:
    """Flows with a request in flight, and when queued requests were served."""

    __slots__ = (
        'mean_response_time',
        'last_response_at',
        'flows',
        'released_since_starved',
        'last_served_at',
    )

    def __init__(self) -> None:
        """Start without any flow."""
        #: Flows with a request in flight, the one busy for longest first.
        self.flows: dict[BusyFlow, None] = {}
        #: Requests sent to the upstream since the latest starved one, while
        #: others were starved.
        self.released_since_starved = 0
        #: When a queued request was last sent to the upstream, by priority.
        self.last_served_at: dict[int, float] = {}
        #: The mean response time in seconds, and when it was seen to change.
        self.mean_response_time: float = 0
        self.last_response_at = float('-inf')

    def record_mean_response(
        self, now: float, mean_response_time: float
    ) -> None:
        """Record the mean response time; a change shows a new response."""
        if mean_response_time != self.mean_response_time:
            self.mean_response_time = mean_response_time
            self.last_response_at = now

    def count_not_overdue(self, now: float) -> int:
        """Return how many flows have a request in flight that is not overdue.

        If the upstream has stopped responding, overdue requests count as well,
        so that it gets no more than before.
        """
        overdue_after = max(
            defaults.MIN_OVERDUE_SECONDS,
            defaults.OVERDUE_RESPONSE_FACTOR * self.mean_response_time,
        )
        busy = len(self.flows)
        if now - self.last_response_at >= overdue_after:
            return busy
        overdue = 0
        for flow in self.flows:
            busy_since = flow.busy_since
            if busy_since is None or now - busy_since < overdue_after:
                break
            overdue += 1
        return busy - overdue
