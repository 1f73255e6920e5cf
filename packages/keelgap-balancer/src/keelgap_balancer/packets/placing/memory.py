"""What placement keeps from one decision to the next."""

from collections.abc import Container, Mapping
from typing import Generic, NamedTuple, TypeVar

from keelgap_balancer.packets.placing.defaults import TELL_SECONDS
from keelgap_balancer.packets.placing.spans import FlowSpans

__all__ = ('Order', 'PlacingMemory', 'Waits')


View = TypeVar('View')


class Order(NamedTuple, Generic[View]):
    """The upstreams of a large service, in the same order everywhere."""

    #: All of them, and the availability zones that were out of service.
    views: tuple[View, ...]
    evacuated: frozenset[str]
    #: Those that may be drawn.
    near: tuple[View, ...]
    far: tuple[View, ...]

    def is_of(
        self,
        views: tuple[View, ...],
        evacuated: Mapping[str, int],
    ) -> bool:
        """Return whether it is made from these."""
        return self.views is views and self.evacuated == evacuated.keys()


class Waits(NamedTuple):
    """Why a flow went to another availability zone."""

    #: Least expected cost of an agent here, and that of the one elsewhere.
    near: float
    far: float


class PlacingMemory(Generic[View]):
    """Learned spans, orders of large services, and counts."""

    def __init__(self) -> None:
        """Start without a flow."""
        self.spans = FlowSpans()
        self.orders: dict[str, Order[View]] = {}
        #: Flows placed in the own availability zone, and elsewhere.
        self.placed_near = 0
        self.placed_far = 0
        #: Of the latest decision, if it led to another availability zone.
        self.waits: Waits | None = None
        #: When such a decision was told last.
        self.told_at = float('-inf')

    def keep_order(
        self,
        service: str,
        order: Order[View],
        services: Container[str],
    ) -> None:
        """Keep the order of a service; drop those of services that went."""
        for name in tuple(self.orders):
            if name not in services:
                self.orders.pop(name)
        self.orders[service] = order

    def is_tellable(self, now: float) -> bool:
        """Return whether another line is due, and note that it is told."""
        if now - self.told_at < TELL_SECONDS:
            return False
        self.told_at = now
        return True
