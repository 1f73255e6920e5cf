"""Turn a table document into a Table, or refuse it whole."""

from hashlib import blake2b
from typing import Any, Final

import msgspec

from keelgap.addresses import parse_address
from keelgap.exceptions import Fault, TableRefused
from keelgap.table.checks import check_document
from keelgap.table.models import Service, Table, TrafficClass, Upstream

__all__ = ('MAX_DOCUMENT', 'build_table', 'compute_digest', 'load_table')

#: Longest value of the configuration service, in octets.
MAX_DOCUMENT: Final = 1024 * 1024
_DIGEST_LENGTH: Final = 16


def compute_digest(document: bytes) -> str:
    """Return the digest that names a document."""
    return blake2b(document, digest_size=_DIGEST_LENGTH).hexdigest()


def load_table(document: bytes) -> Table:
    """Return the table that a JSON document holds.

    Raises TableRefused with every fault found.
    """
    return build_table(_decode(document), compute_digest(document))


def build_table(decoded: Any, digest: str) -> Table:
    """Return the table of a decoded document, under its digest.

    Raises TableRefused with every fault found.
    """
    faults = tuple(check_document(decoded))
    if faults:
        raise TableRefused(faults)
    services = _make_services(decoded)
    numbers = {service.name: service.number for service in services}
    rows: dict[int, list[Upstream]] = {
        number: [] for number in numbers.values()
    }
    for row in decoded['upstreams']:
        rows[numbers[row['service']]].append(_make_upstream(row))
    return Table(
        decoded['revision'],
        digest,
        {service.number: service for service in services},
        {number: tuple(members) for number, members in rows.items()},
    )


def _decode(document: bytes) -> Any:
    if len(document) > MAX_DOCUMENT:
        raise TableRefused((
            Fault(
                'keelgap.E015',
                'table',
                f'the document has {len(document)} octets',
                f'keep it within {MAX_DOCUMENT}',
            ),
        ))
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
