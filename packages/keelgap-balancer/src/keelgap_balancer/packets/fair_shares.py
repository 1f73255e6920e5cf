"""Max-min fair shares for callers under overload.

A caller is identified by its address.  Its usage is the number of its recent
flows that were not refused; refused flows do not count.  While agents refuse
flows for lack of capacity, each priority of a service has a level, and callers
whose usage exceeds it are refused before others.  The level falls while
callers below it are refused and rises while they are accepted, as max-min
fairness requires.  So no caller gains by sending more requests, and a caller
that was refused goes first when it tries again.

Each balancer sees the flows that the routers send to it, which are about the
same fraction of the flows of each caller, and keeps its own levels.  The sums
over several balancers are in the same proportion.
"""

from typing import Final, NamedTuple

from keelgap.packets.decay import DecayingCounter
from keelgap_balancer.packets import defaults

__all__ = ('CallerShares', 'Queue')

_MIN_FLOWS: Final = 1.0


class Queue(NamedTuple):
    """Flows of one service and priority, which compete as equals."""

    service: str
    priority: int


class _FairLevel:
    """Number of recent flows above which callers of one queue are refused."""

    __slots__ = ('flows', 'last_pressure_at', 'raised_at')

    def __init__(self) -> None:
        """Create a level without pressure."""
        #: The level itself.
        self.flows: float = 0
        #: When a caller below the level was last refused.
        self.last_pressure_at = float('-inf')
        #: When the level was last raised for unused capacity.
        self.raised_at = float('-inf')

    def is_under_pressure(self, now: float) -> bool:
        """Return whether a flow below the level was refused recently.

        That is within PRESSURE_SECONDS.  Otherwise the level has no effect.
        """
        return now - self.last_pressure_at < defaults.PRESSURE_SECONDS


class CallerShares:
    """Recent flows of each caller, in a table of bounded size."""

    def __init__(self) -> None:
        """Create an empty table."""
        #: Recent flows by queue and host of the caller, least recently active
        #: first.
        self.counts: dict[tuple[Queue, bytes], DecayingCounter] = {}
        #: Levels of the queues for which agents refused flows.
        self.levels: dict[Queue, _FairLevel] = {}

    def record_offered(self, queue: Queue, host: bytes, now: float) -> None:
        """Count a flow that is offered, and raise the level of its queue.

        The level is raised only while it applies.
        """
        key = (queue, host)
        count = self.counts.pop(key, None)
        if count is None:
            count = DecayingCounter(defaults.SHARE_DECAY_SECONDS, now)
            if len(self.counts) >= defaults.MAX_CALLERS:
                self.counts.pop(next(iter(self.counts)))
        level = self.get_level(queue, now)
        if level is not None:
            self.levels[queue].flows = level * defaults.LEVEL_RISE
        count.add(now)
        self.counts[key] = count

    def record_refused(self, queue: Queue, host: bytes, now: float) -> None:
        """Subtract a refused flow, and lower the level if it is too high.

        The level is too high if a caller below it was refused.
        """
        count = self.counts.get((queue, host))
        if count is not None:
            count.add(now, -1)
        level = self.levels.setdefault(queue, _FairLevel())
        if not level.is_under_pressure(now):
            level.flows = defaults.LEVEL_START * self._get_mean(queue, now)
        if self.get_recent_flows(queue, host, now) < level.flows:
            level.last_pressure_at = now
            level.flows = max(level.flows * defaults.LEVEL_FALL, _MIN_FLOWS)

    def raise_level(self, queue: Queue, now: float) -> None:
        """Raise a level that leaves upstream capacity unused.

        The level is raised at intervals and not with each flow, as callers
        with many requests would raise it too fast.
        """
        level = self.levels[queue]
        if now - level.raised_at >= defaults.LEVEL_PAUSE_SECONDS:
            level.raised_at = now
            level.flows *= defaults.LEVEL_JUMP

    def get_level(self, queue: Queue, now: float) -> float | None:
        """Return the level of a queue, or None while none applies."""
        level = self.levels.get(queue)
        if level is None or not level.is_under_pressure(now):
            return None
        return level.flows

    def get_recent_flows(self, queue: Queue, host: bytes, now: float) -> float:
        """Return how many recent flows of a caller were not refused.

        Older flows count less.
        """
        count = self.counts.get((queue, host))
        return 0 if count is None else count.read(now)

    def _get_mean(self, queue: Queue, now: float) -> float:
        """Return the mean number of recent flows of the callers in a queue."""
        counts = [
            count.read(now)
            for (other, _), count in self.counts.items()
            if other == queue
        ]
        return sum(counts) / len(counts) if counts else _MIN_FLOWS
