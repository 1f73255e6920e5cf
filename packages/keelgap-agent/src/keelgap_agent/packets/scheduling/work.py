"""What an upstream works on, as its agent counts it."""

from typing import Protocol

from keelgap_agent.packets.scheduling import defaults

__all__ = ('WorkingFlow', 'Workload')


class WorkingFlow(Protocol):
    """A flow with a request at work."""

    busy_since: float | None


class Workload:
    """The flows with a request at work, the longest first."""

    __slots__ = (
        'answer',
        'answered_at',
        'flows',
        'passed_over',
        'served_at',
    )

    def __init__(self) -> None:
        """Start without work."""
        self.flows: dict[WorkingFlow, None] = {}
        #: Requests passed on, while some waited too long, since one of these.
        self.passed_over = 0
        #: When a request that waited was passed on last, by priority.
        self.served_at: dict[int, float] = {}
        #: The mean time to an answer, and when it was seen to change.
        self.answer: float = 0
        self.answered_at = float('-inf')

    def note_answers(self, now: float, answer: float) -> None:
        """Note the mean time to an answer, which changes with each."""
        if answer != self.answer:
            self.answer = answer
            self.answered_at = now

    def count_current(self, now: float) -> int:
        """Return how many are at work and not overdue.

        An upstream that answers nothing gets nothing more for that.
        """
        patience = max(
            defaults.OVERDUE_SECONDS,
            defaults.OVERDUE_ANSWERS * self.answer,
        )
        at_work = len(self.flows)
        if now - self.answered_at >= patience:
            return at_work
        overdue = 0
        for flow in self.flows:
            since = flow.busy_since
            if since is None or now - since < patience:
                break
            overdue += 1
        return at_work - overdue
