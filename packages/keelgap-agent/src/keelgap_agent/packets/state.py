"""State of a packet agent; its reducer alone changes it, in place."""

from typing import Final

from keelgap.catalog.defaults import ENTRY_RETURN_SECONDS
from keelgap.packets.envelopes import (
    Envelope,
    EnvelopeKind,
    LoadReport,
    Stamp,
    compute_service_tag,
)
from keelgap.packets.features import NO_FEATURES, Features
from keelgap.packets.formats import PacketFormat
from keelgap_agent.packets import defaults
from keelgap_agent.packets.balancers import Balancers
from keelgap_agent.packets.cold import ColdBound
from keelgap_agent.packets.conf import (
    NO_WARM_UP_SETTINGS,
    WarmUpSettings,
)
from keelgap_agent.packets.directory_state import Directory
from keelgap_agent.packets.effects import SendToPeer, SendToUpstream
from keelgap_agent.packets.flows import Flow, Held
from keelgap_agent.packets.outcomes.state import Outcomes
from keelgap_agent.packets.pace import Pace
from keelgap_agent.packets.registrar import Registrar
from keelgap_agent.packets.room import Room
from keelgap_agent.packets.scheduling.work import Workload

__all__ = ('AgentState',)

_MILLISECONDS: Final = 1000


class AgentState:
    """All that a packet agent holds."""

    def __init__(
        self,
        packet_format: PacketFormat,
        service: str,
        now: float,
        own: str = '',
        warm_up: WarmUpSettings = NO_WARM_UP_SETTINGS,
        features: Features = NO_FEATURES,
    ) -> None:
        """Start without flows; ``own`` is the host of this agent."""
        self.format = packet_format
        self.features = features
        self.service_tag = compute_service_tag(service)
        self.balancers = Balancers(now)
        self.flows: dict[bytes, Flow] = {}
        self.registrar = Registrar(own, now)
        self.directory = Directory(now)
        self.room = Room(now)
        self.cold = ColdBound(warm_up.excess, warm_up.slack, now)
        self.outcomes = Outcomes(now)
        #: Whether the operators took the availability zone out of service.
        self.is_evacuated = False
        #: Revision of the catalog that says so, or that it is in service.
        self.zone_revision = 0
        self.work = Workload()
        #: Requests that wait for room, and new flows whose first request has
        #: not come, by key.
        self.held: dict[bytes, Held] = {}
        self.slots = defaults.FIRST_SLOTS
        self.answer_seconds: float = 0
        self.pace = Pace()
        #: When an opening packet came last.
        self.opening_at = float('-inf')
        #: When the first came after a time without any.
        self.resumed_at = now
        #: Latest change of the store that a balancer told of.
        self.latest_change = 0
        #: When a balancer told last that it does not reach the store.
        self.store_missed_at = float('-inf')
        self.stopping_since: float | None = None
        self.swept_at = now

    def judge_anew(self, now: float) -> None:
        """Forget outcomes and pace: another upstream has started."""
        for flow in self.flows.values():
            flow.work = None
        given_up = self.outcomes.given_up
        self.outcomes = Outcomes(now)
        self.outcomes.given_up = given_up
        self.outcomes.has_news = self.features.ejection
        self.pace = Pace()

    def change_service(self, service: str, now: float) -> None:
        """Take no packets of another service any more.

        What was told and registered belongs to the former service; nodes of
        this one may still speak for an earlier time when it was served here.
        Where the service stays, so does all that: nodes go on to speak for this
        agent, so it must go on to register.
        """
        tag = compute_service_tag(service)
        if tag == self.service_tag:
            return
        self.service_tag = tag
        self.registrar.forget_directory()
        self.directory = Directory(now)

    def note_stamp(self, stamp: Stamp, now: float) -> None:
        """Take what a balancer knows of the store, to pass it on."""
        self.latest_change = max(self.latest_change, stamp.latest_change)
        if stamp.may_lack_entries:
            self.store_missed_at = now

    def make_stamp(self, now: float) -> Stamp:
        """Return what balancers told of the store lately."""
        since = now - self.store_missed_at
        return Stamp(self.latest_change, since < ENTRY_RETURN_SECONDS)

    def make_report(self) -> LoadReport:
        """Return what balancers should know now."""
        return LoadReport(
            busy=self.busy + len(self.held),
            flows=len(self.flows),
            answer_ms=int(self.answer_seconds * _MILLISECONDS),
            closed=self.stopping_since is not None or self.is_evacuated,
            is_ejected=self.outcomes.ejection.is_out,
            wants_trial=self.outcomes.ejection.wants_trial,
            waiting=len(self.held),
            work_ms=self.pace.milliseconds,
        )

    def send(
        self,
        host: str,
        kind: EnvelopeKind,
        content: bytes,
        hop: int = 0,
    ) -> SendToPeer:
        """Return the effect that sends an envelope to a balancer."""
        envelope = Envelope(kind, hop, 0, 0, 0, self.service_tag, content)
        return SendToPeer(host, envelope)

    def give_back(
        self,
        host: str,
        envelope: Envelope,
        room_ms: int = 0,
    ) -> SendToPeer:
        """Return the effect that gives a packet back to its balancer.

        ``room_ms`` says when there would be room, if that is the reason.
        """
        miss = self.send(
            host,
            EnvelopeKind.MISS,
            envelope.content,
            envelope.hop,
        )
        told = miss.envelope._replace(left_ms=room_ms)
        return miss._replace(envelope=told)

    def pass_on(self, host: str, envelope: Envelope) -> SendToUpstream:
        """Return the effect that hands a packet to the upstream.

        Its mark leads a bounce back to the balancer.
        """
        mark = self.balancers.make_mark(host, envelope.hop, envelope.kind)
        return SendToUpstream(self.format.with_mark(envelope.content, mark))

    @property
    def busy(self) -> int:
        """Return how many requests are at work at the upstream."""
        return len(self.work.flows)

    @property
    def has_room(self) -> bool:
        """Return whether the upstream has a place for another request.

        To pass requests on use ``scheduling.order.has_room``, which also knows
        of overdue ones.
        """
        at_work = self.busy - self.outcomes.count_stuck()
        return at_work < self.slots + defaults.EXTRA_SLOTS

    def note_opening(self, now: float) -> None:
        """Note an opening packet; the first ones may end an outage."""
        if now - self.opening_at > defaults.OUTAGE_SECONDS:
            self.resumed_at = now
        self.opening_at = now

    def note_data(self, flow: Flow, sequence: int, now: float) -> bool:
        """Note data of a caller; return whether it is new.

        Copies of earlier data are no new work.
        """
        if not flow.is_ahead(sequence):
            return False
        flow.caller_sequence = sequence
        if flow.ended:
            return False
        self.start_request(flow, now)
        return True

    def start_request(self, flow: Flow, now: float) -> None:
        """Note data of a caller: the upstream has work."""
        if flow.busy_since is None:
            flow.busy_since = now
            flow.found_busy = self.busy
            self.work.flows[flow] = None

    def end_request(self, flow: Flow, now: float) -> None:
        """Note data of the upstream: it answers."""
        if flow.busy_since is None:
            return
        taken = now - flow.busy_since
        # The first answer of all stands for itself.
        weight = defaults.ANSWER_WEIGHT if self.answer_seconds else 1
        self.answer_seconds += weight * (taken - self.answer_seconds)
        self.cancel_request(flow)
        self.room.note_answer(now, is_full=self.busy >= self.slots)

    def note_work(self, flow: Flow, datagram: bytes, now: float) -> None:
        """Learn from an answer how long requests keep a slot at work."""
        if not self.features.placement or flow.busy_since is None:
            return
        if self.format.read_status(datagram) < defaults.FIRST_UNSERVED_STATUS:
            taken = now - flow.busy_since
            self.pace.note(taken, flow.found_busy, self.slots)

    def cancel_request(self, flow: Flow) -> None:
        """Note that the upstream does not work on a flow's request."""
        if flow.busy_since is not None:
            flow.busy_since = None
            self.work.flows.pop(flow, None)
        if flow.work is not None:
            self.outcomes.end(flow.work)
            flow.work = None

    def forget(self, key: bytes) -> None:
        """Drop a flow."""
        self.held.pop(key, None)
        self.outcomes.forget(key)
        flow = self.flows.pop(key, None)
        if flow is not None:
            self.cancel_request(flow)
