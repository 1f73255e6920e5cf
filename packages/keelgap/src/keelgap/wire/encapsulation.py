"""Encapsulation of callers' datagrams between balancers and agents.

Wire format version 1.0, in network byte order, is documented for operators in
docs/ref/wire.md.  A header of constant size is followed by the payload and a
message authentication code over both: AES-GMAC (NIST SP 800-38D).  Its key is
derived by BLAKE2b (RFC 7693) from the fleet's key for each incarnation of the
sender and each receiver, so that the sequence number alone is a unique nonce.
The code is verified before any other field is acted upon.
"""

import struct
from enum import IntEnum
from hashlib import blake2b
from types import MappingProxyType
from typing import Any, Final, NamedTuple

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM

from keelgap.addresses import (
    PACKED_ADDRESS_LENGTH,
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
    'MAX_DATAGRAM_LENGTH',
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
#: Maximum number of ranked candidates that an Initial carries.
MAX_CANDIDATES: Final = 3
#: Maximum length of an encapsulated datagram in octets; fits any Ethernet
#: path.
MAX_DATAGRAM_LENGTH: Final = 1472
_MAC_LENGTH: Final = 16
_HEADER = struct.Struct('!BBBBQQQHBB6s6s18s')
#: Octets that encapsulation adds to a caller's datagram.
OVERHEAD: Final = _HEADER.size + _MAC_LENGTH
_PAIR_KEY_LENGTH: Final = 16
_SEQUENCE_OFFSET: Final = 12
_REVISION_OFFSET: Final = 20
_NONCE_PREFIX: Final = bytes(4)
_INCARNATION = struct.Struct('!Q')
_NO_CANDIDATES: Final = bytes(MAX_CANDIDATES * PACKED_ADDRESS_LENGTH)


class MessageKind(IntEnum):
    """The kind of a message between two processes."""

    #: Balancer to agent: a caller's datagram.
    FORWARD = 1
    #: Agent to balancer: a datagram for a caller.
    RETURN = 2
    #: Agent to agent: a new flow that the first candidate forwards.
    HANDOVER = 3
    #: Balancer to balancer: deliver to the first candidate for the sender.
    DETOUR = 4
    #: Asks whether the receiver is reachable.
    PROBE = 5
    #: Answers a probe, or acknowledges an Initial.
    PROBE_REPLY = 6
    #: Balancer to agent: stop returning datagrams through the sender.
    LEAVING = 7


class Envelope(NamedTuple):
    """A message between two processes."""

    kind: MessageKind
    #: Service number, or 0 if the message does not concern a service.
    service: int
    #: Table revision in force at the sender.
    revision: int
    caller: Address = UNSPECIFIED
    #: Balancer through which answers return; used when a flow is forwarded.
    via: Address = UNSPECIFIED
    #: Ranked agents for a new flow; empty for packets of known flows.
    candidates: tuple[Address, ...] = ()
    #: Index in candidates of the agent that is asked.
    turn: int = 0
    payload: bytes = b''


class Received(NamedTuple):
    """An authenticated envelope and its sender."""

    sender: Address
    envelope: Envelope


class _Sealer:
    """The cipher and sequence number for messages to one receiver."""

    __slots__ = ('cipher', 'sequence')

    def __init__(self, cipher: AESGCM) -> None:
        self.cipher = cipher
        self.sequence = 0


class _Opener:
    """The cipher and replay window for messages of one sender."""

    __slots__ = ('cipher', 'key_parameters', 'window')

    def __init__(
        self,
        cipher: AESGCM,
        key_id: int,
        incarnation: int,
        window: ReplayWindow,
    ) -> None:
        self.cipher = cipher
        #: Key id and incarnation from which the key was derived.
        self.key_parameters = (key_id, incarnation)
        self.window = window


_KINDS: Final = MappingProxyType({int(kind): kind for kind in MessageKind})


class EnvelopeCodec:
    """Authenticate and verify envelopes.

    The state (ciphers, sequence numbers and replay windows) grows with the
    number of peers, not with the number of flows.
    """

    def __init__(
        self,
        keys: dict[int, bytes],
        signing_key_id: int,
        incarnation: int,
        address: tuple[str, int],
    ) -> None:
        """Set the live keys by key id, the signing key and the own identity.

        The incarnation is the start time of the process in milliseconds;
        it must increase with each start on the same address.
        """
        self.keys = keys
        self.signing_key_id = signing_key_id
        self.incarnation = incarnation
        self.address = address
        self.sealers: dict[tuple[str, int], _Sealer] = {}
        self.openers: dict[tuple[str, int], _Opener] = {}

    def seal(self, envelope: Envelope, receiver: tuple[str, int]) -> bytes:
        """Return the authenticated datagram of an envelope for a receiver."""
        sealer = self.sealers.get(receiver)
        if sealer is None:
            sealer = self._make_sealer(receiver)
        sealer.sequence += 1
        candidates = envelope.candidates
        header = _HEADER.pack(
            VERSION_MAJOR,
            VERSION_MINOR,
            self.signing_key_id,
            envelope.kind,
            self.incarnation,
            sealer.sequence,
            envelope.revision,
            envelope.service,
            len(candidates),
            envelope.turn,
            pack_address(envelope.caller),
            pack_address(envelope.via),
            _pack_candidates(candidates) if candidates else _NO_CANDIDATES,
        )
        body = header + envelope.payload
        nonce = _NONCE_PREFIX + header[_SEQUENCE_OFFSET:_REVISION_OFFSET]
        return body + sealer.cipher.encrypt(nonce, b'', body)

    def open(self, datagram: bytes, sender: tuple[str, int]) -> Envelope:
        """Verify a datagram and return its envelope.

        Raises a WireError with the reason if it must be dropped.
        """
        _check_size_and_version(datagram)
        body = datagram[:-_MAC_LENGTH]
        _major, _minor, *fields = _HEADER.unpack_from(body)
        key_id, kind_number, incarnation, sequence, *fields = fields
        opener = self.openers.get(sender)
        if opener is None or opener.key_parameters != (key_id, incarnation):
            opener = self._make_opener(sender, key_id, incarnation)
        self._verify(opener, datagram, body)
        self._check_replay(sender, opener, sequence)
        kind = _KINDS.get(kind_number)
        if kind is None:
            raise UnknownKind
        return _make_envelope(kind, fields, body[_HEADER.size :])

    def _verify(
        self,
        opener: _Opener,
        datagram: bytes,
        body: bytes,
    ) -> None:
        """Check the authentication code of a datagram, or raise WrongMac."""
        nonce = _NONCE_PREFIX + body[_SEQUENCE_OFFSET:_REVISION_OFFSET]
        try:
            opener.cipher.decrypt(nonce, datagram[-_MAC_LENGTH:], body)
        except InvalidTag:
            raise WrongMac from None

    def _check_replay(
        self,
        sender: tuple[str, int],
        opener: _Opener,
        sequence: int,
    ) -> None:
        """Record the sequence number, or raise ReplayedDatagram."""
        if not opener.window.accept(opener.key_parameters[1], sequence):
            raise ReplayedDatagram
        # Only an authenticated datagram may change the state of a sender.
        self.openers[sender] = opener

    def _make_sealer(self, receiver: tuple[str, int]) -> _Sealer:
        """Create and store the cipher for messages to a receiver."""
        cipher = self._derive_cipher(
            self.signing_key_id,
            self.address,
            receiver,
            self.incarnation,
        )
        sealer = _Sealer(cipher)
        self.sealers[receiver] = sealer
        return sealer

    def _make_opener(
        self,
        sender: tuple[str, int],
        key_id: int,
        incarnation: int,
    ) -> _Opener:
        """Return the cipher for messages of one incarnation of a sender.

        The sender's replay window is kept if there is one.
        """
        cipher = self._derive_cipher(key_id, sender, self.address, incarnation)
        previous = self.openers.get(sender)
        window = previous.window if previous else ReplayWindow(incarnation)
        return _Opener(cipher, key_id, incarnation, window)

    def _derive_cipher(
        self,
        key_id: int,
        sender: tuple[str, int],
        receiver: tuple[str, int],
        incarnation: int,
    ) -> AESGCM:
        """Return a cipher for one direction between two processes.

        Its key is derived from a live key; raises UnknownKey if there is none.
        """
        key = self.keys.get(key_id)
        if key is None:
            raise UnknownKey
        context = (
            pack_address(sender),
            pack_address(receiver),
            _INCARNATION.pack(incarnation),
        )
        return AESGCM(
            blake2b(
                b''.join(context),
                key=key,
                person=b'envelope',
                digest_size=_PAIR_KEY_LENGTH,
            ).digest(),
        )


def _check_size_and_version(datagram: bytes) -> None:
    """Raise a WireError if a datagram has a wrong length or version."""
    if len(datagram) < OVERHEAD:
        raise TruncatedDatagram
    if len(datagram) > MAX_DATAGRAM_LENGTH:
        raise OversizedDatagram
    if datagram[0] != VERSION_MAJOR:
        raise UnknownVersion


def _make_envelope(
    kind: MessageKind,
    fields: list[Any],
    payload: bytes,
) -> Envelope:
    """Return the envelope of the unpacked header fields and the payload."""
    revision, service, count, turn, *fields = fields
    caller, via, packed_candidates = fields
    return Envelope(
        kind,
        service,
        revision,
        unpack_address(caller),
        unpack_address(via),
        _unpack_candidates(packed_candidates, count) if count else (),
        turn,
        payload,
    )


def _pack_candidates(candidates: tuple[Address, ...]) -> bytes:
    """Return the addresses of candidate agents, padded to a fixed length."""
    packed = b''.join(map(pack_address, candidates))
    return packed.ljust(MAX_CANDIDATES * PACKED_ADDRESS_LENGTH, b'\0')


def _unpack_candidates(packed: bytes, count: int) -> tuple[Address, ...]:
    """Return the given number of candidate addresses, up to the maximum."""
    return tuple(
        unpack_address(packed[start : start + PACKED_ADDRESS_LENGTH])
        for start in range(
            0,
            min(count, MAX_CANDIDATES) * PACKED_ADDRESS_LENGTH,
            PACKED_ADDRESS_LENGTH,
        )
    )
