"""Encoding of the directory messages that envelopes carry."""

import socket
import struct
from collections.abc import Iterable, Iterator
from typing import Final, NamedTuple

from keelgap.packets.directory import digest_hosts
from keelgap.packets.encoding import (
    HOST_LENGTH,
    pack_hosts,
    split_records,
    unpack_header,
    unpack_hosts,
)
from keelgap.packets.formats import FLOW_KEY_LENGTH

__all__ = (
    'MAX_KEYS_PER_MESSAGE',
    'Coverage',
    'LookupResponse',
    'LookupRequest',
    'Registration',
    'pack_coverage',
    'pack_lookup_response',
    'pack_lookup_request',
    'pack_registration',
    'split_keys',
    'unpack_coverage',
    'unpack_lookup_response',
    'unpack_lookup_request',
    'unpack_registration',
)

#: Maximum flow keys per datagram; more would cause IP fragmentation.
MAX_KEYS_PER_MESSAGE: Final = 70
#: Maximum hosts per datagram.
MAX_HOSTS: Final = 280

_NO_HOST: Final = bytes(HOST_LENGTH)
_REGISTRATION: Final = struct.Struct('!IHIII?')
_DIGEST: Final = struct.Struct('!Q')
_COVERAGE: Final = struct.Struct('!QBB')
_RECORD_LENGTH: Final = FLOW_KEY_LENGTH + HOST_LENGTH


class Registration(NamedTuple):
    """Keys of flows that an agent registers with a directory node.

    These are the flows that it passed to its upstream.  Keys are numbered
    consecutively within a stream, so the node detects lost registrations.  A
    new stream starts with all flows that the agent holds.
    """

    #: Identifies the start of the agent process.
    boot: int
    #: Number of the stream, increasing within a boot.
    stream: int
    #: Number of the first key in ``keys`` within the stream.
    sequence: int
    #: Number that follows the last key sent in the stream so far.
    end: int
    #: Tag of the upstream's current start, from a notice; 0 if unknown.
    upstream_tag: int
    #: Whether the agent knows every flow that its upstream holds.
    is_complete: bool
    #: Flow keys.
    keys: tuple[bytes, ...]


class LookupRequest(NamedTuple):
    """Query from a balancer to a directory node: which agents hold flows."""

    #: Digest of the hosts whose registrations are complete at the node, as
    #: known to the balancer; the node sends the hosts if its own differs.
    digest: int
    #: Keys of the flows in question.
    keys: tuple[bytes, ...]


class LookupResponse(NamedTuple):
    """Response of a directory node to a LookupRequest of a balancer."""

    #: Digest of the hosts whose registrations are complete at the node.
    digest: int
    #: Flow keys, each with the hosts of the agents that may hold the flow.
    rows: tuple[tuple[bytes, tuple[str, ...]], ...]


class Coverage(NamedTuple):
    """Some of the hosts whose registrations are complete at a directory node.

    The node sends all of them in one or more parts, one per datagram.
    """

    #: Digest of the hosts of all parts.
    digest: int
    #: Number of this part, counted from 0.
    part: int
    #: Total number of parts.
    parts: int
    #: Hosts of this part.
    hosts: tuple[str, ...]


def split_keys(keys: Iterable[bytes]) -> Iterator[tuple[bytes, ...]]:
    """Split flow keys into groups that fit into one datagram each."""
    key_list = tuple(keys)
    for offset in range(0, len(key_list), MAX_KEYS_PER_MESSAGE):
        yield key_list[offset : offset + MAX_KEYS_PER_MESSAGE]


def pack_registration(registration: Registration) -> bytes:
    """Encode a registration as the content of an envelope."""
    *head, keys = registration
    return _REGISTRATION.pack(*head) + b''.join(keys)


def unpack_registration(content: bytes) -> Registration:
    """Decode a registration; raise MalformedEnvelope if invalid."""
    head = unpack_header(_REGISTRATION, content)
    keys = split_records(content[_REGISTRATION.size :], FLOW_KEY_LENGTH)
    return Registration._make((*head, keys))


def pack_lookup_request(request: LookupRequest) -> bytes:
    """Encode a lookup request as the content of an envelope."""
    return _DIGEST.pack(request.digest) + b''.join(request.keys)


def unpack_lookup_request(content: bytes) -> LookupRequest:
    """Decode a lookup request; raise MalformedEnvelope if invalid."""
    digest = unpack_header(_DIGEST, content)[0]
    keys = split_records(content[_DIGEST.size :], FLOW_KEY_LENGTH)
    return LookupRequest(digest, keys)


def pack_lookup_response(response: LookupResponse) -> bytes:
    """Encode a lookup response with one record per key and host.

    A key without hosts gets one record with the host 0.0.0.0.
    """
    rows = [
        key + host
        for key, hosts in response.rows
        for host in (tuple(map(socket.inet_aton, hosts)) or (_NO_HOST,))
    ]
    return _DIGEST.pack(response.digest) + b''.join(rows)


def unpack_lookup_response(content: bytes) -> LookupResponse:
    """Decode a lookup response; raise MalformedEnvelope if invalid."""
    digest = unpack_header(_DIGEST, content)[0]
    by_key: dict[bytes, tuple[str, ...]] = {}
    for row in split_records(content[_DIGEST.size :], _RECORD_LENGTH):
        key = row[:FLOW_KEY_LENGTH]
        host = row[FLOW_KEY_LENGTH:]
        found = () if host == _NO_HOST else (socket.inet_ntoa(host),)
        by_key[key] = by_key.get(key, ()) + found
    return LookupResponse(digest, tuple(by_key.items()))


def pack_coverage(hosts: Iterable[str]) -> tuple[bytes, ...]:
    """Encode hosts as Coverage parts, one for each datagram.

    Without hosts there is one empty part.
    """
    host_list = sorted(hosts)
    digest = digest_hosts(host_list)
    offsets = range(0, max(len(host_list), 1), MAX_HOSTS)
    return tuple(
        _COVERAGE.pack(digest, part, len(offsets))
        + pack_hosts(host_list[offset : offset + MAX_HOSTS])
        for part, offset in enumerate(offsets)
    )


def unpack_coverage(content: bytes) -> Coverage:
    """Decode one Coverage part; raise MalformedEnvelope if invalid."""
    head = unpack_header(_COVERAGE, content)
    hosts = unpack_hosts(content[_COVERAGE.size :])
    return Coverage._make((*head, hosts))
