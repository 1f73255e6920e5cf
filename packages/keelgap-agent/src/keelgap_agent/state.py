"""State of an agent; all of it shares the fate of the upstream instance."""

from enum import Enum
from random import Random
from typing import NamedTuple

from keelgap.addresses import Address
from keelgap.instances import NO_INSTANCES, InstanceList
from keelgap.table import (
    DEFAULT_CLASS,
    EMPTY_TABLE,
    Service,
    Table,
    TrafficClass,
    Upstream,
)
from keelgap_agent import defaults
from keelgap_agent.requests.ledger import Ledger, LedgerKey
from keelgap_agent.requests.tickets import TicketCodec

__all__ = (
    'AgentIdentity',
    'AgentState',
    'LeaveCause',
    'Phase',
    'Request',
    'match_class',
)


class AgentIdentity(NamedTuple):
    """Who this agent is; fixed for one incarnation."""

    data: Address
    control: Address
    #: Name of the service whose instance this agent stands beside.
    service: str
    #: Start time in seconds; rises with each start on the same address.
    incarnation: int
    #: Time of the start on the clock of events.
    started: float


class LeaveCause(Enum):
    """Who said that this agent is leaving."""

    TABLE = 'table'
    LIST = 'list'
    UPSTREAM = 'upstream'
    #: SIGTERM; the only one that cannot be taken back.
    SIGNAL = 'signal'


class Phase(Enum):
    """Where a request stands."""

    QUEUED = 'queued'
    RUNNING = 'running'
    #: Another agent runs it for us.
    PASSED = 'passed'
    #: Its issuer was asked how it ended.
    ASKING = 'asking'
    #: An earlier attempt with the same key is under way here.
    WAITING = 'waiting'


class Request:
    """A request that has not got its final answer."""

    __slots__ = (
        'arrived',
        'asked_at',
        'deadline_at',
        'detached',
        'flow_id',
        'from_peer',
        'issuer',
        'key',
        'key_expires_at',
        'moved',
        'phase',
        'portable',
        'request_id',
        'run_only',
        'safe',
        'started',
        'traffic_class',
    )

    def __init__(
        self,
        request_id: int,
        flow_id: int | None,
        traffic_class: TrafficClass,
        arrived: float,
    ) -> None:
        """Start in the queue; flow_id is None for a peer's request."""
        self.request_id = request_id
        self.flow_id = flow_id
        self.traffic_class = traffic_class
        self.arrived = arrived
        self.started = arrived
        self.asked_at = arrived
        self.deadline_at = arrived + traffic_class.deadline_seconds
        self.phase = Phase.QUEUED
        #: Set if this agent's ledger keeps the request.
        self.key: LedgerKey | None = None
        self.key_expires_at = arrived
        self.portable = False
        #: Whether running it twice is harmless (RFC 9110, 9.2.1).
        self.safe = False
        #: Whether another agent passed it on or asks about it.
        self.from_peer = flow_id is None
        #: Control address of the agent whose ticket it carries.
        self.issuer: Address | None = None
        #: Whether that agent's ledger, if any, keeps it.
        self.run_only = False
        #: Whether it was passed to another agent before.
        self.moved = False
        #: Whether its caller is gone, while its outcome still matters.
        self.detached = False


class AgentState:
    """What the reducer owns; it alone changes it, in place."""

    def __init__(
        self,
        identity: AgentIdentity,
        tickets: TicketCodec,
        random: Random,
    ) -> None:
        """Start without a table."""
        self.identity = identity
        self.tickets = tickets
        self.random = random
        self.ledger = Ledger(defaults.LEDGER_ENTRIES)
        self.table: Table = EMPTY_TABLE
        self.instances: InstanceList = NO_INSTANCES
        self.service: Service | None = None
        self.row: Upstream | None = None
        self.requests: dict[int, Request] = {}
        #: Those that another agent was asked about; the timer looks at no
        #: others, because thousands of long streams may be open.
        self.asked: dict[int, Request] = {}
        #: Waiting requests in the order in which they will start.
        self.queue: list[Request] = []
        #: Requests that hold a slot.
        self.busy = 0
        #: Open flows and the requests open on each.
        self.flows: dict[int, int] = {}
        #: Handshakes that were passed on: to whom, turn and until when.
        self.handovers: dict[bytes, tuple[Address, int, float]] = {}
        self.service_seconds = defaults.INITIAL_SERVICE_SECONDS
        self.budget = defaults.BUDGET_CAP
        #: Refusals in a row, for growing retry hints.
        self.refusals = 0
        self.failures = 0
        self.down_until = identity.started
        #: Why this agent is leaving; empty if it is not.
        self.leave_causes: set[LeaveCause] = set()
        #: When callers were told that this agent is leaving.
        self.announced_at: float | None = None
        #: Flows that are being closed.
        self.ended_flows: set[int] = set()
        self.idle_since: float | None = None

    @property
    def is_leaving(self) -> bool:
        """Return whether no new work may start here."""
        return bool(self.leave_causes)

    def count_slots(self, now: float) -> int:
        """Return the slots in use now; they grow over the cold start."""
        if self.row is None:
            return 0
        age = now - self.identity.started
        cold = self.row.cold_start_seconds
        if age >= cold:
            return self.row.slots
        return max(1, int(self.row.slots * age / cold))

    def is_down(self, now: float) -> bool:
        """Return whether the upstream refused its last connections."""
        return (
            self.failures >= defaults.UPSTREAM_FAILURES
            and now < self.down_until
        )


def match_class(
    service: Service | None,
    method: str,
    path: str,
) -> TrafficClass:
    """Return the first class of a service that fits a request."""
    for row in service.classes if service else ():
        fits_method = row.method in {'', method}
        if fits_method and path.startswith(row.path_prefix):
            return row
    return DEFAULT_CLASS
