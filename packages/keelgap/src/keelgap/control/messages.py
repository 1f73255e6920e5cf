"""The control messages and their encoding, version 1.0.

A message is two frames: a head of constant layout (major version, minor
version, the sender's control address) and a MessagePack body.  Fields that
are not known here are ignored, so a newer minor version may add some.  The
bodies are msgspec structs and not NamedTuples, because only structs carry the
tag by which a union is decoded.
"""

import struct
from typing import Final, NamedTuple

import msgspec

from keelgap.addresses import (
    PACKED_LENGTH,
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
_HEAD = struct.Struct(f'!BB{PACKED_LENGTH}s')
#: Longest body taken, in octets: a table of several parts, and some room.
_MAX_BODY: Final = 8 * 1024 * 1024

HeaderPairs = list[tuple[bytes, bytes]]


class DocumentVersion(NamedTuple):
    """What orders the versions of one document."""

    revision: int
    digest: str


class Announce(msgspec.Struct, tag='announce', frozen=True):
    """The versions that the sender holds, by key."""

    versions: dict[str, DocumentVersion]
    #: Whether the receiver should announce its own in return.
    wants_reply: bool = False


class Fetch(msgspec.Struct, tag='fetch', frozen=True):
    """Ask for a document; ``have`` is the version to build upon."""

    key: str
    have: DocumentVersion


class FullDocument(msgspec.Struct, tag='full', frozen=True):
    """A whole document."""

    key: str
    content: bytes


class DocumentDelta(msgspec.Struct, tag='delta', frozen=True):
    """The changes that turn one version of a document into a later one."""

    key: str
    base: DocumentVersion
    target: DocumentVersion
    #: JSON object: what changed; see keelgap.dissemination.deltas.
    changes: bytes


class Ask(msgspec.Struct, tag='ask', frozen=True):
    """Ask another agent to run a request, or how a keyed one ended."""

    ask_id: int
    run_only: bool
    service: int
    method: str
    path: str
    headers: HeaderPairs
    caller: bytes
    key: str | None
    deadline_seconds: float
    #: None if the body is too long to be passed on.
    body: bytes | None


class Answer(msgspec.Struct, tag='answer', frozen=True):
    """The final answer to an Ask: an upstream's answer, or a problem."""

    ask_id: int
    status: int = 0
    headers: HeaderPairs = []  # noqa: RUF012
    body: bytes | None = None
    problem: str | None = None
    reason: str = ''
    retry_after: float | None = None


ControlMessage = Announce | Fetch | FullDocument | DocumentDelta | Ask | Answer


class Delivery(NamedTuple):
    """A message and the control address of its sender."""

    sender: Address
    message: ControlMessage


_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(ControlMessage)


def encode_message(sender: Address, message: ControlMessage) -> list[bytes]:
    """Return the frames of a message."""
    head = _HEAD.pack(VERSION_MAJOR, VERSION_MINOR, pack_address(sender))
    return [head, _encoder.encode(message)]


def decode_message(frames: list[bytes]) -> Delivery:
    """Return what frames hold; raises a WireError for anything else."""
    if len(frames) != 2 or len(frames[0]) < _HEAD.size:
        raise MalformedMessage
    head, body = frames
    major, _minor, sender = _HEAD.unpack_from(head)
    if major != VERSION_MAJOR:
        raise NewerMajorVersion
    if len(body) > _MAX_BODY:
        raise MalformedMessage
    try:
        message = _decoder.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MalformedMessage from error
    return Delivery(unpack_address(sender), message)
