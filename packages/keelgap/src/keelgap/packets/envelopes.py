"""Messages between balancers and agents about packet flows.

A datagram begins with kind, hop, slots and priority (an octet each), time
left (2 octets) and service tag (4), then the sender's stamp: a revision (8)
and a flag (1), all in network order.  A packet, a flow key or a report
follows.  With an OPEN or a TRY envelope three spans in milliseconds (2 octets
each) come before the packet.  A packet is at most 1,240 octets, so nothing is
fragmented.
"""

import struct
from enum import IntEnum
from typing import Final, NamedTuple
from zlib import crc32

from keelgap.packets.exceptions import MalformedEnvelope

__all__ = (
    'HEAD_LENGTH',
    'JUST_BEGUN',
    'OPENING_KINDS',
    'NO_STAMP',
    'Envelope',
    'EnvelopeKind',
    'CallerWait',
    'LoadReport',
    'REPORT_FORMAT',
    'Stamp',
    'MalformedEnvelope',
    'compute_service_tag',
    'pack_envelope',
    'pack_report',
    'unpack_envelope',
    'unpack_report',
)

_HEAD: Final = struct.Struct('!BBBBhIQ?')
_WAIT: Final = struct.Struct('!HHH')
#: Busy, flows, answer_ms and flags; all that earlier releases know.
_REPORT: Final = struct.Struct('!HHHB')
#: Requests that wait, and the work of one.
_REPORT_MORE: Final = struct.Struct('!HH')
_LONG_REPORT_LENGTH: Final = _REPORT.size + _REPORT_MORE.size
#: Flags of a report.  Earlier releases take any of them for a closed agent.
_CLOSED: Final = 1
_EJECTED: Final = 2
_WANTS_TRIAL: Final = 4
#: The latest form of reports; a balancer states the one that it reads in the
#: hop of HELLO and ASK envelopes, earlier releases 0.
REPORT_FORMAT: Final = 1
HEAD_LENGTH: Final = _HEAD.size
#: The highest value of a report's field.
_MOST: Final = 65535
_MOST_OCTET: Final = 255
_MOST_LEFT: Final = 32767


class EnvelopeKind(IntEnum):
    """What an envelope says."""

    #: Balancer to agent: a packet of a flow that the agent should hold.
    FORWARD = 1
    #: Balancer to agent: the first packet of a flow.
    OPEN = 2
    #: Balancer to agent: do you hold the flow of this packet?
    SEARCH = 3
    #: Agent to balancer: not held here, or not taken; the packet comes back.
    MISS = 4
    #: Agent to balancer: this flow is held here; a flow key follows.
    OWNED = 5
    #: Balancer to agent: please report your load for some seconds; an
    #: UpstreamNotice follows, as with ASK.
    HELLO = 6
    #: Agent to balancer: a LoadReport follows.
    REPORT = 7
    #: Balancer to balancer: what I hold and whom I know.
    GOSSIP = 8
    #: Balancer to agent: please report your load once.
    ASK = 9
    #: Agent to directory node: flows that I hold; a Registration follows.
    REGISTER = 10
    #: Directory node to agent: begin a new stream of registrations.
    RESYNC = 11
    #: Balancer to directory node: who holds these flows?  A Question follows.
    LOOKUP = 12
    #: Directory node to balancer: a Lookup follows.
    FOUND = 13
    #: Directory node to balancer: a Coverage follows.
    COVERED = 14
    #: Balancer to agent: as OPEN, of a request that its caller may repeat,
    #: to find out whether an ejected upstream serves again.
    TRY = 15
    #: Balancer to balancer: callers that were refused a moment ago; a list of
    #: RefusedCaller follows.
    REFUSED = 16
    #: Balancer to balancer: I have just begun, what do you list?  A
    #: ServedQuestion follows.
    SERVED_ASKED = 17
    #: Balancer to balancer: the answer; a list of ServedHost follows.
    SERVED_TOLD = 18


_KINDS: Final = frozenset(int(kind) for kind in EnvelopeKind)
#: Those with the first packet of a flow, that say how long a caller waits.
OPENING_KINDS: Final = frozenset((EnvelopeKind.OPEN, EnvelopeKind.TRY))


class CallerWait(NamedTuple):
    """How long the caller of a new flow has waited, and will wait."""

    #: Milliseconds since it first asked for its request, as far as is known.
    age_ms: int
    #: Milliseconds until it leaves, if this is its first try.
    patience_ms: int
    #: Milliseconds for which it surely stays, even if this is its second try.
    assured_ms: int


#: Of a caller of whom nothing else is known; no request lasts longer.
JUST_BEGUN: Final = CallerWait(0, _MOST, _MOST)


class Envelope(NamedTuple):
    """One datagram between processes."""

    kind: int
    #: How many agents were asked before this one; of HELLO and ASK the form of
    #: reports that the sender reads.
    hop: int
    #: Requests that the upstream runs at once, as a balancer knows; else 0.
    slots: int
    #: Of a caller's packet: 0 goes first under overload.
    priority: int
    #: Of a new flow: milliseconds until its answer would be late; below 0 it
    #: is late already.  Of an open flow: milliseconds within which an answer
    #: to a new request is in time; 0 if the balancer does not know, and then
    #: its priority says nothing.  Of MISS: milliseconds until there would be
    #: room; 0 if that is not the reason.
    left_ms: int
    #: Stands for the service that the sender means.
    service_tag: int
    content: bytes
    #: Of a new flow.
    wait: CallerWait = JUST_BEGUN


class Stamp(NamedTuple):
    """What the sender of an envelope knows of the store's state."""

    #: Revision of the latest change of the store that it has heard of, from
    #: whomever; 0 if of none.
    latest_change: int
    #: Whether entries of living upstreams may be missing from the store,
    #: because a balancer could not reach it a moment ago.
    may_lack_entries: bool


#: Of a sender that has heard nothing.
NO_STAMP: Final = Stamp(0, may_lack_entries=False)


class LoadReport(NamedTuple):
    """What an agent knows of its own upstream."""

    #: Requests at work at the upstream, and new flows that wait for it.
    busy: int
    #: Open flows.
    flows: int
    #: Mean time to the first octet of an answer, in milliseconds; 0 if none.
    answer_ms: int
    #: Whether the agent or its upstream takes no new flows.
    closed: bool
    #: Whether the upstream fails requests, so that only TRY envelopes and
    #: those that found nobody else are taken.
    is_ejected: bool = False
    #: Whether a request that may be repeated should try it again.
    wants_trial: bool = False
    #: Requests among ``busy`` that wait at the agent.
    waiting: int = 0
    #: Milliseconds that one request keeps one slot of the upstream at work,
    #: on the average; 0 if that is not known.
    work_ms: int = 0


def compute_service_tag(service: str) -> int:
    """Return the 32-bit tag of a service's name."""
    return crc32(service.encode())


def pack_envelope(envelope: Envelope, stamp: Stamp) -> bytes:
    """Return the octets of an envelope with its sender's stamp."""
    head = _HEAD.pack(
        envelope.kind,
        min(envelope.hop, _MOST_OCTET),
        min(envelope.slots, _MOST_OCTET),
        min(envelope.priority, _MOST_OCTET),
        max(min(envelope.left_ms, _MOST_LEFT), -_MOST_LEFT),
        envelope.service_tag,
        *stamp,
    )
    if envelope.kind in OPENING_KINDS:
        head += _WAIT.pack(*(max(min(ms, _MOST), 0) for ms in envelope.wait))
    return head + envelope.content


def unpack_envelope(datagram: bytes) -> tuple[Envelope, Stamp]:
    """Return envelope and stamp of a datagram; raise MalformedEnvelope."""
    if len(datagram) < HEAD_LENGTH or datagram[0] not in _KINDS:
        raise MalformedEnvelope(len(datagram))
    *head, latest_change, may_lack_entries = _HEAD.unpack_from(datagram)
    stamp = Stamp(latest_change, may_lack_entries)
    start = HEAD_LENGTH
    wait = JUST_BEGUN
    if datagram[0] in OPENING_KINDS:
        start += _WAIT.size
        if len(datagram) < start:
            raise MalformedEnvelope(len(datagram))
        wait = CallerWait._make(_WAIT.unpack_from(datagram, HEAD_LENGTH))
    return Envelope._make((*head, datagram[start:], wait)), stamp


def pack_report(report: LoadReport, report_format: int = 0) -> bytes:
    """Return the octets of a report; values too large are cut.

    A receiver of an earlier release, with format 0, reads the short form.
    """
    flags = (
        report.closed * _CLOSED
        | report.is_ejected * _EJECTED
        | report.wants_trial * _WANTS_TRIAL
    )
    short = _REPORT.pack(
        min(report.busy, _MOST),
        min(report.flows, _MOST),
        min(report.answer_ms, _MOST),
        flags,
    )
    if not report_format:
        return short
    return short + _REPORT_MORE.pack(
        min(report.waiting, _MOST),
        min(report.work_ms, _MOST),
    )


def unpack_report(content: bytes) -> LoadReport:
    """Return a report of either form; raise MalformedEnvelope."""
    if len(content) not in {_REPORT.size, _LONG_REPORT_LENGTH}:
        raise MalformedEnvelope(len(content))
    busy, flows, answer_ms, flags = _REPORT.unpack_from(content)
    more = content[_REPORT.size :]
    waiting, work_ms = _REPORT_MORE.unpack(more) if more else (0, 0)
    return LoadReport(
        busy,
        flows,
        answer_ms,
        closed=bool(flags & _CLOSED),
        is_ejected=bool(flags & _EJECTED),
        wants_trial=bool(flags & _WANTS_TRIAL),
        waiting=waiting,
        work_ms=work_ms,
    )
