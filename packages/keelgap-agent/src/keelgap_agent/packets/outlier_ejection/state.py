"""State that outlier ejection keeps about the upstream of an agent."""

from typing import NamedTuple

from keelgap_agent.packets.events import EnvelopeArrived
from keelgap_agent.packets.outlier_ejection import defaults
from keelgap_agent.packets.outlier_ejection.ejection import Ejection
from keelgap_agent.packets.outlier_ejection.score import OutlierScore

__all__ = ('AbandonedFlow', 'OutcomeTracker', 'InFlightRequest')


class InFlightRequest:
    """A request that the upstream has received and not yet answered."""

    __slots__ = ('responses_before', 'requests_ahead', 'key', 'last_packet_at')

    def __init__(
        self, key: bytes, now: float, responses: int, busy: int
    ) -> None:
        """Start with the first packet of the request."""
        self.key = key
        #: When the latest packet of the request was sent to the upstream.
        self.last_packet_at = now
        #: Responses of the upstream before this request arrived.
        self.responses_before = responses
        #: Requests in flight when this one arrived.
        self.requests_ahead = busy


class AbandonedFlow(NamedTuple):
    """A queued flow that was then reset or returned to its balancer."""

    abandoned_at: float
    #: Whether the caller got a reset; otherwise the flow was returned to its
    #: balancer, which continued with it.
    is_reset: bool


class OutcomeTracker:
    """Requests in flight at the upstream, and its score and ejection."""

    def __init__(self, now: float) -> None:
        """Start without any request."""
        self.score = OutlierScore()
        self.ejection = Ejection()
        #: Whether a change of the ejection must be reported to all balancers.
        self.has_unreported_change = False
        #: Balancers with outdated information, which get a report before
        #: anything else that is sent to them.
        self.stale_balancers: set[str] = set()
        #: Number of responses of the upstream so far.
        self.responses = 0
        #: Requests in flight, the one without a packet for longest first.
        self.in_flight: dict[InFlightRequest, None] = {}
        #: Requests that were counted as silent and are still in flight.
        self.timed_out: set[InFlightRequest] = set()
        #: Opening packets without a reply by flow key, oldest first.
        self.unanswered_openings: dict[bytes, EnvelopeArrived] = {}
        #: Flows that were reset or returned to their balancer, by flow key,
        #: oldest first.
        self.abandoned_flows: dict[bytes, AbandonedFlow] = {}
        self.started_at = now
        #: Since when this process has run without a pause.
        self.running_since = now
        self.ticked_at = now

    def start_tracking(
        self, key: bytes, now: float, busy: int
    ) -> InFlightRequest:
        """Start to track a request that is sent to the upstream."""
        request = InFlightRequest(key, now, self.responses, busy)
        self.in_flight[request] = None
        return request

    def record_packet(self, request: InFlightRequest, now: float) -> None:
        """Record that another packet of a request was sent."""
        if request in self.timed_out:
            return
        self.in_flight.pop(request)
        self.in_flight[request] = None
        request.last_packet_at = now

    def untrack(self, request: InFlightRequest) -> None:
        """Stop tracking a request that is no longer in flight."""
        self.in_flight.pop(request, None)
        self.timed_out.discard(request)

    def mark_timed_out(self, request: InFlightRequest) -> None:
        """Mark a request for which no response is expected any more."""
        self.in_flight.pop(request, None)
        self.timed_out.add(request)

    def record_response(self, request: InFlightRequest | None) -> None:
        """Count a response; correct the score if its request had timed out.

        A response to a request that was counted as silent shows that the
        upstream is slow rather than unresponsive.
        """
        self.responses += 1
        if request in self.timed_out:
            self.score.undo_timeout()
            self.ejection.is_unresponsive = False

    def would_time_out(self, key: bytes) -> bool:
        """Return whether a request sent to the upstream now is surely lost.

        That is so if the upstream is ejected and has sent no response since
        it received a request that is silent.  Only trials show whether it
        has recovered.
        """
        if not self.ejection.is_ejected or self.ejection.is_admitted(key):
            return False
        return any(
            request.responses_before == self.responses
            for request in self.timed_out
        )

    def count_ignored(self) -> int:
        """Return how many requests in flight do not count against capacity.

        While the upstream is ejected, these are the requests that timed out,
        so that trials can use their capacity.  Otherwise there are none.
        """
        return len(self.timed_out) if self.ejection.is_ejected else 0

    def forget(self, key: bytes) -> None:
        """Discard the opening packet and the trial of a flow, if any."""
        self.unanswered_openings.pop(key, None)
        self.ejection.forget(key)

    def abandon(self, key: bytes, now: float, *, is_reset: bool) -> None:
        """Remember a queued flow that was reset or returned."""
        self.forget(key)
        if len(self.abandoned_flows) >= defaults.MAX_ABANDONED:
            self.abandoned_flows.pop(next(iter(self.abandoned_flows)))
        self.abandoned_flows[key] = AbandonedFlow(now, is_reset)

    def tick(self, now: float) -> None:
        """Detect pauses of this process, expire old entries, update trials."""
        if now - self.ticked_at > defaults.PROCESS_PAUSE_SECONDS:
            self.running_since = now
        self.ticked_at = now
        limit = now - defaults.ABANDONED_SECONDS
        for key, flow in tuple(self.abandoned_flows.items()):
            if flow.abandoned_at > limit:
                break
            self.abandoned_flows.pop(key)
        was_wanted = self.ejection.wants_trial
        self.ejection.update(now)
        self.has_unreported_change |= self.ejection.wants_trial != was_wanted
