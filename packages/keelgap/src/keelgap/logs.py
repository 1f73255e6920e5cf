"""Logging as JSON lines with fixed field names."""

import sys
from typing import TYPE_CHECKING, Any, Final

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

__all__ = ('configure_logs', 'logger')

_LEVEL: Final = 'INFO'


def configure_logs(program: str, instance: str) -> None:
    """Write all records to standard error, one JSON object on each line.

    The fields are ``time`` (RFC 3339), ``level``, ``program``, ``instance``,
    ``event`` and those bound to the record.
    """
    logger.remove()
    logger.configure(extra={'program': program, 'instance': instance})
    logger.add(_write_line, level=_LEVEL)


def _write_line(message: 'Message') -> None:
    """Write one log record as a line of JSON."""
    record = message.record
    line: dict[str, Any] = {
        'time': record['time'].isoformat(timespec='milliseconds'),
        'level': record['level'].name.lower(),
        'event': record['message'],
        **record['extra'],
    }
    if record['exception'] is not None:
        line['error'] = repr(record['exception'].value)
    encoded = msgspec.json.encode(line, enc_hook=str)
    print(encoded.decode(), file=sys.stderr, flush=True)  # noqa: WPS421
