"""Parts of datagrams between processes: heads, hosts and rows."""

import socket
import struct
from collections.abc import Iterable
from typing import Any, Final

from keelgap.packets.exceptions import MalformedEnvelope

__all__ = (
    'HOST_LENGTH',
    'pack_hosts',
    'split_octets',
    'unpack_head',
    'unpack_hosts',
)

HOST_LENGTH: Final = 4


def unpack_head(layout: struct.Struct, content: bytes) -> tuple[Any, ...]:
    """Return the fields that content begins with; raise MalformedEnvelope."""
    try:
        return layout.unpack_from(content)
    except struct.error as error:
        raise MalformedEnvelope(len(content)) from error


def pack_hosts(hosts: Iterable[str]) -> bytes:
    """Return four octets for each IPv4 host."""
    return b''.join(map(socket.inet_aton, hosts))


def unpack_hosts(octets: bytes) -> tuple[str, ...]:
    """Return the hosts that octets hold; raise MalformedEnvelope."""
    return tuple(map(socket.inet_ntoa, split_octets(octets, HOST_LENGTH)))


def split_octets(octets: bytes, length: int) -> tuple[bytes, ...]:
    """Return rows of equal length; raise MalformedEnvelope."""
    if len(octets) % length:
        raise MalformedEnvelope(len(octets))
    return tuple(
        octets[start : start + length]
        for start in range(0, len(octets), length)
    )
