"""Learns for each route whether its flows are short or long.

A short flow brings a single request, a long one brings many.  The share of
long flows is learned from a few flows of each route at a time: a flow that its
caller ends soon is a short one.
"""

from typing import Final

from keelgap_balancer.packets.latency_placement import defaults

__all__ = ('FlowDurations',)

#: Share of long flows assumed for a route without any data.
_DEFAULT_SHARE: Final = 0.5


class FlowDurations:
    """Learned shares of long flows by route, and the flows watched."""

    def __init__(self) -> None:
        """Start without flows."""
        #: Route and start time of each flow that is watched, by its key.
        self.watched: dict[bytes, tuple[str, float]] = {}
        #: Number of watched flows by route name.
        self.counts: dict[str, int] = {}
        #: Learned share of long flows, from 0 to 1, by route name.
        self.long_flow_shares: dict[str, float] = {}

    def watch_flow(self, key: bytes, route_name: str, now: float) -> None:
        """Watch a new flow, unless enough flows of its route are watched."""
        count = self.counts.get(route_name, 0)
        if count < defaults.MAX_WATCHED_FLOWS and key not in self.watched:
            self.counts[route_name] = count + 1
            self.watched[key] = route_name, now

    def record_end(self, key: bytes, now: float) -> None:
        """Learn from a watched flow that its caller ended."""
        watched = self.watched.pop(key, None)
        if watched is not None:
            route_name, started_at = watched
            is_long = now - started_at >= defaults.LONG_FLOW_SECONDS
            self._learn(route_name, is_long=is_long)

    def forget(self, key: bytes) -> None:
        """Stop watching a flow that no agent accepted."""
        watched = self.watched.pop(key, None)
        if watched is not None:
            self._decrement_count(watched[0])

    def expire(self, now: float) -> None:
        """Learn from watched flows that exceed LONG_FLOW_SECONDS.

        They count as long, and are no longer watched.
        """
        oldest_start = now - defaults.LONG_FLOW_SECONDS
        expired = [
            key
            for key, (_, started_at) in self.watched.items()
            if started_at < oldest_start
        ]
        for key in expired:
            route_name, _ = self.watched.pop(key)
            self._learn(route_name, is_long=True)

    def get_long_flow_share(self, route_name: str) -> float:
        """Return the share of long flows among those of a route, 0 to 1."""
        return self.long_flow_shares.get(route_name, _DEFAULT_SHARE)

    def _learn(self, route_name: str, *, is_long: bool) -> None:
        """Adjust the share of a route for a flow found to be short or long."""
        self._decrement_count(route_name)
        share = self.get_long_flow_share(route_name)
        weight = defaults.LONG_FLOW_SHARE_WEIGHT
        if len(self.long_flow_shares) >= defaults.MAX_LEARNED_ROUTES:
            # It is full of removed routes.
            self.long_flow_shares.clear()
        self.long_flow_shares[route_name] = share + weight * (is_long - share)

    def _decrement_count(self, route_name: str) -> None:
        """Subtract one from the number of watched flows of a route."""
        self.counts[route_name] -= 1
        if not self.counts[route_name]:
            self.counts.pop(route_name)
