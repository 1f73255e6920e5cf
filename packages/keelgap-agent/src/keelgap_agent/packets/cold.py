"""How many new flows a cold upstream gets.

Only the agent sees all that its upstream is given, whoever sent it, so it
alone can keep a bound on any span of a second.
"""

from collections import deque

from keelgap_agent.packets import defaults

__all__ = ('ColdBound',)


class ColdBound:
    """The bound on new flows of an upstream that is not warm yet."""

    def __init__(self, excess: float, slack: float, now: float) -> None:
        """Bound by a multiple of what the upstream bears, and some more."""
        self.excess = excess
        self.slack = slack
        #: New flows a second that the upstream bears; 0 if none are stated.
        self.per_second: float = 0
        self.until = float('-inf')
        #: When new flows were passed to the upstream, within one window.
        self.passed: deque[float] = deque()
        #: Until when another agent may have passed some.
        self.unknown_until = float('-inf')
        self.began = now

    def note_other_agent(self) -> None:
        """Count on another agent's having filled the present window."""
        self.unknown_until = self.began + defaults.COLD_WINDOW_SECONDS

    def take(self, per_second: float, until: float) -> None:
        """Take what the operators state, and when the upstream is warm."""
        self.per_second = per_second
        self.until = until

    def is_full(self, now: float) -> bool:
        """Return whether the upstream must not get another flow now.

        Where no rate is stated there is no bound.
        """
        if not self.per_second or now >= self.until:
            return False
        if now < self.unknown_until:
            return True
        self._forget_old(now)
        most = int(self.per_second * self.excess + self.slack)
        return len(self.passed) >= most

    def note_passed(self, now: float) -> None:
        """Count a new flow that goes to the upstream."""
        self._forget_old(now)
        self.passed.append(now)

    def _forget_old(self, now: float) -> None:
        limit = now - defaults.COLD_WINDOW_SECONDS
        while self.passed and self.passed[0] <= limit:
            self.passed.popleft()
