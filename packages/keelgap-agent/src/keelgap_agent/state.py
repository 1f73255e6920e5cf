"""State of an agent; it shares the lifetime of the upstream instance."""

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
    'LeaveReason',
    'Phase',
    'Request',
    'match_class',
)


class AgentIdentity(NamedTuple):
    """Identity of an agent, constant as long as its process runs."""

    data: Address
    control: Address
    #: Name of the service whose instance this agent serves.
    service: str
    #: Start time in milliseconds since the epoch; increases with each start
    #: on the same address.
    incarnation: int
    #: Time of the start in seconds, on the clock of events.
    started_at: float


class LeaveReason(Enum):
    """Sources that can report this agent as leaving."""

    TABLE = 'table'
    INSTANCE_LIST = 'list'
    UPSTREAM = 'upstream'
    #: SIGTERM, the only source that cannot be withdrawn.
    SIGNAL = 'signal'


class Phase(Enum):
    """Phases of a request."""

    QUEUED = 'queued'
    RUNNING = 'running'
    #: Another agent was asked to run it.
    PASSED_ON = 'passed'
    #: The issuer of its ticket was asked for the outcome.
    ASKING_ISSUER = 'asking'
    #: It waits for an earlier attempt with the same key at this agent.
    WAITING_FOR_OUTCOME = 'waiting'


class Request:
    """A request without a final answer."""

    __slots__ = (
        'arrived_at',
        'asked_at',
        'deadline_at',
        'detached',
        'flow_id',
        'from_peer',
        'issuer',
        'key',
        'key_expires_at',
        'was_passed_on',
        'phase',
        'portable',
        'request_id',
        'run_only',
        'is_safe',
        'started_at',
        'traffic_class',
    )

    def __init__(
        self,
        request_id: int,
        flow_id: int | None,
        traffic_class: TrafficClass,
        arrived_at: float,
    ) -> None:
        """Start as queued; flow_id is None for a peer's request."""
        self.request_id = request_id
        self.flow_id = flow_id
        self.traffic_class = traffic_class
        self.arrived_at = arrived_at
        self.started_at = arrived_at
        self.asked_at = arrived_at
        self.deadline_at = arrived_at + traffic_class.deadline_seconds
        self.phase = Phase.QUEUED
        #: Set if the request is in this agent's ledger.
        self.key: LedgerKey | None = None
        self.key_expires_at = arrived_at
        self.portable = False
        #: Whether its method is safe to repeat (RFC 9110, 9.2.1).
        self.is_safe = False
        #: Whether it came from another agent.
        self.from_peer = flow_id is None
        #: Control address of the issuer of its ticket, set when it is asked.
        self.issuer: Address | None = None
        #: Whether the asking agent keeps it in its ledger, if it has a key.
        self.run_only = False
        #: Whether it was passed on to another agent before.
        self.was_passed_on = False
        #: Whether its caller has left while its outcome is still needed.
        self.detached = False


class AgentState:
    """State of the reducer, which alone changes it."""

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
        self.ledger = Ledger(defaults.MAX_LEDGER_ENTRIES)
        self.table: Table = EMPTY_TABLE
        self.instances: InstanceList = NO_INSTANCES
        self.service: Service | None = None
        self.row: Upstream | None = None
        self.requests: dict[int, Request] = {}
        #: Requests that wait for another agent.  The timer checks only these,
        #: because thousands of long streams may be open.
        self.awaiting_peer: dict[int, Request] = {}
        #: Queued requests in the order in which they will start.
        self.queue: list[Request] = []
        #: Number of requests that hold a slot.
        self.busy = 0
        #: Number of open requests of each open flow.
        self.flows: dict[int, int] = {}
        #: Handshakes that were handed over, by the caller's connection id:
        #: agent, its index in the candidates and time of expiry.
        self.handovers: dict[bytes, tuple[Address, int, float]] = {}
        self.service_seconds = defaults.INITIAL_SERVICE_TIME_SECONDS
        self.handover_budget = defaults.MAX_HANDOVER_BUDGET
        #: Refusals since a request was last started; the backoff grows with it.
        self.consecutive_refusals = 0
        self.consecutive_failures = 0
        self.down_until = identity.started_at
        #: Why this agent is leaving; empty while it is not.
        self.leave_reasons: set[LeaveReason] = set()
        #: When GOAWAY was sent to callers.
        self.goaway_sent_at: float | None = None
        #: Flows for which EndFlow was returned.
        self.closing_flows: set[int] = set()
        self.idle_since: float | None = None

    @property
    def is_leaving(self) -> bool:
        """Return whether no new work may start here."""
        return bool(self.leave_reasons)

    def count_slots(self, now: float) -> int:
        """Return the number of slots, each for one running request.

        The number grows during a cold start.
        """
        if self.row is None:
            return 0
        age = now - self.identity.started_at
        cold_start_seconds = self.row.cold_start_seconds
        if age >= cold_start_seconds:
            return self.row.slots
        return max(1, int(self.row.slots * age / cold_start_seconds))

    def is_down(self, now: float) -> bool:
        """Return whether repeated failures keep the upstream out of use."""
        return (
            self.consecutive_failures >= defaults.MAX_UPSTREAM_FAILURES
            and now < self.down_until
        )


def match_class(
    service: Service | None,
    method: str,
    path: str,
) -> TrafficClass:
    """Return the first traffic class of a service that matches."""
    for row in service.classes if service else ():
        matches_method = row.method in {'', method}
        if matches_method and path.startswith(row.path_prefix):
            return row
    return DEFAULT_CLASS
