"""Stateless answers to datagrams without a connection.

These are version negotiation, Retry, refusal and stateless reset (RFC 9000,
sections 6, 8.1.2, 5.2.2 and 10.3).
"""

import secrets
from typing import Final, NamedTuple

from aioquic._buffer import Buffer  # noqa: PLC2701, WPS436
from aioquic.quic.configuration import (
    SMALLEST_MAX_DATAGRAM_SIZE,
    QuicConfiguration,
)
from aioquic.quic.crypto import CryptoPair
from aioquic.quic.packet import (
    QuicErrorCode,
    QuicFrameType,
    QuicHeader,
    QuicPacketType,
    encode_quic_retry,
    encode_quic_version_negotiation,
    pull_quic_header,
)
from aioquic.quic.packet_builder import QuicPacketBuilder
from aioquic.quic.retry import QuicRetryTokenHandler

from keelgap.addresses import Address
from keelgap.routing.connection_ids import ConnectionIdCodec, FlowOwner
from keelgap.wire.exceptions import MalformedPacket
from keelgap.wire.packets import CONNECTION_ID_LENGTH
from keelgap_agent.quic.protocol import HandshakeIds

__all__ = (
    'AddressValidator',
    'Initial',
    'InvalidToken',
    'make_refusal',
    'make_stateless_reset',
    'make_version_negotiation',
    'parse_initial',
)

_CLOSE_FRAME_CAPACITY: Final = 32
_MIN_RESET_LENGTH: Final = 21
_TOKEN_LENGTH: Final = 16
_FIXED_BIT: Final = 0x40
_SHORT_HEADER_MASK: Final = 0x3F


class InvalidToken(MalformedPacket):
    """A Retry token is forged, expired or was issued to another address."""

    code = 'invalid_token'


class Initial(NamedTuple):
    """The header of a datagram that may open a flow."""

    header: QuicHeader
    is_supported: bool


def parse_initial(datagram: bytes, configuration: QuicConfiguration) -> Initial:
    """Parse the header of a first datagram, or raise MalformedPacket."""
    buf = Buffer(data=datagram)
    try:
        header = pull_quic_header(buf, host_cid_length=CONNECTION_ID_LENGTH)
    except ValueError as error:
        raise MalformedPacket from error
    supported = header.version in configuration.supported_versions
    if supported and header.packet_type is not QuicPacketType.INITIAL:
        raise MalformedPacket
    return Initial(header, supported)


def make_version_negotiation(
    header: QuicHeader,
    configuration: QuicConfiguration,
) -> bytes:
    """Return a datagram that lists the supported QUIC versions."""
    return encode_quic_version_negotiation(
        source_cid=header.destination_cid,
        destination_cid=header.source_cid,
        supported_versions=configuration.supported_versions,
    )


def make_refusal(header: QuicHeader) -> bytes:
    """Return an Initial packet that closes with CONNECTION_REFUSED."""
    version = header.version or 0
    crypto = CryptoPair()
    crypto.setup_initial(
        cid=header.destination_cid,
        is_client=False,
        version=version,
    )
    builder = QuicPacketBuilder(
        host_cid=header.destination_cid,
        is_client=False,
        max_datagram_size=SMALLEST_MAX_DATAGRAM_SIZE,
        peer_cid=header.source_cid,
        version=version,
    )
    builder.start_packet(QuicPacketType.INITIAL, crypto)
    frame = builder.start_frame(
        QuicFrameType.TRANSPORT_CLOSE,
        capacity=_CLOSE_FRAME_CAPACITY,
    )
    frame.push_uint_var(QuicErrorCode.CONNECTION_REFUSED)
    frame.push_uint_var(QuicFrameType.PADDING)
    frame.push_uint_var(0)
    datagrams, _ = builder.flush()
    return datagrams[0]


def make_stateless_reset(datagram: bytes, token: bytes) -> bytes | None:
    """Return a stateless reset for a packet of an unknown flow.

    A reset is shorter than the packet that it answers, so that two endpoints
    cannot answer each other's resets endlessly.  Returns None if the packet
    is too short for that.
    """
    length = min(len(datagram) - 1, _MIN_RESET_LENGTH * 2)
    if length < _MIN_RESET_LENGTH:
        return None
    packet = bytearray(secrets.token_bytes(length - _TOKEN_LENGTH))
    packet[0] = (packet[0] & _SHORT_HEADER_MASK) | _FIXED_BIT
    return bytes(packet) + token


class AddressValidator:
    """Issue Retry packets and check their tokens."""

    def __init__(self, codec: ConnectionIdCodec, owner: FlowOwner) -> None:
        """Encode the owner in Retry ids, so that they route to this agent."""
        self.codec = codec
        self.owner = owner
        self.tokens = QuicRetryTokenHandler()

    def make_retry(
        self,
        header: QuicHeader,
        caller: Address,
        now: float,
    ) -> bytes:
        """Return a Retry packet that answers a first datagram."""
        retry_source = self.codec.issue(self.owner)
        return encode_quic_retry(
            version=header.version or 0,
            source_cid=retry_source,
            destination_cid=header.source_cid,
            original_destination_cid=header.destination_cid,
            retry_token=self.tokens.create_token(
                address=caller,
                original_destination_connection_id=header.destination_cid,
                retry_source_connection_id=retry_source,
                now=now,
            ),
        )

    def check(
        self,
        header: QuicHeader,
        caller: Address,
        now: float,
    ) -> HandshakeIds:
        """Return the ids of a handshake that answers a Retry.

        Raises InvalidToken if the token was not issued to this caller.
        """
        try:
            original = self.tokens.validate_token(
                address=caller,
                destination_cid=header.destination_cid,
                token=header.token,
                now=now,
            )
        except ValueError as error:
            raise InvalidToken from error
        return HandshakeIds(original, header.destination_cid)
