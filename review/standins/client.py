"""Clients, and the routers before the front nodes."""

import asyncio
import random
import zlib

from standins.packets import (
    ACK,
    FIN,
    RST,
    SYN,
    is_genuine,
    is_system_reset,
    make,
    parse,
)

_OPENING_SECONDS = (0.2, 0.4, 0.8)
_RETRY_SECONDS = (0.2, 0.4, 0.8, 1.6)
_RESET_WINDOW = 76800
_MISSES = 2


class Routers:
    """Send each packet to a front node that is in rotation, by a hash."""

    def __init__(self, record, nodes, ready_port, *, hash_kind='mod'):
        self.record = record
        self.nodes = nodes
        self.ready_port = ready_port
        self.misses = dict.fromkeys(nodes, _MISSES)
        self.hash_kind = hash_kind

    @property
    def in_rotation(self):
        """Return the nodes that get packets."""
        nodes = [node for node in self.nodes if self.misses[node] < _MISSES]
        return nodes if 2 * len(nodes) >= len(self.nodes) else self.nodes

    def choose(self, key):
        """Return the node for a packet of a flow."""
        nodes = self.in_rotation
        return nodes[zlib.crc32(repr(key).encode()) % len(nodes)]

    async def run(self):
        """Probe all nodes twice a second."""
        while True:
            await asyncio.gather(*map(self._probe, self.nodes))
            await asyncio.sleep(0.5)

    async def _probe(self, node):
        is_ready = False
        try:
            async with asyncio.timeout(0.45):
                reader, writer = await asyncio.open_connection(
                    node, self.ready_port,
                )
                writer.write(
                    f'GET /-/ready HTTP/1.1\r\nHost: {node}\r\n\r\n'.encode(),
                )
                is_ready = b' 200 ' in await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            pass
        before = self.misses[node]
        self.misses[node] = 0 if is_ready else before + 1
        if (before < _MISSES) != (self.misses[node] < _MISSES):
            self.record.write(
                f'routers: {node} is {"in" if is_ready else "out of"} rotation',
            )


class Client(asyncio.DatagramProtocol):
    """All clients of one address."""

    def __init__(self, record, routers, host, port):
        self.record = record
        self.routers = routers
        self.host = host
        self.port = port
        self.flows = {}
        self.transport = None

    async def open(self):
        """Bind to the address."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.host, self.port),
        )

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, datagram, sender):
        packet = parse(datagram)
        if packet is None:
            self.record.break_rule('a client got bytes that are no packet')
            return
        if not is_system_reset(packet) and not is_genuine(packet):
            self.record.break_rule('a client got a forged packet')
            return
        key = (packet.dst, packet.dport, packet.src, packet.sport)
        flow = self.flows.get(key)
        if flow is not None:
            flow.take(packet)

    def send(self, key, datagram):
        """Send a packet through the routers."""
        node = self.routers.choose(key)
        self.transport.sendto(datagram, (node, self.port))


class ClientFlow:
    """One flow of a client; requests come one after the other."""

    def __init__(self, client, sport, route):
        self.client = client
        self.record = client.record
        self.key = (client.host, sport, *route)
        self.isn = random.getrandbits(31)
        self.next_seq = self.isn + 1
        self.ack = 0
        self.is_open = False
        #: Why the flow ended; empty while it has not.
        self.ended = ''
        #: Whether a reset came that the target did not send.
        self.was_reset_by_system = False
        self.news = asyncio.Event()
        self.body = None
        client.flows[self.key] = self

    async def open(self):
        """Open the flow; return whether that succeeded."""
        for copies, pause in enumerate(_OPENING_SECONDS):
            self._send(SYN, self.isn, copies)
            await self._wait(pause, lambda: self.is_open or self.ended)
            if self.is_open or self.ended:
                return self.is_open
        self.ended = 'not opened'
        return False

    async def request(self, request_id, seconds, headers=''):
        """Send a request; return whether its whole answer came in time."""
        self.body = None
        data = (
            f'POST /work HTTP/1.1\r\nHost: service\r\n'
            f'X-Keelgap-Request-Id: {request_id}\r\nContent-Length: 0\r\n'
            f'{headers}\r\n'
        ).encode()
        sequence = self.next_seq
        self.next_seq += len(data)
        self.record.write(f'client sends {request_id} on {self.key}')
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        pauses = iter(_RETRY_SECONDS)
        while loop.time() < deadline and not self.ended:
            self._send(ACK, sequence, self.ack, data)
            pause = min(next(pauses, 1.6), max(deadline - loop.time(), 0.01))
            await self._wait(pause, lambda: self.body or self.ended)
            if self.body:
                break
        answer = self.body
        if answer is None:
            self.record.write(
                f'client got no answer to {request_id} on {self.key}: '
                f'{self.ended or "deadline"}',
            )
            return False
        if f'X-Keelgap-Request-Id: {request_id}\r\n'.encode() not in answer:
            self.record.break_rule(f'a foreign answer to {request_id}')
        self.record.write(f'client got the answer to {request_id}')
        return True

    async def close(self):
        """Close the flow."""
        for _ in range(3):
            if self.ended:
                break
            self._send(FIN | ACK, self.next_seq, self.ack)
            await self._wait(0.2, lambda: self.ended)
        self.client.flows.pop(self.key, None)

    def take(self, packet):
        """Handle a packet that came for this flow."""
        if packet.flags & RST:
            self._take_reset(packet)
        elif packet.flags & SYN:
            if not self.is_open:
                self.is_open = True
                self.ack = packet.seq + 1
                self._send(ACK, self.next_seq, self.ack)
        elif self.is_open:
            self._take_data(packet)
        self.news.set()

    def _take_reset(self, packet):
        is_own = is_system_reset(packet)
        distance = (packet.seq - self.ack + 2**31) % 2**32 - 2**31
        if self.is_open and is_own and abs(distance) > _RESET_WINDOW:
            self.record.write(f'client ignores a reset on {self.key}')
            return
        self.was_reset_by_system = is_own
        by = 'the system' if is_own else 'its target'
        self.ended = f'reset by {by}'
        self.record.write(f'client: {self.key} is reset by {by}')

    def _take_data(self, packet):
        if packet.data and packet.seq == self.ack:
            self.ack += len(packet.data)
            self.body = packet.data
        if packet.data or packet.flags & FIN:
            if packet.flags & FIN and packet.seq + len(packet.data) == self.ack:
                self.ack += 1
                self.ended = 'closed'
                self._send(FIN | ACK, self.next_seq, self.ack)
                return
            self._send(ACK, self.next_seq, self.ack)

    def _send(self, flags, sequence, ack, data=b''):
        datagram = make(*self.key, flags, sequence, ack, data)
        self.client.send(self.key, datagram)

    async def _wait(self, seconds, holds):
        """Wait until something holds, or for some seconds."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while not holds() and loop.time() < end:
            self.news.clear()
            try:
                await asyncio.wait_for(self.news.wait(), end - loop.time())
            except TimeoutError:
                pass
