"""Record of services that may hold flows of routes of the other services."""

from keelgap.packets.route_services import RouteService
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.views import AgentView

__all__ = ('RouteServiceTable',)


class RouteServiceTable:
    """Services that may hold flows of routes without being listed for them."""

    __slots__ = (
        'announced_at',
        'count',
        'first_table_revision',
        'is_past_unknown',
        'is_wait_over',
        'names',
        'passed_on_at',
        'seen_at',
        'swept_at',
        'unsure',
        'untold',
    )

    def __init__(self, now: float) -> None:
        """Create the record of a balancer that has no table yet."""
        #: When a service may last have got or held flows of a route, by route
        #: key and service tag.
        self.seen_at: dict[bytes, dict[int, float]] = {}
        #: Number of pairs in ``seen_at``.
        self.count = 0
        self.swept_at = now
        #: When each pair was last told to the agents of the route's services.
        self.passed_on_at: dict[RouteService, float] = {}
        #: When a host last named the services of a route, by host and route
        #: key.
        self.announced_at: dict[tuple[str, bytes], float] = {}
        #: Revision of the store at which the first table read here was
        #: written; 0 if unknown.
        self.first_table_revision = 0
        #: Whether flows of tables before that one may still be open.
        self.is_past_unknown = True
        #: Hosts, by service, whose agents have not yet told the routes of the
        #: flows they hold, though these may be of tables before the first.
        self.untold: dict[str, set[str]] = {}
        #: Whether no agent is waited for any longer.
        self.is_wait_over = False
        #: Agents, by host, that cannot tell all routes of such flows.
        self.unsure: dict[str, AgentView] = {}
        #: Cache of the names of services, by tag; None after a change.
        self.names: dict[int, str] | None = None

    def drop_old(self, now: float) -> None:
        """Drop pairs that were seen too long ago."""
        oldest = now - defaults.FORMER_ROUTE_SECONDS
        seen_at = {}
        for route_key, tags in self.seen_at.items():
            recent = {tag: at for tag, at in tags.items() if at >= oldest}
            if recent:
                seen_at[route_key] = recent
        self.seen_at = seen_at
        self.count = sum(map(len, seen_at.values()))
        self.passed_on_at = {
            row: at
            for row, at in self.passed_on_at.items()
            if now - at < defaults.ROUTE_SERVICES_INTERVAL_SECONDS
        }
