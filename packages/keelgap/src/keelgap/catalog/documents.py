"""Documents by which processes exchange the entries of the store.

A document is a compressed JSON object with ``revision``, ``after`` and
``changes``.  A change consists of a key, its revision and its content, or null
if the entry was deleted.  If ``after`` is 0, the document contains all entries.
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
from keelgap.catalog.exceptions import DECODE_ERRORS
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
#: Entries are similar to each other; the fastest level shrinks them to a
#: tenth.
_COMPRESSION_LEVEL: Final = 1
#: Maximum octets of a decompressed document: values of the platform have up to
#: 1 MB, and 17,000 upstreams 4 MB.
_MAX_OCTETS: Final = 67108864
#: Maps each octet to one character, so that any content is preserved.
_ENCODING: Final = 'latin-1'
_DECODE_ERRORS: Final = (*DECODE_ERRORS, zlib.error)


class MalformedCatalog(KeelgapError):
    """A document from a peer could not be decoded."""

    code = 'malformed_catalog'


def encode_catalog(state: FollowerState, after: int) -> bytes:
    """Encode the changes after a revision as a document for a peer.

    The document contains all entries if the revision is 0 or if the changes
    since then are no longer kept.
    """
    after = after if after and after >= state.recent_changes_after else 0
    changes = (
        _list_latest_changes(state, after)
        if after
        else _list_all_entries(state)
    )
    document = {
        'revision': state.revision if state.complete else 0,
        'after': after,
        'changes': list(map(_encode_change, changes)),
    }
    return zlib.compress(json.dumps(document).encode(), _COMPRESSION_LEVEL)


def _list_latest_changes(state: FollowerState, after: int) -> list[EntryChange]:
    """Return the latest change of each key after a revision, oldest first.

    A deletion is preceded by the last written entry, because a process that
    has never read the entry must learn that it existed.
    """
    changes = [one for one in state.recent_changes if one.revision > after]
    latest = {one.key: one for one in changes}
    written = {one.key: one for one in changes if one.entry is not None}
    ended = [last for key, last in written.items() if latest[key].entry is None]
    return sorted(
        (*latest.values(), *ended),
        key=lambda change: change.revision,
    )


def _list_all_entries(state: FollowerState) -> list[EntryChange]:
    """Return each entry as the change that wrote it."""
    return [
        EntryChange(key, entry.revision, entry)
        for key, entry in state.entries.items()
    ]


def _encode_change(change: EntryChange) -> tuple[str, int, str | None]:
    entry = change.entry
    content = None if entry is None else entry.content.decode(_ENCODING)
    return change.key, change.revision, content


def decode_catalog(now: float, body: bytes) -> FollowerEvent:
    """Decode a document of a peer into a delta or snapshot event.

    Raises MalformedCatalog if the document is invalid.
    """
    try:
        document = _decode_document(body)
    except _DECODE_ERRORS as error:
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
    document = json.loads(_decompress(body))
    return DeltaReceived(
        now=0,
        after=int(document['after']),
        changes=tuple(_decode_change(*row) for row in document['changes']),
        revision=int(document['revision']),
    )


def _decompress(body: bytes) -> bytes:
    """Decompress a document; raise MalformedCatalog if it is too long."""
    decompressor = zlib.decompressobj()
    octets = decompressor.decompress(body, _MAX_OCTETS)
    if not decompressor.eof:
        raise MalformedCatalog(len(body))
    return octets


def _decode_change(key: Any, revision: Any, content: Any) -> EntryChange:
    entry = None
    if content is not None:
        entry = Entry(content.encode(_ENCODING), int(revision))
    return EntryChange(str(key), int(revision), entry)
