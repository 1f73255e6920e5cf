"""The operators' table: services, traffic classes and upstreams.

The ``*Row`` types define the columns of the document, which docs/ref/table.md
describes.  ``Table`` and its members are the form that processes work with.
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
    """Admission rules for a class of requests; the first match applies."""

    name: str
    #: HTTP method, or an empty string for every method.
    method: str = ''
    path_prefix: str = '/'
    #: Under overload, requests of priority 0 go first.
    priority: int = 1
    at_most_once: bool = False
    #: Seconds after arrival at which the caller stops waiting.
    deadline_seconds: float = 30.0
    #: False for long streams, which are only limited by ``connections``.
    takes_slot: bool = True


#: Applies to requests that no row of ``classes`` matches.
DEFAULT_CLASS: Final = TrafficClass('default')


class Service(NamedTuple):
    """A service that callers reach on one port of every balancer."""

    name: str
    #: Identifies the service on the wire and in connection ids.
    number: int
    #: UDP port on which balancers listen for callers.
    port: int
    #: Maximum number of requests that wait for a slot of each upstream.
    queue_limit: int = 16
    #: Whether a 503 from the upstream means that it did not run the request.
    unavailable_means_not_run: bool = False
    classes: tuple[TrafficClass, ...] = ()


class Upstream(NamedTuple):
    """An upstream instance, reached through the agent beside it."""

    name: str
    service: str
    agent: Address
    weight: float = 1.0
    #: Maximum number of requests that the upstream runs concurrently.
    slots: int = 4
    #: Maximum number of flows that the upstream keeps open.
    connections: int = 2000
    state: UpstreamState = 'active'
    #: Seconds over which a started upstream ramps up to all its slots.
    cold_start_seconds: float = 0


class Table(NamedTuple):
    """A valid table; a later revision replaces it as a whole."""

    revision: int
    #: BLAKE2b digest of the document in hexadecimal; orders tables of equal
    #: revision.
    digest: str
    services: dict[int, Service]
    #: Upstreams of each service, by service number.
    upstreams: dict[int, tuple[Upstream, ...]]

    @property
    def version(self) -> tuple[int, str]:
        """Return the sort key of tables: the revision, then the digest."""
        return (self.revision, self.digest)


#: The table of a process that has not received one yet.
EMPTY_TABLE: Final = Table(0, '', {}, {})
