"""Validation of table documents; each fault names its row and column."""

import sys
from collections.abc import Callable, Iterable, Iterator
from operator import itemgetter
from typing import Any, Final, NamedTuple

from keelgap.addresses import InvalidAddress, parse_address
from keelgap.checks import check_columns, check_range
from keelgap.exceptions import Fault
from keelgap.table.models import ClassRow, ServiceRow, UpstreamRow

__all__ = ('check_document',)

_MALFORMED: Final = 'keelgap.E010'
_DUPLICATE: Final = 'keelgap.E011'
_UNKNOWN_SERVICE: Final = 'keelgap.E012'
_BAD_ADDRESS: Final = 'keelgap.E013'
_NOTHING_ACTIVE: Final = 'keelgap.E014'
_UPSTREAMS: Final = 'upstreams'
_MAX_UINT16: Final = 65535
_MAX_REVISION: Final = sys.maxsize
_MAX_WEIGHT: Final = 1000
_MAX_COUNT: Final = 1000000
_MAX_PRIORITY: Final = 9
_MAX_DEADLINE: Final = 86400


class _Section(NamedTuple):
    """A section of the table document and the type of its rows."""

    name: str
    row_type: type[object]
    required: bool = True


class _Range(NamedTuple):
    """The lowest and highest number that a column may hold."""

    column: str
    lowest: float
    highest: float


class _Unique(NamedTuple):
    """A column whose values must differ in all rows of a section."""

    section: str
    column: str


_SECTIONS: Final = (
    _Section('services', ServiceRow),
    _Section('classes', ClassRow, required=False),
    _Section(_UPSTREAMS, UpstreamRow),
)
_RANGES: Final = (
    _Range('number', 1, _MAX_UINT16),
    _Range('port', 1, _MAX_UINT16),
    _Range('queue_limit', 0, _MAX_COUNT),
    _Range('priority', 0, _MAX_PRIORITY),
    _Range('deadline_seconds', 0, _MAX_DEADLINE),
    _Range('weight', 0, _MAX_WEIGHT),
    _Range('slots', 1, _MAX_COUNT),
    _Range('connections', 1, _MAX_COUNT),
    _Range('cold_start_seconds', 0, _MAX_DEADLINE),
)
_UNIQUE: Final = (
    _Unique('services', 'name'),
    _Unique('services', 'number'),
    _Unique('services', 'port'),
    _Unique(_UPSTREAMS, 'name'),
    _Unique(_UPSTREAMS, 'agent'),
)


def _is_never_checked(row: object) -> bool:
    """Return False for every row, so that each is checked."""
    return False


def check_document(
    document: object,
    is_checked: Callable[[object], bool] = _is_never_checked,
) -> Iterator[Fault]:
    """Yield every fault of a decoded table document.

    Rows for which is_checked returns True were valid in a previous version;
    only their relations to other rows are checked again.
    """
    if not isinstance(document, dict):
        yield Fault(
            _MALFORMED,
            'table',
            'the document must be a JSON object',
            'start from `keelgap example table`',
        )
        return
    yield from _check_revision(document.get('revision'))
    faults = [
        fault
        for section in _SECTIONS
        for fault in _check_section(document, section, is_checked)
    ]
    yield from faults
    if not faults:
        yield from _check_relations(document, is_checked)


def _check_revision(revision: object) -> Iterator[Fault]:
    """Yield a fault if the revision is not a whole number in its range."""
    if isinstance(revision, int) and not isinstance(revision, bool):
        yield from check_range('revision', revision, 1, _MAX_REVISION)
        return
    yield Fault(
        _MALFORMED,
        'revision',
        'a whole number is required',
        'increase it by one with each change of the table',
    )


def _check_section(
    document: dict[str, Any],
    section: _Section,
    is_checked: Callable[[object], bool],
) -> Iterator[Fault]:
    """Yield the faults of a section's rows that were not checked before."""
    rows = document.get(section.name)
    if rows is None and not section.required:
        return
    if not isinstance(rows, list):
        yield Fault(
            _MALFORMED,
            section.name,
            'a list of rows is required',
            f'write "{section.name}": [...]',
        )
        return
    for index, row in enumerate(rows):
        if is_checked(row):
            continue
        subject = f'{section.name}[{index}]'
        faults = list(check_columns(row, section.row_type, subject))
        yield from faults
        if not faults:
            yield from _check_ranges(row, subject)


def _check_ranges(row: dict[str, Any], subject: str) -> Iterator[Fault]:
    """Yield a fault for each number of a row outside its range."""
    for column, lowest, highest in _RANGES:
        number = row.get(column)
        if number is not None:
            yield from check_range(
                f'{subject}.{column}',
                number,
                lowest,
                highest,
            )


def _check_relations(
    document: dict[str, Any],
    is_checked: Callable[[object], bool],
) -> Iterator[Fault]:
    """Yield the faults between rows, and those of the agents' addresses."""
    for unique in _UNIQUE:
        yield from _check_unique(document[unique.section], unique)
    names = {row['name'] for row in document['services']}
    yield from _check_references(document, names)
    yield from _check_addresses(document[_UPSTREAMS], is_checked)
    yield from _check_active(document[_UPSTREAMS], names)


def _check_unique(
    rows: list[dict[str, Any]],
    unique: _Unique,
) -> Iterator[Fault]:
    """Yield a fault for each value used twice in a unique column."""
    # The common case of no duplicates takes a tenth of the time of the search
    # for the duplicate rows.
    if len(set(map(itemgetter(unique.column), rows))) == len(rows):
        return
    seen: set[object] = set()
    for index, row in enumerate(rows):
        value = row[unique.column]
        if value in seen:
            yield Fault(
                _DUPLICATE,
                f'{unique.section}[{index}].{unique.column}',
                f'{value!r} is used in an earlier row',
                'use a different value in each row',
            )
        seen.add(value)


def _check_references(
    document: dict[str, Any],
    names: set[str],
) -> Iterator[Fault]:
    """Yield a fault for each row that names an unknown service."""
    choices = ', '.join(sorted(names))
    for section in ('classes', _UPSTREAMS):
        for index, row in enumerate(document.get(section) or ()):
            if row['service'] not in names:
                yield Fault(
                    _UNKNOWN_SERVICE,
                    f'{section}[{index}].service',
                    f'no service is named {row["service"]!r}',
                    f'services are {choices}',
                )


def _check_addresses(
    rows: Iterable[dict[str, Any]],
    is_checked: Callable[[object], bool],
) -> Iterator[Fault]:
    """Yield a fault for each upstream whose agent address is invalid."""
    for index, row in enumerate(rows):
        if is_checked(row):
            continue
        try:
            parse_address(row['agent'])
        except InvalidAddress:
            yield Fault(
                _BAD_ADDRESS,
                f'upstreams[{index}].agent',
                'the value is not a valid address',
                'write IPv4:port',
            )


def _check_active(
    rows: list[dict[str, Any]],
    names: set[str],
) -> Iterator[Fault]:
    """Yield a fault for each service whose upstreams are all out of use."""
    used = {row['service'] for row in rows}
    active = {
        row['service']
        for row in rows
        if row.get('weight', 1) > 0 and row.get('state') != 'draining'
    }
    for name in sorted((names & used) - active):
        yield Fault(
            _NOTHING_ACTIVE,
            f'services[{name}]',
            'all its upstreams are draining or have weight 0',
            'keep one active, or remove the upstream rows',
        )
