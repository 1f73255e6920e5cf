"""What an agent learns of its upstream's room: pace and demand."""

from keelgap.packets.decay import DecayingCount
from keelgap_agent.packets.room import defaults

__all__ = ('Room',)


class Room:
    """How fast the upstream answers, and how much is asked of it."""

    def __init__(self, now: float) -> None:
        """Start without any answer."""
        #: Mean seconds from one answer to the next while more is to do.
        self.pace: float = 0
        self.answers = 0
        #: Since the latest answer, if there was more to do after it.
        self.full_since: float | None = None
        #: By priority, an octet: new flows taken, and a part of each that was
        #: refused here.
        self.asked: dict[int, DecayingCount] = {}
        #: New flows taken lately, by priority.
        self.taken: dict[int, DecayingCount] = {}
        #: When a flow was refused last for want of time.
        self.refused_at = float('-inf')
        #: When a late request went before others last.
        self.rescued_at = float('-inf')

    @property
    def is_known(self) -> bool:
        """Return whether the pace says how long requests wait."""
        return self.answers >= defaults.FEWEST_ANSWERS

    def note_answer(self, now: float, *, is_full: bool) -> None:
        """Learn from an answer, after which all slots are at work or not."""
        if self.full_since is not None:
            self.answers += 1
            weight = max(defaults.PACE_WEIGHT, 1 / self.answers)
            self.pace += weight * (now - self.full_since - self.pace)
        self.full_since = now if is_full else None

    def note_refused(self, priority: int, now: float) -> None:
        """Count a new flow that is refused, here and elsewhere."""
        self.refused_at = now
        count = _get_count(self.asked, priority, defaults.LOAD_SECONDS, now)
        count.add(now, defaults.REFUSED_WEIGHT)

    def note_taken(self, priority: int, now: float) -> None:
        """Count a new flow that is taken."""
        _get_count(self.asked, priority, defaults.LOAD_SECONDS, now).add(now)
        span = defaults.OVERTAKING_SECONDS
        _get_count(self.taken, priority, span, now).add(now)

    def compute_spare(self, priority: int, now: float) -> float:
        """Return the share that flows as urgent usually do not ask for."""
        asked = sum(
            count.compute_rate(now, defaults.FEWEST_LOAD_SECONDS)
            for other, count in self.asked.items()
            if other <= priority
        )
        return max(1 - asked * self.pace, 0)

    def compute_higher_load(self, priority: int, now: float) -> float:
        """Return the share that those take who go before a priority."""
        higher = sum(
            count.compute_rate(now, defaults.OVERTAKING_SECONDS)
            for other, count in self.taken.items()
            if other < priority
        )
        return higher * self.pace

    def is_pressed(self, now: float) -> bool:
        """Return whether flows were refused a moment ago."""
        return now - self.refused_at < defaults.PRESSED_SECONDS


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
