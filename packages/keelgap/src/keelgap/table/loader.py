"""Conversion of table documents to Table objects."""

from hashlib import blake2b
from typing import Any, Final

import msgspec

from keelgap.addresses import parse_address
from keelgap.exceptions import Fault, TableRefused
from keelgap.table.checks import check_document
from keelgap.table.models import (
    EMPTY_TABLE,
    Service,
    Table,
    TrafficClass,
    Upstream,
)

__all__ = (
    'MAX_DOCUMENT_LENGTH',
    'TableLoader',
    'compute_digest',
    'load_document_table',
    'load_table',
)

#: Maximum length of a value in the configuration service, in octets.
MAX_DOCUMENT_LENGTH: Final = 1024 * 1024
_UPSTREAMS: Final = 'upstreams'
_DIGEST_LENGTH: Final = 16


def compute_digest(document: bytes) -> str:
    """Return the digest of a document's content as hexadecimal text."""
    return blake2b(document, digest_size=_DIGEST_LENGTH).hexdigest()


def load_table(document: bytes) -> Table:
    """Return the table of a JSON document that fits into one value.

    A longer document is refused.  Raises TableRefused with every fault found.
    """
    if len(document) > MAX_DOCUMENT_LENGTH:
        raise TableRefused((
            Fault(
                'keelgap.E015',
                'table',
                f'the document has {len(document)} octets',
                f'keep it within {MAX_DOCUMENT_LENGTH}, or use `keelgap split`',
            ),
        ))
    return load_document_table(document)


def load_document_table(document: bytes) -> Table:
    """Return the table of a document of any length.

    Raises TableRefused with every fault found.
    """
    return TableLoader().load(_decode(document), compute_digest(document))


class TableLoader:
    """Convert successive versions of the table document to Tables.

    Rows that a delta did not change are the same objects as in the previous
    version.  They are neither checked nor converted again, so that the cost of
    a change depends mainly on the number of changed rows.
    """

    def __init__(self) -> None:
        """Start without a previous version."""
        #: The last accepted document; the reference keeps the ids of its rows
        #: from being reused.
        self.accepted_document: dict[str, Any] = {}
        self.checked_row_ids: frozenset[int] = frozenset()
        self.upstreams_by_row_id: dict[int, Upstream] = {}
        self.table: Table = EMPTY_TABLE

    def load(self, decoded: Any, digest: str) -> Table:
        """Return the table of a decoded document with the given digest.

        Raises TableRefused with every fault found.
        """
        faults = tuple(
            check_document(
                decoded, lambda row: id(row) in self.checked_row_ids
            ),
        )
        if faults:
            raise TableRefused(faults)
        services = _make_services(decoded)
        self.upstreams_by_row_id = {
            id(row): self.upstreams_by_row_id.get(id(row))
            or _make_upstream(row)
            for row in decoded[_UPSTREAMS]
        }
        table = Table(
            decoded['revision'],
            digest,
            {service.number: service for service in services},
            self._group_upstreams(decoded[_UPSTREAMS], services),
        )
        self._remember(decoded, table)
        return table

    def _group_upstreams(
        self,
        rows: list[dict[str, Any]],
        services: list[Service],
    ) -> dict[int, tuple[Upstream, ...]]:
        """Return upstreams by service, reusing the unchanged tuples."""
        members: dict[str, list[Upstream]] = {
            service.name: [] for service in services
        }
        for row in rows:
            members[row['service']].append(self.upstreams_by_row_id[id(row)])
        before = self.table.upstreams
        return {
            service.number: _reuse_if_equal(
                before.get(service.number, ()),
                tuple(members[service.name]),
            )
            for service in services
        }

    def _remember(self, decoded: dict[str, Any], table: Table) -> None:
        """Keep an accepted document, whose rows need no further check."""
        sections = ('services', 'classes', _UPSTREAMS)
        self.accepted_document = decoded
        self.table = table
        self.checked_row_ids = frozenset(
            id(row)
            for section in sections
            for row in decoded.get(section) or ()
        )


def _reuse_if_equal(
    before: tuple[Upstream, ...],
    after: tuple[Upstream, ...],
) -> tuple[Upstream, ...]:
    """Return the earlier upstreams if they equal the later ones."""
    # Returning the previous object lets users detect by identity that nothing
    # changed.
    if before == after:
        return before
    return after


def _decode(document: bytes) -> Any:
    """Decode a JSON document, or raise TableRefused."""
    try:
        return msgspec.json.decode(document)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise TableRefused((
            Fault(
                'keelgap.E010',
                'table',
                f'not JSON: {error}',
                'check the document with `keelgap check table FILE`',
            ),
        )) from error


def _make_services(decoded: dict[str, Any]) -> list[Service]:
    """Return the services of a document with their traffic classes."""
    classes: dict[str, list[TrafficClass]] = {}
    for row in decoded.get('classes') or ():
        columns = dict(row)
        members = classes.setdefault(columns.pop('service'), [])
        members.append(TrafficClass(**columns))
    return [
        Service(**service, classes=tuple(classes.get(service['name'], ())))
        for service in decoded['services']
    ]


def _make_upstream(row: dict[str, Any]) -> Upstream:
    return Upstream(**{**row, 'agent': parse_address(row['agent'])})
