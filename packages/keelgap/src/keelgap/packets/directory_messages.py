"""Messages about flow directories, as the contents of envelopes."""

import socket
import struct
from collections.abc import Iterable, Iterator
from typing import Final, NamedTuple

from keelgap.packets.directory import digest_hosts
from keelgap.packets.formats import FLOW_KEY_LENGTH
from keelgap.packets.octets import (
    HOST_LENGTH,
    pack_hosts,
    split_octets,
    unpack_head,
    unpack_hosts,
)

__all__ = (
    'MAX_KEYS',
    'Coverage',
    'Lookup',
    'Question',
    'Registration',
    'pack_coverage',
    'pack_lookup',
    'pack_question',
    'pack_registration',
    'split_keys',
    'unpack_coverage',
    'unpack_lookup',
    'unpack_question',
    'unpack_registration',
)

#: Flow keys in one datagram, which must not be fragmented.
MAX_KEYS: Final = 70
#: Hosts in one datagram.
MAX_HOSTS: Final = 280

_NOBODY: Final = bytes(HOST_LENGTH)
_REGISTRATION: Final = struct.Struct('!IHIII?')
_DIGEST: Final = struct.Struct('!Q')
_COVERAGE: Final = struct.Struct('!QBB')
_ROW_LENGTH: Final = FLOW_KEY_LENGTH + HOST_LENGTH


class Registration(NamedTuple):
    """Flows that an agent passed to its upstream, for one directory node.

    The registrations of one stream are numbered by their flows, so that the
    node notices a lost one.  A new stream begins with all flows held.
    """

    #: One start of the agent.
    boot: int
    #: Counts up within a boot.
    stream: int
    #: Number of the first key in this stream.
    sequence: int
    #: Number after the last key of the stream so far.
    end: int
    #: Stands for the id of the upstream.
    upstream_tag: int
    #: Whether the agent saw each flow that its upstream holds.
    is_complete: bool
    keys: tuple[bytes, ...]


class Question(NamedTuple):
    """What a balancer asks a directory node."""

    #: Of the hosts that the node covers as far as the balancer knows.
    digest: int
    keys: tuple[bytes, ...]


class Lookup(NamedTuple):
    """What a directory node answers a balancer."""

    #: Of the hosts whose registrations are complete at the node.
    digest: int
    #: A flow key and the hosts of the agents that may hold the flow.
    rows: tuple[tuple[bytes, tuple[str, ...]], ...]


class Coverage(NamedTuple):
    """A part of the hosts whose registrations are complete at a node."""

    #: Of all of them.
    digest: int
    part: int
    parts: int
    hosts: tuple[str, ...]


def split_keys(keys: Iterable[bytes]) -> Iterator[tuple[bytes, ...]]:
    """Yield the keys in groups that fit into a datagram each."""
    every = tuple(keys)
    for start in range(0, len(every), MAX_KEYS):
        yield every[start : start + MAX_KEYS]


def pack_registration(registration: Registration) -> bytes:
    """Return the octets of a registration."""
    *head, keys = registration
    return _REGISTRATION.pack(*head) + b''.join(keys)


def unpack_registration(content: bytes) -> Registration:
    """Return a registration; raise MalformedEnvelope."""
    head = unpack_head(_REGISTRATION, content)
    keys = split_octets(content[_REGISTRATION.size :], FLOW_KEY_LENGTH)
    return Registration._make((*head, keys))


def pack_question(question: Question) -> bytes:
    """Return the octets of a question."""
    return _DIGEST.pack(question.digest) + b''.join(question.keys)


def unpack_question(content: bytes) -> Question:
    """Return a question; raise MalformedEnvelope."""
    digest = unpack_head(_DIGEST, content)[0]
    keys = split_octets(content[_DIGEST.size :], FLOW_KEY_LENGTH)
    return Question(digest, keys)


def pack_lookup(lookup: Lookup) -> bytes:
    """Return the octets of an answer: a row for each key and host."""
    rows = [
        key + host
        for key, hosts in lookup.rows
        for host in (tuple(map(socket.inet_aton, hosts)) or (_NOBODY,))
    ]
    return _DIGEST.pack(lookup.digest) + b''.join(rows)


def unpack_lookup(content: bytes) -> Lookup:
    """Return an answer; raise MalformedEnvelope."""
    digest = unpack_head(_DIGEST, content)[0]
    by_key: dict[bytes, tuple[str, ...]] = {}
    for row in split_octets(content[_DIGEST.size :], _ROW_LENGTH):
        key = row[:FLOW_KEY_LENGTH]
        host = row[FLOW_KEY_LENGTH:]
        found = () if host == _NOBODY else (socket.inet_ntoa(host),)
        by_key[key] = by_key.get(key, ()) + found
    return Lookup(digest, tuple(by_key.items()))


def pack_coverage(hosts: Iterable[str]) -> tuple[bytes, ...]:
    """Return the contents of the datagrams that tell of these hosts."""
    every = sorted(hosts)
    digest = digest_hosts(every)
    starts = range(0, max(len(every), 1), MAX_HOSTS)
    return tuple(
        _COVERAGE.pack(digest, part, len(starts))
        + pack_hosts(every[start : start + MAX_HOSTS])
        for part, start in enumerate(starts)
    )


def unpack_coverage(content: bytes) -> Coverage:
    """Return a part of the hosts; raise MalformedEnvelope."""
    head = unpack_head(_COVERAGE, content)
    hosts = unpack_hosts(content[_COVERAGE.size :])
    return Coverage._make((*head, hosts))
