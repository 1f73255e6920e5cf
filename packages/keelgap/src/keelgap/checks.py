"""Validation helpers that report every fault of an input at once."""

from collections.abc import Iterator, Mapping
from difflib import get_close_matches
from typing import (
    Any,
    Final,
    Literal,
    NamedTuple,
    NotRequired,
    get_args,
    get_origin,
    get_type_hints,
)

import msgspec

from keelgap.exceptions import Fault

__all__ = (
    'check_columns',
    'check_range',
    'convert_columns',
    'describe_nearest',
)

_UNKNOWN: Final = 'keelgap.E001'
_MISSING: Final = 'keelgap.E002'
_WRONG_TYPE: Final = 'keelgap.E003'
_OUT_OF_RANGE: Final = 'keelgap.E004'


def describe_nearest(name: str, known: Mapping[str, object]) -> str:
    """Return a hint that suggests the known name closest to a wrong one."""
    nearest = get_close_matches(name, known, n=1)
    if nearest:
        return f'did you mean {nearest[0]!r}?'
    names = ', '.join(sorted(known))
    return f'known names are {names}'


class _Column(NamedTuple):
    """The name and the type of a column, and whether it is required."""

    name: str
    hint: object
    required: bool


def _list_columns(row_type: type[object]) -> tuple[_Column, ...]:
    """Return the columns of a TypedDict or NamedTuple."""
    defaults = getattr(row_type, '_field_defaults', {})
    columns = []
    for name, hint in get_type_hints(row_type, include_extras=True).items():
        if get_origin(hint) is NotRequired:
            columns.append(_Column(name, get_args(hint)[0], required=False))
        else:
            columns.append(_Column(name, hint, name not in defaults))
    return tuple(columns)


def _describe_type(hint: object) -> str:
    """Return a description of a column's type for hints."""
    if get_origin(hint) is Literal:
        choices = ', '.join(map(str, get_args(hint)))
        return f'one of {choices}'
    name = getattr(hint, '__name__', str(hint))
    return f'a value of type {name}'


def check_columns(
    row: object,
    row_type: type[object],
    subject: str,
    *,
    strict: bool = True,
) -> Iterator[Fault]:
    """Yield a fault for each unknown, missing or ill-typed column of a row.

    The row type is a TypedDict or a NamedTuple.
    """
    if not isinstance(row, dict):
        yield Fault(
            _WRONG_TYPE,
            subject,
            'a row must be an object',
            'write {"column": value, ...}',
        )
        return
    columns = {column.name: column for column in _list_columns(row_type)}
    for unknown in sorted(row.keys() - columns.keys()):
        yield Fault(
            _UNKNOWN,
            f'{subject}.{unknown}',
            'unknown name',
            describe_nearest(unknown, columns),
        )
    for column in columns.values():
        yield from _check_column(row, column, subject, strict=strict)


def _check_column(
    row: dict[str, Any],
    column: _Column,
    subject: str,
    *,
    strict: bool,
) -> Iterator[Fault]:
    """Yield a fault if a column of a row is missing or has a wrong type."""
    hint = f'give {_describe_type(column.hint)}'
    location = f'{subject}.{column.name}'
    if column.name not in row:
        if column.required:
            yield Fault(_MISSING, location, 'a value is required', hint)
        return
    try:
        msgspec.convert(row[column.name], column.hint, strict=strict)
    except msgspec.ValidationError as error:
        yield Fault(_WRONG_TYPE, location, str(error).lower(), hint)


def convert_columns(
    row: dict[str, str],
    row_type: type[object],
) -> dict[str, Any]:
    """Convert the strings of a validated row to the types of its columns."""
    hints = get_type_hints(row_type)
    return {
        key: msgspec.convert(text, hints[key], strict=False)
        for key, text in row.items()
    }


def check_range(
    subject: str,
    number: float,
    lowest: float,
    highest: float,
) -> Iterator[Fault]:
    """Yield a fault if a number is outside its range."""
    if not lowest <= number <= highest:
        yield Fault(
            _OUT_OF_RANGE,
            subject,
            f'{number} is out of range',
            f'give a number from {lowest} to {highest}',
        )
