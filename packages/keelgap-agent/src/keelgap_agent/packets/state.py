"""State of the packet agent, modified in place by its reducer only."""

from typing import Final

from keelgap.catalog.defaults import ENTRY_RECOVERY_SECONDS
from keelgap.packets.envelopes import (
    Envelope,
    EnvelopeKind,
    LoadReport,
    Stamp,
    compute_service_tag,
)
from keelgap.packets.features import NO_FEATURES, Features
from keelgap.packets.formats import PacketFormat
from keelgap.packets.route_services import HeldRoutes
from keelgap_agent.packets import defaults
from keelgap_agent.packets.balancers import Balancers
from keelgap_agent.packets.capacity import CapacityEstimate
from keelgap_agent.packets.conf import (
    NO_WARM_UP_SETTINGS,
    WarmUpSettings,
)
from keelgap_agent.packets.directory_state import DirectoryNode
from keelgap_agent.packets.effects import SendToPeer, SendToUpstream
from keelgap_agent.packets.flows import Flow, QueuedRequest
from keelgap_agent.packets.outlier_ejection.state import OutcomeTracker
from keelgap_agent.packets.registrar import Registrar
from keelgap_agent.packets.routes import AgentRoutes
from keelgap_agent.packets.scheduling.workload import Workload
from keelgap_agent.packets.service_time import ServiceTimeEstimator
from keelgap_agent.packets.warm_up_limiter import WarmUpLimiter

__all__ = ('AgentState',)

_MILLISECONDS: Final = 1000


class AgentState:
    """The complete state of a packet agent."""

    def __init__(
        self,
        packet_format: PacketFormat,
        service: str,
        now: float,
        own_host: str = '',
        warm_up: WarmUpSettings = NO_WARM_UP_SETTINGS,
        features: Features = NO_FEATURES,
    ) -> None:
        """Start without flows; ``own_host`` is the host of this agent."""
        self.format = packet_format
        self.features = features
        self.service_tag = compute_service_tag(service)
        self.balancers = Balancers(now)
        self.flows: dict[bytes, Flow] = {}
        self.routes = AgentRoutes()
        self.registrar = Registrar(own_host, now)
        self.directory = DirectoryNode(now)
        self.capacity = CapacityEstimate(now)
        self.warm_up_limiter = WarmUpLimiter(warm_up.excess, warm_up.slack, now)
        self.outcomes = OutcomeTracker(now)
        #: Whether the operators took the availability zone out of service.
        self.is_evacuated = False
        #: Catalog revision from which ``is_evacuated`` was taken.
        self.zone_revision = 0
        self.workload = Workload()
        #: Requests that wait for a free slot, and new flows whose first request
        #: has not arrived, by flow key.
        self.queued: dict[bytes, QueuedRequest] = {}
        #: Requests that the upstream processes at once, as balancers state.
        self.slots = defaults.INITIAL_SLOTS
        #: Moving average of the time to an answer; 0 before the first one.
        self.answer_seconds: float = 0
        self.service_time = ServiceTimeEstimator()
        #: When the last opening packet arrived.
        self.last_opening_at = float('-inf')
        #: When the first opening packet arrived after a pause without any,
        #: which is taken for an outage.
        self.traffic_resumed_at = now
        #: Revision of the latest store change that a balancer reported.
        self.latest_change = 0
        #: When a balancer last reported that entries may be missing, since it
        #: did not reach the store.
        self.store_unreachable_at = float('-inf')
        #: When the process was asked to stop, if it was.
        self.stopping_since: float | None = None
        #: When old flows were last removed.
        self.swept_at = now

    def reset_outcomes(self, now: float) -> None:
        """Discard the upstream's score, ejection and service time.

        To be called after another upstream started.  Abandoned flows are kept.
        """
        for flow in self.flows.values():
            flow.in_flight_request = None
        abandoned_flows = self.outcomes.abandoned_flows
        self.outcomes = OutcomeTracker(now)
        self.outcomes.abandoned_flows = abandoned_flows
        self.outcomes.has_unreported_change = self.features.ejection
        self.service_time = ServiceTimeEstimator()

    def change_service(self, service: str, now: float) -> None:
        """Accept packets of this service only, from now on.

        If the service changes, the notice and the registrations belong to the
        former service and are dropped.  Directory nodes of the new service may
        still answer for an earlier time when it was served on this host.  If
        the service stays the same, everything is kept: the nodes continue to
        answer for this agent, so it must continue to register.
        """
        tag = compute_service_tag(service)
        if tag == self.service_tag:
            return
        self.service_tag = tag
        self.registrar.reset_directory()
        self.directory = DirectoryNode(now)
        self.routes.forget_services()

    def record_stamp(self, stamp: Stamp, now: float) -> None:
        """Record an envelope's stamp: what its sender knows of the store.

        The agent passes it on with its own envelopes.
        """
        self.latest_change = max(self.latest_change, stamp.latest_change)
        if stamp.may_lack_entries:
            self.store_unreachable_at = now

    def make_stamp(self, now: float) -> Stamp:
        """Return the stamp for sent envelopes, from those received.

        Entries may be missing from the store if a stamp recently said so.
        """
        since = now - self.store_unreachable_at
        return Stamp(self.latest_change, since < ENTRY_RECOVERY_SECONDS)

    def make_report(self) -> LoadReport:
        """Return the load report that describes the present state."""
        return LoadReport(
            busy=self.busy + len(self.queued),
            flows=len(self.flows),
            answer_ms=int(self.answer_seconds * _MILLISECONDS),
            closed=self.stopping_since is not None or self.is_evacuated,
            is_ejected=self.outcomes.ejection.is_ejected,
            wants_trial=self.outcomes.ejection.wants_trial,
            queued=len(self.queued),
            work_ms=self.service_time.milliseconds,
        )

    def send(
        self,
        host: str,
        kind: EnvelopeKind,
        content: bytes,
        hop: int = 0,
    ) -> SendToPeer:
        """Return the effect that sends an envelope to a balancer or agent."""
        envelope = Envelope(kind, hop, 0, 0, 0, self.service_tag, content)
        return SendToPeer(host, envelope)

    def return_to_balancer(
        self,
        host: str,
        envelope: Envelope,
        start_ms: int = 0,
    ) -> SendToPeer:
        """Return the effect that returns a caller's packet to its balancer.

        ``start_ms`` is the time until the upstream has capacity for the flow,
        if it is returned for lack of capacity, else 0.
        """
        miss = self.send(
            host,
            EnvelopeKind.MISS,
            envelope.content,
            envelope.hop,
        )
        returned = miss.envelope._replace(left_ms=start_ms)
        return miss._replace(envelope=returned)

    def forward_to_upstream(
        self, host: str, envelope: Envelope
    ) -> SendToUpstream:
        """Return the effect that forwards a balancer's packet to the upstream.

        The packet is marked, so that a bounce can be returned to the balancer.
        """
        mark = self.balancers.make_mark(host, envelope.hop, envelope.kind)
        return SendToUpstream(self.format.with_mark(envelope.content, mark))

    @property
    def busy(self) -> int:
        """Return the number of requests in progress at the upstream."""
        return len(self.workload.flows)

    @property
    def has_capacity(self) -> bool:
        """Return whether the upstream can take another request.

        Before forwarding a request, check ``scheduling.order.has_capacity``
        instead, which also accounts for overdue requests.
        """
        in_progress = self.busy - self.outcomes.count_ignored()
        return in_progress < self.slots + defaults.PREFETCH_COUNT

    def record_opening(self, now: float) -> None:
        """Record the arrival of an opening packet, to detect outages.

        The first one after a pause is taken for the end of an outage.
        """
        if now - self.last_opening_at > defaults.OUTAGE_PAUSE_SECONDS:
            self.traffic_resumed_at = now
        self.last_opening_at = now

    def record_data(self, flow: Flow, sequence: int, now: float) -> bool:
        """Record data that a caller sends; return whether they are new.

        New data start a request, unless one is in progress.  Retransmitted
        data and those of an ended flow do not count as new.
        """
        if not flow.is_new_sequence(sequence):
            return False
        flow.caller_sequence = sequence
        if flow.ended:
            return False
        self.start_request(flow, now)
        return True

    def start_request(self, flow: Flow, now: float) -> None:
        """Record that the upstream works on a flow's request from now on."""
        if flow.busy_since is None:
            flow.busy_since = now
            flow.busy_on_arrival = self.busy
            self.workload.flows[flow] = None

    def end_request(self, flow: Flow, now: float) -> None:
        """Record that the upstream answers or ends the request of a flow.

        Its duration updates the mean time to an answer.
        """
        if flow.busy_since is None:
            return
        duration = now - flow.busy_since
        # The first answer of all initializes the average.
        weight = defaults.ANSWER_TIME_WEIGHT if self.answer_seconds else 1
        self.answer_seconds += weight * (duration - self.answer_seconds)
        self.cancel_request(flow)
        self.capacity.record_response(now, is_full=self.busy >= self.slots)

    def record_service_time(
        self, flow: Flow, datagram: bytes, now: float
    ) -> None:
        """Update the mean service time with an answer that is not an error."""
        if not self.features.placement or flow.busy_since is None:
            return
        if self.format.read_status(datagram) < defaults.FIRST_ERROR_STATUS:
            duration = now - flow.busy_since
            self.service_time.record(duration, flow.busy_on_arrival, self.slots)

    def cancel_request(self, flow: Flow) -> None:
        """Record that the upstream no longer works on a flow's request.

        Its outcome is no longer tracked.
        """
        if flow.busy_since is not None:
            flow.busy_since = None
            self.workload.flows.pop(flow, None)
        if flow.in_flight_request is not None:
            self.outcomes.untrack(flow.in_flight_request)
            flow.in_flight_request = None

    def list_held_routes(self) -> HeldRoutes:
        """Return the routes of the flows that the upstream has shown to hold.

        They are incomplete if an agent process before this one, or a full table
        of flows, may have left flows unknown here.
        """
        knows_all = len(self.flows) < defaults.MAX_FLOWS
        return HeldRoutes(
            self.registrar.is_complete and knows_all,
            tuple(self.routes.held),
            self.registrar.predates_upstream and knows_all,
        )

    def forget(self, key: bytes) -> None:
        """Remove a flow and everything recorded about it."""
        self.queued.pop(key, None)
        self.outcomes.forget(key)
        flow = self.flows.pop(key, None)
        if flow is not None:
            self.cancel_request(flow)
