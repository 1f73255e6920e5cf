"""Encoding of the datagrams between balancers and agents.

The header consists of kind, hop, slots and priority (1 octet each), time left
(2) and service tag (4), followed by the sender's stamp: a revision (8) and a
flag (1), all in network byte order.  The content follows: a packet, a flow key
or a report, for example.  In OPEN and TRY envelopes three durations in
milliseconds (2 octets each) precede the packet.  Packets have at most 1,240
octets, so that datagrams are not fragmented.
"""

import struct
from enum import IntEnum
from typing import Final, NamedTuple
from zlib import crc32

from keelgap.packets.exceptions import MalformedEnvelope

__all__ = (
    'HEADER_LENGTH',
    'UNKNOWN_WAIT',
    'OPENING_KINDS',
    'NO_STAMP',
    'Envelope',
    'EnvelopeKind',
    'CallerWait',
    'LoadReport',
    'LONG_REPORT_LENGTH',
    'REPORT_FORMAT',
    'ROUTES_REPORT_FORMAT',
    'Stamp',
    'MalformedEnvelope',
    'compute_service_tag',
    'is_without_routes',
    'pack_envelope',
    'pack_report',
    'unpack_envelope',
    'unpack_report',
)

_HEADER: Final = struct.Struct('!BBBBhIQ?')
_CALLER_WAIT: Final = struct.Struct('!HHH')
#: Busy, flows, answer_ms and flags; the whole report in earlier releases.
_REPORT: Final = struct.Struct('!HHHB')
#: Fields ``queued`` and ``work_ms``.
_REPORT_EXTENSION: Final = struct.Struct('!HH')
#: Octets of a report in its long form, without the routes that may follow.
LONG_REPORT_LENGTH: Final = _REPORT.size + _REPORT_EXTENSION.size
#: Flags of a report.  Earlier releases interpret any of them as closed.
_CLOSED_FLAG: Final = 1
_EJECTED_FLAG: Final = 2
_WANTS_TRIAL_FLAG: Final = 4
#: The agent states HeldRoutes when asked; sent from ROUTES_REPORT_FORMAT on.
_STATES_ROUTES_FLAG: Final = 8
#: Latest format of reports.  A balancer sends the format that it reads in the
#: hop field of HELLO and ASK envelopes; earlier releases send 0.
REPORT_FORMAT: Final = 2
#: First format in which HeldRoutes may follow a report.
ROUTES_REPORT_FORMAT: Final = 2
HEADER_LENGTH: Final = _HEADER.size
#: Upper bounds of the unsigned and signed header and report fields.
_MAX_UINT16: Final = 65535
_MAX_UINT8: Final = 255
_MAX_INT16: Final = 32767


class EnvelopeKind(IntEnum):
    """Kinds of envelopes, with their direction and meaning."""

    #: Balancer to agent: a packet of a flow that the agent is expected to
    #: hold.
    FORWARD = 1
    #: Balancer to agent: the first packet of a flow.
    OPEN = 2
    #: Balancer to agent: asks whether the agent holds the flow of a packet.
    SEARCH = 3
    #: Agent to balancer: returns a packet whose flow the agent does not hold
    #: or declines.
    MISS = 4
    #: Agent to balancer: the agent holds the flow; the content is its key.
    OWNED = 5
    #: Balancer to agent: requests load reports for some seconds; the content
    #: is an UpstreamNotice.
    HELLO = 6
    #: Agent to balancer: the content is a LoadReport.
    REPORT = 7
    #: Balancer to balancer: the state and the peers known to the sender.
    GOSSIP = 8
    #: Balancer to agent: requests a single load report; the content is an
    #: UpstreamNotice.  Agent to balancer: requests a notice; the content is
    #: empty.
    ASK = 9
    #: Agent to directory node: registers flows; the content is a
    #: Registration.
    REGISTER = 10
    #: Directory node to agent: requests a new stream of registrations; the
    #: content is empty.
    RESYNC = 11
    #: Balancer to directory node: the content is a LookupRequest.
    LOOKUP = 12
    #: Directory node to balancer: the content is a LookupResponse.
    FOUND = 13
    #: Directory node to balancer: the content is a Coverage.
    COVERED = 14
    #: Balancer to agent: like OPEN, for a request that its caller may repeat.
    #: Serves as a trial whether an ejected upstream has recovered.
    TRY = 15
    #: Balancer to balancer: callers that were just refused; the content is a
    #: list of RefusedCaller.
    REFUSED = 16
    #: Balancer to balancer: a balancer that just started asks for the hosts
    #: that others list; the content is a ServedHostsRequest.
    SERVED_ASKED = 17
    #: Balancer to balancer: the response; the content is a list of
    #: ServedHost.
    SERVED_TOLD = 18
    #: Between balancers and agents: services that may hold flows of routes
    #: which do not lead to them; the content is a list of RouteService.  An
    #: agent sends it before each MISS and FOUND that depends on it.
    ROUTE_SERVICES = 19
    #: Agent to balancer: the agent holds a flow of a route for the first time;
    #: the content is HeldRoutes, which may also follow a LoadReport.
    HELD_ROUTES = 20


_KINDS: Final = frozenset(int(kind) for kind in EnvelopeKind)
#: Kinds that carry the first packet of a flow, and a CallerWait.
OPENING_KINDS: Final = frozenset((EnvelopeKind.OPEN, EnvelopeKind.TRY))


class CallerWait(NamedTuple):
    """How long the caller of a new flow has waited, and may wait further."""

    #: Milliseconds since its first attempt at the request; 0 if unknown.
    age_ms: int
    #: Milliseconds until it gives up, if this is its first attempt.
    max_remaining_ms: int
    #: Milliseconds until it gives up at the earliest, which is the case if
    #: this is its second attempt.
    min_remaining_ms: int


#: For a caller about whom nothing is known; no request lasts longer.
UNKNOWN_WAIT: Final = CallerWait(0, _MAX_UINT16, _MAX_UINT16)


class Envelope(NamedTuple):
    """A datagram between balancers and agents, without the sender's Stamp."""

    #: One of EnvelopeKind.
    kind: int
    #: Number of agents asked before this one.  In HELLO and ASK: the format
    #: of reports that the sender reads.
    hop: int
    #: Requests that the upstream runs concurrently, according to the
    #: balancer; 0 if unknown.  In MISS and FOUND: 1 if ROUTE_SERVICES
    #: precedes, without which the denial does not count; else 0.
    slots: int
    #: Priority of a caller's packet; 0 is served first under overload.
    priority: int
    #: For a new flow: milliseconds until a response would be late; negative
    #: if it is late already.  For an open flow: milliseconds within which the
    #: response to a new request is in time; 0 if the balancer does not know,
    #: in which case the priority is meaningless.  For MISS: milliseconds until
    #: there would be capacity; 0 if lack of capacity is not the reason.
    left_ms: int
    #: Tag of the service for which the envelope is meant.
    service_tag: int
    #: Packet, flow key or message, depending on the kind.
    content: bytes
    #: Set for new flows only.
    wait: CallerWait = UNKNOWN_WAIT


class Stamp(NamedTuple):
    """What the sender of an envelope knows about the state of the store."""

    #: Revision of the latest change of the store known to the sender from any
    #: source; 0 if none.
    latest_change: int
    #: Whether entries of live upstreams may be missing from the store,
    #: because a balancer recently failed to reach it.
    may_lack_entries: bool


#: For a sender that knows nothing about the store.
NO_STAMP: Final = Stamp(0, may_lack_entries=False)


class LoadReport(NamedTuple):
    """Load and health of an upstream, as reported by its agent."""

    #: Requests that run at the upstream, plus new flows queued for it.
    busy: int
    #: Number of open flows.
    flows: int
    #: Mean milliseconds until the first octet of a response; 0 if unknown.
    answer_ms: int
    #: Whether the agent or its upstream accepts no new flows.
    closed: bool
    #: Whether the upstream is ejected because it fails requests.  Its agent
    #: accepts only TRY envelopes, and flows that no other agent accepted.
    is_ejected: bool = False
    #: Whether a repeatable request should be sent as a trial.
    wants_trial: bool = False
    #: Number of requests among ``busy`` that are queued at the agent.
    queued: int = 0
    #: Mean milliseconds for which a request occupies a slot of the upstream;
    #: 0 if unknown.
    work_ms: int = 0


def compute_service_tag(service: str) -> int:
    """Return the CRC-32 of a service name, which envelopes carry."""
    return crc32(service.encode())


def pack_envelope(envelope: Envelope, stamp: Stamp) -> bytes:
    """Encode an envelope and the sender's stamp as a datagram.

    Values that exceed the range of their field are clamped.
    """
    header = _HEADER.pack(
        envelope.kind,
        min(envelope.hop, _MAX_UINT8),
        min(envelope.slots, _MAX_UINT8),
        min(envelope.priority, _MAX_UINT8),
        max(min(envelope.left_ms, _MAX_INT16), -_MAX_INT16),
        envelope.service_tag,
        *stamp,
    )
    if envelope.kind in OPENING_KINDS:
        header += _CALLER_WAIT.pack(
            *(max(min(ms, _MAX_UINT16), 0) for ms in envelope.wait)
        )
    return header + envelope.content


def unpack_envelope(datagram: bytes) -> tuple[Envelope, Stamp]:
    """Decode a datagram into an envelope and the sender's stamp.

    Raises MalformedEnvelope if it is too short or of an unknown kind.
    """
    if len(datagram) < HEADER_LENGTH or datagram[0] not in _KINDS:
        raise MalformedEnvelope(len(datagram))
    *header, latest_change, may_lack_entries = _HEADER.unpack_from(datagram)
    stamp = Stamp(latest_change, may_lack_entries)
    start = HEADER_LENGTH
    wait = UNKNOWN_WAIT
    if datagram[0] in OPENING_KINDS:
        start += _CALLER_WAIT.size
        if len(datagram) < start:
            raise MalformedEnvelope(len(datagram))
        wait = CallerWait._make(
            _CALLER_WAIT.unpack_from(datagram, HEADER_LENGTH)
        )
    return Envelope._make((*header, datagram[start:], wait)), stamp


def pack_report(report: LoadReport, report_format: int = 0) -> bytes:
    """Encode a load report, clamping field values.

    Format 0, which earlier releases read, omits ``queued`` and ``work_ms``.
    """
    flags = (
        report.closed * _CLOSED_FLAG
        | report.is_ejected * _EJECTED_FLAG
        | report.wants_trial * _WANTS_TRIAL_FLAG
        | (report_format >= ROUTES_REPORT_FORMAT) * _STATES_ROUTES_FLAG
    )
    base_report = _REPORT.pack(
        min(report.busy, _MAX_UINT16),
        min(report.flows, _MAX_UINT16),
        min(report.answer_ms, _MAX_UINT16),
        flags,
    )
    if not report_format:
        return base_report
    return base_report + _REPORT_EXTENSION.pack(
        min(report.queued, _MAX_UINT16),
        min(report.work_ms, _MAX_UINT16),
    )


def unpack_report(content: bytes) -> LoadReport:
    """Decode a load report of either format.

    HeldRoutes may follow the long form.  Raises MalformedEnvelope if the
    content has the length of neither.
    """
    is_long = len(content) >= LONG_REPORT_LENGTH
    if not is_long and len(content) != _REPORT.size:
        raise MalformedEnvelope(len(content))
    busy, flows, answer_ms, flags = _REPORT.unpack_from(content)
    queued, work_ms = (
        _REPORT_EXTENSION.unpack_from(content, _REPORT.size)
        if is_long
        else (0, 0)
    )
    return LoadReport(
        busy,
        flows,
        answer_ms,
        closed=bool(flags & _CLOSED_FLAG),
        is_ejected=bool(flags & _EJECTED_FLAG),
        wants_trial=bool(flags & _WANTS_TRIAL_FLAG),
        queued=queued,
        work_ms=work_ms,
    )


def is_without_routes(content: bytes) -> bool:
    """Return whether the sender of a load report never states HeldRoutes.

    It is of an earlier release.  The short form tells nothing: the sender does
    not know what its receiver reads.  The content must be a valid report.
    """
    flags = _REPORT.unpack_from(content)[-1]
    is_long = len(content) >= LONG_REPORT_LENGTH
    return is_long and not flags & _STATES_ROUTES_FLAG
