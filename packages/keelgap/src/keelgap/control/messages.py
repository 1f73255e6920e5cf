"""The control messages and their encoding, version 1.0.

A message has two frames: a fixed header (major version, minor version and the
sender's control address) and a MessagePack body.  Unknown fields are ignored,
so that a newer minor version may add some.  The bodies are msgspec structs
rather than NamedTuples, because only structs carry the tag by which the
members of a union are decoded.
"""

import struct
from typing import Final, NamedTuple

import msgspec

from keelgap.addresses import (
    PACKED_ADDRESS_LENGTH,
    Address,
    pack_address,
    unpack_address,
)
from keelgap.control.exceptions import MalformedMessage, NewerMajorVersion

__all__ = (
    'Announce',
    'Answer',
    'Ask',
    'ControlMessage',
    'Delivery',
    'DocumentDelta',
    'DocumentVersion',
    'Fetch',
    'FullDocument',
    'HeaderPairs',
    'decode_message',
    'encode_message',
)

VERSION_MAJOR: Final = 1
VERSION_MINOR: Final = 0
_HEADER = struct.Struct(f'!BB{PACKED_ADDRESS_LENGTH}s')
#: Maximum length of a body in octets: leaves room for a table of several
#: parts.
_MAX_BODY_LENGTH: Final = 8 * 1024 * 1024

HeaderPairs = list[tuple[bytes, bytes]]


class DocumentVersion(NamedTuple):
    """The version of a document, ordered by revision and then by digest."""

    revision: int
    digest: str


class Announce(msgspec.Struct, tag='announce', frozen=True):
    """The versions of the documents that the sender holds, by key."""

    versions: dict[str, DocumentVersion]
    #: Whether the receiver should reply with its own versions.
    wants_reply: bool = False
    #: Seconds since some process was last known to read the configuration
    #: service; None from a sender of version 1.0 that does not tell.
    read_age: float | None = None


class Fetch(msgspec.Struct, tag='fetch', frozen=True):
    """Request a document; ``have`` is the version that the sender holds."""

    key: str
    have: DocumentVersion


class FullDocument(msgspec.Struct, tag='full', frozen=True):
    """The complete content of a document."""

    key: str
    content: bytes


class DocumentDelta(msgspec.Struct, tag='delta', frozen=True):
    """The changes between one version of a document and a later one."""

    key: str
    base: DocumentVersion
    target: DocumentVersion
    #: JSON object; see keelgap.dissemination.documents.
    changes: bytes


class Ask(msgspec.Struct, tag='ask', frozen=True):
    """Ask another agent to run a request or to return its outcome."""

    ask_id: int
    run_only: bool
    service: int
    method: str
    path: str
    headers: HeaderPairs
    caller: bytes
    key: str | None
    deadline_seconds: float
    #: None if the body is too long to be forwarded.
    body: bytes | None


class Answer(msgspec.Struct, tag='answer', frozen=True):
    """The final answer to an Ask: an upstream's response or a problem."""

    ask_id: int
    status: int = 0
    headers: HeaderPairs = []  # noqa: RUF012
    body: bytes | None = None
    problem: str | None = None
    reason: str = ''
    retry_after: float | None = None


ControlMessage = Announce | Fetch | FullDocument | DocumentDelta | Ask | Answer


class Delivery(NamedTuple):
    """A received message and the control address of its sender."""

    sender: Address
    message: ControlMessage


_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(ControlMessage)


def encode_message(sender: Address, message: ControlMessage) -> list[bytes]:
    """Encode a message as the frames of a ZeroMQ message."""
    header = _HEADER.pack(VERSION_MAJOR, VERSION_MINOR, pack_address(sender))
    return [header, _encoder.encode(message)]


def decode_message(frames: list[bytes]) -> Delivery:
    """Decode the frames of a message; raise a WireError if they are invalid."""
    if len(frames) != 2 or len(frames[0]) < _HEADER.size:
        raise MalformedMessage
    header, body = frames
    major, _minor, sender = _HEADER.unpack_from(header)
    if major != VERSION_MAJOR:
        raise NewerMajorVersion
    if len(body) > _MAX_BODY_LENGTH:
        raise MalformedMessage
    try:
        message = _decoder.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MalformedMessage from error
    return Delivery(unpack_address(sender), message)
