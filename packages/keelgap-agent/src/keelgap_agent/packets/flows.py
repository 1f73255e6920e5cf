"""State of each flow and of each queued request."""

from collections.abc import Iterable
from typing import Final, NamedTuple

from keelgap_agent.packets import defaults
from keelgap_agent.packets.events import EnvelopeArrived
from keelgap_agent.packets.outlier_ejection.state import InFlightRequest
from keelgap_agent.packets.scheduling.route_policy import RoutePolicy

__all__ = ('Flow', 'QueuedRequest', 'LoggedRequest')

#: Sequence numbers have 32 bits and wrap around.
_SEQUENCE_NUMBERS: Final = 0x100000000
_HALF: Final = _SEQUENCE_NUMBERS // 2


class LoggedRequest(NamedTuple):
    """A request whose id was read from its first packet, for logs only."""

    request_id: str
    #: When that packet arrived.
    started_at: float


class Flow:
    """State of a flow, as far as the packets of both ends show it."""

    __slots__ = (
        'searched_by',
        'busy_since',
        'caller_sequence',
        'confirmed',
        'ended',
        'busy_on_arrival',
        'is_registered',
        'initial_sequence',
        'requests',
        'last_seen_at',
        'route_policy',
        'in_flight_request',
    )

    def __init__(self, now: float) -> None:
        """Start with the first packet of the flow."""
        #: Time of the last packet of either end.
        self.last_seen_at = now
        #: Sequence number of the latest data from the caller.
        self.caller_sequence: int | None = None
        #: Whether the upstream has sent a packet of the flow.
        self.confirmed = False
        #: Whether either end closed or reset the flow.
        self.ended = False
        #: Since when the upstream works on a request of the flow.
        self.busy_since: float | None = None
        #: Requests in progress at the upstream when that request arrived.
        self.busy_on_arrival = 0
        #: Unanswered requests, oldest first; for logs only.
        self.requests: list[LoggedRequest] = []
        #: Balancer to notify once the upstream confirms that it has the flow.
        self.searched_by: str | None = None
        #: Whether the flow is registered with the directory of the service.
        self.is_registered = False
        #: Priority and deadlines of subsequent requests by route, if known.
        self.route_policy: RoutePolicy | None = None
        #: Sequence number of the upstream's opening packet, until the upstream
        #: sends data.
        self.initial_sequence: int | None = None
        #: The request in progress, if outcomes of requests are evaluated.
        self.in_flight_request: InFlightRequest | None = None

    def is_new_sequence(self, sequence: int) -> bool:
        """Return whether a sequence number of the caller is a later one."""
        latest = self.caller_sequence
        if latest is None:
            return True
        return 0 < (sequence - latest) % _SEQUENCE_NUMBERS < _HALF

    def sort_sequences(self, sequences: Iterable[int]) -> list[int]:
        """Return sequence numbers in order, also across a wrap-around."""
        latest = self.caller_sequence
        if latest is None:
            return sorted(sequences)
        return sorted(
            sequences,
            key=lambda sequence: (sequence - latest) % _SEQUENCE_NUMBERS,
        )


class QueuedRequest(NamedTuple):
    """A request that waits until the upstream has capacity for it.

    It is the first request of a new flow, queued from the opening packet on,
    or a subsequent one of an open flow.
    """

    #: When the opening packet arrived, or the first packet of a subsequent
    #: request.
    arrived_at: float
    #: 0 is the highest priority.
    priority: int
    #: Until when an answer is in time.
    deadline: float
    #: Until when the caller is certain to wait.
    earliest_departure: float
    #: When the caller leaves at the latest.
    latest_departure: float
    #: Whether the caller has waited since an outage of the service.
    is_from_outage: bool
    #: Packets of the request so far, by sequence number.
    packets: dict[int, EnvelopeArrived]
    #: Whether earlier requests of the flow were forwarded.
    is_subsequent: bool = False

    def rank(self, now: float, answer: float) -> tuple[int, int, float]:
        """Return the rank in the queue; the highest rank is served first.

        An answer is expected to take ``answer`` seconds.  Callers that waited
        through an outage rank first when they are about to leave.  Next are
        requests that can be answered in time, by priority and latest deadline,
        then late ones, by priority and earliest departure of the caller.
        Callers that would leave before the answer rank last.
        """
        start = now + answer
        if self.is_from_outage:
            # A caller that still waits after its earliest departure is at its
            # first try, and so leaves at its latest departure.
            due = (
                self.earliest_departure
                if now < self.earliest_departure
                else self.latest_departure
            )
            if 0 < due - start < defaults.LAST_CHANCE_SECONDS:
                return 2, 0, -due
        if start < self.deadline:
            return 1, -self.priority, self.deadline
        return (
            -int(start >= self.latest_departure),
            -self.priority,
            -self.latest_departure,
        )
