"""HTTP/1.1 calls on the loop, one at a time.

A library was measured first: h11 costs 0.035 processor seconds to import,
a third of the balancer's start (docs/topics/platform.md).  This reads only
what the platform's store and other balancers send: a status, headers and a
body of stated length.  Everything else fails the call.
"""

import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Final, NamedTuple

from keelgap.addresses import Address
from keelgap.exceptions import KeelgapError
from keelgap.runtime.loop import EventLoop

__all__ = (
    'HEAD_END',
    'HttpAnswer',
    'LONGEST_BODY',
    'HttpClient',
    'MalformedAnswer',
    'parse_answer',
)

HEAD_END: Final = b'\r\n\r\n'
_CHUNK: Final = 262144
#: Octets of the longest head of an answer.
_MAX_HEAD: Final = 16384
#: Octets of the longest body, unless a caller sets another bound: the catalog
#: of another balancer has 16 MB at the size to design for.
LONGEST_BODY: Final = 16777216
#: A connection on which nothing comes is probed after so many seconds, and
#: given up after so many silent probes, so that a waiting call on a path that
#: was cut fails within 3 s.
_PROBE_SECONDS: Final = 1
_SILENT_PROBES: Final = 2
_UNACKNOWLEDGED_MILLISECONDS: Final = 2500


class MalformedAnswer(KeelgapError):
    """Octets that are no answer this client reads."""

    code = 'malformed_answer'


class HttpAnswer(NamedTuple):
    """What came of a call."""

    #: Status code, or 0 if no whole answer came.
    status: int
    body: bytes
    #: Why there is no answer; empty if there is one.
    failure: str = ''


class _ParsedAnswer(NamedTuple):
    answer: HttpAnswer
    #: Whether the server closes the connection after it.
    closes: bool


OnAnswer = Callable[[HttpAnswer], None]


def parse_answer(
    received: bytes,
    longest: int = LONGEST_BODY,
) -> _ParsedAnswer | None:
    """Return a whole answer, or None while some of it is missing.

    Raises MalformedAnswer, also where the body is longer than so many octets.
    """
    head_length = received.find(HEAD_END)
    total = len(received)
    if head_length < 0:
        if total > _MAX_HEAD:
            raise MalformedAnswer(total)
        return None
    lines = received[:head_length].split(b'\r\n')
    status = _parse_status(lines[0])
    headers = _parse_headers(lines[1:])
    length = headers.get(b'content-length', b'')
    if not length.isdigit() or int(length) > longest:
        raise MalformedAnswer(length)
    start = head_length + len(HEAD_END)
    end = start + int(length)
    if total < end:
        return None
    if total > end:
        raise MalformedAnswer(total - end)
    closes = headers.get(b'connection', b'').lower() == b'close'
    return _ParsedAnswer(HttpAnswer(status, received[start:]), closes)


def _parse_status(line: bytes) -> int:
    version, _, rest = line.partition(b' ')
    status = rest[:3]
    if not version.startswith(b'HTTP/1.') or not status.isdigit():
        raise MalformedAnswer(line)
    return int(status)


def _parse_headers(lines: list[bytes]) -> dict[bytes, bytes]:
    headers = {}
    for line in lines:
        name, colon, text = line.partition(b':')
        if not colon:
            raise MalformedAnswer(line)
        headers[name.strip().lower()] = text.strip()
    return headers


class HttpClient:
    """Calls to one address over a connection that is kept open."""

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        longest_body: int = LONGEST_BODY,
    ) -> None:
        """Connect only when the first call is made."""
        self.loop = loop
        self.longest_body = longest_body
        self.address = address
        self.sock: socket.socket | None = None
        self.on_answer: OnAnswer | None = None
        self.received = b''
        self.request = b''
        #: Tells the time-out of this call from those of earlier ones.
        self.calls = 0

    def get(self, target: str, timeout: float, on_answer: OnAnswer) -> None:
        """Call GET; an earlier call that still waits is dropped."""
        if self.on_answer is not None:
            self.close()
        self.calls += 1
        self.on_answer = on_answer
        self.received = b''
        call = self.calls
        self.loop.call_after(timeout, lambda: self._time_out(call))
        if self.sock is None:
            self.sock = self._connect()
        head = f'GET {target} HTTP/1.1\r\nHost: {self.address}\r\n\r\n'
        self.request = head.encode('ascii')
        self.loop.add_writer(self.sock, self._write)

    def close(self) -> None:
        """Close the connection; a waiting call is forgotten."""
        self.on_answer = None
        sock = self.sock
        self.sock = None
        if sock is not None:
            self.loop.remove(sock)
            sock.close()

    def _connect(self) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)  # noqa: WPS425
        _detect_silence(sock)
        with suppress(OSError):
            # A refusal shows at the first write.
            sock.connect(self.address)
        return sock

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
            chunk = sock.recv(_CHUNK)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(type(error).__name__)
            return
        if not chunk:
            self._fail('closed')
            return
        self.received += chunk
        try:
            parsed = parse_answer(self.received, self.longest_body)
        except MalformedAnswer as error:
            self._fail(error.code)
            return
        if parsed is not None:
            self._finish(parsed)

    def _finish(self, parsed: _ParsedAnswer) -> None:
        on_answer = self.on_answer
        self.on_answer = None
        self.received = b''
        if parsed.closes or on_answer is None:
            self.close()
        if on_answer is not None:
            on_answer(parsed.answer)

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
