"""State of a packet balancer; its reducer alone changes it, in place."""

from collections.abc import Iterator
from typing import Any, Final, NamedTuple

from keelgap.catalog.models import (
    NO_CATALOG,
    PacketRoute,
    PacketUpstream,
    UpstreamIdentity,
)
from keelgap.packets.directory import (
    FlowDirectory,
)
from keelgap.packets.envelopes import (
    JUST_BEGUN,
    CallerWait,
    Envelope,
    EnvelopeKind,
    LoadReport,
    Stamp,
    compute_service_tag,
)
from keelgap.packets.features import NO_FEATURES, Features
from keelgap.packets.formats import PacketFormat
from keelgap.packets.generations import Generations
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.ages import CallerAges
from keelgap_balancer.packets.effects import SendToAgent
from keelgap_balancer.packets.placing.memory import PlacingMemory

__all__ = (
    'AgentView',
    'Ejections',
    'FormerRoute',
    'GreetingRound',
    'Holders',
    'NodeView',
    'PacketState',
    'Search',
    'LeftOutDecision',
    'make_owners',
)

_MICROSECONDS: Final = 1000000
_SEEDS: Final = 0x100000000
_NO_REPORT = LoadReport(0, 0, 0, closed=False)


class AgentView:
    """What this balancer knows of one start of an upstream, and its agent."""

    __slots__ = (
        'gone_since',
        'has_ended',
        'hello_at',
        'host',
        'last_heard',
        'noticed_at',
        'picks',
        'report',
        'reported_at',
        'seed',
        'service_tag',
        'tried_at',
        'upstream',
        'waiting_since',
        'warm_at',
        'young_until',
    )

    def __init__(self, upstream: PacketUpstream, now: float) -> None:
        """Start as an upstream of which nothing was heard."""
        self.upstream = upstream
        self.host = upstream.address.host
        self.service_tag = compute_service_tag(upstream.service)
        #: Stands for this start, in rankings and towards directories.
        self.seed = compute_service_tag(':'.join(map(str, upstream.identity)))
        self.report = _NO_REPORT
        self.reported_at = now
        #: New flows sent there since its last report.
        self.picks = 0
        self.last_heard = float('-inf')
        #: When a flow was sent as a trial last.
        self.tried_at = float('-inf')
        #: Since when an answer is owed.
        self.waiting_since: float | None = None
        self.hello_at = now
        #: When it was told last of its directory because that lacked it.
        self.noticed_at = float('-inf')
        self.warm_at = now + upstream.warm_up_seconds
        #: Until when it counts as just started.  One that gets cold later, in
        #: an availability zone out of service, has made more reports.
        self.young_until = float('-inf')
        if upstream.reports <= defaults.YOUNG_REPORTS:
            self.young_until = self.warm_at
        #: Since when its entry is missing from the catalog.
        self.gone_since: float | None = None
        #: Whether a later start of the upstream took its place.
        self.has_ended = False

    def change_upstream(self, upstream: PacketUpstream, now: float) -> None:
        """Take a report of the same start; one read again changes nothing.

        An upstream may get cold after its start.
        """
        if upstream.revision != self.upstream.revision:
            self.warm_at = now + upstream.warm_up_seconds
        self.upstream = upstream
        self.gone_since = None

    def end(self, now: float) -> None:
        """Note that a later start took the place: it holds no flow more."""
        self.has_ended = True
        self.gone_since = now

    def send(
        self,
        kind: EnvelopeKind,
        content: bytes = b'',
        hop: int = 0,
        priority: int = 0,
        left_ms: int = 0,
        wait: CallerWait = JUST_BEGUN,
    ) -> SendToAgent:
        """Return the effect that sends an envelope to this agent."""
        envelope = Envelope(
            kind,
            hop,
            self.upstream.slots,
            priority,
            left_ms,
            self.service_tag,
            content,
            wait,
        )
        return SendToAgent(self.host, envelope)

    def note_heard(self, now: float) -> None:
        """Record any message of the agent."""
        self.last_heard = now
        self.waiting_since = None

    def expect_answer(self, now: float) -> None:
        """Start to wait, unless an answer is owed already."""
        if self.waiting_since is None:
            self.waiting_since = now

    def is_quiet(self, now: float) -> bool:
        """Return whether the agent owes an answer for too long."""
        since = self.waiting_since
        return since is not None and now - since > defaults.QUIET_SECONDS

    def is_open(self) -> bool:
        """Return whether it takes new flows, as far as is known."""
        return (
            self.gone_since is None
            and self.upstream.state == 'active'
            and not self.report.closed
        )

    def may_return(self, now: float) -> bool:
        """Return whether it lives although its entry is missing."""
        since = self.gone_since
        if since is None or now - since >= defaults.GONE_SECONDS:
            return False
        # One that drained has left.
        is_leaving = self.upstream.state != 'active' or self.report.closed
        return self.last_heard > since and not is_leaving


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


class Search:
    """The search for the owner of one flow, or for a taker of a new one."""

    __slots__ = (
        'asked',
        'denied',
        'ejected',
        'heard',
        'is_parked',
        'kept_since',
        'lacks_time',
        'latest',
        'lookups',
        'may_lack_entries',
        'missed',
        'named',
        'needed_revision',
        'pending',
        'pending_since',
        'questions',
        'renewed',
        'started',
        'told',
        'tried',
    )

    def __init__(self, now: float) -> None:
        """Start before anybody was asked."""
        self.started = now
        #: When it began to ask, or last went on after a wait.
        self.renewed = now
        #: When a packet of the flow came last.
        self.heard = now
        #: Latest packet of the flow, with which the next agent is asked.
        self.latest = b''
        #: Whether it waits for a later catalog, after everybody said no.
        self.is_parked = False
        #: Revision that the catalog must have before the search goes on: the
        #: latest that was heard of when everybody had said no.
        self.needed_revision = 0
        #: Since when it waits for entries that may come back.
        self.kept_since: float | None = None
        #: Names of the lines that told of a wait.
        self.told: set[str] = set()
        #: Whether an agent warned that living upstreams may have no entry.
        self.may_lack_entries = False
        #: Hosts asked, in order.
        self.asked: list[str] = []
        #: Hosts that said no.
        self.missed: set[str] = set()
        #: How many hosts said no because of a new flow's time.
        self.lacks_time = 0
        #: Hosts among them that may take a new flow if nobody else does.
        self.ejected: set[str] = set()
        #: Host asked last, that has not answered.
        self.pending: str | None = None
        self.pending_since = now
        #: Directory nodes that were asked and have not answered.
        self.lookups: set[str] = set()
        #: Directory nodes that were asked.
        self.tried: set[str] = set()
        #: Hosts that a directory node named as holders.
        self.named: list[str] = []
        #: Nodes that named nobody else, and the digest of whom they cover.
        self.denied: dict[str, int] = {}
        #: Messages sent for this flow.
        self.questions = 0

    @property
    def patience(self) -> float:
        """Return for how long to wait for what is owed, in seconds."""
        if self.lookups:
            return defaults.LOOKUP_SECONDS
        if self.pending is None:
            return defaults.LOOKUP_AGAIN_SECONDS
        return defaults.SEARCH_STEP_SECONDS

    def stop_waiting(self) -> None:
        """Go on without the answers that are owed."""
        self.pending = None
        self.lookups.clear()

    def begin_anew(self) -> None:
        """Ask the directory again: it may know more by now."""
        self.tried.clear()
        self.denied.clear()

    def take_packet(self, datagram: bytes, now: float) -> None:
        """Go on with a later packet of the flow."""
        self.latest = datagram
        self.heard = now

    @property
    def is_waiting(self) -> bool:
        """Return whether nobody is to be asked before something changes."""
        return self.is_parked or self.kept_since is not None

    def lacks_answer(self, node: str) -> bool:
        """Return whether a directory node was asked and did not answer."""
        return node in self.tried and node not in self.denied

    def end_wait(self, now: float) -> None:
        """Go on to ask, for as long as a new search would."""
        self.is_parked = False
        self.kept_since = None
        self.renewed = now


class NodeView:
    """What this balancer knows of one node of a flow directory."""

    __slots__ = (
        'asked_at',
        'covered',
        'digest',
        'is_asked_again',
        'parts',
        'waiting',
    )

    def __init__(self) -> None:
        """Start as a node that was never asked."""
        #: Keys of flows to ask for once it has answered.
        self.waiting: dict[bytes, None] = {}
        #: When it was asked for flows and has not answered.
        self.asked_at: float | None = None
        #: Whether it was asked again when it was heard and had not answered.
        self.is_asked_again = False
        #: Digest of the hosts in ``covered``.
        self.digest = 0
        #: Hosts whose flows it knows completely.
        self.covered: frozenset[str] = frozenset()
        #: Parts of a later list of them.
        self.parts: dict[int, tuple[str, ...]] = {}


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

    __slots__ = ('gap_at', 'unlisted', 'unspoken')

    def __init__(self) -> None:
        """Start with none."""
        #: By host and service: those that the catalog does not list for it.
        self.unlisted: dict[tuple[str, str], AgentView] = {}
        #: Those for which directory nodes do not speak, by route, nodes and
        #: number of denials.
        self.unspoken: dict[tuple[Any, ...], tuple[AgentView, ...]] = {}
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
