"""Routes of the flows that an agent holds, and services that hold others."""

from collections.abc import Iterable

from keelgap.packets.route_services import RouteService
from keelgap_agent.packets import defaults

__all__ = ('AgentRoutes',)


class AgentRoutes:
    """What an agent knows of routes and of the services that hold their flows.

    It reads no table, so it knows the routes of its own flows only.
    """

    __slots__ = ('held', 'service_count', 'services')

    def __init__(self) -> None:
        """Start without flows."""
        #: Keys of the routes of confirmed flows.  Those of ended flows stay
        #: until the next update.
        self.held: set[bytes] = set()
        #: When a balancer last told that another service may hold flows of a
        #: route which leads to the service of this agent, by route key and
        #: service tag.
        self.services: dict[bytes, dict[int, float]] = {}
        #: Number of such pairs.
        self.service_count = 0

    def record_held(self, route_key: bytes) -> bool:
        """Record the route of a confirmed flow; return whether it is new."""
        is_new = route_key not in self.held
        self.held.add(route_key)
        return is_new

    def update_held(self, route_keys: Iterable[bytes]) -> None:
        """Replace the held routes by those of the present flows."""
        self.held = set(route_keys)

    def record_service(self, row: RouteService, now: float) -> bool:
        """Record that a service may hold flows of a route.

        Return whether that is new.  Nothing new is recorded while there are
        MAX_ROUTE_SERVICES pairs.
        """
        tags = self.services.get(row.route_key, {})
        is_new = row.service_tag not in tags
        if is_new and self.service_count >= defaults.MAX_ROUTE_SERVICES:
            return False
        self.service_count += is_new
        tags[row.service_tag] = now
        self.services[row.route_key] = tags
        return is_new

    def expire_services(self, now: float) -> None:
        """Forget services whose flows of a route must have ended by now."""
        oldest = now - defaults.ROUTE_SERVICE_SECONDS
        kept = {}
        for route_key, tags in self.services.items():
            recent = {tag: at for tag, at in tags.items() if at >= oldest}
            if recent:
                kept[route_key] = recent
        self.services = kept
        self.service_count = sum(map(len, kept.values()))

    def forget_services(self) -> None:
        """Forget all services, as the agent serves another one from now on."""
        self.services = {}
        self.service_count = 0
