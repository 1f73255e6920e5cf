"""Minimal HTTP/1.1 client on the event loop, with one request at a time.

No library is used: importing h11 takes 0.035 processor seconds, a third of the
balancer's startup time (docs/topics/platform.md).  The client supports what the
platform's store and other balancers send: a status line, headers and a body
with Content-Length.  Any other response fails the request.
"""

import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Final, NamedTuple

from keelgap.addresses import Address
from keelgap.exceptions import KeelgapError
from keelgap.runtime.loop import EventLoop

__all__ = (
    'HEADER_END',
    'HttpResponse',
    'MAX_BODY_LENGTH',
    'HttpClient',
    'MalformedResponse',
    'parse_response',
)

HEADER_END: Final = b'\r\n\r\n'
_RECEIVE_OCTETS: Final = 262144
#: Maximum octets of the status line and headers.
_MAX_HEADER_LENGTH: Final = 16384
#: Default limit of the body in octets: the catalog of another balancer has
#: 16 MB at the design size.
MAX_BODY_LENGTH: Final = 16777216
#: TCP keepalive: an idle connection is probed after these seconds and closed
#: after this number of unanswered probes, so that a pending request fails
#: within 3 s if the network path is interrupted.
_PROBE_SECONDS: Final = 1
_MAX_UNANSWERED_PROBES: Final = 2
_UNACKNOWLEDGED_MILLISECONDS: Final = 2500


class MalformedResponse(KeelgapError):
    """The HTTP response is invalid or uses an unsupported feature."""

    code = 'malformed_answer'


class HttpResponse(NamedTuple):
    """Response to a request, or the reason why it failed."""

    #: Status code, or 0 if there was no complete response.
    status: int
    body: bytes
    #: Reason why there is no response; empty if there is one.
    failure: str = ''


class _ParsedResponse(NamedTuple):
    """A complete response, and whether the connection ends with it."""

    response: HttpResponse
    #: Whether the server closes the connection after the response.
    closes: bool


OnResponse = Callable[[HttpResponse], None]


def parse_response(
    received: bytes,
    max_body_length: int = MAX_BODY_LENGTH,
) -> _ParsedResponse | None:
    """Parse the octets received so far; return None if incomplete.

    Raises MalformedResponse if the response is invalid or its body exceeds
    ``max_body_length`` octets.
    """
    header_length = received.find(HEADER_END)
    total = len(received)
    if header_length < 0:
        if total > _MAX_HEADER_LENGTH:
            raise MalformedResponse(total)
        return None
    lines = received[:header_length].split(b'\r\n')
    status = _parse_status(lines[0])
    headers = _parse_headers(lines[1:])
    length = headers.get(b'content-length', b'')
    if not length.isdigit() or int(length) > max_body_length:
        raise MalformedResponse(length)
    start = header_length + len(HEADER_END)
    end = start + int(length)
    if total < end:
        return None
    if total > end:
        raise MalformedResponse(total - end)
    closes = headers.get(b'connection', b'').lower() == b'close'
    return _ParsedResponse(HttpResponse(status, received[start:]), closes)


def _parse_status(line: bytes) -> int:
    """Return the status code; raise MalformedResponse if invalid."""
    version, _, rest = line.partition(b' ')
    status = rest[:3]
    if not version.startswith(b'HTTP/1.') or not status.isdigit():
        raise MalformedResponse(line)
    return int(status)


def _parse_headers(lines: list[bytes]) -> dict[bytes, bytes]:
    """Return headers by lower-case name; raise MalformedResponse."""
    headers = {}
    for line in lines:
        name, colon, text = line.partition(b':')
        if not colon:
            raise MalformedResponse(line)
        headers[name.strip().lower()] = text.strip()
    return headers


class HttpClient:
    """HTTP client for one address, with a persistent connection."""

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        max_body_length: int = MAX_BODY_LENGTH,
    ) -> None:
        """Initialize; the first request opens the connection."""
        self.loop = loop
        self.max_body_length = max_body_length
        self.address = address
        self.sock: socket.socket | None = None
        self.on_response: OnResponse | None = None
        self.received = b''
        self.request = b''
        #: Number of requests; lets the timeouts of earlier ones be ignored.
        self.calls = 0

    def get(self, target: str, timeout: float, on_response: OnResponse) -> None:
        """Send a GET request; call back with the response or the failure.

        The timeout is in seconds.  A pending request is dropped without a
        callback.
        """
        if self.on_response is not None:
            self.close()
        self.calls += 1
        self.on_response = on_response
        self.received = b''
        call = self.calls
        self.loop.call_after(timeout, lambda: self._time_out(call))
        if self.sock is None:
            self.sock = self._connect()
        header = f'GET {target} HTTP/1.1\r\nHost: {self.address}\r\n\r\n'
        self.request = header.encode('ascii')
        self.loop.add_writer(self.sock, self._send_request)

    def close(self) -> None:
        """Close the connection; drop a pending request without a callback."""
        self.on_response = None
        sock = self.sock
        self.sock = None
        if sock is not None:
            self.loop.remove(sock)
            sock.close()

    def _connect(self) -> socket.socket:
        """Return a socket that connects in the background."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)  # noqa: WPS425
        _set_tcp_options(sock)
        with suppress(OSError):
            # A refused connection is reported by the first write.
            sock.connect(self.address)
        return sock

    def _send_request(self) -> None:
        """Send what the socket takes; then wait for the response."""
        sock = self.sock
        if sock is None:
            return
        try:
            sent = sock.send(self.request)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail_request(type(error).__name__)
            return
        self.request = self.request[sent:]
        if not self.request:
            self.loop.add_reader(sock, self._receive_response)

    def _receive_response(self) -> None:
        """Read from the socket, and deliver the response once complete."""
        sock = self.sock
        if sock is None:
            return
        try:
            chunk = sock.recv(_RECEIVE_OCTETS)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail_request(type(error).__name__)
            return
        if not chunk:
            self._fail_request('closed')
            return
        self.received += chunk
        try:
            parsed = parse_response(self.received, self.max_body_length)
        except MalformedResponse as error:
            self._fail_request(error.code)
            return
        if parsed is not None:
            self._deliver_response(parsed)

    def _deliver_response(self, parsed: _ParsedResponse) -> None:
        """Call back with the response; close if the server does."""
        on_response = self.on_response
        self.on_response = None
        self.received = b''
        if parsed.closes or on_response is None:
            self.close()
        if on_response is not None:
            on_response(parsed.response)

    def _fail_request(self, reason: str) -> None:
        """Close the connection and call back with the reason."""
        on_response = self.on_response
        self.close()
        if on_response is not None:
            on_response(HttpResponse(0, b'', reason))

    def _time_out(self, call: int) -> None:
        """Fail the request with this number if it is still pending."""
        if call == self.calls and self.on_response is not None:
            self._fail_request('timeout')


def _set_tcp_options(sock: socket.socket) -> None:
    """Enable keepalive and no delay; limit the time without acknowledgment."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = (
        (socket.TCP_KEEPIDLE, _PROBE_SECONDS),
        (socket.TCP_KEEPINTVL, _PROBE_SECONDS),
        (socket.TCP_KEEPCNT, _MAX_UNANSWERED_PROBES),
        (socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MILLISECONDS),
        (socket.TCP_NODELAY, 1),
    )
    for option, number in options:
        sock.setsockopt(socket.IPPROTO_TCP, option, number)
