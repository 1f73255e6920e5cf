"""A target: holds flows, answers requests and registers itself."""

import asyncio
import random
import re

from standins.packets import (
    ACK,
    FIN,
    RST,
    SYN,
    bounce,
    is_genuine,
    make,
    parse,
)

_ID = re.compile(rb'X-Keelgap-Request-Id: (\S+)')
_RETRY_SECONDS = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)


class _Flow:
    """What a target knows of one flow."""

    def __init__(self, isn):
        self.isn = isn
        self.is_open = False
        self.is_ended = False
        #: Next sequence number of this end, and of the client.
        self.next_seq = isn + 1
        self.next_expected = None
        self.answers = {}
        #: Whether the client asked for the flow's end after the next answer.
        self.closes_next = False
        #: Ends of data that the client has not acknowledged.
        self.acked = isn + 1


class Target(asyncio.DatagramProtocol):
    """One start of a target beside an agent."""

    def __init__(self, record, store, name, service, host, ports, *,
                 concurrency=3, work_seconds=0.03):
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.host = host
        self.app, self.outbound = ports
        self.concurrency = concurrency
        self.work_seconds = work_seconds
        self.flows = {}
        self.state = 'ready'
        self.sequence = 0
        #: Unix milliseconds of this start; not reported if None.
        self.born = None
        #: When the store confirmed that this target drains.
        self.drains_since = None
        self.is_alive = False
        self.transport = None
        self.listener = None
        #: Flows from lower ports are counted and not recorded.
        self.first_recorded_port = 0
        self.on_opening = lambda target, packet, is_copy: None
        self.on_request = lambda target, request_id: None
        self.taken = 0

    async def start(self):
        """Start without flows, and register."""
        await self.listen()
        await self.register()

    async def listen(self):
        """Start without flows; the entry is written later."""
        self.is_alive = True
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.host, self.app),
        )
        self.listener = await asyncio.start_server(
            self._answer_probe, self.host, self.app,
        )

    async def register(self):
        """Write the entry."""
        await self.store.put(f'servers/{self.name}', self.make_entry())

    def make_entry(self):
        """Return the next entry of this target."""
        self.sequence += 1
        entry = {
            'Service': self.service,
            'Address': f'{self.host}:{self.app}',
            'Zone': 'zone-a',
            'Version': 'v1',
            'Concurrency': self.concurrency,
            'State': self.state,
            'WarmupLeftMs': 0,
            'Seq': self.sequence,
        }
        if self.born is not None:
            entry['born'] = self.born
        return entry

    async def drain(self):
        """Report that this target leaves; it goes on serving."""
        self.state = 'draining'
        await self.register()
        self.drains_since = self.record.now

    def crash(self):
        """End without notice: all flows are lost."""
        self.record.write(f'target {self.name} ends')
        self.is_alive = False
        self.flows.clear()
        if self.transport is not None:
            self.transport.close()
        if self.listener is not None:
            self.listener.close()

    def holds(self, key):
        """Return whether this target holds an open flow."""
        flow = self.flows.get(key)
        return flow is not None and flow.is_open and not flow.is_ended

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, datagram, sender):
        packet = parse(datagram)
        if packet is None or not is_genuine(packet):
            self.record.break_rule(f'target {self.name} got a forged packet')
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            self._take_opening(key, flow, packet)
        elif flow is None or (not flow.is_open and packet.ack != flow.isn + 1):
            self._send(bounce(datagram))
        else:
            self._take(key, flow, packet)

    def _take_opening(self, key, flow, packet):
        is_copy = flow is not None and not flow.is_ended
        if not is_copy:
            flow = _Flow(random.getrandbits(31))
            self.flows[key] = flow
        self.taken += 1
        self._note(
            key,
            f'target {self.name} ({self.service}, {self.state}) took the '
            f'opening packet of {key}, copy {packet.ack}',
        )
        self.on_opening(self, packet, is_copy)
        flow.next_expected = packet.seq + 1
        self._reply(key, SYN | ACK, flow.isn, packet.seq + 1)

    def _take(self, key, flow, packet):
        if flow.is_ended:
            if packet.flags & FIN:
                self._reply(key, ACK, flow.next_seq, packet.seq + 1)
            elif packet.data:
                self._reply(key, RST, flow.next_seq, packet.seq)
            return
        if not flow.is_open:
            flow.is_open = True
            self._note(key, f'target {self.name} holds {key} open')
        flow.acked = max(flow.acked, packet.ack)
        if packet.flags & RST:
            flow.is_ended = True
            return
        if packet.data:
            self._take_data(key, flow, packet)
        if packet.flags & FIN:
            flow.is_ended = True
            self._note(key, f'target {self.name}: {key} closed')
            end = packet.seq + len(packet.data) + 1
            self._reply(key, FIN | ACK, flow.next_seq, end)

    def _take_data(self, key, flow, packet):
        if packet.seq in flow.answers:
            answer = flow.answers[packet.seq]
            if answer:
                self._send(answer)
            return
        if packet.seq != flow.next_expected:
            return
        flow.next_expected = packet.seq + len(packet.data)
        flow.answers[packet.seq] = b''
        match = _ID.search(packet.data)
        request_id = match.group(1).decode() if match else '?'
        self._note(key, f'target {self.name} runs {request_id}')
        flow.closes_next = b'Connection: close' in packet.data
        self.on_request(self, request_id)
        loop = asyncio.get_running_loop()
        loop.call_later(
            self.work_seconds, self._answer, key, flow, packet.seq, request_id,
        )

    def _answer(self, key, flow, sequence, request_id):
        if not self.is_alive or flow.is_ended:
            return
        body = f'done {request_id} at {self.name}'.encode()
        head = (
            f'HTTP/1.1 200 OK\r\nX-Keelgap-Response-Sig: {request_id}\r\n'
            f'X-Keelgap-Request-Id: {request_id}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        ).encode()
        is_last = flow.closes_next or self.state == 'draining'
        closes = FIN if is_last else 0
        answer = self._reply(
            key, ACK | closes, flow.next_seq, flow.next_expected, head + body,
        )
        flow.answers[sequence] = answer
        flow.next_seq += len(head + body)
        if closes:
            flow.is_ended = True
        self._repeat(flow, answer, flow.next_seq, 0)

    def _repeat(self, flow, answer, end, number):
        """Send an answer again until the client has acknowledged it."""
        if number >= len(_RETRY_SECONDS):
            return

        def again():
            if self.is_alive and flow.acked < end:
                self._send(answer)
                self._repeat(flow, answer, end, number + 1)

        loop = asyncio.get_running_loop()
        loop.call_later(_RETRY_SECONDS[number], again)

    def _note(self, key, text):
        """Record an event of one flow."""
        if key[1] >= self.first_recorded_port:
            self.record.write(text)

    def _reply(self, key, flags, seq, ack, data=b''):
        src, sport, dst, dport = key
        datagram = make(dst, dport, src, sport, flags, seq, ack, data)
        self._send(datagram)
        return datagram

    def _send(self, datagram):
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(datagram, (self.host, self.outbound))

    async def _answer_probe(self, reader, writer):
        try:
            await reader.readuntil(b'\r\n\r\n')
            status = 200 if self.state == 'ready' else 503
            writer.write(
                f'HTTP/1.1 {status} -\r\nContent-Length: 0\r\n\r\n'.encode(),
            )
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
