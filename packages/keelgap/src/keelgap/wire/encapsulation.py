"""Encapsulation of callers' datagrams between balancers and agents.

Wire format, network byte order, version 1.0, documented for operators in
docs/ref/wire.md.  A header of constant size is followed by the payload and a
keyed BLAKE2b (RFC 7693) code over both.  The code is checked before any other
field but the version and the key id is read.
"""

import struct
from enum import IntEnum
from hashlib import blake2b
from types import MappingProxyType
from typing import Final, NamedTuple

from keelgap.addresses import (
    UNSPECIFIED,
    Address,
    pack_address,
    unpack_address,
)
from keelgap.wire.exceptions import (
    OversizedDatagram,
    ReplayedDatagram,
    TruncatedDatagram,
    UnknownKey,
    UnknownKind,
    UnknownVersion,
    WrongMac,
)
from keelgap.wire.replay import ReplayWindow

__all__ = (
    'MAX_CANDIDATES',
    'MAX_DATAGRAM',
    'OVERHEAD',
    'VERSION_MAJOR',
    'VERSION_MINOR',
    'Envelope',
    'EnvelopeCodec',
    'MessageKind',
    'Received',
)

VERSION_MAJOR: Final = 1
VERSION_MINOR: Final = 0
#: Ranked candidates that an Initial carries.
MAX_CANDIDATES: Final = 3
#: Longest encapsulated datagram in octets; fits any Ethernet path.
MAX_DATAGRAM: Final = 1472
_MAC_LENGTH: Final = 16
_HEADER = struct.Struct('!BBBBQQQHBB6s6s6s6s6s')
#: Octets that encapsulation adds to a caller's datagram.
OVERHEAD: Final = _HEADER.size + _MAC_LENGTH
_PACKED_UNSPECIFIED: Final = pack_address(UNSPECIFIED)


class MessageKind(IntEnum):
    """What a datagram between two processes asks for."""

    #: Balancer to agent: a caller's datagram.
    FORWARD = 1
    #: Agent to balancer: a datagram for a caller.
    RETURN = 2
    #: Agent to agent: a new flow that the first candidate passes on.
    HANDOVER = 3
    #: Balancer to balancer: deliver to the first candidate in my stead.
    DETOUR = 4
    #: Are you there?
    PROBE = 5
    #: I am here, or: your Initial arrived.
    PROBE_REPLY = 6
    #: Balancer to agent: do not return datagrams through me any more.
    LEAVING = 7


class Envelope(NamedTuple):
    """One message between processes."""

    kind: MessageKind
    #: Number of the service, 0 if the message concerns none.
    service: int
    #: Table revision in force at the sender.
    revision: int
    caller: Address = UNSPECIFIED
    #: Balancer through which answers return; used when passed on.
    via: Address = UNSPECIFIED
    #: Ranked agents for a new flow; empty on packets of known flows.
    candidates: tuple[Address, ...] = ()
    #: Index in candidates of the agent that is asked now.
    turn: int = 0
    payload: bytes = b''


class Received(NamedTuple):
    """An authentic envelope and who sent it."""

    sender: Address
    envelope: Envelope


class _Header(NamedTuple):
    """The fields of the header in their order on the wire."""

    major: int
    minor: int
    key_id: int
    kind: int
    incarnation: int
    sequence: int
    revision: int
    service: int
    candidate_count: int
    turn: int
    caller: bytes
    via: bytes
    first: bytes
    second: bytes
    third: bytes


_FIRST_CANDIDATE: Final = _Header._fields.index('first')
_KINDS: Final = MappingProxyType({int(kind): kind for kind in MessageKind})


class EnvelopeCodec:
    """Seal and open envelopes; holds keys, sequences and replay windows."""

    def __init__(
        self,
        keys: dict[int, bytes],
        signing_key_id: int,
        incarnation: int,
    ) -> None:
        """Take the live keys by key id, and the one to sign with.

        The incarnation is the start time of the process in milliseconds;
        it must rise at each start on the same address.
        """
        self.mac_states = {
            key_id: blake2b(key=key, digest_size=_MAC_LENGTH)
            for key_id, key in keys.items()
        }
        self.signing_key_id = signing_key_id
        self.incarnation = incarnation
        self.sequences: dict[tuple[str, int], int] = {}
        self.windows: dict[tuple[str, int], ReplayWindow] = {}

    def seal(self, envelope: Envelope, receiver: tuple[str, int]) -> bytes:
        """Return the datagram that carries an envelope to its receiver."""
        sequence = self.sequences.get(receiver, 0) + 1
        self.sequences[receiver] = sequence
        candidates = envelope.candidates
        slots = [pack_address(candidate) for candidate in candidates]
        slots.extend(
            _PACKED_UNSPECIFIED for _ in range(MAX_CANDIDATES - len(candidates))
        )
        body = (
            _HEADER.pack(
                VERSION_MAJOR,
                VERSION_MINOR,
                self.signing_key_id,
                envelope.kind,
                self.incarnation,
                sequence,
                envelope.revision,
                envelope.service,
                len(candidates),
                envelope.turn,
                pack_address(envelope.caller),
                pack_address(envelope.via),
                *slots,
            )
            + envelope.payload
        )
        return body + self._compute_mac(self.signing_key_id, body)

    def open(self, datagram: bytes, sender: tuple[str, int]) -> Envelope:
        """Return the envelope of an authentic datagram.

        Raises a WireError that names why the datagram must be dropped.
        """
        self._check_size_and_version(datagram)
        body = datagram[:-_MAC_LENGTH]
        expected = self._compute_mac(datagram[2], body)
        if expected != datagram[-_MAC_LENGTH:]:
            raise WrongMac
        header = _Header._make(_HEADER.unpack_from(body))
        self._check_replay(sender, header.incarnation, header.sequence)
        kind = _KINDS.get(header.kind)
        if kind is None:
            raise UnknownKind
        slots = header[_FIRST_CANDIDATE:]
        return Envelope(
            kind,
            header.service,
            header.revision,
            unpack_address(header.caller),
            unpack_address(header.via),
            tuple(map(unpack_address, slots[: header.candidate_count])),
            header.turn,
            body[_HEADER.size :],
        )

    def _compute_mac(self, key_id: int, body: bytes) -> bytes:
        state = self.mac_states.get(key_id)
        if state is None:
            raise UnknownKey
        mac = state.copy()
        mac.update(body)
        return mac.digest()

    def _check_size_and_version(self, datagram: bytes) -> None:
        if len(datagram) < OVERHEAD:
            raise TruncatedDatagram
        if len(datagram) > MAX_DATAGRAM:
            raise OversizedDatagram
        if datagram[0] != VERSION_MAJOR:
            raise UnknownVersion

    def _check_replay(
        self,
        sender: tuple[str, int],
        incarnation: int,
        sequence: int,
    ) -> None:
        window = self.windows.get(sender)
        if window is None:
            window = ReplayWindow(incarnation)
            self.windows[sender] = window
        if not window.accept(incarnation, sequence):
            raise ReplayedDatagram
