"""Catalog of routes and upstreams that packet balancers use."""

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
    'TrafficShare',
    'UpstreamIdentity',
)


class Entry(NamedTuple):
    """Value of a key in the platform's store, with its revision."""

    #: Content as it was written.
    content: bytes
    #: Revision of the store at the last write.
    revision: int
    #: Revision of the store when the key was created; 0 if unknown.
    created: int = 0


class TrafficShare(NamedTuple):
    """Weight of a service in the distribution of a route's new flows."""

    service: str
    weight: float


class PacketRoute(NamedTuple):
    """Distribution of the flows that callers open to an address and port."""

    name: str
    host: str
    port: int
    #: Services that get the flows, with their weights.
    shares: tuple[TrafficShare, ...]
    #: Priority; 0 is served first under overload.
    priority: int = 0
    #: Target response time in seconds, up to which a response has full value.
    target_seconds: float = 1.0
    #: Seconds after which callers stop waiting for a response.
    timeout_seconds: float = 30.0
    #: Whether callers may repeat requests that may have been run.
    is_idempotent: bool = False


class ServiceLimits(NamedTuple):
    """Limits of the upstreams of a service in the operators' table."""

    #: Maximum new flows per second to an upstream during warm-up; 0 if the
    #: table states no limit.
    warm_up_flow_rate: float = 0


class RouteSet(NamedTuple):
    """Routes and services of one version of the operators' table."""

    #: Version of the table, increasing.
    version: int
    routes: tuple[PacketRoute, ...]
    #: Seconds without a packet after which a flow may be removed.
    idle_seconds: float
    #: Limits of all services, by name.
    services: Mapping[str, ServiceLimits] = MappingProxyType({})
    #: Revision of the store when this version was written; 0 if unknown.
    revision: int = 0


class UpstreamIdentity(NamedTuple):
    """Identity of one start of an upstream; flows do not survive a restart."""

    upstream_id: str
    #: Start time in Unix milliseconds; 0 if the platform does not provide it
    #: and assigns an id to each start.
    started: int


class PacketUpstream(NamedTuple):
    """Latest report of an upstream since its start, read from the store."""

    upstream_id: str
    service: str
    #: Address on which the upstream listens; its agent is on the same host.
    address: Address
    availability_zone: str
    #: Number of requests that the upstream runs concurrently.
    slots: int
    state: Literal['active', 'draining']
    #: Seconds for which it is slow after its start, as it reports.
    warm_up_seconds: float
    #: Revision of the store at the last write of its entry.
    revision: int = 0
    #: Start time in Unix milliseconds; 0 if the id identifies the start.
    started: int = 0
    #: Number of reports of the upstream since it started.
    reports: int = 0
    #: Revision of the store when its entry was created; 0 if unknown.  An entry
    #: that lapsed is created again.
    created: int = 0

    @property
    def identity(self) -> UpstreamIdentity:
        """Return the identity, which changes when the upstream restarts."""
        return UpstreamIdentity(self.upstream_id, self.started)


class Catalog(NamedTuple):
    """Routes and upstreams in force in one process."""

    #: Revision of the store up to which the catalog is complete.
    revision: int
    routes: RouteSet
    #: Upstreams by id.
    upstreams: dict[str, PacketUpstream]
    #: Revision of the latest change of the store in the catalog.
    latest_change: int = 0
    #: Availability zones that the operators took out of service, with the
    #: revision of the store at that time; they get no new flows.
    evacuated: Mapping[str, int] = MappingProxyType({})
    #: Upstreams whose entries were written and deleted since the previous
    #: catalog.
    missed: tuple[PacketUpstream, ...] = ()
    #: Whether more entries may have been written and deleted unnoticed.
    has_gap: bool = False
    #: Upstreams, by id, whose service is not in the operators' table.  They may
    #: hold flows of earlier versions.
    unserved: Mapping[str, PacketUpstream] = MappingProxyType({})


#: Default of ``missed`` if no entries were missed.
NO_ENTRIES: Final[Mapping[str, Entry]] = MappingProxyType({})

#: Initial catalog of a process.
NO_CATALOG: Final = Catalog(0, RouteSet(0, (), 0), {})
