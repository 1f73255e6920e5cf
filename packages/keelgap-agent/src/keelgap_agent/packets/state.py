"""State of a packet agent; its reducer alone changes it, in place."""

from collections.abc import Iterable
from typing import Final, NamedTuple

from keelgap.catalog.defaults import ENTRY_RETURN_SECONDS
from keelgap.packets.directory import (
    NO_DIRECTORY,
)
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
from keelgap_agent.packets.cold import ColdBound
from keelgap_agent.packets.conf import (
    NO_WARM_UP_SETTINGS,
    WarmUpSettings,
)
from keelgap_agent.packets.directory_state import Directory
from keelgap_agent.packets.effects import SendToPeer, SendToUpstream
from keelgap_agent.packets.events import EnvelopeArrived
from keelgap_agent.packets.outcomes.state import Outcomes, Work
from keelgap_agent.packets.pace import Pace
from keelgap_agent.packets.room import Room
from keelgap_agent.packets.scheduling.terms import RouteTerms
from keelgap_agent.packets.scheduling.work import Workload

__all__ = (
    'AgentState',
    'Balancers',
    'Flow',
    'Held',
    'Registrar',
    'SeenRequest',
    'Stream',
)

#: A mark has 32 bits: the balancer's number, the hop, the kind.
_HOP_SHIFT: Final = 8
_NUMBER_SHIFT: Final = 16
_OCTET: Final = 255
_MAX_NUMBER: Final = 65535
#: Sequence numbers begin anew after so many.
_SEQUENCE_NUMBERS: Final = 0x100000000
_HALF: Final = _SEQUENCE_NUMBERS // 2
_MILLISECONDS: Final = 1000


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


class Balancers:
    """The balancers that send here, with a number each for marks."""

    def __init__(self, now: float) -> None:
        """Start with none."""
        self.hosts: list[str] = []
        self.numbers: dict[str, int] = {}
        #: When each was last heard to want reports.
        self.greeted: dict[str, float] = {}
        #: The form of reports that each reads, where it said so.
        self.report_formats: dict[str, int] = {}
        #: Those that offered a flow since the last reports.
        self.owed: set[str] = set()
        #: What all of them were told last, and when.
        self.reported: LoadReport | None = None
        self.reported_at = now

    def make_mark(self, host: str, hop: int, kind: int) -> int:
        """Return the mark that names where a packet came from."""
        number = self.numbers.get(host)
        if number is None:
            number = self._add(host)
        return number << _NUMBER_SHIFT | hop << _HOP_SHIFT | kind

    def read_mark(self, mark: int) -> tuple[str | None, int, int]:
        """Return balancer, hop and kind of a mark.

        No balancer if this process gave no such mark, for instance because
        it is younger than the packet.
        """
        number = mark >> _NUMBER_SHIFT
        host = self.hosts[number] if number < len(self.hosts) else None
        return host, mark >> _HOP_SHIFT & _OCTET, mark & _OCTET

    def _add(self, host: str) -> int:
        if len(self.hosts) >= _MAX_NUMBER:
            # Marks live for milliseconds, so numbers can be given anew.
            self.hosts = []
            self.numbers = {}
        number = len(self.hosts)
        self.hosts.append(host)
        self.numbers[host] = number
        return number


class Stream:
    """Registrations that one directory node is sent."""

    __slots__ = ('began', 'end', 'number', 'sent_at')

    def __init__(self, number: int, now: float) -> None:
        """Start before the first registration."""
        self.number = number
        self.began = now
        self.sent_at = now
        #: Flows registered in this stream so far.
        self.end = 0


class Registrar:
    """What this agent tells the directory of its service."""

    def __init__(self, own: str, now: float) -> None:
        """Start without a directory."""
        #: Host of this agent; without one it takes part in no directory.
        self.own = own
        self.began = now
        #: Stands for this start of the process, for some weeks.
        self.boot = int(now * _MILLISECONDS) % _SEQUENCE_NUMBERS
        self.directory = NO_DIRECTORY
        #: Whether a balancer ever greeted this process.
        self.is_greeted = False
        #: When one was asked to.
        self.asked_at = float('-inf')
        #: Towards each node, by host.
        self.streams: dict[str, Stream] = {}
        self.stream_number = 0
        #: Stands for the upstream's id; 0 until a balancer tells.
        self.upstream_tag = 0
        self.upstream_revision = 0
        #: Whether this process has seen each flow that the upstream holds.
        self.is_complete = False


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

    def change_service(self, service: str) -> None:
        """Take no packets of another service any more."""
        self.service_tag = compute_service_tag(service)
        self.registrar.streams.clear()
        self.registrar.directory = NO_DIRECTORY

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
