"""What processes hand each other of the store's entries.

A compressed JSON object: ``revision``, ``after`` and ``changes``, each a key,
its revision, and its content, or null if the entry is gone.  With ``after``
0 it has all entries there are.
"""

import json
import zlib
from typing import Any, Final

from keelgap.catalog.events import (
    DeltaReceived,
    EntryChange,
    FollowerEvent,
    SnapshotReceived,
)
from keelgap.catalog.exceptions import UNREADABLE
from keelgap.catalog.models import Entry
from keelgap.catalog.state import FollowerState
from keelgap.exceptions import KeelgapError

__all__ = (
    'CONTENT_TYPE',
    'MalformedCatalog',
    'decode_catalog',
    'encode_catalog',
)

CONTENT_TYPE: Final = 'application/octet-stream'
#: Rows of tables resemble each other; the fastest level makes them a tenth.
_LEVEL: Final = 1
#: Octets that a document may have when it is unpacked: the platform's values
#: have up to 1 MB, and 17,000 upstreams 4 MB.
_MOST_OCTETS: Final = 67108864
#: One octet a character, so that any octets survive.
_OCTETS: Final = 'latin-1'
_UNREADABLE: Final = (*UNREADABLE, zlib.error)


class MalformedCatalog(KeelgapError):
    """A peer's document that cannot be read."""

    code = 'malformed_catalog'


def encode_catalog(state: FollowerState, after: int) -> bytes:
    """Return what changed after a revision, or all if that is not known."""
    after = after if after and after >= state.kept_after else 0
    changes = _list_changes(state, after) if after else _list_all(state)
    document = {
        'revision': state.revision if state.complete else 0,
        'after': after,
        'changes': list(map(_encode_change, changes)),
    }
    return zlib.compress(json.dumps(document).encode(), _LEVEL)


def _list_changes(state: FollowerState, after: int) -> list[EntryChange]:
    """Return the latest change of each key, oldest first.

    Where that is the end of an entry, what it held comes before it: whoever
    never read it must know that it was there.
    """
    changes = [one for one in state.kept if one.revision > after]
    latest = {one.key: one for one in changes}
    written = {one.key: one for one in changes if one.entry is not None}
    ended = [last for key, last in written.items() if latest[key].entry is None]
    return sorted(
        (*latest.values(), *ended),
        key=lambda change: change.revision,
    )


def _list_all(state: FollowerState) -> list[EntryChange]:
    return [
        EntryChange(key, entry.revision, entry)
        for key, entry in state.entries.items()
    ]


def _encode_change(change: EntryChange) -> tuple[str, int, str | None]:
    entry = change.entry
    content = None if entry is None else entry.content.decode(_OCTETS)
    return change.key, change.revision, content


def decode_catalog(now: float, body: bytes) -> FollowerEvent:
    """Return the event that a document stands for; raise MalformedCatalog."""
    try:
        document = _decode_document(body)
    except _UNREADABLE as error:
        raise MalformedCatalog(repr(error)) from error
    if document.after:
        return document._replace(now=now)
    entries = {
        change.key: change.entry
        for change in document.changes
        if change.entry is not None
    }
    return SnapshotReceived(now, entries, document.revision)


def _decode_document(body: bytes) -> DeltaReceived:
    document = json.loads(_unpack(body))
    return DeltaReceived(
        now=0,
        after=int(document['after']),
        changes=tuple(_decode_change(*row) for row in document['changes']),
        revision=int(document['revision']),
    )


def _unpack(body: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    octets = unpacker.decompress(body, _MOST_OCTETS)
    if not unpacker.eof:
        raise MalformedCatalog(len(body))
    return octets


def _decode_change(key: Any, revision: Any, content: Any) -> EntryChange:
    entry = None
    if content is not None:
        entry = Entry(content.encode(_OCTETS), int(revision))
    return EntryChange(str(key), int(revision), entry)
