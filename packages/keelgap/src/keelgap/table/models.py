"""The operators' table: services, traffic classes and upstreams.

The ``*Row`` types are the columns of the document; docs/ref/table.md describes
each.  ``Table`` and its parts are what a process works with.
"""

from typing import Final, Literal, NamedTuple, NotRequired, TypedDict

from keelgap.addresses import Address

__all__ = (
    'DEFAULT_CLASS',
    'EMPTY_TABLE',
    'ClassRow',
    'Service',
    'ServiceRow',
    'Table',
    'TrafficClass',
    'Upstream',
    'UpstreamRow',
    'UpstreamState',
)

UpstreamState = Literal['active', 'draining']


class ServiceRow(TypedDict):
    """Columns of a row of ``services``."""

    name: str
    number: int
    port: int
    queue_limit: NotRequired[int]
    unavailable_means_not_run: NotRequired[bool]


class ClassRow(TypedDict):
    """Columns of a row of ``classes``."""

    service: str
    name: str
    method: NotRequired[str]
    path_prefix: NotRequired[str]
    priority: NotRequired[int]
    at_most_once: NotRequired[bool]
    deadline_seconds: NotRequired[float]
    takes_slot: NotRequired[bool]


class UpstreamRow(TypedDict):
    """Columns of a row of ``upstreams``."""

    name: str
    service: str
    agent: str
    weight: NotRequired[float]
    slots: NotRequired[int]
    connections: NotRequired[int]
    state: NotRequired[UpstreamState]
    cold_start_seconds: NotRequired[float]


class TrafficClass(NamedTuple):
    """How requests of one kind are admitted; the first match counts."""

    name: str
    #: HTTP method, or an empty string for every method.
    method: str = ''
    path_prefix: str = '/'
    #: 0 goes first under overload.
    priority: int = 1
    at_most_once: bool = False
    #: Seconds from arrival until the caller no longer waits.
    deadline_seconds: float = 30.0
    #: False for long streams, which only the connection limit bounds.
    takes_slot: bool = True


#: Applies to requests that no row of ``classes`` matches.
DEFAULT_CLASS: Final = TrafficClass('default')


class Service(NamedTuple):
    """A service that callers reach on one port of every balancer."""

    name: str
    #: Stands for the service on the wire and in connection ids.
    number: int
    #: UDP port on which balancers listen for callers.
    port: int
    #: Requests that may wait for a slot on each upstream.
    queue_limit: int = 16
    #: Whether an upstream's own 503 means that it did not run the request.
    unavailable_means_not_run: bool = False
    classes: tuple[TrafficClass, ...] = ()


class Upstream(NamedTuple):
    """One upstream instance, reached through the agent beside it."""

    name: str
    service: str
    agent: Address
    weight: float = 1.0
    #: Requests that the upstream runs at once.
    slots: int = 4
    #: Flows that the upstream keeps open at once.
    connections: int = 2000
    state: UpstreamState = 'active'
    #: Seconds over which a started upstream comes up to its full slots.
    cold_start_seconds: float = 0


class Table(NamedTuple):
    """A valid table; a later revision replaces it whole."""

    revision: int
    #: BLAKE2b of the document in hexadecimal; orders equal revisions.
    digest: str
    services: dict[int, Service]
    #: Rows of each service, by its number.
    upstreams: dict[int, tuple[Upstream, ...]]

    @property
    def version(self) -> tuple[int, str]:
        """Return what orders tables: the revision, then the digest."""
        return (self.revision, self.digest)


#: What a process has before it heard of any table.
EMPTY_TABLE: Final = Table(0, '', {}, {})
