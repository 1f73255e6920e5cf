"""Small local pages over HTTP.

The code that speaks HTTP is imported at the first call, so that a process
that is seldom asked starts without it.
"""

import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Final, NamedTuple

from keelgap.addresses import Address
from keelgap.exceptions import PortInUse
from keelgap.runtime.loop import EventLoop

__all__ = ('Page', 'Pages', 'serve_pages')

#: Connections that may wait to be accepted.
_BACKLOG: Final = 64


class Page(NamedTuple):
    """What a local page answers."""

    status: int
    content_type: str
    body: bytes


Pages = dict[str, Callable[[], Page]]


def serve_pages(loop: EventLoop, address: Address, pages: Pages) -> None:
    """Answer GET calls for some paths until the process ends."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setblocking(False)  # noqa: WPS425
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind(address)
    except OSError as error:
        listener.close()
        raise PortInUse('pages', address.host, address.port) from error
    listener.listen(_BACKLOG)

    def accept() -> None:
        with suppress(OSError):
            sock, _ = listener.accept()
            _serve(loop, sock, pages)

    loop.add_reader(listener, accept)


def _serve(loop: EventLoop, sock: socket.socket, pages: Pages) -> None:
    from keelgap.runtime.page_connections import (  # noqa: PLC0415, WPS433
        PageConnection,
    )

    sock.setblocking(False)  # noqa: WPS425
    PageConnection(loop, sock, pages).start()
