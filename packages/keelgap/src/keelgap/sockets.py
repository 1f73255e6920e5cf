"""Datagram sockets and how a driver reads them in batches."""

import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Final

from keelgap.addresses import Address
from keelgap.exceptions import PortInUse

__all__ = ('bind_datagram', 'make_reader', 'send_datagram')

#: Datagrams read before the loop gets to run something else.
_BATCH: Final = 64
_MAX_LENGTH: Final = 2048
#: Octets of kernel buffer asked for; the kernel may grant less.
_BUFFER: Final = 4 * 1024 * 1024

OnDatagram = Callable[[bytes, tuple[str, int]], None]


def bind_datagram(name: str, address: Address) -> socket.socket:
    """Return a bound UDP socket that does not block, or raise PortInUse."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)  # noqa: WPS425
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, _BUFFER)
    try:
        sock.bind(address)
    except OSError as error:
        sock.close()
        raise PortInUse(name, address.host, address.port) from error
    return sock


def make_reader(
    sock: socket.socket,
    on_datagram: OnDatagram,
) -> Callable[[], None]:
    """Return a callback for a readable socket that takes one batch."""
    receive = sock.recvfrom

    def read_batch() -> None:
        # An empty socket and a refused earlier send both end the batch.
        with suppress(OSError):
            for _ in range(_BATCH):
                datagram, sender = receive(_MAX_LENGTH)
                on_datagram(datagram, sender)

    return read_batch


def send_datagram(
    sock: socket.socket,
    datagram: bytes,
    receiver: tuple[str, int],
) -> bool:
    """Send unless the kernel's buffer is full; False if it was."""
    try:
        sock.sendto(datagram, receiver)
    except OSError:
        return False
    return True
