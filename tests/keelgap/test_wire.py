"""Wire formats: what is taken, and why the rest is dropped."""

import struct
from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from keelgap.addresses import Address
from keelgap.routing.connection_ids import ConnectionIdCodec, FlowOwner
from keelgap.wire import exceptions
from keelgap.wire.encapsulation import (
    MAX_DATAGRAM_LENGTH,
    OVERHEAD,
    Envelope,
    EnvelopeCodec,
    MessageKind,
)
from keelgap.wire.packets import parse_header

BALANCER = Address('127.0.0.11', 7001)
AGENT = Address('127.0.0.21', 7001)
KEYS = {1: bytes(range(32)), 2: bytes(range(1, 33))}


def make_codec(
    address: Address,
    incarnation: int = 1,
    signing: int = 1,
) -> EnvelopeCodec:
    """Return a codec of one process of the fleet."""
    return EnvelopeCodec(KEYS, signing, incarnation, address)


ENVELOPE = Envelope(
    MessageKind.FORWARD,
    7,
    42,
    Address('10.0.0.1', 5555),
    BALANCER,
    (AGENT, BALANCER),
    1,
    b'payload',
)


class EnvelopeTests(TestCase):
    """Envelopes between processes."""

    def setUp(self) -> None:
        """Have a sender and a receiver."""
        self.sender = make_codec(BALANCER)
        self.receiver = make_codec(AGENT)

    def test_opens_what_was_sealed(self) -> None:
        """All fields come back, under either live key."""
        for signing in KEYS:
            sender = make_codec(BALANCER, signing, signing)
            datagram = sender.seal(ENVELOPE, AGENT)
            self.assertEqual(self.receiver.open(datagram, BALANCER), ENVELOPE)

    def test_replay_is_refused(self) -> None:
        """A datagram is taken once, late ones too."""
        first = self.sender.seal(ENVELOPE, AGENT)
        second = self.sender.seal(ENVELOPE, AGENT)
        self.receiver.open(second, BALANCER)
        self.receiver.open(first, BALANCER)
        for datagram in (first, second):
            with self.assertRaises(exceptions.ReplayedDatagram):
                self.receiver.open(datagram, BALANCER)

    def test_earlier_incarnation_is_refused_after_a_restart(self) -> None:
        """Datagrams recorded before a restart are replays."""
        old = self.sender.seal(ENVELOPE, AGENT)
        restarted = make_codec(BALANCER, incarnation=2)
        self.receiver.open(restarted.seal(ENVELOPE, AGENT), BALANCER)
        with self.assertRaises(exceptions.ReplayedDatagram):
            self.receiver.open(old, BALANCER)

    def test_datagram_for_another_receiver_is_refused(self) -> None:
        """The code binds sender and receiver."""
        datagram = self.sender.seal(ENVELOPE, Address('127.0.0.22', 7001))
        with self.assertRaises(exceptions.WrongMac):
            self.receiver.open(datagram, BALANCER)

    def test_every_changed_octet_is_noticed(self) -> None:
        """No field can be changed on the way."""
        datagram = self.sender.seal(ENVELOPE, AGENT)
        for position in range(len(datagram)):
            changed = bytearray(datagram)
            changed[position] ^= 1
            with self.assertRaises(exceptions.WireError):
                self.receiver.open(bytes(changed), BALANCER)
        self.receiver.open(datagram, BALANCER)

    def test_newer_minor_version_is_taken_and_major_refused(self) -> None:
        """Two versions meet while instances are replaced."""
        newer = _seal_with_version(1, 9)
        self.assertEqual(self.receiver.open(newer, BALANCER), ENVELOPE)
        with self.assertRaises(exceptions.UnknownVersion):
            self.receiver.open(_seal_with_version(2, 0), BALANCER)

    def test_sizes_and_keys_are_checked_first(self) -> None:
        """Each reason has a type of its own."""
        datagram = self.sender.seal(ENVELOPE, AGENT)
        foreign = EnvelopeCodec({3: bytes(32)}, 3, 1, BALANCER)
        cases = (
            (datagram[: OVERHEAD - 1], exceptions.TruncatedDatagram),
            (bytes(MAX_DATAGRAM_LENGTH + 1), exceptions.OversizedDatagram),
            (foreign.seal(ENVELOPE, AGENT), exceptions.UnknownKey),
        )
        for case, error in cases:
            with self.assertRaises(error):
                self.receiver.open(case, BALANCER)

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=MAX_DATAGRAM_LENGTH + 10))
    def test_noise_raises_only_wire_errors(self, noise: bytes) -> None:
        """Nothing is kept for a sender that is not authentic."""
        for datagram in (noise, b'\1\0\1\1' + noise):
            with self.assertRaises(exceptions.WireError):
                self.receiver.open(datagram, Address('10.9.9.9', 9))
        self.assertEqual(self.receiver.openers, {})


def _seal_with_version(major: int, minor: int) -> bytes:
    """Seal as a process of another version would, with a valid code."""
    sender = make_codec(BALANCER, incarnation=major * 10 + minor)
    body = sender.seal(ENVELOPE, AGENT)[:-16]
    changed = struct.pack('!BB', major, minor) + body[2:]
    sealer = sender.sealers[AGENT]
    nonce = bytes(4) + changed[12:20]
    return changed + sealer.cipher.encrypt(nonce, b'', changed)


class ConnectionIdTests(TestCase):
    """Connection ids that name their owner."""

    def setUp(self) -> None:
        """Have two live keys."""
        self.keys = {1: bytes(16), 2: bytes(range(16))}
        self.owner = FlowOwner(AGENT, 7)

    def test_owner_is_read_under_both_live_keys(self) -> None:
        """Key rotation breaks no open flow."""
        reader = ConnectionIdCodec(self.keys, 2)
        for key_id in self.keys:
            issued = ConnectionIdCodec(self.keys, key_id).issue(self.owner)
            self.assertEqual(len(issued), 17)
            self.assertEqual(reader.read(issued), self.owner)

    def test_retired_key_is_refused(self) -> None:
        """After a rotation the old ids are forged ones."""
        issued = ConnectionIdCodec(self.keys, 1).issue(self.owner)
        reader = ConnectionIdCodec({2: self.keys[2]}, 2)
        with self.assertRaises(exceptions.ForgedConnectionId):
            reader.read(issued)

    def test_ids_differ_and_reset_tokens_follow_the_key(self) -> None:
        """A restarted agent derives the same token for the same id."""
        codec = ConnectionIdCodec(self.keys, 1)
        issued = {codec.issue(self.owner) for _ in range(1000)}
        self.assertEqual(len(issued), 1000)
        again = ConnectionIdCodec(self.keys, 2)
        one = issued.pop()
        self.assertEqual(
            codec.compute_reset_token(one),
            again.compute_reset_token(one),
        )

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=24))
    def test_noise_is_forged(self, noise: bytes) -> None:
        """Only the typed error leaves the reader."""
        codec = ConnectionIdCodec(self.keys, 1)
        for candidate in (noise, b'\1' + noise[:16].ljust(16, b'\7')):
            with self.assertRaises(exceptions.ForgedConnectionId):
                codec.read(candidate)

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=1500))
    def test_header_parser_raises_only_malformed(self, noise: bytes) -> None:
        """A caller may send anything."""
        try:
            header = parse_header(noise)
        except exceptions.MalformedPacket:
            return
        self.assertLessEqual(len(header.destination_id), 20)
