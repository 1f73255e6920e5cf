"""What an agent knows of each flow, and of those that wait for room."""

from collections.abc import Iterable
from typing import Final, NamedTuple

from keelgap_agent.packets import defaults
from keelgap_agent.packets.events import EnvelopeArrived
from keelgap_agent.packets.outcomes.state import Work
from keelgap_agent.packets.scheduling.terms import RouteTerms

__all__ = ('Flow', 'Held', 'SeenRequest')

#: Sequence numbers begin anew after so many.
_SEQUENCE_NUMBERS: Final = 0x100000000
_HALF: Final = _SEQUENCE_NUMBERS // 2


class SeenRequest(NamedTuple):
    """A request whose beginning a packet showed."""

    request_id: str
    #: When that packet came.
    began: float


class Flow:
    """One flow as seen from the packets of its ends."""

    __slots__ = (
        'asked_by',
        'busy_since',
        'caller_sequence',
        'confirmed',
        'ended',
        'found_busy',
        'is_registered',
        'opened_with',
        'requests',
        'seen',
        'terms',
        'work',
    )

    def __init__(self, now: float) -> None:
        """Start with the first packet towards the upstream."""
        #: Time of the last packet of either end.
        self.seen = now
        #: Number of the latest data octets seen from the caller.
        self.caller_sequence: int | None = None
        #: Whether the upstream sent a packet of it.
        self.confirmed = False
        #: Whether an end closed or reset it.
        self.ended = False
        #: Since when the upstream works on a request of it.
        self.busy_since: float | None = None
        #: Requests at the upstream when that one came.
        self.found_busy = 0
        #: Requests seen and not answered yet, oldest first; for logs only.
        self.requests: list[SeenRequest] = []
        #: Balancer to tell once the upstream shows that it holds the flow.
        self.asked_by: str | None = None
        #: Whether the directory of the service was told of it.
        self.is_registered = False
        #: What its route says of later requests, if this process knows.
        self.terms: RouteTerms | None = None
        #: Number of the upstream's opening packet, until it sends others.
        self.opened_with: int | None = None
        #: The request at work, if outcomes are judged.
        self.work: Work | None = None

    def is_ahead(self, sequence: int) -> bool:
        """Return whether data with this number was not seen before."""
        latest = self.caller_sequence
        if latest is None:
            return True
        return 0 < (sequence - latest) % _SEQUENCE_NUMBERS < _HALF

    def sort(self, sequences: Iterable[int]) -> list[int]:
        """Return numbers of data in the order in which it was written."""
        latest = self.caller_sequence
        if latest is None:
            return sorted(sequences)
        return sorted(
            sequences,
            key=lambda sequence: (sequence - latest) % _SEQUENCE_NUMBERS,
        )


class Held(NamedTuple):
    """A request that waits until the upstream has room.

    The first of a new flow, from its opening packet on, or a later one.
    """

    #: When its opening packet came, or the first of a later request.
    came: float
    #: 0 goes first.
    priority: int
    #: Until when an answer is not late.
    in_time: float
    #: Until when its caller surely waits.
    assured: float
    #: When its caller leaves at the latest.
    leaves: float
    #: Whether the caller waits since before this service could be reached.
    is_from_outage: bool
    #: Packets of the request so far, by the number of their first octet.
    packets: dict[int, EnvelopeArrived]
    #: Whether earlier requests of its flow were passed on.
    is_later: bool = False

    def rank(self, now: float, answer: float) -> tuple[int, int, float]:
        """Return the place in the queue; the highest goes first.

        An answer takes ``answer`` seconds.  Callers from an outage come
        first when they are about to leave.  Then come those that can be
        answered in time, by priority, and the late ones who leave first.
        Who would leave before the answer comes last.
        """
        start = now + answer
        if self.is_from_outage:
            # Who is still here has proved that this was its first try.
            due = self.assured if now < self.assured else self.leaves
            if 0 < due - start < defaults.RESCUE_SECONDS:
                return 2, 0, -due
        if start < self.in_time:
            return 1, -self.priority, self.in_time
        return -int(start >= self.leaves), -self.priority, -self.leaves
