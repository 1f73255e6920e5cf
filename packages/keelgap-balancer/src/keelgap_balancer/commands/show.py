"""Read-only views of one running process."""

import asyncio
import sys
from typing import Any, Final

import msgspec
from fire.decorators import SetParseFns

from keelgap.admin_client import Unreachable, fetch_page
from keelgap.process import EXIT_FAULTS

__all__ = ('Show',)

_INDENT: Final = 2


class Show:
    """Show the state of the process at ADMIN_ADDRESS (IPv4:port)."""

    @SetParseFns(address=str)
    def table(self, address: str, *, json: bool = False) -> None:
        """Show the table in force: revision, digest, age and last refusal."""
        report = _read_or_exit(address, '/table')
        if json:
            _print_json(report)
            return
        for key in ('table', 'instances'):
            _print_document_status(key, report[key])
        _print_rows(report['content'].get('upstreams', []))

    @SetParseFns(address=str)
    def flows(self, address: str, *, json: bool = False) -> None:
        """Show the open flows of an agent."""
        _show_rows(_read_or_exit(address, '/flows'), as_json=json)

    @SetParseFns(address=str)
    def upstreams(self, address: str, *, json: bool = False) -> None:
        """Show the upstreams in the view of a balancer."""
        _show_rows(_read_or_exit(address, '/upstreams'), as_json=json)


def _read_or_exit(address: str, path: str) -> Any:
    """Return the decoded page of an address, or print the error and exit."""
    try:
        return asyncio.run(fetch_page(address, path))
    except Unreachable as error:
        _print(f'{error.code}: {error}', file=sys.stderr)
        sys.exit(EXIT_FAULTS)


def _print(text: str, **options: Any) -> None:
    print(text, **options)  # noqa: WPS421


def _print_json(document: Any) -> None:
    """Print a document as indented JSON."""
    encoded = msgspec.json.encode(document)
    _print(msgspec.json.format(encoded, indent=_INDENT).decode())


def _print_document_status(key: str, report: dict[str, Any]) -> None:
    """Print the version in force of a document and its latest refusal."""
    age = report['in_force_seconds']
    since = 'nothing in force' if age is None else f'for {age:.1f} s'
    _print(f'{key}: revision {report["revision"]} {report["digest"]} {since}')
    refused = report['refused']
    if refused is not None:
        _print(f'  refused revision {refused["revision"]}:')
        for fault in refused['faults']:
            _print(f'    {fault["subject"]}: {fault["problem"]}')


def _show_rows(rows: list[dict[str, Any]], *, as_json: bool) -> None:
    """Print rows as a table or as JSON."""
    if as_json:
        _print_json(rows)
    else:
        _print_rows(rows)


def _print_rows(rows: list[dict[str, Any]]) -> None:
    """Print rows as aligned columns below a header."""
    if not rows:
        _print('(none)')
        return
    names = list(dict.fromkeys(name for row in rows for name in row))
    cells = [[str(row.get(name, '')) for name in names] for row in rows]
    lines = [names, *cells]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        padded = [
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        ]
        _print('  '.join(padded).rstrip())
