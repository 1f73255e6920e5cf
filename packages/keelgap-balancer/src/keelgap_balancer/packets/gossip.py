"""What balancers tell each other: whom they know, and what they hold.

A message has revision (8 octets), flags (1) whether its sender reads the store
and wants an answer, its sender's incarnation (4), the numbers of balancers it
names (1), of changes (1) and of places (1), all in network order; then the
named hosts (4 octets each), changes of beliefs: host (4), incarnation (4) and
status (1); places: host (4), version (4), tag of the availability zone (4) and
megabits a second (4); then claims of readers: host (4) and age in milliseconds
(2).
"""

import socket
import struct
from collections.abc import Iterator
from typing import Final, NamedTuple

from keelgap.catalog.readers import ReaderClaim
from keelgap.exceptions import KeelgapError
from keelgap_balancer.packets.peers import Change, Status
from keelgap_balancer.packets.places import Place

__all__ = (
    'Gossip',
    'MalformedGossip',
    'decode_gossip',
    'encode_gossip',
)

_HEAD: Final = struct.Struct('!Q??IBBB')
_CHANGE: Final = struct.Struct('!4sIB')
_PLACE: Final = struct.Struct('!4sIII')
_CLAIM: Final = struct.Struct('!4sH')
_HOST_LENGTH: Final = 4
_MILLISECONDS: Final = 1000
_OLDEST: Final = 65535


class MalformedGossip(KeelgapError):
    """A message between balancers that cannot be read."""

    code = 'malformed_gossip'


class Gossip(NamedTuple):
    """What one balancer tells another."""

    #: Revision of the store up to which the sender holds everything.
    revision: int
    #: Whether the sender reads the store, and is answered.
    reads: bool
    #: Hosts of other balancers that the sender heard lately.
    peers: tuple[str, ...]
    #: Other balancers that read the store, as far as the sender knows.
    claims: tuple[ReaderClaim, ...]
    #: Incarnation of the sender.
    incarnation: int = 0
    #: Whether the sender wants an answer, to know that the receiver lives.
    asks: bool = False
    #: Beliefs about balancers that changed lately.
    changes: tuple[Change, ...] = ()
    #: Where the sender is, and balancers of which it heard lately.
    places: tuple[Place, ...] = ()


def encode_gossip(gossip: Gossip) -> bytes:
    """Return the octets of a message."""
    head = _HEAD.pack(
        gossip.revision,
        gossip.reads,
        gossip.asks,
        gossip.incarnation,
        len(gossip.peers),
        len(gossip.changes),
        len(gossip.places),
    )
    hosts = map(socket.inet_aton, gossip.peers)
    changes = [
        _CHANGE.pack(
            socket.inet_aton(change.host), change.incarnation, change.status
        )
        for change in gossip.changes
    ]
    places = [
        _PLACE.pack(socket.inet_aton(place.host), *place[1:])
        for place in gossip.places
    ]
    claims = [
        _CLAIM.pack(
            socket.inet_aton(claim.host),
            min(int(claim.age * _MILLISECONDS), _OLDEST),
        )
        for claim in gossip.claims
    ]
    return b''.join((head, *hosts, *changes, *places, *claims))


def decode_gossip(content: bytes) -> Gossip:
    """Return a message; raise MalformedGossip."""
    try:
        head = _HEAD.unpack_from(content)
    except struct.error as error:
        raise MalformedGossip(len(content)) from error
    revision, reads, asks, incarnation, *counts = head
    named, changed, placed, rest = _split_parts(content, counts)
    return Gossip(
        revision,
        reads,
        tuple(_iterate_hosts(named)),
        tuple(_iterate_claims(rest)),
        incarnation,
        asks,
        tuple(_iterate_changes(changed)),
        tuple(_iterate_places(placed)),
    )


def _split_parts(content: bytes, counts: list[int]) -> list[bytes]:
    """Return the octets of hosts, changes, places and claims."""
    sizes = (_HOST_LENGTH, _CHANGE.size, _PLACE.size)
    parts = []
    rest = content[_HEAD.size :]
    for count, size in zip(counts, sizes, strict=True):
        part, rest = _cut(rest, count * size)
        parts.append(part)
    return [*parts, rest]


def _cut(octets: bytes, length: int) -> tuple[bytes, bytes]:
    """Return the first octets and the others; raise MalformedGossip."""
    if length > len(octets):
        raise MalformedGossip(len(octets))
    return octets[:length], octets[length:]


def _iterate_claims(octets: bytes) -> Iterator[ReaderClaim]:
    if len(octets) % _CLAIM.size:
        raise MalformedGossip(len(octets))
    for host, age in _CLAIM.iter_unpack(octets):
        yield ReaderClaim(socket.inet_ntoa(host), age / _MILLISECONDS)


def _iterate_changes(octets: bytes) -> Iterator[Change]:
    for host, incarnation, status in _CHANGE.iter_unpack(octets):
        try:
            known = Status(status)
        except ValueError as error:
            raise MalformedGossip(status) from error
        yield Change(socket.inet_ntoa(host), incarnation, known)


def _iterate_places(octets: bytes) -> Iterator[Place]:
    for host, *rest in _PLACE.iter_unpack(octets):
        yield Place(socket.inet_ntoa(host), *rest)


def _iterate_hosts(octets: bytes) -> Iterator[str]:
    for start in range(0, len(octets), _HOST_LENGTH):
        yield socket.inet_ntoa(octets[start : start + _HOST_LENGTH])
