"""How much work a flow of a route brings: one request, or many for long.

Learned from a few flows of each route at a time: those whose callers end
them soon brought what they had to bring at once.
"""

from typing import Final

from keelgap_balancer.packets.placing import defaults

__all__ = ('FlowSpans',)

#: What is assumed of a route that nothing is known of.
_UNKNOWN: Final = 0.5


class FlowSpans:
    """Shares of long flows, by the name of the route."""

    def __init__(self) -> None:
        """Start without a flow."""
        #: Route and beginning of each flow that is watched, by its key.
        self.watched: dict[bytes, tuple[str, float]] = {}
        self.counts: dict[str, int] = {}
        self.long_shares: dict[str, float] = {}

    def watch(self, key: bytes, route_name: str, now: float) -> None:
        """Note a new flow, unless enough of its route are watched."""
        count = self.counts.get(route_name, 0)
        if count < defaults.WATCHED_FLOWS and key not in self.watched:
            self.counts[route_name] = count + 1
            self.watched[key] = route_name, now

    def note_end(self, key: bytes, now: float) -> None:
        """Note that the caller ended a flow."""
        watched = self.watched.pop(key, None)
        if watched is not None:
            route_name, began = watched
            is_long = now - began >= defaults.LONG_FLOW_SECONDS
            self._learn(route_name, is_long=is_long)

    def forget(self, key: bytes) -> None:
        """Learn nothing from a flow that nobody took."""
        watched = self.watched.pop(key, None)
        if watched is not None:
            self._release(watched[0])

    def expire(self, now: float) -> None:
        """Learn from flows that are open for long."""
        limit = now - defaults.LONG_FLOW_SECONDS
        old = [key for key, (_, began) in self.watched.items() if began < limit]
        for key in old:
            route_name, _ = self.watched.pop(key)
            self._learn(route_name, is_long=True)

    def get_long_share(self, route_name: str) -> float:
        """Return the share of long flows among those of a route."""
        return self.long_shares.get(route_name, _UNKNOWN)

    def _learn(self, route_name: str, *, is_long: bool) -> None:
        self._release(route_name)
        share = self.get_long_share(route_name)
        weight = defaults.FLOW_SPAN_WEIGHT
        if len(self.long_shares) >= defaults.MAX_SPANS:
            # Names of dropped routes fill it.
            self.long_shares.clear()
        self.long_shares[route_name] = share + weight * (is_long - share)

    def _release(self, route_name: str) -> None:
        self.counts[route_name] -= 1
        if not self.counts[route_name]:
            self.counts.pop(route_name)
