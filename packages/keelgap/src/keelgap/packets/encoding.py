"""Encoding of headers, hosts and fixed-length records in datagrams."""

import socket
import struct
from collections.abc import Iterable
from typing import Any, Final

from keelgap.packets.exceptions import MalformedEnvelope

__all__ = (
    'HOST_LENGTH',
    'pack_hosts',
    'split_records',
    'unpack_header',
    'unpack_hosts',
)

#: Octets of an encoded IPv4 address.
HOST_LENGTH: Final = 4


def unpack_header(layout: struct.Struct, content: bytes) -> tuple[Any, ...]:
    """Unpack the fields of a layout from the start of a message.

    Raises MalformedEnvelope if the message is too short.
    """
    try:
        return layout.unpack_from(content)
    except struct.error as error:
        raise MalformedEnvelope(len(content)) from error


def pack_hosts(hosts: Iterable[str]) -> bytes:
    """Encode IPv4 hosts with four octets each."""
    return b''.join(map(socket.inet_aton, hosts))


def unpack_hosts(octets: bytes) -> tuple[str, ...]:
    """Decode IPv4 hosts; raise MalformedEnvelope if octets are left over."""
    return tuple(map(socket.inet_ntoa, split_records(octets, HOST_LENGTH)))


def split_records(octets: bytes, length: int) -> tuple[bytes, ...]:
    """Split octets into records of a length.

    Raises MalformedEnvelope if octets are left over.
    """
    if len(octets) % length:
        raise MalformedEnvelope(len(octets))
    return tuple(
        octets[start : start + length]
        for start in range(0, len(octets), length)
    )
