"""Errors for which a datagram is dropped; their codes label a counter."""

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
    """Base class of errors in network input, which is dropped and counted."""

    code = 'wire'


class TruncatedDatagram(WireError):
    """The datagram is shorter than its header."""

    code = 'truncated'


class OversizedDatagram(WireError):
    """The datagram is longer than any that keelgap sends."""

    code = 'oversized'


class UnknownVersion(WireError):
    """The major version of the datagram is not supported."""

    code = 'unknown_version'


class UnknownKey(WireError):
    """This process has no key with the key id of the datagram."""

    code = 'unknown_key'


class WrongMac(WireError):
    """The message authentication code does not match."""

    code = 'wrong_mac'


class UnknownKind(WireError):
    """The message kind is not defined in this version."""

    code = 'unknown_kind'


class ReplayedDatagram(WireError):
    """The datagram is a replay, or too old for the replay window."""

    code = 'replayed'


class MalformedPacket(WireError):
    """A caller's datagram is not a QUIC packet."""

    code = 'malformed'


class ForgedConnectionId(WireError):
    """The connection id was not issued by an agent of this fleet."""

    code = 'forged_connection_id'


class ForeignService(WireError):
    """The connection id and the port belong to different services."""

    code = 'foreign_service'


class UnknownOwner(WireError):
    """The connection id names an agent that is unknown or long removed."""

    code = 'unknown_owner'


class NoUpstream(WireError):
    """The service has no upstream that may take a new flow."""

    code = 'no_upstream'
