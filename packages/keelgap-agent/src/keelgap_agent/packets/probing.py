"""Connect to the upstream's TCP port, to learn whether anybody listens."""

import errno
import socket
from collections.abc import Callable
from typing import Final

from keelgap.addresses import Address
from keelgap.runtime.loop import EventLoop

__all__ = ('probe_listener',)

#: On one machine a connection is accepted or refused within a millisecond; the
#: rest is for a machine that is out of processor time.
_TIMEOUT_SECONDS: Final = 0.5
_UNDER_WAY: Final = frozenset((0, errno.EINPROGRESS, errno.EAGAIN))
#: How a machine says that nobody listens.
_REFUSALS: Final = frozenset((errno.ECONNREFUSED, errno.ECONNRESET))


def probe_listener(
    loop: EventLoop,
    address: Address,
    on_result: Callable[[bool], None],
) -> None:
    """Call back whether somebody listens; never where that stays unknown."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)  # noqa: WPS425
    is_open = True

    def close() -> None:
        nonlocal is_open  # noqa: WPS420
        if is_open:
            is_open = False
            loop.remove(sock)
            sock.close()

    def take_result() -> None:
        if not is_open:
            return
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        close()
        if error in _REFUSALS:
            on_result(False)
        elif not error:
            on_result(True)

    error = sock.connect_ex(address)
    if error in _UNDER_WAY:
        loop.add_writer(sock, take_result)
        loop.call_after(_TIMEOUT_SECONDS, close)
        return
    close()
    if error in _REFUSALS:
        on_result(False)
