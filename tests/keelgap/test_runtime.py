"""The loop, the log lines, HTTP calls and pages."""

import json
import os
import signal
import socket
from contextlib import ExitStack
from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from keelgap.addresses import Address
from keelgap.runtime import json_log as lines_module
from keelgap.runtime.http import (
    HttpClient,
    HttpResponse,
    MalformedResponse,
    parse_response,
)
from keelgap.runtime.json_log import JsonLog
from keelgap.runtime.loop import EventLoop
from keelgap.runtime.pages import Page, serve_pages


class PausedClock:
    """A clock that tests advance."""

    def __init__(self) -> None:
        """Start at some time."""
        self.now = 100.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now


class LoopTests(TestCase):
    """Timers and signals."""

    def setUp(self) -> None:
        """Make a loop on a paused clock."""
        self.stack = ExitStack()
        self.addCleanup(self.stack.close)
        self.clock = PausedClock()
        self.loop = EventLoop(self.stack, self.clock)
        self.called: list[str] = []

    def test_timers_fire_in_order_of_their_time(self) -> None:
        """And not before it."""
        self.loop.call_after(2, lambda: self.called.append('later'))
        self.loop.call_after(1, lambda: self.called.append('sooner'))
        self.loop.call_after(0, self.loop.stop)
        self.loop.run()
        self.assertEqual(self.called, [])
        self.clock.now += 3
        self.loop.run_once()
        self.assertEqual(self.called, ['sooner', 'later'])

    def test_periodic_call_comes_again_after_an_error(self) -> None:
        """The next call is set before the present one runs."""

        def fail() -> None:
            self.called.append('x')
            raise RuntimeError

        self.loop.call_every(1, fail)
        for _ in range(2):
            self.clock.now += 1
            with self.assertRaises(RuntimeError):
                self.loop.run_once()
        self.assertEqual(self.called, ['x', 'x'])

    def test_signals_run_in_the_loop(self) -> None:
        """SIGHUP does not end the process."""
        before = signal.getsignal(signal.SIGHUP)
        self.addCleanup(signal.signal, signal.SIGHUP, before)
        handlers = {int(signal.SIGHUP): self.loop.stop}
        self.loop.handle_signals(handlers, self.stack)
        os.kill(os.getpid(), signal.SIGHUP)
        self.loop.run()
        self.assertTrue(self.loop.stopped)


class LineTests(TestCase):
    """Log lines are bounded and never wait for a reader."""

    def setUp(self) -> None:
        """Collect what is written."""
        self.written: list[bytes] = []
        self.room = 10**9
        self.clock = PausedClock()
        self.lines = JsonLog('keelgap', 'one', self.clock, self.write)

    def write(self, octets: bytes) -> int:
        """Take as much as there is room for."""
        taken = octets[: self.room]
        self.room -= len(taken)
        self.written.append(taken)
        return len(taken)

    def read(self) -> list[dict[str, object]]:
        """Return the lines written so far."""
        text = b''.join(self.written).decode()
        return [json.loads(line) for line in text.splitlines()]

    def test_lines_are_json_with_their_fields(self) -> None:
        """Program and instance are in each."""
        self.lines.log('started', revision=3)
        self.lines.flush()
        line = self.read()[0]
        self.assertEqual(line['event'], 'started')
        self.assertEqual(line['instance'], 'one')
        self.assertEqual(line['revision'], 3)

    def test_stuck_reader_costs_lines_and_never_time(self) -> None:
        """Lines beyond the queue are counted, and the count is told."""
        self.room = 10
        for number in range(lines_module.MAX_QUEUED_LINES + 5):
            self.lines.log('x', number=number)
        self.lines.flush()
        self.assertEqual(len(b''.join(self.written)), 10)
        self.assertEqual(sum(self.lines.dropped.values()), 5)
        self.room = 10**9
        self.lines.flush()
        self.lines.flush()
        self.assertEqual(self.read()[-1]['event'], 'log_lines_dropped')
        self.assertEqual(self.read()[-1]['count'], 5)
        self.assertEqual(len(self.read()), lines_module.MAX_QUEUED_LINES + 1)

    def test_what_was_dropped_is_told_by_event(self) -> None:
        """The second after an outage is the one that is asked about.

        Found on fjordflis-tiles scale-2: 48 lines told of dropped ones, and
        none how many callers had been refused in them.
        """
        for _ in range(lines_module.LINES_PER_SECOND):
            self.lines.log_decision('held')
        for event in ('held', 'reset_no_taker', 'held'):
            self.lines.log_decision(event)
        self.lines.flush()
        (told,) = [
            line for line in self.read() if line['event'] == 'log_lines_dropped'
        ]
        self.assertEqual(told['events'], {'held': 2, 'reset_no_taker': 1})
        self.assertEqual(self.lines.dropped, {})

    def test_decisions_are_bounded_each_second(self) -> None:
        """A flood of packets does not become a flood of lines."""
        for _ in range(lines_module.LINES_PER_SECOND * 3):
            self.lines.log_decision('reset')
        self.assertEqual(
            len(self.lines.queued_lines),
            lines_module.LINES_PER_SECOND,
        )
        self.clock.now += 1
        self.lines.log_decision('reset')
        self.assertEqual(
            len(self.lines.queued_lines),
            lines_module.LINES_PER_SECOND + 1,
        )


class HttpTests(TestCase):
    """Calls and pages over loopback."""

    def setUp(self) -> None:
        """Make a loop and a port for pages."""
        self.stack = ExitStack()
        self.addCleanup(self.stack.close)
        self.loop = EventLoop(self.stack)
        with socket.socket() as probe:
            probe.bind(('127.0.0.1', 0))
            self.address = Address(*probe.getsockname())
        self.client = HttpClient(self.loop, self.address)
        self.stack.callback(self.client.close)
        self.answers: list[HttpResponse] = []

    def call(self, target: str, timeout: float = 5) -> HttpResponse:
        """Call and wait for what comes of it."""

        def take(response: HttpResponse) -> None:
            self.answers.append(response)
            self.loop.stop()

        self.loop.stopped = False
        self.client.get(target, timeout, take)
        self.loop.run()
        return self.answers[-1]

    def test_pages_are_read_over_one_connection(self) -> None:
        """Long ones, too, and unknown ones are not found."""
        body = b'x' * 3_000_000
        pages = {'/a': lambda query: Page(200, 'text/plain', body)}
        serve_pages(self.loop, self.address, pages, self.stack)
        self.assertEqual(self.call('/a?b=1'), HttpResponse(200, body))
        sock = self.client.sock
        self.assertEqual(self.call('/c').status, 404)
        self.assertIs(self.client.sock, sock)

    def test_body_over_the_callers_bound_fails_the_call(self) -> None:
        """Before any of it is kept."""
        self.client.max_body_length = 3
        pages = {
            '/three': lambda query: Page(200, 'text/plain', b'abc'),
            '/four': lambda query: Page(200, 'text/plain', b'abcd'),
        }
        serve_pages(self.loop, self.address, pages, self.stack)
        self.assertEqual(self.call('/three'), HttpResponse(200, b'abc'))
        self.assertEqual(self.call('/four').failure, MalformedResponse.code)

    def test_refused_connection_fails_the_call(self) -> None:
        """The reason says which error it was."""
        response = self.call('/a')
        self.assertEqual(response.status, 0)
        self.assertEqual(response.failure, 'ConnectionRefusedError')

    def test_silent_server_fails_the_call_at_its_time(self) -> None:
        """And the next call gets a connection of its own."""
        with socket.socket() as server:
            server.bind(self.address)
            server.listen()
            response = self.call('/a', timeout=0.05)
        self.assertEqual(response.failure, 'timeout')
        self.assertIsNone(self.client.sock)

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=200))
    def test_odd_octets_are_no_answer(self, octets: bytes) -> None:
        """They are refused by type, or more is awaited."""
        try:
            parsed = parse_response(octets)
        except MalformedResponse:
            return
        self.assertTrue(parsed is None or parsed.response.status >= 0)

    def test_answer_is_taken_only_when_whole(self) -> None:
        """Every cut of it waits for the rest."""
        whole = (
            b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n'
            b'Connection: close\r\n\r\nab'
        )
        for end in range(len(whole)):
            self.assertIsNone(parse_response(whole[:end]))
        parsed = parse_response(whole)
        self.assertIsNotNone(parsed)
        if parsed is not None:
            self.assertEqual(parsed.response, HttpResponse(200, b'ab'))
            self.assertTrue(parsed.closes)
        with self.assertRaises(MalformedResponse):
            parse_response(whole + b'c')
        with self.assertRaises(MalformedResponse):
            parse_response(b'HTTP/1.1 200 OK\r\n\r\n')
