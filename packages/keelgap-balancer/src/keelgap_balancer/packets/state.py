"""State of a packet balancer; only its reducer modifies it, in place."""

from collections.abc import Iterator
from typing import Any, Final, NamedTuple

from keelgap.catalog.models import (
    NO_CATALOG,
    PacketRoute,
    UpstreamIdentity,
)
from keelgap.packets.directory import FlowDirectory
from keelgap.packets.envelopes import Stamp
from keelgap.packets.features import NO_FEATURES, Features
from keelgap.packets.formats import PacketFormat
from keelgap.packets.generational_cache import GenerationalCache
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.caller_waits import CallerWaits
from keelgap_balancer.packets.flow_search import FlowSearch
from keelgap_balancer.packets.latency_placement.state import PlacementState
from keelgap_balancer.packets.route_service_table import RouteServiceTable
from keelgap_balancer.packets.views import AgentView, DirectoryNodeView

__all__ = (
    'Ejections',
    'FormerRoute',
    'PollingRound',
    'CatalogGaps',
    'PacketState',
    'ExclusionDecision',
    'make_owner_cache',
)

_MICROSECONDS: Final = 1000000
_SEED_RANGE: Final = 0x100000000


class FormerRoute(NamedTuple):
    """A route that the operators removed; its open flows continue."""

    route: PacketRoute
    removed_at: float


def make_owner_cache(now: float) -> GenerationalCache[AgentView]:
    """Return a cache of flow owners, whose entries may be out of date."""
    return GenerationalCache(
        defaults.FLOW_GENERATION_SECONDS,
        defaults.MAX_FLOWS,
        now,
    )


class PollingRound:
    """Agents still to be polled in turn, when too many for one poll."""

    __slots__ = ('remaining', 'zone_agent_count', 'seed')

    def __init__(self, now: float) -> None:
        """Start before the first round."""
        #: Agents not yet polled in the current round.
        self.remaining: Iterator[AgentView] = iter(())
        #: Number of agents in the balancer's own availability zone.
        self.zone_agent_count = 0
        #: Seed of the polling order.  It differs between balancers, as no two
        #: of them start at the same moment.
        self.seed = int(now * _MICROSECONDS) % _SEED_RANGE


class ExclusionDecision(NamedTuple):
    """Cached decision whether to exclude ejected upstreams of a service."""

    #: All upstreams of the service when the decision was made.
    views: tuple[AgentView, ...]
    #: When the decision was made.
    at: float
    #: Whether the other upstreams have a sufficient share of the slots.
    is_capacity_sufficient: bool

    def is_valid(self, views: tuple[AgentView, ...], now: float) -> bool:
        """Return whether the decision is recent and for these upstreams."""
        is_same = self.views is views
        return is_same and now - self.at < defaults.EXCLUSION_CACHE_SECONDS


class Ejections:
    """Upstreams that fail requests, as reported by their agents."""

    __slots__ = ('exclusions', 'ejected_since', 'awaiting_trial')

    def __init__(self) -> None:
        """Create a record without ejected upstreams."""
        #: Ejected upstreams, and since when the ejection is known.
        self.ejected_since: dict[AgentView, float] = {}
        #: Ejected upstreams that ask for a trial request, and since when.
        self.awaiting_trial: dict[AgentView, float] = {}
        #: Cached decisions by service, for large services with ejected
        #: upstreams.
        self.exclusions: dict[str, ExclusionDecision] = {}


class CatalogGaps:
    """What the catalog in force may lack about the owners of open flows."""

    __slots__ = (
        'queried_peers',
        'first_revision',
        'gap_at',
        'answered_peers',
        'unlisted',
        'uncovered_agents',
        'route_services',
    )

    def __init__(self) -> None:
        """Create a record without known gaps."""
        #: Agents that the catalog does not list for a service that they may
        #: serve, by host and service.
        self.unlisted: dict[tuple[str, str], AgentView] = {}
        #: Cache of the agents that directory nodes do not cover, by the shares
        #: of the route, the digests of the nodes and the required number of
        #: denials.
        self.uncovered_agents: dict[tuple[Any, ...], tuple[AgentView, ...]] = {}
        #: Revision of the first catalog; earlier changes are not known here.
        self.first_revision = 0
        #: When each other balancer was last queried for the hosts it lists.
        self.queried_peers: dict[str, float] = {}
        #: Balancers whose query was answered, with their first revision.
        self.answered_peers: dict[str, int] = {}
        #: When a catalog came into force that may not report all entries which
        #: were written and lapsed since the catalog before it.
        self.gap_at = float('-inf')
        #: Services that may hold flows of routes without being listed for them.
        self.route_services = RouteServiceTable()


class PacketState:
    """Complete state of a packet balancer."""

    def __init__(
        self,
        packet_format: PacketFormat,
        availability_zone: str,
        now: float,
        features: Features = NO_FEATURES,
    ) -> None:
        """Create the state of a balancer that has no catalog yet."""
        self.format = packet_format
        self.features = features
        self.availability_zone = availability_zone
        self.catalog = NO_CATALOG
        self.routes: dict[bytes, PacketRoute] = {}
        #: Routes of earlier versions, whose open flows continue.
        self.former_routes: dict[bytes, FormerRoute] = {}
        #: Agents stay here for a while after their entry is missing.
        self.agents: dict[UpstreamIdentity, AgentView] = {}
        #: The agent of the latest upstream on each host.
        self.agents_by_host: dict[str, AgentView] = {}
        #: The agents of ``agents_by_host``, by the service of their upstream.
        self.agents_by_service: dict[str, tuple[AgentView, ...]] = {}
        #: Upstreams in ``agents`` whose entry is missing.
        self.missing: set[UpstreamIdentity] = set()
        self.polling = PollingRound(now)
        self.owners = make_owner_cache(now)
        self.caller_waits = CallerWaits(now)
        self.latency_placement: PlacementState[AgentView] = PlacementState()
        self.searches: dict[bytes, FlowSearch] = {}
        self.ejections = Ejections()
        #: Flow directories by service, for large services only.
        self.directories: dict[str, FlowDirectory] = {}
        #: Directory nodes by host.
        self.directory_nodes: dict[str, DirectoryNodeView] = {}
        self.catalog_gaps = CatalogGaps()
        #: Latest packet of each flow that cannot be served yet, by flow key.
        self.parked: dict[bytes, bytes] = {}
        #: Revision up to which the catalog in force is complete.
        self.confirmed_revision = 0
        #: Revision of the latest store change known from any process.
        self.latest_change = 0
        #: Whether the latest call to the store was answered.
        self.reaches_store = True
        #: When the first catalog came into force.
        self.first_catalog_at: float | None = None

    @property
    def has_catalog(self) -> bool:
        """Return whether routes are known, so that packets can be served."""
        return self.catalog.routes.version > 0

    @property
    def is_catalog_stale(self) -> bool:
        """Return whether the store has changes that were not read here yet."""
        return self.latest_change > self.confirmed_revision

    def is_same_zone(self, view: AgentView) -> bool:
        """Return whether an agent is in this balancer's availability zone."""
        return view.upstream.availability_zone == self.availability_zone

    def is_evacuated(self, view: AgentView) -> bool:
        """Return whether the agent's availability zone takes no new flows."""
        return view.upstream.availability_zone in self.catalog.evacuated

    def is_newly_started(self, now: float) -> bool:
        """Return whether live upstreams may exist that were never listed here.

        Entries that lapsed while the store was unavailable are renewed within
        MISSING_ENTRY_SECONDS.
        """
        first_catalog_at = self.first_catalog_at
        if first_catalog_at is None:
            return True
        return now - first_catalog_at < defaults.MISSING_ENTRY_SECONDS

    def is_after_catalog_gap(self, now: float) -> bool:
        """Return whether entries may have lapsed before they were read here.

        Upstreams that are alive renew them within MISSING_ENTRY_SECONDS of
        the catalog that has the gap.
        """
        return now - self.catalog_gaps.gap_at < defaults.MISSING_ENTRY_SECONDS

    def may_have_missed_attempts(self, now: float) -> bool:
        """Return whether a caller may have tried before its first packet here.

        This is assumed until SETTLING_SECONDS after the first catalog.
        """
        first_catalog_at = self.first_catalog_at
        return (
            first_catalog_at is None
            or now - first_catalog_at < defaults.SETTLING_SECONDS
        )

    def make_stamp(self) -> Stamp:
        """Return what every sent envelope tells the receiver of the store.

        That is the latest known change, and whether the store is unavailable.
        """
        return Stamp(self.latest_change, not self.reaches_store)

    def record_stamp(self, stamp: Stamp) -> None:
        """Record the latest store change that another process knows of."""
        self.latest_change = max(self.latest_change, stamp.latest_change)

    def find_route(self, datagram: bytes) -> PacketRoute | None:
        """Return the route of a packet, or None if it is unknown.

        Routes that were removed a short time ago are found, too.
        """
        return self.find_route_by_key(self.format.route_key(datagram))

    def find_route_by_key(self, route_key: bytes) -> PacketRoute | None:
        """Return the route with a key, as ``find_route`` does."""
        route = self.routes.get(route_key)
        if route is not None:
            return route
        former = self.former_routes.get(route_key)
        return None if former is None else former.route
