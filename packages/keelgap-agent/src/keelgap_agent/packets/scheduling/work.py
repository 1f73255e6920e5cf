"""What an upstream works on, as its agent counts it."""

from typing import Protocol

from keelgap_agent.packets.scheduling import defaults

__all__ = ('WorkingFlow', 'Workload')


class WorkingFlow(Protocol):
    """A flow with a request at work."""

    busy_since: float | None


class Workload:
    """The flows with a request at work, the longest first."""

    __slots__ = ('flows', 'passed_over', 'served_at')

    def __init__(self) -> None:
        """Start without work."""
        self.flows: dict[WorkingFlow, None] = {}
        #: Requests passed on, while some waited too long, since one of these.
        self.passed_over = 0
        #: When a request that waited was passed on last, by priority.
        self.served_at: dict[int, float] = {}

    def count_current(self, now: float, answer: float) -> int:
        """Return how many are at work and not overdue.

        An answer takes ``answer`` seconds.
        """
        patience = max(
            defaults.OVERDUE_SECONDS,
            defaults.OVERDUE_ANSWERS * answer,
        )
        overdue = 0
        for flow in self.flows:
            since = flow.busy_since
            if since is None or now - since < patience:
                break
            overdue += 1
        return len(self.flows) - overdue
