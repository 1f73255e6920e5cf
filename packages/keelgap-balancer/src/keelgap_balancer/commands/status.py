"""Comparison of the table revisions in force in several processes."""

import asyncio
from typing import Final, TypedDict

import msgspec

from keelgap.admin_client import PageResult, fetch_pages
from keelgap.process import EXIT_FAULTS

__all__ = ('status',)

_NAME_KEY: Final = 'name'


class _Line(TypedDict):
    """One line of the output, for one process."""

    address: str
    name: str
    revision: int | None
    digest: str
    state: str


def status(addresses: tuple[str, ...], *, as_json: bool) -> int:
    """Print a line per process; return 0 if all have the same table."""
    readings = asyncio.run(fetch_pages(addresses, '/status'))
    lines = _compare_versions(readings)
    if as_json:
        print(msgspec.json.encode(lines).decode())  # noqa: WPS421
    else:
        for line in lines:
            print(*line.values(), sep='  ')  # noqa: WPS421
    states = {entry['state'] for entry in lines}
    return EXIT_FAULTS if states - {'current'} else 0


def _compare_versions(readings: list[PageResult]) -> list[_Line]:
    """Return a line per process, which tells whether its table is newest."""
    versions = [
        _get_version(reading) for reading in readings if not reading.error
    ]
    newest = max(versions, default=(0, ''))
    return [_make_line(reading, newest) for reading in readings]


def _get_version(reading: PageResult) -> tuple[int, str]:
    """Return the revision and the digest of a process's table."""
    table = reading.document['table']
    return (table['revision'], table['digest'])


def _make_line(reading: PageResult, newest: tuple[int, str]) -> _Line:
    """Return the line of a process, given the newest version of the table."""
    if reading.error is not None:
        return _Line(
            address=reading.address,
            name='-',
            revision=None,
            digest='-',
            state=reading.error.code,
        )
    revision, digest = _get_version(reading)
    current = (revision, digest) == newest
    return _Line(
        address=reading.address,
        name=reading.document[_NAME_KEY],
        revision=revision,
        digest=digest,
        state='current' if current else 'behind',
    )
