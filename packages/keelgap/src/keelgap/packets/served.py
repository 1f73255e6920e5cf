"""What balancers tell one that just began: who served what until now.

A balancer that has just begun knows the store's present entries alone.  Another
one may still list a host for a service that the host has left, and offer it
flows.  So the new one asks, with the revision of its first catalog (8 octets)
and a digest of what it lists (8).  Those who began before it and list something
else answer with rows of a host (4) and the tag of a service (4), all in network
order.
"""

import socket
import struct
from collections.abc import Iterable
from typing import Final, NamedTuple

from xxhash import xxh3_64_intdigest

from keelgap.packets.exceptions import MalformedEnvelope
from keelgap.packets.octets import unpack_head

__all__ = (
    'MAX_SERVED',
    'ServedHost',
    'ServedQuestion',
    'digest_served',
    'pack_question',
    'pack_served',
    'unpack_question',
    'unpack_served',
)

_QUESTION: Final = struct.Struct('!QQ')
_ROW: Final = struct.Struct('!4sI')
#: Rows in one message: 1,200 octets.
MAX_SERVED: Final = 150


class ServedHost(NamedTuple):
    """A host that the sender offers flows of a service, or did lately."""

    host: str
    service_tag: int


class ServedQuestion(NamedTuple):
    """What a balancer that just began says of itself."""

    #: Revision of its first catalog.
    first_revision: int
    #: Digest of the hosts that it lists, with their services.
    digest: int


def digest_served(rows: Iterable[ServedHost]) -> int:
    """Return what tells one list from another, whatever its order."""
    return xxh3_64_intdigest(pack_served(sorted(rows)))


def pack_question(question: ServedQuestion) -> bytes:
    """Return the content of a message."""
    return _QUESTION.pack(*question)


def unpack_question(content: bytes) -> ServedQuestion:
    """Return a question; raise MalformedEnvelope."""
    return ServedQuestion._make(unpack_head(_QUESTION, content))


def pack_served(rows: Iterable[ServedHost]) -> bytes:
    """Return the content of a message."""
    return b''.join(
        _ROW.pack(socket.inet_aton(row.host), row.service_tag) for row in rows
    )


def unpack_served(content: bytes) -> tuple[ServedHost, ...]:
    """Return the rows of a message; raise MalformedEnvelope."""
    if len(content) % _ROW.size or len(content) > MAX_SERVED * _ROW.size:
        raise MalformedEnvelope(len(content))
    return tuple(
        ServedHost(socket.inet_ntoa(host), tag)
        for host, tag in _ROW.iter_unpack(content)
    )
