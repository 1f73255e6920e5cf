"""One connection of somebody who reads a process's pages."""

import socket
from typing import Final

import h11

from keelgap.runtime.loop import EventLoop
from keelgap.runtime.pages import Page, Pages

__all__ = ('PageConnection',)

_CHUNK: Final = 65536
_NO_PAGE: Final = Page(404, 'text/plain', b'not found\n')


class PageConnection:
    """Answers one call after the other until the reader goes."""

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        pages: Pages,
    ) -> None:
        """Take a socket that does not block."""
        self.loop = loop
        self.sock = sock
        self.pages = pages
        self.connection = h11.Connection(h11.SERVER)
        self.unsent = b''

    def start(self) -> None:
        """Wait for the first call."""
        self.loop.add_reader(self.sock, self._read)

    def _read(self) -> None:
        try:
            self.connection.receive_data(self.sock.recv(_CHUNK))
            self._answer_calls()
        except BlockingIOError:
            return
        except (OSError, h11.ProtocolError):
            self._close()

    def _answer_calls(self) -> None:
        while True:
            event = self.connection.next_event()
            if isinstance(event, h11.Request):
                self._answer(event.target.decode('ascii', 'replace'))
            elif isinstance(event, h11.ConnectionClosed):
                self._close()
                return
            elif event is h11.NEED_DATA or event is h11.PAUSED:
                return

    def _answer(self, target: str) -> None:
        while not isinstance(self.connection.next_event(), h11.EndOfMessage):
            pass  # noqa: WPS420
        make_page = self.pages.get(target.partition('?')[0])
        page = make_page() if make_page is not None else _NO_PAGE
        response = h11.Response(
            status_code=page.status,
            headers=[
                ('Content-Type', page.content_type),
                ('Content-Length', str(len(page.body))),
            ],
        )
        sent = [
            self.connection.send(response),
            self.connection.send(h11.Data(page.body)),
            self.connection.send(h11.EndOfMessage()),
        ]
        self.unsent += b''.join(part or b'' for part in sent)
        if self.connection.our_state is h11.DONE:
            self.connection.start_next_cycle()
        self._write()

    def _write(self) -> None:
        try:
            sent = self.sock.send(self.unsent)
        except BlockingIOError:
            sent = 0
        except OSError:
            self._close()
            return
        self.unsent = self.unsent[sent:]
        if self.unsent:
            self.loop.add_writer(self.sock, self._write)
        elif self.connection.our_state is h11.MUST_CLOSE:
            self._close()
        else:
            self.loop.add_reader(self.sock, self._read)

    def _close(self) -> None:
        self.loop.remove(self.sock)
        self.sock.close()
