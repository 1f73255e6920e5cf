"""Stand-in of the fabric: hands each datagram to a random balancer."""

import asyncio
import socket
from collections.abc import Callable
from contextlib import ExitStack
from random import Random

from keelgap.addresses import Address
from keelgap.sockets import bind_datagram, make_reader, send_datagram

__all__ = ('Fabric',)


class _CallerPort:
    """The address under which balancers see one caller."""

    def __init__(self, sock: socket.socket, caller: tuple[str, int]) -> None:
        self.sock = sock
        self.caller = caller


class Fabric:
    """Spray callers' datagrams over balancers and bring answers back."""

    def __init__(self, host: str, random: Random, stack: ExitStack) -> None:
        """Use addresses of one host; the stack closes all sockets."""
        self.host = host
        self.random = random
        self.stack = stack
        self.loop = asyncio.get_running_loop()
        #: Hosts of the balancers that get datagrams.
        self.balancers: list[str] = []
        self.callers: dict[tuple[int, tuple[str, int]], _CallerPort] = {}

    def open_service(self, port: int) -> Address:
        """Listen on the public address of a service."""
        address = Address(self.host, port)
        sock = bind_datagram('fabric', address)
        self._read(sock, self._make_caller_reader(port, sock))
        return address

    def _read(
        self,
        sock: socket.socket,
        on_datagram: Callable[[bytes, tuple[str, int]], None],
    ) -> None:
        self.stack.callback(sock.close)
        self.loop.add_reader(sock, make_reader(sock, on_datagram))
        self.stack.callback(self.loop.remove_reader, sock)

    def _make_caller_reader(
        self,
        port: int,
        public: socket.socket,
    ) -> Callable[[bytes, tuple[str, int]], None]:
        def spray(datagram: bytes, caller: tuple[str, int]) -> None:
            if self.balancers:
                balancer = self.random.choice(self.balancers)
                caller_port = self._get_port(port, caller, public)
                send_datagram(caller_port.sock, datagram, (balancer, port))

        return spray

    def _get_port(
        self,
        port: int,
        caller: tuple[str, int],
        public: socket.socket,
    ) -> _CallerPort:
        known = self.callers.get((port, caller))
        if known is not None:
            return known
        sock = bind_datagram('fabric', Address(self.host, 0))

        def bring_back(datagram: bytes, balancer: tuple[str, int]) -> None:
            send_datagram(public, datagram, caller)

        self._read(sock, bring_back)
        caller_port = _CallerPort(sock, caller)
        self.callers[port, caller] = caller_port
        return caller_port
