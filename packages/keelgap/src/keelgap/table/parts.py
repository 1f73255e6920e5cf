"""Tables split over several values, for services that limit value length.

The manifest under the table's key lists the parts and their digests; the parts
hold the rows.  Parts are written before the manifest, under keys that are
unique to the revision, so that all parts of a manifest are always available.
"""

from typing import Any, Final, NamedTuple, NotRequired, TypedDict

import msgspec

from keelgap.exceptions import KeelgapError
from keelgap.table.loader import compute_digest

__all__ = (
    'MAX_PART_LENGTH',
    'Part',
    'PartMismatch',
    'join_parts',
    'list_parts',
    'split_table',
)

#: Maximum length in octets of the parts made by split_table; a value may have
#: up to 1 MiB.
MAX_PART_LENGTH: Final = 900000
_SECTIONS: Final = ('services', 'classes', 'upstreams')


class PartMismatch(KeelgapError):
    """A part is not valid JSON, or does not match the manifest's digest."""

    code = 'part_mismatch'


class Part(TypedDict):
    """The key of one part of a split table and the digest of its content."""

    key: str
    digest: str


class _Manifest(TypedDict):
    """A document that lists the parts of a table too long for one value."""

    revision: int
    parts: NotRequired[list[Part]]


class SplitTable(NamedTuple):
    """A manifest and the content of its parts, by key."""

    manifest: bytes
    parts: dict[str, bytes]


def list_parts(content: bytes) -> list[Part]:
    """Return the parts listed in a manifest; none if it is a whole table."""
    if b'"parts"' not in content:
        return []
    try:
        manifest = msgspec.json.decode(content, type=_Manifest)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return []
    return manifest.get('parts', [])


def join_parts(manifest: bytes, values: dict[str, bytes]) -> bytes:
    """Return the whole document; raise PartMismatch if a part is invalid."""
    decoded = msgspec.json.decode(manifest, type=_Manifest)
    whole: dict[str, Any] = {'revision': decoded['revision']}
    for part in list_parts(manifest):
        content = values.get(part['key'], b'')
        if compute_digest(content) != part['digest']:
            raise PartMismatch(part['key'])
        try:
            rows = msgspec.json.decode(content, type=dict[str, list[Any]])
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise PartMismatch(part['key']) from error
        for section, members in rows.items():
            whole.setdefault(section, []).extend(members)
    return msgspec.json.encode(whole)


def split_table(document: bytes, prefix: str) -> SplitTable:
    """Split a table into parts, with keys that start with the prefix."""
    decoded = msgspec.json.decode(document, type=dict[str, Any])
    revision = decoded['revision']
    values = [msgspec.json.encode(rows) for rows in _group_rows(decoded)]
    parts = {
        f'{prefix}.{revision}.{index}': content
        for index, content in enumerate(values)
    }
    manifest = _Manifest(
        revision=revision,
        parts=[
            Part(key=key, digest=compute_digest(content))
            for key, content in parts.items()
        ],
    )
    return SplitTable(msgspec.json.encode(manifest), parts)


def _group_rows(decoded: dict[str, Any]) -> list[dict[str, list[Any]]]:
    """Return the rows in groups of limited length, in their order."""
    groups: list[dict[str, list[Any]]] = [{}]
    octets = 0
    for section in _SECTIONS:
        for row in decoded.get(section) or ():
            length = len(msgspec.json.encode(row)) + 1
            if octets + length > MAX_PART_LENGTH:
                groups.append({})
                octets = 0
            octets += length
            groups[-1].setdefault(section, []).append(row)
    return groups
