"""The client of the platform's store, on connections of the test."""

import json
from collections.abc import Callable
from typing import cast
from unittest import TestCase, mock

from keelgap.addresses import Address
from keelgap.catalog.events import CallFailed, FollowerEvent, PageRead
from keelgap.runtime.http import HttpResponse
from keelgap.runtime.loop import EventLoop
from keelgap_platform import store

STORE = Address('10.200.1.7', 8169)
PAGE = HttpResponse(
    200,
    json.dumps({'items': [], 'HasMore': False, 'AsOf': 7}).encode(),
)
LOST = HttpResponse(0, b'', 'timeout')


class FakeConnection:
    """Keeps the call that waits on it."""

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        max_body_length: int,
    ) -> None:
        """Start without a call."""
        self.max_body_length = max_body_length
        self.on_response: Callable[[HttpResponse], None] | None = None

    def get(
        self,
        target: str,
        timeout: float,
        on_response: Callable[[HttpResponse], None],
    ) -> None:
        """Wait."""
        self.on_response = on_response

    def close(self) -> None:
        """Forget the call."""
        self.on_response = None

    def answer(self, answer: HttpResponse) -> None:
        """Let an answer come, if the call still waits."""
        on_response = self.on_response
        self.on_response = None
        if on_response is not None:
            on_response(answer)


class FirstPageTests(TestCase):
    """The first page may be asked for on several connections at once."""

    def setUp(self) -> None:
        """Ask twice."""
        self.connections: list[FakeConnection] = []
        self.events: list[FollowerEvent] = []
        patched = mock.patch.object(store, 'HttpClient', self._connect)
        patched.start()
        self.addCleanup(patched.stop)
        loop = cast(EventLoop, mock.Mock(clock=lambda: 1.0))
        self.client = store.StoreClient(
            loop,
            STORE,
            self.events.append,
            mock.Mock(),
        )
        self.client.read_page('')
        self.client.read_first_page_again()

    def test_first_answer_counts_and_ends_the_other_calls(self) -> None:
        """Whichever connection brings it; the next call goes on with it."""
        first, second = self.connections
        second.answer(PAGE)
        first.answer(PAGE)
        self.assertEqual(self.events, [PageRead(1.0, {}, 7, '')])
        self.client.watch(7, 1.0)
        self.assertIsNotNone(second.on_response)
        self.assertIsNone(first.on_response)

    def test_slow_store_still_answers_the_first_call(self) -> None:
        """A second call must not cost the answer to the first."""
        first, _ = self.connections
        first.answer(PAGE)
        self.assertEqual(self.events, [PageRead(1.0, {}, 7, '')])

    def test_failure_is_told_when_no_call_waits(self) -> None:
        """Once, not for each connection."""
        first, second = self.connections
        first.answer(LOST)
        self.assertEqual(self.events, [])
        second.answer(LOST)
        self.assertEqual(self.events, [CallFailed(1.0, 'timeout')])

    def test_one_answer_is_bounded(self) -> None:
        """Changes of a thousand long entries at once took 60 MB.

        A page with one more entry of the longest kind fits.
        """
        page = 1_000_000
        longest_entry = 1_048_576
        in_base64 = 4 / 3
        for connection in self.connections:
            self.assertLess(connection.max_body_length, 4_000_000)
            self.assertGreater(
                connection.max_body_length,
                (page + longest_entry) * in_base64,
            )

    def _connect(
        self,
        loop: EventLoop,
        address: Address,
        max_body_length: int,
    ) -> FakeConnection:
        connection = FakeConnection(loop, address, max_body_length)
        self.connections.append(connection)
        return connection
