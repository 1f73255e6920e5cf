"""The version-independent part of QUIC packet headers (RFC 8999)."""

from typing import Final, NamedTuple

from keelgap.wire.exceptions import MalformedPacket

__all__ = ('CONNECTION_ID_LENGTH', 'PacketHeader', 'parse_header')

#: Length in octets of the connection ids that agents issue.
CONNECTION_ID_LENGTH: Final = 17
_LONG_FORM: Final = 0x80
_FIXED_BIT: Final = 0x40
_TYPE_BITS: Final = 0x30
_ID_LENGTH_OFFSET: Final = 5
_ID_OFFSET: Final = 6
_MAX_ID_LENGTH: Final = 20
_MIN_INITIAL_LENGTH: Final = 1200
_QUIC_V1: Final = b'\x00\x00\x00\x01'
_VERSION_OFFSET: Final = 1
_SHORT_HEADER_END: Final = 1 + CONNECTION_ID_LENGTH
#: Type bits of an Initial packet in QUIC version 2 (RFC 9369, 3.2).
_INITIAL_TYPE_BITS_V2: Final = 0x10
_QUIC_V2: Final = b'\x6b\x33\x43\xcf'


class PacketHeader(NamedTuple):
    """The header fields of a caller's datagram that a balancer uses."""

    destination_id: bytes
    #: Whether this datagram may open a flow.
    may_open_flow: bool


def parse_header(datagram: bytes) -> PacketHeader:
    """Parse a packet header, or raise MalformedPacket.

    A datagram may open a flow if it is a padded Initial, or a padded long
    header of an unknown version, to which an agent replies with a version
    negotiation.
    """
    if len(datagram) < _SHORT_HEADER_END:
        raise MalformedPacket
    first = datagram[0]
    if not first & _LONG_FORM:
        if not first & _FIXED_BIT:
            raise MalformedPacket
        return PacketHeader(datagram[1:_SHORT_HEADER_END], may_open_flow=False)
    id_length = datagram[_ID_LENGTH_OFFSET]
    if id_length > _MAX_ID_LENGTH:
        raise MalformedPacket
    return PacketHeader(
        datagram[_ID_OFFSET : _ID_OFFSET + id_length],
        _may_open_flow(datagram, first),
    )


def _may_open_flow(datagram: bytes, first: int) -> bool:
    """Return whether a long-header packet may be the first of a flow."""
    if len(datagram) < _MIN_INITIAL_LENGTH:
        return False
    version = datagram[_VERSION_OFFSET:_ID_LENGTH_OFFSET]
    type_bits = first & _TYPE_BITS
    if version == _QUIC_V1:
        return type_bits == 0
    if version == _QUIC_V2:
        return type_bits == _INITIAL_TYPE_BITS_V2
    return any(version)
