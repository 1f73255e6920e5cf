"""Routes and upstreams as packet balancers work with them."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, Literal, NamedTuple

from keelgap.addresses import Address

__all__ = (
    'NO_CATALOG',
    'NO_ENTRIES',
    'Catalog',
    'Entry',
    'PacketRoute',
    'PacketUpstream',
    'RouteSet',
    'ServiceLimits',
    'Share',
    'UpstreamIdentity',
)


class Entry(NamedTuple):
    """One value in the platform's store."""

    #: Octets as the writer left them.
    content: bytes
    #: Revision of the store at which it was written last.
    revision: int


class Share(NamedTuple):
    """The part of a route's new flows that goes to one service."""

    service: str
    weight: float


class PacketRoute(NamedTuple):
    """Where new flows to one address and port go."""

    name: str
    host: str
    port: int
    shares: tuple[Share, ...]
    #: 0 goes first under overload.
    priority: int = 0
    #: Seconds within which an answer is worth its full price.
    aim_seconds: float = 1.0
    #: Seconds after which a caller no longer waits for an answer.
    timeout_seconds: float = 30.0
    #: Whether callers may repeat a request that may have run.
    is_idempotent: bool = False


class ServiceLimits(NamedTuple):
    """What the operators' table says of the upstreams of one service."""

    #: New flows a second that an upstream bears until it is warm; 0 if the
    #: table states no bound.
    cold_per_second: float = 0


class RouteSet(NamedTuple):
    """All routes of one version of the operators' table."""

    version: int
    routes: tuple[PacketRoute, ...]
    #: Seconds without a packet after which a flow may be forgotten.
    idle_seconds: float
    #: The services that there are, by name.
    services: Mapping[str, ServiceLimits] = MappingProxyType({})


class UpstreamIdentity(NamedTuple):
    """One start of one upstream: another start holds none of its flows."""

    upstream_id: str
    #: Unix milliseconds of the start; 0 where the platform gives none and
    #: each start has an id of its own.
    started: int


class PacketUpstream(NamedTuple):
    """One start of an upstream instance, as it reports itself."""

    upstream_id: str
    service: str
    #: Where the upstream itself listens; its agent has the same host.
    address: Address
    availability_zone: str
    #: Requests that it runs at once.
    slots: int
    state: Literal['active', 'draining']
    #: Seconds for which it stays slow after its start, as it said.
    warm_up_seconds: float
    #: Revision of the store at which its entry was written last.
    revision: int = 0
    #: Unix milliseconds of its start; 0 if its id stands for one start.
    started: int = 0
    #: Reports that this start has made.
    reports: int = 0

    @property
    def identity(self) -> UpstreamIdentity:
        """Return what tells this start from all others."""
        return UpstreamIdentity(self.upstream_id, self.started)


class Catalog(NamedTuple):
    """All that is in force in one process."""

    #: Revision of the store up to which this is complete.
    revision: int
    routes: RouteSet
    upstreams: dict[str, PacketUpstream]
    #: Revision of the store at the latest change that is in here.
    latest_change: int = 0
    #: Availability zones that take no new flows, and the revision of the
    #: store at which the operators asked for it.
    evacuated: Mapping[str, int] = MappingProxyType({})
    #: Those whose entries came and went since the catalog before this one.
    missed: tuple[PacketUpstream, ...] = ()
    #: Whether there may be more of them, of which nothing tells.
    has_gap: bool = False


#: Where nothing came and went.
NO_ENTRIES: Final[Mapping[str, Entry]] = MappingProxyType({})

#: What a process has before it heard of anything.
NO_CATALOG: Final = Catalog(0, RouteSet(0, (), 0), {})
