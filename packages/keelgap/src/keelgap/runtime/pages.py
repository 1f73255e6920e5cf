"""Minimal HTTP server for readiness, state and metrics pages.

As in ``keelgap.runtime.http``, no library is imported, because the routers'
first readiness check must be answered right after a start.
"""

import socket
from collections.abc import Callable
from contextlib import ExitStack, suppress
from typing import Final, NamedTuple

from keelgap.addresses import Address
from keelgap.exceptions import PortInUse
from keelgap.runtime.http import HEADER_END
from keelgap.runtime.loop import EventLoop

__all__ = ('Page', 'Pages', 'make_ready_page', 'serve_pages')

#: Maximum connections waiting to be accepted.
_BACKLOG: Final = 64
_RECEIVE_OCTETS: Final = 16384
#: Maximum octets of unprocessed input; a connection that exceeds this is
#: closed.
_MAX_HEADER_LENGTH: Final = 16384
#: Maximum open connections; the routers and a metrics scraper need a few.
_MAX_CONNECTIONS: Final = 256


class Page(NamedTuple):
    """HTTP response with a status, content type and body."""

    status: int
    content_type: str
    body: bytes


#: Page handlers by path; each is called with the query string.
Pages = dict[str, Callable[[str], Page]]

#: Status codes; importing ``http.HTTPStatus`` takes 2 ms.
_OK: Final = 200
_NOT_FOUND: Final = 404
_METHOD_NOT_ALLOWED: Final = 405
_UNAVAILABLE: Final = 503
_PLAIN: Final = 'text/plain'

_NOT_FOUND_PAGE: Final = Page(_NOT_FOUND, _PLAIN, b'not found\n')
_METHOD_NOT_ALLOWED_PAGE: Final = Page(
    _METHOD_NOT_ALLOWED, _PLAIN, b'only GET\n'
)
_READY_PAGE: Final = Page(_OK, _PLAIN, b'ready\n')
_NOT_READY_PAGE: Final = Page(_UNAVAILABLE, _PLAIN, b'not ready\n')


def make_ready_page(is_ready: bool) -> Page:  # noqa: FBT001
    """Return the page for the routers' readiness checks: 200 or 503."""
    return _READY_PAGE if is_ready else _NOT_READY_PAGE


def serve_pages(
    loop: EventLoop,
    address: Address,
    pages: Pages,
    stack: ExitStack,
) -> None:
    """Start to serve GET requests for the pages; return at once.

    The stack closes the listener and all connections.  Raises PortInUse.
    """
    listener = _listen(address)
    stack.callback(listener.close)
    connections: set[_Connection] = set()
    stack.callback(_close_connections, connections)

    def accept() -> None:
        """Accept a connection; close it at once if there are too many."""
        with suppress(OSError):
            sock, _ = listener.accept()
            sock.setblocking(False)  # noqa: WPS425
            if len(connections) >= _MAX_CONNECTIONS:
                sock.close()
                return
            connection = _Connection(loop, sock, pages, connections.discard)
            connections.add(connection)
            connection.start()

    loop.add_reader(listener, accept)


def _listen(address: Address) -> socket.socket:
    """Return a listening socket that does not block; raise PortInUse."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setblocking(False)  # noqa: WPS425
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind(address)
    except OSError as error:
        listener.close()
        raise PortInUse('pages', address.host, address.port) from error
    listener.listen(_BACKLOG)
    return listener


def _close_connections(connections: set['_Connection']) -> None:
    for connection in connections:
        connection.sock.close()


class _Connection:
    """Connection of a client; responds to its requests in order.

    It is closed when the client disconnects, or on an error.
    """

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        pages: Pages,
        on_close: Callable[['_Connection'], None],
    ) -> None:
        self.loop = loop
        self.sock = sock
        self.pages = pages
        self.on_close = on_close
        self.received = b''
        self.unsent = b''

    def start(self) -> None:
        """Start to read requests of the client; return at once."""
        self.loop.add_reader(self.sock, self._receive_requests)

    def _receive_requests(self) -> None:
        """Read from the client, and respond to each complete request."""
        try:
            chunk = self.sock.recv(_RECEIVE_OCTETS)
        except BlockingIOError:
            return
        except OSError:
            chunk = b''
        self.received += chunk
        if not chunk or len(self.received) > _MAX_HEADER_LENGTH:
            self._close()
            return
        while HEADER_END in self.received:
            header, _, rest = self.received.partition(HEADER_END)
            self.received = rest
            self.unsent += _encode_response(self._choose_page(header))
        if self.unsent:
            self._send_responses()

    def _choose_page(self, header: bytes) -> Page:
        """Return the page for a request line, or an error page."""
        words = header.split(b'\r\n', 1)[0].split()
        if words[:1] != [b'GET'] or len(words) < 2:
            return _METHOD_NOT_ALLOWED_PAGE
        target = words[1].decode('ascii', 'replace')
        path, _, query = target.partition('?')
        make_page = self.pages.get(path)
        return _NOT_FOUND_PAGE if make_page is None else make_page(query)

    def _send_responses(self) -> None:
        """Send what the socket takes; read again when all is sent."""
        try:
            sent = self.sock.send(self.unsent)
        except BlockingIOError:
            sent = 0
        except OSError:
            self._close()
            return
        self.unsent = self.unsent[sent:]
        if self.unsent:
            self.loop.add_writer(self.sock, self._send_responses)
        else:
            self.loop.add_reader(self.sock, self._receive_requests)

    def _close(self) -> None:
        self.loop.remove(self.sock)
        self.sock.close()
        self.on_close(self)


def _encode_response(page: Page) -> bytes:
    """Return the HTTP response with a page."""
    header = (
        f'HTTP/1.1 {page.status} -\r\n'
        f'Content-Type: {page.content_type}\r\n'
        f'Content-Length: {len(page.body)}\r\n\r\n'
    )
    return header.encode('ascii') + page.body
