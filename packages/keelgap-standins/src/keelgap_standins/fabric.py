"""Simulated network fabric: sends each datagram to a random balancer."""

import asyncio
import socket
from collections.abc import Callable
from contextlib import ExitStack
from random import Random

from keelgap.addresses import Address
from keelgap.sockets import bind_datagram, make_datagram_reader, send_datagram

__all__ = ('Fabric',)


class _CallerSocket:
    """Socket that represents one caller towards the balancers."""

    def __init__(self, sock: socket.socket, caller: tuple[str, int]) -> None:
        self.sock = sock
        self.caller = caller


class Fabric:
    """Spray datagrams of callers over balancers and return the replies."""

    def __init__(self, host: str, random: Random, stack: ExitStack) -> None:
        """Create the fabric; the stack closes its sockets.

        All its sockets are bound to ``host``.
        """
        self.host = host
        self.random = random
        self.stack = stack
        self.loop = asyncio.get_running_loop()
        #: Hosts of the balancers that receive datagrams.
        self.balancers: list[str] = []
        self.caller_sockets: dict[
            tuple[int, tuple[str, int]], _CallerSocket
        ] = {}

    def open_service(self, port: int) -> Address:
        """Listen on the public address of a service."""
        address = Address(self.host, port)
        sock = bind_datagram('fabric', address)
        self._register_reader(sock, self._make_caller_reader(port, sock))
        return address

    def _register_reader(
        self,
        sock: socket.socket,
        on_datagram: Callable[[bytes, tuple[str, int]], None],
    ) -> None:
        self.stack.callback(sock.close)
        self.loop.add_reader(sock, make_datagram_reader(sock, on_datagram))
        self.stack.callback(self.loop.remove_reader, sock)

    def _make_caller_reader(
        self,
        port: int,
        public_socket: socket.socket,
    ) -> Callable[[bytes, tuple[str, int]], None]:
        def spray(datagram: bytes, caller: tuple[str, int]) -> None:
            if self.balancers:
                balancer = self.random.choice(self.balancers)
                caller_socket = self._get_caller_socket(
                    port, caller, public_socket
                )
                send_datagram(caller_socket.sock, datagram, (balancer, port))

        return spray

    def _get_caller_socket(
        self,
        port: int,
        caller: tuple[str, int],
        public_socket: socket.socket,
    ) -> _CallerSocket:
        known = self.caller_sockets.get((port, caller))
        if known is not None:
            return known
        sock = bind_datagram('fabric', Address(self.host, 0))

        def return_datagram(datagram: bytes, balancer: tuple[str, int]) -> None:
            send_datagram(public_socket, datagram, caller)

        self._register_reader(sock, return_datagram)
        caller_socket = _CallerSocket(sock, caller)
        self.caller_sockets[port, caller] = caller_socket
        return caller_socket
