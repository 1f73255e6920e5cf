"""Score an upstream by the outcomes of its requests; higher is worse.

The score is a cumulative sum (CUSUM, Page 1954).  A failure adds its weight
of evidence, a good response subtracts some, and the sum never falls below 0.
Error responses are summed by route, since an application may fail on one
route only.
"""

from enum import Enum, unique
from types import MappingProxyType
from typing import Final

from keelgap_agent.packets.outlier_ejection import defaults

__all__ = ('Outcome', 'OutlierScore')


@unique
class Outcome(Enum):
    """How a request ended at the upstream."""

    ANSWERED = 'answered'
    #: The upstream had capacity, but said that it did not run the request.
    REFUSED = 'refused'
    #: A response with a 5xx status.
    ERROR = 'error'
    #: The flow was reset while the request was in flight.
    RESET = 'reset'
    #: The flow was closed before the response began.
    CLOSED = 'closed'
    #: The upstream lost a flow that it had accepted.
    FORGOTTEN = 'forgotten'
    #: No response for much longer than usual.
    SILENT = 'silent'
    #: The opening packet of a flow got no reply.
    UNOPENED = 'unopened'


_ROUTE_WEIGHTS: Final = MappingProxyType({
    Outcome.REFUSED: defaults.REFUSED_WEIGHT,
    Outcome.ERROR: defaults.ERROR_WEIGHT,
})


class _RouteScore:
    """The sum of the weights of one route's error responses."""

    __slots__ = ('last_good_at', 'consecutive_good', 'total')

    def __init__(self) -> None:
        self.total: float = 0
        #: Good responses since the latest error.
        self.consecutive_good = 0
        self.last_good_at = float('-inf')

    def is_served(self, now: float) -> bool:
        """Return whether requests of this route currently succeed."""
        return (
            self.consecutive_good >= defaults.SERVED_ROUTE_RESPONSES
            and now - self.last_good_at < defaults.SERVED_ROUTE_SECONDS
        )


class OutlierScore:
    """The combined evidence of all outcomes of an upstream's requests."""

    __slots__ = ('_by_route', '_lost_total')

    def __init__(self, lost: float = 0) -> None:
        """Start without errors; ``lost`` is the score for lost requests."""
        self._lost_total = lost
        self._by_route: dict[bytes, _RouteScore] = {}

    def record_success(self, route: bytes, now: float) -> None:
        """Record a good response on a route.

        This lowers the score of the route and the score for lost requests.
        """
        self._lost_total = max(self._lost_total - defaults.SUCCESS_WEIGHT, 0)
        score = self._get_route_score(route)
        score.total = max(score.total - defaults.SUCCESS_WEIGHT, 0)
        score.consecutive_good += 1
        score.last_good_at = now

    def record_failure(self, outcome: Outcome, route: bytes) -> None:
        """Add the weight of a failed request.

        Errors and refusals are summed by route, lost requests in one sum.
        """
        weight = _ROUTE_WEIGHTS.get(outcome)
        if weight is None:
            self._lost_total = _add_capped(
                self._lost_total, defaults.LOST_WEIGHT
            )
            return
        score = self._get_route_score(route)
        score.total = _add_capped(score.total, weight)
        score.consecutive_good = 0

    def undo_timeout(self) -> None:
        """Undo a failure: a request counted as silent got a response."""
        self._lost_total = max(self._lost_total - defaults.LOST_WEIGHT, 0)

    def compute(self, now: float) -> float:
        """Return the score: lost requests, plus the error responses by route.

        The part of one route is limited while requests of another one succeed.
        """
        return self._lost_total + sum(
            self._limit_route_total(route, score.total, now)
            for route, score in self._by_route.items()
            if score.total
        )

    def _limit_route_total(
        self, route: bytes, total: float, now: float
    ) -> float:
        """Return a route's total, limited while another route is served."""
        if total <= defaults.MAX_SINGLE_ROUTE_SCORE:
            return total
        is_other_served = any(
            score.is_served(now)
            for other, score in self._by_route.items()
            if other != route
        )
        return defaults.MAX_SINGLE_ROUTE_SCORE if is_other_served else total

    def _get_route_score(self, route: bytes) -> _RouteScore:
        """Return the score of a route; too many routes share the last one."""
        score = self._by_route.get(route)
        if score is None:
            if len(self._by_route) >= defaults.MAX_ROUTES:
                return next(reversed(self._by_route.values()))
            score = _RouteScore()
            self._by_route[route] = score
        return score


def _add_capped(total: float, weight: float) -> float:
    return min(total + weight, defaults.MAX_SCORE)
