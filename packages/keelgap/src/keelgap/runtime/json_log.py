"""Log of JSON lines on standard output, bounded and non-blocking.

Lines are queued up to a limit and written in chunks at each flush.  If the
reader of the pipe is stalled, or decisions exceed the rate limit, new lines are
dropped; a line with the dropped counts by event follows as soon as the queue
has space.
"""

import json
import os
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import Final

__all__ = ('MAX_LISTED', 'JsonLog', 'Write', 'write_to_standard_output')

#: Maximum queued lines; 600 KB with 300 octets per line.
MAX_QUEUED_LINES: Final = 2000
#: Maximum lines per second for decisions on flows.  A scenario of 34 s
#: with 250 requests per second stays below this limit; a flood exceeds it.
LINES_PER_SECOND: Final = 200
#: Maximum octets per write; writes of up to this size to a pipe are atomic,
#: so that no line is truncated.
_MAX_WRITE_OCTETS: Final = 4096
#: Maximum items listed in a log line that covers many of them.
MAX_LISTED: Final = 4
_STDOUT_FD: Final = 1

Write = Callable[[bytes], int]


def write_to_standard_output(octets: bytes) -> int:
    """Write to standard output without blocking.

    Returns the number of octets written, 0 if the pipe is full.
    """
    try:
        return os.write(_STDOUT_FD, octets)
    except BlockingIOError:
        return 0


class JsonLog:
    """Queue of JSON log lines of one process, limited in size and rate."""

    def __init__(
        self,
        program: str,
        instance: str,
        clock: Callable[[], float],
        write: Write = write_to_standard_output,
    ) -> None:
        """Initialize an empty queue; lines are written by ``flush``."""
        self.program = program
        self.instance = instance
        self.clock = clock
        self.write = write
        self.queued_lines: deque[bytes] = deque()
        #: Rest of a chunk that the pipe took in part.
        self.unwritten = b''
        #: Number of lines dropped since the last report, by event.
        self.dropped: dict[str, int] = {}
        #: Second to which the allowance belongs.
        self.current_second = 0
        #: Decisions that may still be logged in the current second.
        self.allowance = LINES_PER_SECOND

    def log_decision(self, event: str, **fields: object) -> None:
        """Log a decision on a flow; drop the line above the rate limit."""
        current_second = int(self.clock())
        if current_second != self.current_second:
            self.current_second = current_second
            self.allowance = LINES_PER_SECOND
        self.allowance -= 1
        if self.allowance < 0:
            self._count_dropped_line(event)
            return
        self.log(event, **fields)

    def log(self, event: str, **fields: object) -> None:
        """Log a rare event, for example a start, a stop or a state change.

        There is no rate limit, but a line is dropped if the queue is full.
        """
        if len(self.queued_lines) >= MAX_QUEUED_LINES:
            self._count_dropped_line(event)
            return
        line = {
            'time': round(time.time(), 3),
            'uptime': round(self.clock(), 3),
            'program': self.program,
            'instance': self.instance,
            'event': event,
            **fields,
        }
        encoded = json.dumps(line, default=str)
        self.queued_lines.append(f'{encoded}\n'.encode())

    def flush(self) -> None:
        """Write queued lines until none is left or the pipe is full.

        Dropped lines are reported by a line of their own.
        """
        if self.dropped and len(self.queued_lines) < MAX_QUEUED_LINES:
            dropped = self.dropped
            self.dropped = {}
            self.log(
                'log_lines_dropped',
                count=sum(dropped.values()),
                events=dropped,
            )
        while self.queued_lines or self.unwritten:
            chunk = self.unwritten or self._take_chunk()
            written = 0
            with suppress(OSError):
                written = self.write(chunk)
            self.unwritten = chunk[written:]
            if self.unwritten:
                return

    def _count_dropped_line(self, event: str) -> None:
        self.dropped[event] = self.dropped.get(event, 0) + 1

    def _take_chunk(self) -> bytes:
        """Remove and return as many queued lines as one write may have."""
        lines = [self.queued_lines.popleft()]
        length = len(lines[0])
        while (
            self.queued_lines
            and length + len(self.queued_lines[0]) <= _MAX_WRITE_OCTETS
        ):
            line = self.queued_lines.popleft()
            length += len(line)
            lines.append(line)
        return b''.join(lines)
