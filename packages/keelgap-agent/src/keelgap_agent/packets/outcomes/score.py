"""How much the outcomes of requests speak against an upstream.

A cumulative sum (Page 1954): a failure adds by what it proves, a good answer
takes some off, and the sum never falls below 0.  Errors that an upstream
answers with are summed for each route, since an application may fail on one
route only.
"""

from enum import Enum, unique
from types import MappingProxyType
from typing import Final

from keelgap_agent.packets.outcomes import defaults

__all__ = ('Outcome', 'Score')


@unique
class Outcome(Enum):
    """How a request ended at the upstream."""

    ANSWERED = 'answered'
    #: The upstream had room, and said that it did not run the request.
    REFUSED = 'refused'
    #: An answer with status 5xx.
    ERROR = 'error'
    #: The flow was reset with the request at work.
    RESET = 'reset'
    #: The flow was closed before the answer began.
    CLOSED = 'closed'
    #: The upstream no longer knew a flow that it had accepted.
    FORGOTTEN = 'forgotten'
    #: No answer for much longer than usual.
    SILENT = 'silent'
    #: The opening packet of a flow was not answered.
    UNOPENED = 'unopened'


_ROUTE_WEIGHTS: Final = MappingProxyType({
    Outcome.REFUSED: defaults.REFUSED_WEIGHT,
    Outcome.ERROR: defaults.ERROR_WEIGHT,
})


class _RouteScore:
    """The sum of one route's errors."""

    __slots__ = ('good_at', 'in_a_row', 'total')

    def __init__(self) -> None:
        self.total: float = 0
        #: Good answers since the latest error.
        self.in_a_row = 0
        self.good_at = float('-inf')

    def is_served(self, now: float) -> bool:
        """Return whether requests of this route are answered well."""
        return (
            self.in_a_row >= defaults.OTHER_ROUTE_ANSWERS
            and now - self.good_at < defaults.OTHER_ROUTE_SECONDS
        )


class Score:
    """What the outcomes of all requests prove together."""

    __slots__ = ('_by_route', '_lost')

    def __init__(self, lost: float = 0) -> None:
        """Start as an upstream of which nothing bad is known."""
        self._lost = lost
        self._by_route: dict[bytes, _RouteScore] = {}

    def note_good(self, route: bytes, now: float) -> None:
        """Note a good answer."""
        self._lost = max(self._lost - defaults.GOOD_WEIGHT, 0)
        score = self._find(route)
        score.total = max(score.total - defaults.GOOD_WEIGHT, 0)
        score.in_a_row += 1
        score.good_at = now

    def note_failure(self, outcome: Outcome, route: bytes) -> None:
        """Note a failed request."""
        weight = _ROUTE_WEIGHTS.get(outcome)
        if weight is None:
            self._lost = _add(self._lost, defaults.LOST_WEIGHT)
            return
        score = self._find(route)
        score.total = _add(score.total, weight)
        score.in_a_row = 0

    def take_back_silence(self) -> None:
        """Note that a request which counted as silent was answered."""
        self._lost = max(self._lost - defaults.LOST_WEIGHT, 0)

    def compute(self, now: float) -> float:
        """Return the sum, with each route bounded if others are served."""
        return self._lost + sum(
            self._bound(route, score.total, now)
            for route, score in self._by_route.items()
            if score.total
        )

    def _bound(self, route: bytes, total: float, now: float) -> float:
        if total <= defaults.ONE_ROUTE_SCORE:
            return total
        is_other_served = any(
            score.is_served(now)
            for other, score in self._by_route.items()
            if other != route
        )
        return defaults.ONE_ROUTE_SCORE if is_other_served else total

    def _find(self, route: bytes) -> _RouteScore:
        score = self._by_route.get(route)
        if score is None:
            if len(self._by_route) >= defaults.MAX_ROUTES:
                return next(reversed(self._by_route.values()))
            score = _RouteScore()
            self._by_route[route] = score
        return score


def _add(total: float, weight: float) -> float:
    return min(total + weight, defaults.CEILING)
