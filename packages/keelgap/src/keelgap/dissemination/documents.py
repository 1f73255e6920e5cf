"""Documents in canonical form, their versions and the deltas between them.

In canonical JSON, object keys are sorted, rows of the named sections are
sorted by name, and there is no white space.  The digest is computed over this
form, so that the result of applying a delta can be verified.
"""

from collections.abc import Sequence
from typing import Any, Final, NamedTuple, TypedDict

import msgspec

from keelgap.control.messages import DocumentVersion
from keelgap.exceptions import KeelgapError
from keelgap.table import compute_digest

__all__ = (
    'NO_DOCUMENT',
    'Document',
    'UnusableDocument',
    'apply_changes',
    'compute_changes',
    'load_document',
)

#: Sections whose rows are identified by their name.
_NAMED_SECTIONS: Final = ('services', 'upstreams', 'instances')
_NAME: Final = 'name'


class UnusableDocument(KeelgapError):
    """The content is not a valid document or delta."""

    code = 'unusable_document'


class Document(NamedTuple):
    """One version of a document."""

    version: DocumentVersion
    #: Canonical JSON.
    content: bytes
    decoded: dict[str, Any]


class _Changes(TypedDict):
    """The changes between two documents, as they are encoded in a delta."""

    #: New values of all keys other than named sections; None removes a key.
    plain: dict[str, Any]
    #: New and changed rows, by section.
    rows: dict[str, list[dict[str, Any]]]
    #: Names of removed rows, by section.
    gone: dict[str, list[str]]


#: The document of a process that has not received a version yet.
NO_DOCUMENT: Final = Document(DocumentVersion(0, ''), b'', {})


def load_document(content: bytes) -> Document:
    """Decode a JSON document and return it in canonical form."""
    try:
        decoded = msgspec.json.decode(content, type=dict[str, Any])
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise UnusableDocument(str(error)) from error
    return _canonicalize(decoded)


def _canonicalize(decoded: dict[str, Any]) -> Document:
    """Return a document with sorted keys and rows, and with its version."""
    for section in _NAMED_SECTIONS:
        rows: Any = decoded.get(section)
        if _is_named(rows):
            decoded[section] = sorted(rows, key=_get_name)
    content = msgspec.json.encode(decoded, order='sorted')
    revision = decoded.get('revision')
    if isinstance(revision, bool) or not isinstance(revision, int):
        revision = 0
    version = DocumentVersion(revision, compute_digest(content))
    return Document(version, content, decoded)


def _is_named(rows: object) -> bool:
    """Return whether all rows of a section have a name."""
    return isinstance(rows, list) and all(
        isinstance(row, dict) and isinstance(row.get(_NAME), str)
        for row in rows
    )


def _get_name(row: dict[str, Any]) -> str:
    name: str = row[_NAME]
    return name


def compute_changes(before: Document, after: Document) -> bytes:
    """Return the changes from one document to another, as JSON."""
    changes = _Changes(plain={}, rows={}, gone={})
    names = before.decoded.keys() | after.decoded.keys()
    for name in sorted(names):
        old = before.decoded.get(name)
        new = after.decoded.get(name)
        named = name in _NAMED_SECTIONS and _is_named(old) and _is_named(new)
        if named:
            _compare_rows(changes, name, old or [], new or [])
        elif old != new:
            changes['plain'][name] = new
    return msgspec.json.encode(changes)


def _compare_rows(
    changes: _Changes,
    section: str,
    old: list[dict[str, Any]],
    new: list[dict[str, Any]],
) -> None:
    """Add the new, changed and removed rows of a section to the changes."""
    before = {_get_name(row): row for row in old}
    after = {_get_name(row): row for row in new}
    rows = [row for name, row in after.items() if before.get(name) != row]
    gone = sorted(before.keys() - after.keys())
    if rows:
        changes['rows'][section] = rows
    if gone:
        changes['gone'][section] = gone


def apply_changes(before: Document, changes: bytes) -> Document:
    """Apply changes to a document; raise UnusableDocument if not valid."""
    try:
        decoded_changes = msgspec.json.decode(changes, type=_Changes)
    except (msgspec.DecodeError, RecursionError) as error:
        raise UnusableDocument(str(error)) from error
    decoded = {**before.decoded, **decoded_changes['plain']}
    kept = {name: value for name, value in decoded.items() if value is not None}
    for section in _NAMED_SECTIONS:
        gone = decoded_changes['gone'].get(section, ())
        changed = decoded_changes['rows'].get(section, ())
        if gone or changed:
            kept[section] = _change_rows(kept.get(section), gone, changed)
    return _canonicalize(kept)


def _change_rows(
    before: list[dict[str, Any]] | None,
    gone: Sequence[str],
    changed: Sequence[dict[str, Any]],
) -> list[dict[str, Any]]:
    """Return the rows of a section after removals and replacements."""
    rows = {_get_name(row): row for row in before or ()}
    for name in gone:
        rows.pop(name, None)
    for row in changed:
        rows[str(row.get(_NAME))] = row
    return list(rows.values())
