"""Routes and upstreams as packet balancers work with them."""

from typing import Final, Literal, NamedTuple

from keelgap.addresses import Address

__all__ = (
    'NO_CATALOG',
    'Catalog',
    'Entry',
    'PacketRoute',
    'PacketUpstream',
    'RouteSet',
    'Share',
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


class RouteSet(NamedTuple):
    """All routes of one version of the operators' table."""

    version: int
    routes: tuple[PacketRoute, ...]
    #: Seconds without a packet after which a flow may be forgotten.
    idle_seconds: float


class PacketUpstream(NamedTuple):
    """One start of an upstream instance; another start has another id."""

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


class Catalog(NamedTuple):
    """All that is in force in one process."""

    #: Revision of the store up to which this is complete.
    revision: int
    routes: RouteSet
    upstreams: dict[str, PacketUpstream]
    #: Revision of the store at the latest change that is in here.
    latest_change: int = 0


#: What a process has before it heard of anything.
NO_CATALOG: Final = Catalog(0, RouteSet(0, (), 0), {})
