"""Datagram sockets, which the drivers read in batches."""

import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Final

from keelgap.addresses import Address
from keelgap.exceptions import PortInUse

__all__ = ('bind_datagram', 'make_datagram_reader', 'send_datagram')

#: Datagrams read before control returns to the event loop.
_BATCH_SIZE: Final = 64
_MAX_DATAGRAM_LENGTH: Final = 2048
#: Requested size of the kernel buffers in octets; the kernel may grant less.
_BUFFER_SIZE: Final = 4 * 1024 * 1024

OnDatagram = Callable[[bytes, tuple[str, int]], None]


def bind_datagram(name: str, address: Address) -> socket.socket:
    """Return a bound, non-blocking UDP socket, or raise PortInUse."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)  # noqa: WPS425
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, _BUFFER_SIZE)
    try:
        sock.bind(address)
    except OSError as error:
        sock.close()
        raise PortInUse(name, address.host, address.port) from error
    return sock


def make_datagram_reader(
    sock: socket.socket,
    on_datagram: OnDatagram,
) -> Callable[[], None]:
    """Return a callback that reads one batch from a readable socket."""
    receive = sock.recvfrom

    def read_batch() -> None:
        """Read datagrams until none is left or the batch is full."""
        # An empty socket ends the batch, and so does the error of an earlier
        # send that was refused.
        with suppress(OSError):
            for _ in range(_BATCH_SIZE):
                datagram, sender = receive(_MAX_DATAGRAM_LENGTH)
                on_datagram(datagram, sender)

    return read_batch


def send_datagram(
    sock: socket.socket,
    datagram: bytes,
    receiver: tuple[str, int],
) -> bool:
    """Send a datagram; return False if the kernel did not accept it."""
    try:
        sock.sendto(datagram, receiver)
    except OSError:
        return False
    return True
