"""HTTP/1.1 calls on the loop, one at a time."""

import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Final, NamedTuple

import h11

from keelgap.addresses import Address
from keelgap.runtime.loop import EventLoop

__all__ = ('HttpAnswer', 'HttpClient')

_CHUNK: Final = 262144
#: A connection on which nothing comes is probed after so many seconds, and
#: given up after so many silent probes, so that a waiting call on a path that
#: was cut fails within 3 s.
_PROBE_SECONDS: Final = 1
_SILENT_PROBES: Final = 2
_UNACKNOWLEDGED_MILLISECONDS: Final = 2500


class HttpAnswer(NamedTuple):
    """What came of a call."""

    #: Status code, or 0 if no whole answer came.
    status: int
    body: bytes
    #: Why there is no answer; empty if there is one.
    failure: str = ''


OnAnswer = Callable[[HttpAnswer], None]


class HttpClient:
    """Calls to one address over a connection that is kept open."""

    def __init__(self, loop: EventLoop, address: Address) -> None:
        """Connect only when the first call is made."""
        self.loop = loop
        self.address = address
        self.sock: socket.socket | None = None
        self.connection = h11.Connection(h11.CLIENT)
        self.on_answer: OnAnswer | None = None
        self.status = 0
        self.parts: list[bytes] = []
        self.request = b''
        #: Tells the time-out of this call from those of earlier ones.
        self.calls = 0

    def get(self, target: str, timeout: float, on_answer: OnAnswer) -> None:
        """Call GET; an earlier call that still waits is dropped."""
        if self.on_answer is not None:
            self.close()
        self.calls += 1
        self.on_answer = on_answer
        self.status = 0
        self.parts = []
        call = self.calls
        self.loop.call_after(timeout, lambda: self._time_out(call))
        if self.sock is None:
            self._connect()
        self._send(target)

    def close(self) -> None:
        """Close the connection; a waiting call is forgotten."""
        self.on_answer = None
        sock = self.sock
        self.sock = None
        if sock is not None:
            self.loop.remove(sock)
            sock.close()

    def _connect(self) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)  # noqa: WPS425
        _detect_silence(sock)
        with suppress(BlockingIOError):
            sock.connect(self.address)
        self.sock = sock
        self.connection = h11.Connection(h11.CLIENT)

    def _send(self, target: str) -> None:
        request = h11.Request(
            method='GET',
            target=target,
            headers=[('Host', str(self.address))],
        )
        head = self.connection.send(request) or b''
        self.request = head + (self.connection.send(h11.EndOfMessage()) or b'')
        if self.sock is not None:
            self.loop.add_writer(self.sock, self._write)

    def _write(self) -> None:
        sock = self.sock
        if sock is None:
            return
        try:
            sent = sock.send(self.request)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(type(error).__name__)
            return
        self.request = self.request[sent:]
        if not self.request:
            self.loop.add_reader(sock, self._read)

    def _read(self) -> None:
        sock = self.sock
        if sock is None:
            return
        try:
            received = sock.recv(_CHUNK)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(type(error).__name__)
            return
        try:
            self.connection.receive_data(received)
            self._take_events()
        except h11.RemoteProtocolError:
            self._fail('malformed_answer' if received else 'closed')

    def _take_events(self) -> None:
        while self.sock is not None:
            event = self.connection.next_event()
            if isinstance(event, h11.Response):
                self.status = event.status_code
            elif isinstance(event, h11.Data):
                self.parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._finish()
                return
            elif isinstance(event, h11.ConnectionClosed):
                self._fail('closed')
                return
            else:
                return

    def _finish(self) -> None:
        answer = HttpAnswer(self.status, b''.join(self.parts))
        on_answer = self.on_answer
        self.on_answer = None
        if self.connection.our_state is h11.DONE and (
            self.connection.their_state is h11.DONE
        ):
            self.connection.start_next_cycle()
        else:
            self.close()
        if on_answer is not None:
            on_answer(answer)

    def _fail(self, reason: str) -> None:
        on_answer = self.on_answer
        self.close()
        if on_answer is not None:
            on_answer(HttpAnswer(0, b'', reason))

    def _time_out(self, call: int) -> None:
        if call == self.calls and self.on_answer is not None:
            self._fail('timeout')


def _detect_silence(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = (
        (socket.TCP_KEEPIDLE, _PROBE_SECONDS),
        (socket.TCP_KEEPINTVL, _PROBE_SECONDS),
        (socket.TCP_KEEPCNT, _SILENT_PROBES),
        (socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MILLISECONDS),
        (socket.TCP_NODELAY, 1),
    )
    for option, number in options:
        sock.setsockopt(socket.IPPROTO_TCP, option, number)
