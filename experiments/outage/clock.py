"""A virtual clock, and what is to happen when."""

import heapq
from collections.abc import Callable
from itertools import count
from typing import NamedTuple

__all__ = ('VirtualClock',)


class _Call(NamedTuple):
    when: float
    number: int
    act: Callable[[], None]


class VirtualClock:
    """Time stands still while a call runs, and jumps to the next one."""

    def __init__(self) -> None:
        """Start at 0 with nothing planned."""
        self.now: float = 0
        self.calls: list[_Call] = []
        self.numbers = count()

    def later(self, when: float, act: Callable[[], None]) -> None:
        """Call at a time; calls of one time keep their order."""
        heapq.heappush(self.calls, _Call(when, next(self.numbers), act))

    def run(self, end: float) -> None:
        """Make all calls that are planned until a time."""
        while self.calls and self.calls[0].when <= end:
            call = heapq.heappop(self.calls)
            self.now = call.when
            call.act()
