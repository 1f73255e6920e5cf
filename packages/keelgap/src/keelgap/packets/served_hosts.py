"""Encoding of the messages by which a new balancer learns former hosts.

A balancer that just started knows only the current entries of the store.
Others may still list a host for a service that the host has left, and send it
flows.  The new balancer therefore sends a request with the revision of its
first catalog (8 octets) and a digest of the hosts that it lists (8).  Balancers
that started earlier and list other hosts respond with records of a host (4)
and a service tag (4), all in network byte order.
"""

import socket
import struct
from collections.abc import Iterable
from typing import Final, NamedTuple

from xxhash import xxh3_64_intdigest

from keelgap.packets.encoding import unpack_header
from keelgap.packets.exceptions import MalformedEnvelope

__all__ = (
    'MAX_SERVED_HOSTS',
    'ServedHost',
    'ServedHostsRequest',
    'digest_served',
    'pack_served_request',
    'pack_served',
    'unpack_served_request',
    'unpack_served',
)

_REQUEST: Final = struct.Struct('!QQ')
_ROW: Final = struct.Struct('!4sI')
#: Maximum records per message, which has 1,200 octets then.
MAX_SERVED_HOSTS: Final = 150


class ServedHost(NamedTuple):
    """A host to which a balancer sends flows of a service, or did recently."""

    host: str
    service_tag: int


class ServedHostsRequest(NamedTuple):
    """Request of a balancer that just started for the hosts others list."""

    #: Revision of the first catalog of the sender.
    first_revision: int
    #: Digest of the hosts that the sender lists, with their services.
    digest: int


def digest_served(rows: Iterable[ServedHost]) -> int:
    """Return a digest of hosts and services, independent of their order."""
    return xxh3_64_intdigest(pack_served(sorted(rows)))


def pack_served_request(request: ServedHostsRequest) -> bytes:
    """Encode the content of a SERVED_ASKED envelope."""
    return _REQUEST.pack(*request)


def unpack_served_request(content: bytes) -> ServedHostsRequest:
    """Decode the content of a SERVED_ASKED envelope.

    Raises MalformedEnvelope if it is too short.
    """
    return ServedHostsRequest._make(unpack_header(_REQUEST, content))


def pack_served(rows: Iterable[ServedHost]) -> bytes:
    """Encode the content of a SERVED_TOLD envelope."""
    return b''.join(
        _ROW.pack(socket.inet_aton(row.host), row.service_tag) for row in rows
    )


def unpack_served(content: bytes) -> tuple[ServedHost, ...]:
    """Decode the content of a SERVED_TOLD envelope.

    Raises MalformedEnvelope if its length is invalid.
    """
    if len(content) % _ROW.size or len(content) > MAX_SERVED_HOSTS * _ROW.size:
        raise MalformedEnvelope(len(content))
    return tuple(
        ServedHost(socket.inet_ntoa(host), tag)
        for host, tag in _ROW.iter_unpack(content)
    )
