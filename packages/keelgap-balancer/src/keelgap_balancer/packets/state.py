"""State of a packet balancer; its reducer alone changes it, in place."""

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
from keelgap.packets.generations import Generations
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.ages import CallerAges
from keelgap_balancer.packets.placing.memory import PlacingMemory
from keelgap_balancer.packets.searches import Search
from keelgap_balancer.packets.views import AgentView, NodeView

__all__ = (
    'Ejections',
    'FormerRoute',
    'GreetingRound',
    'Holders',
    'PacketState',
    'LeftOutDecision',
    'make_owners',
)

_MICROSECONDS: Final = 1000000
_SEEDS: Final = 0x100000000


class FormerRoute(NamedTuple):
    """A route that the operators dropped."""

    route: PacketRoute
    dropped_at: float


def make_owners(now: float) -> Generations[AgentView]:
    """Return a table of which agent holds a flow; a hint that may be wrong."""
    return Generations(
        defaults.FLOW_GENERATION_SECONDS,
        defaults.MAX_FLOWS,
        now,
    )


class GreetingRound:
    """Whom to greet next, where there are too many to greet at once."""

    __slots__ = ('left', 'near_agents', 'seed')

    def __init__(self, now: float) -> None:
        """Start before the first round."""
        self.left: Iterator[AgentView] = iter(())
        #: How many agents are in the own availability zone.
        self.near_agents = 0
        #: Differs from balancer to balancer: none starts at the same moment.
        self.seed = int(now * _MICROSECONDS) % _SEEDS


class LeftOutDecision(NamedTuple):
    """Whether ejected upstreams of a large service are left out."""

    views: tuple[AgentView, ...]
    at: float
    #: Whether the others have enough of the slots.
    do_others_suffice: bool

    def is_valid(self, views: tuple[AgentView, ...], now: float) -> bool:
        """Return whether it still holds for these upstreams."""
        is_same = self.views is views
        return is_same and now - self.at < defaults.LEFT_OUT_SECONDS


class Ejections:
    """The upstreams that fail requests, as their agents say."""

    __slots__ = ('decisions', 'out', 'wanting')

    def __init__(self) -> None:
        """Start with none."""
        #: Those that are ejected, and since when this is known.
        self.out: dict[AgentView, float] = {}
        #: Those among them that want to be tried, and since when.
        self.wanting: dict[AgentView, float] = {}
        #: By service; of large services with ejected upstreams.
        self.decisions: dict[str, LeftOutDecision] = {}


class Holders:
    """Agents to ask for flows that neither catalog nor directory can deny."""

    __slots__ = (
        'asked',
        'first_revision',
        'gap_at',
        'told',
        'unlisted',
        'unspoken',
    )

    def __init__(self) -> None:
        """Start with none."""
        #: By host and service: those that the catalog does not list for it.
        self.unlisted: dict[tuple[str, str], AgentView] = {}
        #: Those for which directory nodes do not speak, by route, nodes and
        #: number of denials.
        self.unspoken: dict[tuple[Any, ...], tuple[AgentView, ...]] = {}
        #: Revision of the first catalog: what came before is not known here.
        self.first_revision = 0
        #: When each other balancer was asked last what it lists.
        self.asked: dict[str, float] = {}
        #: Balancers that were told, and the first revision of each.
        self.told: dict[str, int] = {}
        #: When a catalog came that does not tell what it missed.
        self.gap_at = float('-inf')


class PacketState:
    """All that a packet balancer holds."""

    def __init__(
        self,
        packet_format: PacketFormat,
        availability_zone: str,
        now: float,
        features: Features = NO_FEATURES,
    ) -> None:
        """Start without a catalog."""
        self.format = packet_format
        self.features = features
        self.availability_zone = availability_zone
        self.catalog = NO_CATALOG
        self.routes: dict[bytes, PacketRoute] = {}
        #: Routes that an earlier version had; their open flows go on.
        self.former_routes: dict[bytes, FormerRoute] = {}
        #: Those whose entry went stay for a while.
        self.agents: dict[UpstreamIdentity, AgentView] = {}
        #: By the agent's host; the latest upstream there.
        self.by_host: dict[str, AgentView] = {}
        self.by_service: dict[str, tuple[AgentView, ...]] = {}
        #: Those whose entry went.
        self.gone: set[UpstreamIdentity] = set()
        self.greeting = GreetingRound(now)
        self.owners = make_owners(now)
        self.ages = CallerAges(now)
        self.placing: PlacingMemory[AgentView] = PlacingMemory()
        self.searches: dict[bytes, Search] = {}
        self.ejections = Ejections()
        #: By service; of large services only.
        self.directories: dict[str, FlowDirectory] = {}
        #: By the directory node's host.
        self.nodes: dict[str, NodeView] = {}
        self.holders = Holders()
        #: Latest packet of each flow that came before the first catalog.
        self.parked: dict[bytes, bytes] = {}
        #: Revision up to which the catalog in force is complete.
        self.confirmed_revision = 0
        #: Latest change of the store that anybody told of.
        self.latest_change = 0
        #: Whether the latest call to the store was answered.
        self.reaches_store = True
        #: When the first catalog came into force.
        self.informed_at: float | None = None

    @property
    def has_catalog(self) -> bool:
        """Return whether routes are known, so that packets can be served."""
        return self.catalog.routes.version > 0

    @property
    def is_behind(self) -> bool:
        """Return whether others know of changes that are not known here."""
        return self.latest_change > self.confirmed_revision

    def is_near(self, view: AgentView) -> bool:
        """Return whether an agent is in the own availability zone."""
        return view.upstream.availability_zone == self.availability_zone

    def is_evacuated(self, view: AgentView) -> bool:
        """Return whether the agent's availability zone takes no new flows."""
        return view.upstream.availability_zone in self.catalog.evacuated

    def is_newly_informed(self, now: float) -> bool:
        """Return whether upstreams may live that this process never saw.

        Entries that lapsed with the store away return within GONE_SECONDS.
        """
        informed_at = self.informed_at
        if informed_at is None:
            return True
        return now - informed_at < defaults.GONE_SECONDS

    def is_after_gap(self, now: float) -> bool:
        """Return whether entries may have lapsed unread, and be back soon."""
        return now - self.holders.gap_at < defaults.GONE_SECONDS

    def is_settling(self, now: float) -> bool:
        """Return whether callers may have tried before this could serve."""
        informed_at = self.informed_at
        return (
            informed_at is None or now - informed_at < defaults.SETTLING_SECONDS
        )

    def make_stamp(self) -> Stamp:
        """Return what each envelope to others says of the store."""
        return Stamp(self.latest_change, not self.reaches_store)

    def note_stamp(self, stamp: Stamp) -> None:
        """Take what the sender of an envelope knows."""
        self.latest_change = max(self.latest_change, stamp.latest_change)

    def find_route(self, datagram: bytes) -> PacketRoute | None:
        """Return the route of an open flow, which may be a former one."""
        route_key = self.format.route_key(datagram)
        route = self.routes.get(route_key)
        if route is not None:
            return route
        former = self.former_routes.get(route_key)
        return None if former is None else former.route
