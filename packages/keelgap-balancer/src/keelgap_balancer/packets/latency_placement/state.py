"""State that placement keeps between decisions."""

from collections.abc import Container, Mapping
from typing import Generic, NamedTuple, TypeVar

from keelgap_balancer.packets.latency_placement.defaults import (
    LOG_INTERVAL_SECONDS,
)
from keelgap_balancer.packets.latency_placement.flow_durations import (
    FlowDurations,
)

__all__ = ('SamplingOrder', 'PlacementState', 'CrossZoneCosts')


View = TypeVar('View')


class SamplingOrder(NamedTuple, Generic[View]):
    """Upstreams of a large service, in the order from which samples are drawn.

    All balancers use the same order.
    """

    #: All upstreams of the service, and the availability zones that were
    #: out of service.
    views: tuple[View, ...]
    evacuated: frozenset[str]
    #: Upstreams that may be drawn, of the own availability zone and others.
    near: tuple[View, ...]
    far: tuple[View, ...]

    def is_current(
        self,
        views: tuple[View, ...],
        evacuated: Mapping[str, int],
    ) -> bool:
        """Return whether the order was made from these upstreams and zones.

        ``evacuated`` has the availability zones that are out of service.
        """
        return self.views is views and self.evacuated == evacuated.keys()


class CrossZoneCosts(NamedTuple):
    """Expected costs that sent a flow to another availability zone."""

    #: Least expected cost in the own zone, and that of the chosen agent.
    near: float
    far: float


class PlacementState(Generic[View]):
    """Learned flow durations, cached sampling orders, and counters."""

    def __init__(self) -> None:
        """Start without flows."""
        self.flow_durations = FlowDurations()
        #: Sampling orders of large services, by name of the service.
        self.orders: dict[str, SamplingOrder[View]] = {}
        #: Flows placed in the own availability zone, and in others.
        self.placed_near = 0
        self.placed_far = 0
        #: Costs of the latest placement, if it chose another zone.
        self.cross_zone_costs: CrossZoneCosts | None = None
        #: When a placement in another availability zone was last logged.
        self.last_logged_at = float('-inf')

    def cache_order(
        self,
        service: str,
        order: SamplingOrder[View],
        services: Container[str],
    ) -> None:
        """Cache the order of a service; drop those of removed services."""
        for name in tuple(self.orders):
            if name not in services:
                self.orders.pop(name)
        self.orders[service] = order

    def should_log(self, now: float) -> bool:
        """Return whether to log a placement now; if so, record the time.

        Placements are logged at most once in LOG_INTERVAL_SECONDS.
        """
        if now - self.last_logged_at < LOG_INTERVAL_SECONDS:
            return False
        self.last_logged_at = now
        return True
