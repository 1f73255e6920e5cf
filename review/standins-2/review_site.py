"""Stand-ins for a small site on loopback: store, targets, clients, routers.

The programs under review run as separate processes with the commands and the
templates of the deploy file.  Everything else of the site lives in the process
of the case, on one asyncio loop, and follows the users' pages.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

HEAD = struct.Struct('<HH4sH4s4sIIB3s4s')
SYN, ACK, FIN, RST, BOUNCED = 2, 128, 4, 64, 1
ROOT = Path.cwd()
#: When a client sends its opening packet, and when it gives up.
OPENING = (0.0, 0.2, 0.6)
OPEN_TIMEOUT = 1.4
RESET_WINDOW = 76800
MAX_DATA = 1200
MAX_FLIGHT = 16
MASK = 0xFFFFFFFF


def pack_host(host):
    """Return an address in the byte order of the packets."""
    return bytes(int(part) for part in reversed(host.split('.')))


def unpack_host(octets):
    """Return the text of an address of a packet."""
    return '.'.join(str(octet) for octet in reversed(octets))


class Packet:
    """One decoded packet."""

    def __init__(self, raw):
        (
            self.length, self.dport, src, self.sport, dst, self.echo,
            self.seq, self.ack, self.flags, self.pad, self.sum,
        ) = HEAD.unpack_from(raw)
        self.src, self.dst = unpack_host(src), unpack_host(dst)
        self.data = raw[HEAD.size:]
        self.raw = raw

    @property
    def key(self):
        """Return source and destination of the packet."""
        return (self.src, self.sport, self.dst, self.dport)


def encode(key, flags, seq, ack, data=b''):
    """Return a packet from the first end of a key to the second."""
    src, sport, dst, dport = key
    return HEAD.pack(
        len(data), dport, pack_host(src), sport, pack_host(dst), bytes(4),
        seq & MASK, ack & MASK, flags, bytes(3), b'sum!',
    ) + data


class Recorder:
    """Writes what was sent, answered and run, and which rules were broken."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = (Path(folder) / 'record.txt').open('w')
        self.broken = []

    def now(self):
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started

    def note(self, text):
        """Write one line."""
        self.file.write(f'{self.now():8.3f} {text}\n')
        self.file.flush()

    def breach(self, text):
        """Write one line on a broken rule."""
        self.broken.append(text)
        self.note(f'BROKEN {text}')


class Stream:
    """One end of an open flow: bytes in order, with retransmissions."""

    def __init__(self, write, own_start, peer_start, on_data, on_fin):
        self.write = write
        self.snd = own_start + 1
        self.rcv = peer_start + 1
        self.on_data, self.on_fin = on_data, on_fin
        self.waiting = []
        self.flight = {}
        self.early = {}
        self.unacknowledged = 0
        self.closed = False
        self.failed = False
        self.max_tries = 8

    def send(self, data, fin=False):
        """Queue data for the other end, and the end of the flow if wanted."""
        for start in range(0, len(data), MAX_DATA):
            self.waiting.append((ACK, data[start:start + MAX_DATA]))
        if fin:
            self.waiting.append((FIN | ACK, b''))
        self._fill()

    def stop(self):
        """Send nothing more."""
        self.closed = True
        self.flight.clear()
        self.waiting.clear()

    def _fill(self):
        while self.waiting and len(self.flight) < MAX_FLIGHT:
            flags, data = self.waiting.pop(0)
            seq = self.snd
            self.snd += len(data) or 1
            self.flight[seq] = (flags, data)
            self._transmit(seq, 0, 0.2)

    def _transmit(self, seq, tries, pause):
        if self.closed or seq not in self.flight:
            return
        if tries > self.max_tries:
            self.failed = True
            self.stop()
            return
        flags, data = self.flight[seq]
        self.unacknowledged = 0
        self.write(flags, seq, self.rcv, data)
        asyncio.get_running_loop().call_later(
            pause, self._transmit, seq, tries + 1, min(2 * pause, 1.6)
        )

    def take(self, packet):
        """Take a packet of the other end."""
        if packet.flags & ACK:
            done = [
                seq for seq, (_, data) in self.flight.items()
                if seq + (len(data) or 1) <= packet.ack
            ]
            for seq in done:
                del self.flight[seq]
        if packet.data or packet.flags & FIN:
            if packet.seq >= self.rcv:
                self.early[packet.seq] = packet
            in_order = self.rcv in self.early
            while self.rcv in self.early:
                part = self.early.pop(self.rcv)
                self.rcv += len(part.data) + bool(part.flags & FIN)
                if part.data:
                    self.on_data(part.data)
                if part.flags & FIN:
                    self.on_fin()
            self.unacknowledged += 1
            is_last = bool(packet.flags & FIN) or len(packet.data) < MAX_DATA
            if self.unacknowledged >= 2 or not in_order or is_last:
                self.unacknowledged = 0
                if not self.closed:
                    self.write(ACK, self.snd, self.rcv, b'')
        self._fill()


def read_message(buffer):
    """Return the first whole message of a buffer and the rest, or None."""
    end = buffer.find(b'\r\n\r\n')
    if end < 0:
        return None
    found = re.search(rb'(?i)content-length: (\d+)', buffer[:end])
    size = end + 4 + (int(found[1]) if found else 0)
    if len(buffer) < size:
        return None
    return buffer[:size], buffer[size:]


def read_id(message):
    """Return the request id of a message."""
    found = re.search(rb'(?i)x-keelgap-request-id: ([^\r]+)', message)
    return found[1].decode() if found else ''


class Ports:
    """Ports of the whole site, and its part of loopback."""

    def __init__(self):
        self.net = f'127.{20 + random.randrange(200)}.{random.randrange(250)}'
        names = (
            'data', 'ready', 'control', 'peer', 'app', 'outbound', 'store',
        )
        candidates = random.sample(range(11000, 30000), 200)
        free = (port for port in candidates if _is_free(self.net, port))
        for name in names:
            setattr(self, name, next(free))


def _is_free(net, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((f'{net}.1', port))
            except OSError:
                return False
    return True


class Endpoint(asyncio.DatagramProtocol):
    """A UDP socket that hands each datagram to a function."""

    def __init__(self, on_packet):
        self.on_packet = on_packet
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, address):
        if len(data) >= HEAD.size:
            self.on_packet(Packet(data))

    def send(self, raw, address):
        """Send unless the socket is closed."""
        if self.transport and not self.transport.is_closing():
            self.transport.sendto(raw, address)


async def open_endpoint(on_packet, address):
    """Return an open endpoint."""
    _, protocol = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Endpoint(on_packet), local_addr=address
    )
    return protocol


class Store:
    """The platform's store, with an address of its own for each machine.

    ``modes`` holds, by host of the address, 'silent' (no answers), 'refuse'
    (503) or 'reset' for machines that the store does not serve.
    """

    def __init__(self, site):
        self.site = site
        self.revision = 100
        self.items = {}
        self.log = []
        self.modes = {}
        self.changed = asyncio.Event()
        self.servers = []
        self.writers = set()

    async def listen(self, host):
        """Serve at one more address."""
        async def serve(reader, writer):
            self.writers.add(writer)
            try:
                await self._serve(host, reader, writer)
            except (OSError, asyncio.IncompleteReadError):
                pass
            finally:
                self.writers.discard(writer)
                writer.close()

        self.servers.append(await asyncio.start_server(
            serve, host, self.site.ports.store
        ))

    def close(self):
        """Close all addresses."""
        for server in self.servers:
            server.close()
        for writer in tuple(self.writers):
            writer.close()

    def put(self, key, document):
        """Write an item; the return of this call is the confirmation."""
        self.revision += 1
        value = base64.b64encode(json.dumps(document).encode()).decode()
        created = self.items.get(key, {}).get('CreatedRev', self.revision)
        item = {
            'Key': key, 'Value': value, 'Revision': self.revision,
            'CreatedRev': created, 'Lease': 0,
        }
        self.items[key] = item
        self._append(item)

    def remove(self, key):
        """Delete an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._append(
                {'Key': key, 'Revision': self.revision, 'Tombstone': True}
            )

    def _append(self, event):
        self.log.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, host, reader, writer):
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            mode = self.modes.get(host)
            if mode == 'silent':
                await asyncio.sleep(3600)
            if mode == 'reset':
                writer.transport.abort()
                return
            await asyncio.sleep(0.004)
            split = urlsplit(head.split()[1].decode())
            query = parse_qs(split.query, keep_blank_values=True)
            status, body = 503, {}
            if mode is None:
                status, body = await self._answer(split.path, query)
            if self.modes.get(host) == 'silent':
                await asyncio.sleep(3600)
            octets = json.dumps(body).encode()
            writer.write(
                b'HTTP/1.1 %d -\r\nContent-Type: application/json\r\n'
                b'Content-Length: %d\r\n\r\n' % (status, len(octets)) + octets
            )
            await writer.drain()

    async def _answer(self, path, query):
        prefix = query.get('Prefix', [''])[0]
        if path == '/-/kv-range':
            after = query.get('after', [''])[0]
            keys = sorted(
                key for key in self.items
                if key.startswith(prefix) and key > after
            )
            page = [self.items[key] for key in keys[:500]]
            return 200, {
                'items': page, 'HasMore': len(keys) > 500,
                'AsOf': self.revision,
            }
        if path != '/-/kv-watch':
            return 404, {}
        after = int(query['after'][0])
        end = time.monotonic() + int(query['WaitMs'][0]) / 1000
        while True:
            events = [
                event for event in self.log
                if event['Revision'] > after and event['Key'].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'AsOf': self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass


class Target:
    """A target on one side machine; each start has a boot of its own."""

    BEAT = 1.2

    def __init__(self, site, machine, service, slots=4, work=0.05):
        self.site, self.machine, self.service = site, machine, service
        self.slots, self.work = slots, work
        self.endpoint = self.listener = None
        self.id = ''
        self.half, self.open, self.ended = {}, {}, {}
        self.busy, self.queue = 0, []
        self.state = 'ready'
        self.draining_since = None
        self.beats = None
        self.cold_until = 0
        self.seq = 0

    async def start(self, cold=0.0):
        """Start with no flows, and register in the store."""
        host = self.machine.host
        self.id = f'{self.machine.name}-{random.randrange(1 << 32):08x}'
        self.half, self.open, self.ended = {}, {}, {}
        self.state, self.draining_since = 'ready', None
        self.endpoint = await open_endpoint(
            self._take, (host, self.site.ports.app)
        )
        self.listener = await asyncio.start_server(
            self._serve_health, host, self.site.ports.app
        )
        self.cold_until = time.monotonic() + cold
        self.seq = 0
        self.site.record.note(f'target {self.id} of {self.service} started')
        self.report()
        self.beats = asyncio.create_task(self._beat())

    def stop(self):
        """End the target; its flows are gone, and so is its entry."""
        self.beats.cancel()
        self.endpoint.transport.close()
        self.listener.close()
        for stream in self.open.values():
            stream.stop()
        self.site.store.remove(f'servers/{self.id}')
        self.site.record.note(f'target {self.id} ended, entry removed')

    def drain(self):
        """Report that this target leaves; it goes on serving."""
        self.state = 'draining'
        self.report()
        self.draining_since = time.monotonic()
        self.site.record.note(f'target {self.id} confirmed as draining')

    async def _beat(self):
        while True:
            await asyncio.sleep(self.BEAT)
            self.seq += 1
            if time.monotonic() < self.cold_until + self.BEAT:
                self.report()

    def report(self):
        """Write the entry of this target."""
        left = max(self.cold_until - time.monotonic(), 0)
        self.site.store.put(f'servers/{self.id}', {
            'Service': self.service,
            'Address': f'{self.machine.host}:{self.site.ports.app}',
            'Zone': self.machine.zone, 'Version': 'v1',
            'Concurrency': self.slots, 'State': self.state,
            'WarmupLeftMs': round(left * 1000), 'Seq': self.seq,
        })

    async def _serve_health(self, reader, writer):
        try:
            await reader.readuntil(b'\r\n\r\n')
            status = 200 if self.state == 'ready' else 503
            writer.write(
                b'HTTP/1.1 %d -\r\nContent-Length: 0\r\n\r\n' % status
            )
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _send(self, raw):
        address = (self.machine.host, self.site.ports.outbound)
        self.endpoint.send(raw, address)

    def _take(self, packet):
        key = packet.key
        back = (packet.dst, packet.dport, packet.src, packet.sport)
        if packet.flags & SYN:
            self._take_opening(key, back, packet)
            return
        if key in self.half:
            own, peer = self.half[key]
            if packet.flags & ACK and packet.ack == (own + 1) & MASK:
                del self.half[key]
                self._open(key, back, own, peer)
        stream = self.open.get(key)
        if stream is None:
            self._refuse(key, back, packet)
        elif packet.flags & RST:
            self._end(key)
        else:
            stream.take(packet)

    def _take_opening(self, key, back, packet):
        if key in self.open:
            return
        self.site.on_opening(self, packet)
        if key not in self.half:
            self.half[key] = (random.randrange(1, 1 << 30), packet.seq)
        self.ended.pop(key, None)
        own, peer = self.half[key]
        self._send(encode(back, SYN | ACK, own, peer + 1))

    def _refuse(self, key, back, packet):
        if key in self.ended and packet.flags & FIN:
            self._send(encode(back, ACK, packet.ack, packet.seq + 1))
        elif key in self.ended and packet.data:
            self._send(encode(back, RST, packet.ack, packet.seq))
        elif key not in self.ended:
            raw = bytearray(packet.raw)
            raw[26] |= BOUNCED
            raw[27:30] = bytes(3)
            self._send(bytes(raw))

    def _open(self, key, back, own, peer):
        buffer = bytearray()

        def write(flags, seq, ack, data):
            self._send(encode(back, flags, seq, ack, data))

        def on_data(data):
            buffer.extend(data)
            while True:
                found = read_message(bytes(buffer))
                if found is None:
                    return
                buffer[:] = found[1]
                self._queue(key, found[0])

        def on_fin():
            stream.send(b'', fin=True)
            asyncio.get_running_loop().call_later(1.0, self._end, key)

        stream = Stream(write, own, peer, on_data, on_fin)
        self.open[key] = stream
        self.site.on_open(self, key)

    def _end(self, key):
        stream = self.open.pop(key, None)
        if stream is not None:
            stream.stop()
            self.ended[key] = True
            self.site.on_end(self, key)

    def _queue(self, key, message):
        self.queue.append((key, message))
        self._work()

    def _work(self):
        while self.queue and self.busy < self.slots:
            key, message = self.queue.pop(0)
            if key not in self.open:
                continue
            self.busy += 1
            self.site.on_run(self, key, read_id(message))
            asyncio.get_running_loop().call_later(
                self.work, self._answer, key, read_id(message), self.id
            )

    def _answer(self, key, request_id, boot):
        self.busy -= 1
        stream = self.open.get(key)
        if stream is not None and boot == self.id:
            body = f'{request_id} {self.id}'.encode()
            stream.send(
                b'HTTP/1.1 200 OK\r\nX-Keelgap-Response-Sig: s\r\n'
                b'X-Keelgap-Request-Id: %s\r\nContent-Length: %d\r\n\r\n'
                % (request_id.encode(), len(body)) + body,
                fin=self.state == 'draining',
            )
        self._work()


class Machine:
    """A machine with one of the programs under review."""

    def __init__(self, site, role, number, zone, service=''):
        self.site, self.role, self.zone = site, role, zone
        self.service = service
        part = 0 if role == 'balancer' else 100
        self.name = f'{role}-{number}'
        self.host = f'{site.ports.net}.{part + number}'
        self.process = None
        self.lines_read = 0
        self.log = site.folder / f'{self.name}.log'
        self.settings = site.folder / f'{self.name}.ini'

    def write_settings(self):
        """Fill in the template of the deploy file."""
        template = (ROOT / 'deploy' / f'{self.role}.ini').read_text()
        text = fill(template, self.site.make_fields(self))
        later = self.settings.with_suffix('.new')
        later.write_text(text)
        os.replace(later, self.settings)

    def start(self):
        """Start the program with the command of the deploy file."""
        self.write_settings()
        environment = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', ''),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'KEELGAP_SETTINGS': str(self.settings),
        }
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-S', f'deploy/{self.role}.py'],
                cwd=ROOT, env=environment, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def send(self, number):
        """Send a signal to the program."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        """End the program without notice."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process = None

    def read_events(self):
        """Return the program's log lines so far."""
        events = []
        if self.log.exists():
            for line in self.log.read_text().splitlines():
                try:
                    events.append(json.loads(line))
                except ValueError:
                    events.append({'event': 'not_json', 'text': line})
        return events


def fill(template, fields):
    """Fill in a settings template as the users' page tells it."""
    def section(found):
        value = fields.get(found[1])
        return found[2].replace('{{.}}', str(value)) if value else ''

    text = re.sub(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', section, template)
    return re.sub(
        r'\{\{([\w.]+)\}\}', lambda found: str(fields.get(found[1], '')), text
    )


class Flow:
    """A flow of a client, from its opening to its end."""

    def __init__(self, client, sport, route):
        self.client, self.route = client, route
        self.key = (client.host, sport, *route[:2])
        self.start_number = random.randrange(1, 1 << 30)
        self.stream = None
        self.opened = asyncio.Event()
        #: 'opening', 'open', 'refused', 'silent', 'reset', 'ended'.
        self.state = 'opening'
        self.answers = asyncio.Queue()
        self.buffer = bytearray()
        self.last_ack = 0
        self.began = time.monotonic()

    async def open(self):
        """Open the flow; return whether a target took it."""
        site = self.client.site
        self.began = time.monotonic()
        self.client.flows[self.key] = self
        for copies, at in enumerate(OPENING):
            end = OPENING[copies + 1] if copies < 2 else OPEN_TIMEOUT
            self.client.send(
                self, encode(self.key, SYN, self.start_number, copies)
            )
            try:
                await asyncio.wait_for(
                    self.opened.wait(), self.began + end - time.monotonic()
                )
            except TimeoutError:
                continue
            break
        if self.state == 'opening':
            self.state = 'silent'
        site.record.note(
            f'client {self.key[0]}:{self.key[1]} to {self.key[2]}:'
            f'{self.key[3]} through {self.client.describe(self)}: {self.state}'
        )
        return self.state == 'open'

    async def request(self, request_id, deadline=5.0, body=b''):
        """Send a request; return its answer, or None."""
        head = (
            f'POST / HTTP/1.1\r\nX-Keelgap-Request-Id: {request_id}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        self.stream.send(head.encode() + body)
        try:
            return await asyncio.wait_for(self.answers.get(), deadline)
        except TimeoutError:
            return None

    def close(self):
        """Send the end of the flow."""
        if self.state == 'open':
            self.state = 'ended'
            self.stream.send(b'', fin=True)

    def take(self, packet):
        """Take a packet for this flow."""
        if packet.flags & RST:
            self._take_reset(packet)
        elif packet.flags & SYN:
            if self.state == 'opening':
                self._begin(packet)
        elif self.stream is not None:
            self.last_ack = self.stream.rcv
            self.stream.take(packet)
            self.last_ack = self.stream.rcv

    def _begin(self, packet):
        def write(flags, seq, ack, data):
            self.last_ack = ack
            self.client.send(self, encode(self.key, flags, seq, ack, data))

        self.stream = Stream(
            write, self.start_number, packet.seq, self._take_data, self._fin
        )
        self.stream.max_tries = 30
        self.state = 'open'
        self.last_ack = packet.seq + 1
        write(ACK, self.stream.snd, self.stream.rcv, b'')
        self.opened.set()

    def _take_data(self, data):
        self.buffer.extend(data)
        found = read_message(bytes(self.buffer))
        if found is not None:
            self.buffer[:] = found[1]
            self.answers.put_nowait(found[0])

    def _fin(self):
        if self.state == 'open':
            self.state = 'ended'
            self.stream.send(b'', fin=True)

    def _take_reset(self, packet):
        if self.state == 'opening':
            self.state = 'refused'
            self.opened.set()
        elif self.state == 'open':
            distance = (packet.seq - self.last_ack) & MASK
            if min(distance, MASK + 1 - distance) <= RESET_WINDOW:
                self.state = 'reset'
                self.stream.stop()
                self.answers.put_nowait(None)
                self.client.site.on_client_reset(self, packet)


class Client:
    """A client address; packets go to the front machine that is chosen."""

    def __init__(self, site, number):
        self.site = site
        self.host = f'{site.ports.net}.{200 + number}'
        self.flows = {}
        self.next_port = 20000 + random.randrange(20000)
        self.endpoint = None
        #: Front hosts by flow, for flows that are sent to a chosen machine.
        self.chosen = {}

    async def start(self):
        """Open the address."""
        self.endpoint = await open_endpoint(
            self._take, (self.host, self.site.ports.data)
        )

    def make_flow(self, route, front=None):
        """Return a flow from a new port."""
        self.next_port += 1
        flow = Flow(self, self.next_port, route)
        if front is not None:
            self.chosen[flow.key] = front
        return flow

    def describe(self, flow):
        """Return through which machine packets of a flow go."""
        return self.chosen.get(flow.key) or self.site.choose_front(flow.key)

    def send(self, flow, raw):
        """Send a packet through the routers."""
        self.endpoint.send(raw, (self.describe(flow), self.site.ports.data))

    def _take(self, packet):
        key = (packet.dst, packet.dport, packet.src, packet.sport)
        flow = self.flows.get(key)
        if flow is not None:
            flow.take(packet)


class Site:
    """All machines and stand-ins of one case."""

    #: Figures of the settings file.
    contracts = 'base,drain,config,cost,recover,flows,platform'
    bounds = {}
    link_megabits = 1000

    def __init__(self, record, folder):
        self.record = record
        self.folder = Path(folder)
        self.ports = Ports()
        self.store = Store(self)
        self.fronts, self.sides, self.targets, self.clients = [], [], [], []
        self.version = 0
        self.misses = {}
        self.tasks = []

    # What targets and clients saw; cases replace these.
    def on_opening(self, target, packet):
        """Take note of an opening packet at a target."""

    def on_open(self, target, key):
        """Take note of a flow that is open at a target."""

    def on_end(self, target, key):
        """Take note of a flow that ended at a target."""

    def on_run(self, target, key, request_id):
        """Take note of a request that a target works on."""
        self.record.note(f'run {request_id} at {target.id} ({target.service})')

    def on_client_reset(self, flow, packet):
        """Take note of a reset that a client took for its open flow."""
        self.record.note(f'client reset on open flow {flow.key}')

    def make_fields(self, machine):
        """Return the fields of a machine's settings."""
        ports = self.ports
        seeds = [f'{one.host}:{ports.control}' for one in self.fronts[:3]]
        fields = {
            'Node': machine.name, 'Ip': machine.host, 'Zone': machine.zone,
            'Listen.DataAddr': f'{machine.host}:{ports.data}',
            'Listen.Ready': f'{machine.host}:{ports.ready}',
            'Listen.Control': f'{machine.host}:{ports.control}',
            'Listen.outbound': f'{machine.host}:{ports.outbound}',
            'InternalPorts.0': ports.peer, 'Seeds': ','.join(seeds),
            'Limits.LinkMbps': self.link_megabits,
            'platform.Address': f'{self.store_host(machine)}:{ports.store}',
            'Service': machine.service, 'app': f'{machine.host}:{ports.app}',
            'Bootstrap': 'true', 'Contracts': self.contracts,
        }
        fields.update({f'Bounds.{key}': one for key, one in self.bounds.items()})
        return fields

    def store_host(self, machine):
        """Return the store's address for one machine."""
        number = int(machine.host.rsplit('.', 1)[1])
        prefix, _, third = self.ports.net.rpartition('.')
        return f'{prefix}.{(int(third) + 1) % 256}.{number}'

    def add_front(self, zone):
        """Add a front machine."""
        number = len(self.fronts) + 1
        self.fronts.append(Machine(self, 'balancer', number, zone))
        return self.fronts[-1]

    def add_side(self, zone, service, **options):
        """Add a side machine with its target."""
        number = len(self.sides) + 1
        machine = Machine(self, 'agent', number, zone, service)
        self.sides.append(machine)
        self.targets.append(Target(self, machine, service, **options))
        return machine

    async def start(self):
        """Open the store and start all machines and targets."""
        for machine in self.fronts:
            await self.store.listen(self.store_host(machine))
        for machine in (*self.sides, *self.fronts):
            machine.start()
        await asyncio.sleep(1.0)
        for target in self.targets:
            await target.start()
        self.tasks.append(asyncio.create_task(self._probe()))

    async def add_clients(self, count):
        """Open client addresses."""
        for number in range(1, count + 1):
            client = Client(self, number)
            await client.start()
            self.clients.append(client)

    def configure(self, routes, idle_ms=15000, services=None):
        """Write a configuration; the return is the store's confirmation.

        ``routes`` maps names to (host, port, service).
        """
        self.version += random.randrange(1, 6)
        names = services or sorted({row[2] for row in routes.values()})
        self.store.put('op/config', {
            'Version': self.version,
            'Routes': [
                {
                    'Name': name, 'Host': host, 'Prefix': f'/{port}/',
                    'Service': service, 'Type': 'unsafe', 'TimeoutMs': 5000,
                    'SloMs': 400, 'Priority': 1, 'Attempts': 1,
                }
                for name, (host, port, service) in routes.items()
            ],
            'Services': [{'Name': name} for name in names],
            'Limits': {'IdleTimeoutMs': idle_ms},
        })
        self.record.note(f'version {self.version} confirmed: {routes}')

    def choose_front(self, key):
        """Return the front machine in rotation to which a flow hashes."""
        hosts = [one.host for one in self.fronts]
        ready = [host for host in hosts if self.misses.get(host, 0) < 2]
        ready = ready or hosts
        number = hash(key) & MASK
        return ready[number % len(ready)]

    async def _probe(self):
        while True:
            hosts = [one.host for one in self.fronts]
            answers = await asyncio.gather(*map(self.ask_ready, hosts))
            for host, is_ready in zip(hosts, answers, strict=True):
                misses = self.misses.get(host, 2)
                self.misses[host] = 0 if is_ready else misses + 1
            await asyncio.sleep(0.5)

    async def ask_ready(self, host):
        """Return whether a front machine says that it is ready."""
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(
                    host, self.ports.ready
                )
                writer.write(b'GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n')
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in line

    async def wait_ready(self, seconds=25.0):
        """Wait until all fronts are ready."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all(self.misses.get(one.host, 2) == 0 for one in self.fronts):
                return
            await asyncio.sleep(0.1)
        raise CannotRun('the front machines did not get ready')

    def close(self):
        """End all processes that this case started."""
        for task in self.tasks:
            task.cancel()
        for machine in (*self.fronts, *self.sides):
            machine.send(signal.SIGCONT)
            machine.kill()
        self.store.close()


class CannotRun(Exception):
    """The case could not run, so it says nothing."""


def run_case(play, site_type=Site, limit=112.0):
    """Play a case and exit: 1 if a rule was broken, 0 if not, 2 if not run."""
    folder = Path(sys.argv[1])
    record = Recorder(folder)
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record.note(f'trouble: {"on" if has_trouble else "off"}')
    status = 2
    keep = os.environ.get('KEEP_LOGS')
    with tempfile.TemporaryDirectory() as scratch:
        site = site_type(record, keep or scratch)

        async def main():
            loop = asyncio.get_running_loop()
            loop.add_signal_handler(
                signal.SIGTERM, asyncio.current_task().cancel
            )
            try:
                async with asyncio.timeout(limit):
                    await play(site, has_trouble)
            finally:
                site.close()

        try:
            asyncio.run(main())
            status = 1 if record.broken else 0
        except (CannotRun, TimeoutError, OSError) as error:
            record.note(f'could not run: {error!r}')
        except asyncio.CancelledError:
            record.note('could not run: ended from outside')
        finally:
            record.note(
                f'{len(record.broken)} breaches, exit status {status}'
            )
    print(f'exit status {status}, breaches {len(record.broken)}')
    for line in record.broken[:10]:
        print('  ', line)
    sys.exit(status)
