"""Proxies between the programs, with switches for faults."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from random import Random
from typing import Any, Final

from tests.soak.settings import ProgramPlace

__all__ = ('DatagramMesh', 'StreamRelay')

_CHUNK: Final = 65536

Pair = tuple[str, str]


class _Port(asyncio.DatagramProtocol):
    """A socket that stands for one program towards another."""

    def __init__(self, take: Callable[[bytes], None]) -> None:
        self.take = take
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.take(data)


class DatagramMesh:
    """All datagrams between programs pass here.

    Program i sends to host j at its own port; the socket there passes the
    datagram on from host i at the port of j, so that j sees host i.
    """

    def __init__(self, random: Random, places: list[ProgramPlace]) -> None:
        """Open nothing yet."""
        self.random = random
        self.places = places
        self.ports: dict[Pair, _Port] = {}
        #: Pairs (from, to) between which nothing passes.
        self.cut: set[Pair] = set()
        self.loss: float = 0
        self.doubling: float = 0
        self.delay: float = 0

    async def open(self) -> None:
        """Bind a socket for each pair of programs."""
        loop = asyncio.get_running_loop()
        for sender in self.places:
            for receiver in self.places:
                if sender is receiver:
                    continue
                port = _Port(self._make_taker(sender, receiver))
                await loop.create_datagram_endpoint(
                    lambda port=port: port,  # type: ignore[misc]
                    local_addr=(receiver.host, sender.peer),
                )
                self.ports[sender.name, receiver.name] = port

    def close(self) -> None:
        """Close all sockets."""
        for port in self.ports.values():
            port.transport.close()

    def heal(self) -> None:
        """Pass everything on at once."""
        self.cut.clear()
        self.loss = 0
        self.doubling = 0
        self.delay = 0

    def _make_taker(
        self,
        sender: ProgramPlace,
        receiver: ProgramPlace,
    ) -> Callable[[bytes], None]:
        def take(datagram: bytes) -> None:
            pair = (sender.name, receiver.name)
            if pair in self.cut or self.random.random() < self.loss:
                return
            copies = 1 + (self.random.random() < self.doubling)
            for _ in range(copies):
                self._pass_later(sender, receiver, datagram)

        return take

    def _pass_later(
        self,
        sender: ProgramPlace,
        receiver: ProgramPlace,
        datagram: bytes,
    ) -> None:
        # The reverse pair's socket is bound to the sender's host.
        exit_port = self.ports[receiver.name, sender.name]

        def send() -> None:
            if not exit_port.transport.is_closing():
                address = (receiver.host, receiver.peer)
                exit_port.transport.sendto(datagram, address)

        if not self.delay:
            send()
            return
        delay = self.random.uniform(0, self.delay)
        asyncio.get_running_loop().call_later(delay, send)


class StreamRelay:
    """Connections to one address, passed on to another."""

    def __init__(
        self,
        listen: tuple[str, int],
        target: tuple[str, int],
    ) -> None:
        """Open nothing yet."""
        self.listen = listen
        self.target = target
        self.refuses = False
        self.delay: float = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()
        #: Writers of connections on which nothing passes any more.
        self.silent: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, *self.listen)

    def close(self) -> None:
        """Close the listener and all connections."""
        if self.server is not None:
            self.server.close()
        self.reset_all()
        for task in self.tasks:
            task.cancel()

    def heal(self) -> None:
        """Take new connections; those that are silent stay so."""
        self.refuses = False
        self.delay = 0

    def reset_all(self) -> None:
        """Break every connection."""
        for writer in tuple(self.writers):
            writer.transport.abort()

    def silence_all(self) -> None:
        """Pass nothing more on the present connections, for good."""
        self.silent |= self.writers

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.refuses:
            writer.transport.abort()
            return
        try:
            back, forth = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, forth}
        for pump in (self._pump(reader, forth), self._pump(back, writer)):
            task = asyncio.create_task(pump)
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with suppress(OSError):
            while chunk := await reader.read(_CHUNK):
                if self.delay:
                    await asyncio.sleep(self.delay)
                if writer not in self.silent:
                    writer.write(chunk)
                    await writer.drain()
        self.writers.discard(writer)
        if writer not in self.silent:
            writer.close()
