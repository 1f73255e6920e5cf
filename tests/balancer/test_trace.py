"""The history of one request from the logs of several processes."""

import io
import json
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from unittest import TestCase

from keelgap_balancer.commands.trace import parse_log_lines, trace

FLOW = '100.64.0.7:1026>198.18.0.1:443'


def make_line(time: float, event: str, **fields: Any) -> str:
    """Return a log line with something in front of it."""
    line = {'time': time, 'instance': 'one', 'event': event, **fields}
    return f'  12.5 one {json.dumps(line)}\n'


class TraceTests(TestCase):
    """A request leads to its flow, and the flow to all that touched it."""

    def setUp(self) -> None:
        """Write the logs of two processes."""
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.logs = [Path(folder.name, name) for name in 'ab']
        self.logs[0].write_text(
            make_line(3, 'reset_dead_flow', flow=FLOW)
            + make_line(2, 'upstream_gone', upstream='i-1')
            + 'garbage {\n',
        )
        self.logs[1].write_text(
            make_line(1, 'request_answered', request='r1', flow=FLOW)
            + make_line(1, 'request_answered', request='r2', flow='x>y'),
        )

    def run_trace(self, wanted: str, *, around: bool = False) -> list[str]:
        """Return the events that are printed, in order."""
        output = io.StringIO()
        with redirect_stdout(output), redirect_stderr(io.StringIO()):
            self.status = trace(
                wanted,
                tuple(map(str, self.logs)),
                around=around,
            )
        return [line.split()[2] for line in output.getvalue().splitlines()]

    def test_request_flow_and_caller_lead_to_the_same_history(self) -> None:
        """In the order of their times."""
        for wanted in ('r1', FLOW, '100.64.0.7:1026'):
            events = self.run_trace(wanted)
            self.assertEqual(events, ['request_answered', 'reset_dead_flow'])
            self.assertEqual(self.status, 0)

    def test_beliefs_around_are_shown_on_demand(self) -> None:
        """What a process learned shortly before explains its decision."""
        events = self.run_trace('r1', around=True)
        self.assertEqual(events[1], 'upstream_gone')

    def test_unknown_request_and_missing_file_are_told(self) -> None:
        """By the exit status."""
        self.assertEqual(self.run_trace('r9'), [])
        self.assertEqual(self.status, 1)
        self.logs[0].unlink()
        self.run_trace('r1')
        self.assertEqual(self.status, 2)

    def test_lines_without_an_event_are_passed_over(self) -> None:
        """Logs hold other text, too."""
        self.assertEqual(list(parse_log_lines(['{"a": 1}', '[1]', 'x'])), [])
