"""Reasons for which a datagram is dropped; each one is a counter label."""

from keelgap.exceptions import KeelgapError

__all__ = (
    'ForeignService',
    'ForgedConnectionId',
    'MalformedPacket',
    'NoUpstream',
    'OversizedDatagram',
    'ReplayedDatagram',
    'TruncatedDatagram',
    'UnknownKey',
    'UnknownKind',
    'UnknownOwner',
    'UnknownVersion',
    'WireError',
    'WrongMac',
)


class WireError(KeelgapError):
    """Input from the network that is dropped and counted."""

    code = 'wire'


class TruncatedDatagram(WireError):
    """The datagram is shorter than its header."""

    code = 'truncated'


class OversizedDatagram(WireError):
    """The datagram is longer than any that keelgap sends."""

    code = 'oversized'


class UnknownVersion(WireError):
    """The sender speaks a newer major version."""

    code = 'unknown_version'


class UnknownKey(WireError):
    """The datagram names a key id that is not live here."""

    code = 'unknown_key'


class WrongMac(WireError):
    """The message authentication code does not match."""

    code = 'wrong_mac'


class UnknownKind(WireError):
    """The message kind is not defined in this version."""

    code = 'unknown_kind'


class ReplayedDatagram(WireError):
    """The datagram was received before, or is too old to tell."""

    code = 'replayed'


class MalformedPacket(WireError):
    """A caller's datagram is not a QUIC packet."""

    code = 'malformed'


class ForgedConnectionId(WireError):
    """The connection id was not made by an agent of this fleet."""

    code = 'forged_connection_id'


class ForeignService(WireError):
    """The connection id belongs to another service than the port."""

    code = 'foreign_service'


class UnknownOwner(WireError):
    """The connection id names an address that was never published."""

    code = 'unknown_owner'


class NoUpstream(WireError):
    """The service has no upstream that may take a new flow."""

    code = 'no_upstream'
