"""Turn a table document into a Table, or refuse it whole."""

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
    'MAX_DOCUMENT',
    'TableLoader',
    'compute_digest',
    'load_document_table',
    'load_table',
)

#: Longest value of the configuration service, in octets.
MAX_DOCUMENT: Final = 1024 * 1024
_UPSTREAMS: Final = 'upstreams'
_DIGEST_LENGTH: Final = 16


def compute_digest(document: bytes) -> str:
    """Return the digest that names a document."""
    return blake2b(document, digest_size=_DIGEST_LENGTH).hexdigest()


def load_table(document: bytes) -> Table:
    """Return the table that one value of the service holds.

    Raises TableRefused with every fault found.
    """
    if len(document) > MAX_DOCUMENT:
        raise TableRefused((
            Fault(
                'keelgap.E015',
                'table',
                f'the document has {len(document)} octets',
                f'keep it within {MAX_DOCUMENT}, or use `keelgap split`',
            ),
        ))
    return load_document_table(document)


def load_document_table(document: bytes) -> Table:
    """Return the table of a document of any length, or refuse it."""
    return TableLoader().load(_decode(document), compute_digest(document))


class TableLoader:
    """Turn one version of the table after the other into Tables.

    Rows that a delta left alone are the same objects as in the version before.
    They are neither checked nor built again, so that a change costs little
    more than the rows that it touches.
    """

    def __init__(self) -> None:
        """Start without an earlier version."""
        #: The last accepted document; keeps the ids of its rows in use.
        self.accepted: dict[str, Any] = {}
        self.checked: frozenset[int] = frozenset()
        self.built: dict[int, Upstream] = {}
        self.table: Table = EMPTY_TABLE

    def load(self, decoded: Any, digest: str) -> Table:
        """Return the table of a decoded document, under its digest.

        Raises TableRefused with every fault found.
        """
        faults = tuple(
            check_document(decoded, lambda row: id(row) in self.checked),
        )
        if faults:
            raise TableRefused(faults)
        services = _make_services(decoded)
        self.built = {
            id(row): self.built.get(id(row)) or _make_upstream(row)
            for row in decoded[_UPSTREAMS]
        }
        table = Table(
            decoded['revision'],
            digest,
            {service.number: service for service in services},
            self._group(decoded[_UPSTREAMS], services),
        )
        self._keep(decoded, table)
        return table

    def _group(
        self,
        rows: list[dict[str, Any]],
        services: list[Service],
    ) -> dict[int, tuple[Upstream, ...]]:
        """Return rows by service, as the same tuples where nothing changed."""
        members: dict[str, list[Upstream]] = {
            service.name: [] for service in services
        }
        for row in rows:
            members[row['service']].append(self.built[id(row)])
        before = self.table.upstreams
        return {
            service.number: _reuse(
                before.get(service.number, ()),
                tuple(members[service.name]),
            )
            for service in services
        }

    def _keep(self, decoded: dict[str, Any], table: Table) -> None:
        sections = ('services', 'classes', _UPSTREAMS)
        self.accepted = decoded
        self.table = table
        self.checked = frozenset(
            id(row)
            for section in sections
            for row in decoded.get(section) or ()
        )


def _reuse(
    before: tuple[Upstream, ...],
    after: tuple[Upstream, ...],
) -> tuple[Upstream, ...]:
    # Equal tuples are interchangeable; the old one tells that nothing moved.
    if before == after:
        return before
    return after


def _decode(document: bytes) -> Any:
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
