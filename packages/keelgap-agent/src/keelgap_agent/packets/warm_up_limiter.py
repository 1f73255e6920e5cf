"""Rate limit for new flows of an upstream that is not warm yet.

Only the agent sees all new flows of its upstream, from whichever balancer, so
only the agent can enforce a limit over every window of a second.
"""

from collections import deque

from keelgap_agent.packets import defaults

__all__ = ('WarmUpLimiter',)


class WarmUpLimiter:
    """Sliding-window limit on the new flows of an upstream during warm-up."""

    def __init__(self, excess: float, slack: float, now: float) -> None:
        """Allow ``excess`` times the configured rate, plus ``slack`` flows."""
        self.excess = excess
        self.slack = slack
        #: New flows per second that the upstream can take until it is warm; 0
        #: if no rate is configured.
        self.rate: float = 0
        #: When the warm-up ends, and with it the limit.
        self.warm_at = float('-inf')
        #: When new flows were forwarded to the upstream, within one window.
        self.forwarded_at: deque[float] = deque()
        #: Until when flows forwarded by another agent process may count.
        self.unknown_until = float('-inf')
        self.started_at = now

    def assume_full_window(self) -> None:
        """Assume that another agent process has filled the first window.

        So with a configured rate no flow is allowed before the window ends.
        """
        self.unknown_until = self.started_at + defaults.WARM_UP_WINDOW_SECONDS

    def configure(self, rate: float, warm_at: float) -> None:
        """Set the rate in new flows per second, and when the limit ends."""
        self.rate = rate
        self.warm_at = warm_at

    def is_at_limit(self, now: float) -> bool:
        """Return whether the upstream must not get another flow now.

        Without a configured rate there is no limit.
        """
        if not self.rate or now >= self.warm_at:
            return False
        if now < self.unknown_until:
            return True
        self._expire(now)
        limit = int(self.rate * self.excess + self.slack)
        return len(self.forwarded_at) >= limit

    def record_flow(self, now: float) -> None:
        """Count a new flow that is forwarded to the upstream."""
        self._expire(now)
        self.forwarded_at.append(now)

    def _expire(self, now: float) -> None:
        """Discard flows that were forwarded before the present window."""
        window_start = now - defaults.WARM_UP_WINDOW_SECONDS
        while self.forwarded_at and self.forwarded_at[0] <= window_start:
            self.forwarded_at.popleft()
