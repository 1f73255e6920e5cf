"""Record of services that may hold flows of routes of the other services."""

from itertools import takewhile

from keelgap.packets.route_services import RouteService
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.views import AgentView

__all__ = ('RouteServiceTable',)


class RouteServiceTable:
    """Services that may hold flows of routes without being listed for them."""

    __slots__ = (
        'announced_at',
        'first_table_revision',
        'is_past_unknown',
        'is_wait_over',
        'names',
        'passed_on_at',
        'rows',
        'seen_at',
        'unsure',
        'untold',
    )

    def __init__(self) -> None:
        """Create the record of a balancer that has no table yet."""
        #: When a service may last have got or held flows of a route, by route
        #: key and service tag.
        self.seen_at: dict[bytes, dict[int, float]] = {}
        #: The pairs in ``seen_at``, the one seen longest ago first.
        self.rows: dict[RouteService, None] = {}
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

    def record(self, row: RouteService, now: float) -> bool:
        """Record that a service may hold flows of a route; return if new.

        The pair that was seen longest ago is dropped if there are too many.
        """
        is_new = row not in self.rows
        if is_new and len(self.rows) >= defaults.MAX_ROUTE_SERVICES:
            self._drop(next(iter(self.rows)))
        self.rows.pop(row, None)
        self.rows[row] = None
        self.seen_at.setdefault(row.route_key, {})[row.service_tag] = now
        return is_new

    def drop_old(self, now: float) -> bool:
        """Drop pairs that were seen too long ago; return if there were any."""
        oldest = now - defaults.FORMER_ROUTE_SECONDS
        expired = list(
            takewhile(lambda row: self._get(row) < oldest, self.rows)
        )
        for row in expired:
            self._drop(row)
        return bool(expired)

    def _get(self, row: RouteService) -> float:
        return self.seen_at[row.route_key][row.service_tag]

    def _drop(self, row: RouteService) -> None:
        self.rows.pop(row)
        self.passed_on_at.pop(row, None)
        tags = self.seen_at[row.route_key]
        tags.pop(row.service_tag)
        if not tags:
            self.seen_at.pop(row.route_key)
