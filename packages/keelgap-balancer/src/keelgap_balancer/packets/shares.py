"""Equal shares for callers while there is too little room.

A caller is an address.  What counts is what it got lately, not what it asked
for: its flows that were not refused.  While agents refuse flows for want of
room, each priority of a service has a level, and who got more than that is
refused before others.  The level falls while callers below it are refused and
rises while they are taken, as max-min fairness asks, so nobody gets more by
asking more often, and who was refused goes first when it tries again.

Each balancer sees the flows that the routers lead to it, about the same part
of each caller's, and keeps levels of its own: the sums of several balancers
are in the same proportion.
"""

from typing import Final, NamedTuple

from keelgap.packets.decay import DecayingCount
from keelgap_balancer.packets import defaults

__all__ = ('CallerShares', 'Queue')

_FEWEST: Final = 1.0


class Queue(NamedTuple):
    """Flows that compete as equals."""

    service: str
    priority: int


class _Level:
    """How many recent flows of a caller there is room for."""

    __slots__ = ('flows', 'pressed_at', 'raised_at')

    def __init__(self) -> None:
        """Start without pressure."""
        self.flows: float = 0
        self.pressed_at = float('-inf')
        self.raised_at = float('-inf')

    def is_pressed(self, now: float) -> bool:
        """Return whether flows were refused a moment ago."""
        return now - self.pressed_at < defaults.PRESSED_SECONDS


class CallerShares:
    """What each caller got lately, in a table of bounded size."""

    def __init__(self) -> None:
        """Start empty."""
        #: By queue and the caller's host, those longest silent first.
        self.counts: dict[tuple[Queue, bytes], DecayingCount] = {}
        #: By queue.
        self.levels: dict[Queue, _Level] = {}

    def note_offered(self, queue: Queue, host: bytes, now: float) -> None:
        """Count a flow that agents are asked to take."""
        key = (queue, host)
        count = self.counts.pop(key, None)
        if count is None:
            count = DecayingCount(defaults.SHARE_SECONDS, now)
            if len(self.counts) >= defaults.MAX_CALLERS:
                self.counts.pop(next(iter(self.counts)))
        level = self.get_level(queue, now)
        if level is not None:
            self.levels[queue].flows = level * defaults.LEVEL_RISE
        count.add(now)
        self.counts[key] = count

    def note_refused(self, queue: Queue, host: bytes, now: float) -> None:
        """Take back a flow that was offered; lower a level that has no room."""
        count = self.counts.get((queue, host))
        if count is not None:
            count.add(now, -1)
        level = self.levels.setdefault(queue, _Level())
        if not level.is_pressed(now):
            level.flows = defaults.LEVEL_START * self._get_mean(queue, now)
        if self.read(queue, host, now) < level.flows:
            level.pressed_at = now
            level.flows = max(level.flows * defaults.LEVEL_FALL, _FEWEST)

    def note_idle(self, queue: Queue, now: float) -> None:
        """Raise a level that leaves an upstream without work.

        Not with each flow that comes: many come from those who press.
        """
        level = self.levels[queue]
        if now - level.raised_at >= defaults.LEVEL_PAUSE_SECONDS:
            level.raised_at = now
            level.flows *= defaults.LEVEL_JUMP

    def get_level(self, queue: Queue, now: float) -> float | None:
        """Return the level of a queue; None without pressure."""
        level = self.levels.get(queue)
        if level is None or not level.is_pressed(now):
            return None
        return level.flows

    def read(self, queue: Queue, host: bytes, now: float) -> float:
        """Return how much a caller got lately."""
        count = self.counts.get((queue, host))
        return 0 if count is None else count.read(now)

    def _get_mean(self, queue: Queue, now: float) -> float:
        counts = [
            count.read(now)
            for (other, _), count in self.counts.items()
            if other == queue
        ]
        return sum(counts) / len(counts) if counts else _FEWEST
