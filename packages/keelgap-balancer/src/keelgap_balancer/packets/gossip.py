"""Encoding of the gossip messages between balancers.

A message begins with the catalog revision of its sender (8 octets), two flags
(1 octet each) whether the sender reads the store and whether it wants a reply,
the sender's incarnation (4), and the numbers of peers (1), of changes (1) and
of balancer infos (1), all in network order.  Then follow

- the hosts of the peers (4 octets each),
- the changes of status: host (4), incarnation (4) and status (1),
- the balancer infos: host (4), version (4), tag of the availability zone (4)
  and link bandwidth in Mbit/s (4),
- the claims of readers, up to the end: host (4) and age in milliseconds (2).
"""

import socket
import struct
from collections.abc import Iterator
from typing import Final, NamedTuple

from keelgap.catalog.readers import ReaderClaim
from keelgap.exceptions import KeelgapError
from keelgap_balancer.packets.balancer_infos import BalancerInfo
from keelgap_balancer.packets.peers import PeerChange, PeerStatus

__all__ = (
    'GossipMessage',
    'MalformedGossip',
    'decode_gossip',
    'encode_gossip',
)

_HEAD: Final = struct.Struct('!Q??IBBB')
_CHANGE: Final = struct.Struct('!4sIB')
_BALANCER_INFO: Final = struct.Struct('!4sIII')
_CLAIM: Final = struct.Struct('!4sH')
_HOST_LENGTH: Final = 4
_MILLISECONDS: Final = 1000
_MAX_AGE: Final = 65535


class MalformedGossip(KeelgapError):
    """A gossip message that cannot be decoded."""

    code = 'malformed_gossip'


class GossipMessage(NamedTuple):
    """A message from one balancer to another."""

    #: Revision of the store up to which the sender's catalog is complete.
    revision: int
    #: Whether the sender reads the store, and the store answers it.
    is_reader: bool
    #: Hosts from which the sender received messages most recently.
    peers: tuple[str, ...]
    #: Other balancers that read the store, as far as the sender knows.
    claims: tuple[ReaderClaim, ...]
    #: Incarnation of the sender.
    incarnation: int = 0
    #: Whether the sender wants a reply, as a sign that the receiver is alive.
    wants_reply: bool = False
    #: Recent changes of status of balancers.
    changes: tuple[PeerChange, ...] = ()
    #: Info about the sender, and about other balancers that it relays.
    balancer_infos: tuple[BalancerInfo, ...] = ()


def encode_gossip(gossip: GossipMessage) -> bytes:
    """Return the octets of a message."""
    head = _HEAD.pack(
        gossip.revision,
        gossip.is_reader,
        gossip.wants_reply,
        gossip.incarnation,
        len(gossip.peers),
        len(gossip.changes),
        len(gossip.balancer_infos),
    )
    hosts = map(socket.inet_aton, gossip.peers)
    changes = [
        _CHANGE.pack(
            socket.inet_aton(change.host), change.incarnation, change.status
        )
        for change in gossip.changes
    ]
    balancer_infos = [
        _BALANCER_INFO.pack(socket.inet_aton(place.host), *place[1:])
        for place in gossip.balancer_infos
    ]
    claims = [
        _CLAIM.pack(
            socket.inet_aton(claim.host),
            min(int(claim.age * _MILLISECONDS), _MAX_AGE),
        )
        for claim in gossip.claims
    ]
    return b''.join((head, *hosts, *changes, *balancer_infos, *claims))


def decode_gossip(content: bytes) -> GossipMessage:
    """Return the message decoded from its octets.

    Raises MalformedGossip.
    """
    try:
        head = _HEAD.unpack_from(content)
    except struct.error as error:
        raise MalformedGossip(len(content)) from error
    revision, is_reader, wants_reply, incarnation, *counts = head
    host_octets, change_octets, info_octets, claim_octets = _split_parts(
        content, counts
    )
    return GossipMessage(
        revision,
        is_reader,
        tuple(_iterate_hosts(host_octets)),
        tuple(_iterate_claims(claim_octets)),
        incarnation,
        wants_reply,
        tuple(_iterate_changes(change_octets)),
        tuple(_iterate_infos(info_octets)),
    )


def _split_parts(content: bytes, counts: list[int]) -> list[bytes]:
    """Return the octets of the hosts, changes, infos and claims of a message.

    ``counts`` holds the numbers of the first three; claims are the rest.
    Raises MalformedGossip.
    """
    sizes = (_HOST_LENGTH, _CHANGE.size, _BALANCER_INFO.size)
    parts = []
    remaining = content[_HEAD.size :]
    for count, size in zip(counts, sizes, strict=True):
        part, remaining = _split_at(remaining, count * size)
        parts.append(part)
    return [*parts, remaining]


def _split_at(octets: bytes, length: int) -> tuple[bytes, bytes]:
    """Split octets after a length; raise MalformedGossip if they are fewer."""
    if length > len(octets):
        raise MalformedGossip(len(octets))
    return octets[:length], octets[length:]


def _iterate_claims(octets: bytes) -> Iterator[ReaderClaim]:
    """Decode claims of readers; raise MalformedGossip for a partial one."""
    if len(octets) % _CLAIM.size:
        raise MalformedGossip(len(octets))
    for host, age in _CLAIM.iter_unpack(octets):
        yield ReaderClaim(socket.inet_ntoa(host), age / _MILLISECONDS)


def _iterate_changes(octets: bytes) -> Iterator[PeerChange]:
    """Decode changes; raise MalformedGossip for an unknown status."""
    for host, incarnation, status in _CHANGE.iter_unpack(octets):
        try:
            change_status = PeerStatus(status)
        except ValueError as error:
            raise MalformedGossip(status) from error
        yield PeerChange(socket.inet_ntoa(host), incarnation, change_status)


def _iterate_infos(octets: bytes) -> Iterator[BalancerInfo]:
    for host, *fields in _BALANCER_INFO.iter_unpack(octets):
        yield BalancerInfo(socket.inet_ntoa(host), *fields)


def _iterate_hosts(octets: bytes) -> Iterator[str]:
    for start in range(0, len(octets), _HOST_LENGTH):
        yield socket.inet_ntoa(octets[start : start + _HOST_LENGTH])
