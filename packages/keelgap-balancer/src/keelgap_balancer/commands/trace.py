"""History of one request or flow, collected from the logs of processes."""

import sys
from collections.abc import Iterable, Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any, Final

import msgspec

from keelgap.exceptions import KeelgapError
from keelgap.process import EXIT_FAULTS, report_error

__all__ = ('parse_log_lines', 'select_history', 'trace')

#: Events that change the state on which a process bases its decisions; those
#: close in time help to explain the history.
_STATE_CHANGES: Final = frozenset((
    'balancers_changed',
    'catalog_in_force',
    'isolated',
    'isolation_over',
    # Shows that lines are missing from the history.
    'log_lines_dropped',
    'started',
    'stopping',
    'store_lost',
    'store_regained',
    'upstream_active',
    'upstream_draining',
    'upstream_gone',
    'upstreams_changed',
))
_FLOW_KEY: Final = 'flow'
#: Seconds before and after the history in which state changes are shown.
_AROUND_SECONDS: Final = 3.0

LogEntry = dict[str, Any]


class UnreadableLog(KeelgapError):
    """A log file could not be read."""

    code = 'unreadable_log'


def parse_log_lines(text: Iterable[str]) -> Iterator[LogEntry]:
    """Yield the log entries in lines of text, skipping any prefix."""
    for line in text:
        start = line.find('{')
        if start < 0:
            continue
        try:
            decoded = msgspec.json.decode(line[start:])
        except msgspec.DecodeError:
            continue
        if isinstance(decoded, dict) and 'event' in decoded:
            yield decoded


def select_history(
    entries: list[LogEntry],
    wanted: str,
    *,
    around: bool,
) -> list[LogEntry]:
    """Return the log entries of a request or a flow, sorted by time.

    A request is resolved to its flow, and all entries of the flow are
    returned.  With ``around``, state changes shortly before and after are
    included.
    """
    flow_entries = [entry for entry in entries if _FLOW_KEY in entry]
    flows = {
        entry[_FLOW_KEY]
        for entry in flow_entries
        if wanted in {entry.get('request'), entry[_FLOW_KEY]}
        or entry[_FLOW_KEY].startswith(f'{wanted}>')
    }
    history = [entry for entry in flow_entries if entry[_FLOW_KEY] in flows]
    if around and history:
        times = [entry['time'] for entry in history]
        first = min(times) - _AROUND_SECONDS
        last = max(times) + _AROUND_SECONDS
        history.extend(
            entry
            for entry in entries
            if entry['event'] in _STATE_CHANGES
            and first <= entry['time'] <= last
        )
    return sorted(history, key=lambda entry: float(entry['time']))


def trace(wanted: str, files: tuple[str, ...], *, around: bool) -> int:
    """Print the history of a request or flow from log files.

    Returns an error status if there is none.
    """
    entries: list[LogEntry] = []
    try:
        for name in files:
            with Path(name).open(encoding='utf-8', errors='replace') as log:
                entries.extend(parse_log_lines(log))
    except OSError as error:
        return report_error(UnreadableLog(str(error)))
    history = select_history(entries, wanted, around=around)
    with suppress(BrokenPipeError):
        for entry in history:
            _print_entry(entry)
    if not history:
        print(f'no log line mentions {wanted}', file=sys.stderr)  # noqa: WPS421
        return EXIT_FAULTS
    return 0


def _print_entry(entry: LogEntry) -> None:
    """Print a log entry as one line."""
    header_keys = {'time', 'uptime', 'program', 'instance', 'event'}
    fields = ' '.join(
        f'{name}={value}'
        for name, value in entry.items()
        if name not in header_keys
    )
    print(  # noqa: WPS421
        f'{entry["time"]:.3f} {entry["instance"]} {entry["event"]} {fields}',
    )
