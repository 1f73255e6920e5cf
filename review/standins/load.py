"""Many short flows, and targets for them, in processes of their own."""

import asyncio
import select
import socket
import time
from multiprocessing import get_context
from zlib import crc32

from standins.packets import ACK, FIN, RST, SYN, make, parse
from standins.record import Record
from standins.target import Target

_CONTEXT = get_context('spawn')
_RETRY_SECONDS = 0.2
_GIVE_UP_SECONDS = 1.4


class Load:
    """Processes of targets and of clients with a flow for each request."""

    def __init__(self, folder, began):
        self.folder = folder
        self.began = began
        #: Bits of the front nodes that are in rotation.
        self.rotation = _CONTEXT.Value('i', 0)
        #: Flows that clients have opened, and those that were served.
        self.opened = _CONTEXT.Value('i', 0)
        self.served = _CONTEXT.Value('i', 0)
        self.is_over = _CONTEXT.Event()
        self.processes = []

    def start_targets(self, rows, ports, service, first_recorded_port):
        """Start targets, given by name and host, in one process."""
        path = self.folder / f'targets-{len(self.processes)}.txt'
        self._start(
            serve_targets,
            (rows, ports, service, first_recorded_port, path, self.began,
             self.is_over),
        )
        return path

    def start_clients(self, host, port, fronts, route, pace):
        """Start clients of one address; pace is (second, flows) pairs."""
        self._start(
            open_flows,
            (host, port, fronts, route, pace, self.rotation, self.opened,
             self.served, self.is_over),
        )

    def _start(self, function, values):
        process = _CONTEXT.Process(target=function, args=values, daemon=True)
        process.start()
        self.processes.append(process)

    def close(self):
        """End all processes."""
        self.is_over.set()
        for process in self.processes:
            process.join(3)
            if process.is_alive():
                process.kill()
                process.join()


def serve_targets(rows, ports, service, first_port, path, began, is_over):
    """Serve some targets until told to end."""

    async def serve():
        record = Record(path, began)
        record.file.reconfigure(line_buffering=True)
        targets = [
            Target(record, None, name, service, host, ports, work_seconds=0.01)
            for name, host in rows
        ]
        for target in targets:
            target.first_recorded_port = first_port
            await target.listen()
        while not is_over.is_set():
            await asyncio.sleep(0.2)
        for target in targets:
            record.write(f'target {target.name} took {target.taken} openings')
        record.close()

    asyncio.run(serve())


def open_flows(host, port, fronts, route, pace, rotation, opened, served,
               is_over):
    """Open a flow for each request, at a pace, until told to end."""
    sock = socket.socket(type=socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4194304)
    sock.bind((host, port))
    sock.setblocking(False)
    flows = {}
    waiting = []
    began = time.monotonic()
    count = 0

    def send(sport, flags, seq, ack, data=b''):
        bits = rotation.value
        nodes = [one for n, one in enumerate(fronts) if bits >> n & 1] or fronts
        key = (host, sport, *route)
        node = nodes[crc32(repr(key).encode()) % len(nodes)]
        sock.sendto(make(*key, flags, seq, ack, data), (node, port))

    def take(packet):
        state = flows.get(packet.dport)
        if state is None:
            return
        if packet.flags & RST:
            flows.pop(packet.dport)
        elif packet.flags & SYN and state == 'opening':
            flows[packet.dport] = 'open'
            data = (
                f'GET /work HTTP/1.1\r\nHost: service\r\n'
                f'X-Keelgap-Request-Id: l-{host}-{packet.dport}\r\n\r\n'
            ).encode()
            send(packet.dport, ACK, 1001, packet.seq + 1, data)
        elif packet.data and state == 'open':
            flows.pop(packet.dport)
            served.value += 1
            end = packet.seq + len(packet.data)
            send(packet.dport, FIN | ACK, packet.ack, end)

    while not is_over.is_set():
        now = time.monotonic() - began
        wanted = next((
            n0 + (n1 - n0) * (now - t0) / (t1 - t0)
            for (t0, n0), (t1, n1) in zip(pace, pace[1:], strict=False)
            if t0 <= now < t1
        ), pace[-1][1])
        for _ in range(min(int(wanted) - count, 50)):
            sport = 1024 + count
            count += 1
            flows[sport] = 'opening'
            send(sport, SYN, 1000, 0)
            waiting.append((now + _RETRY_SECONDS, sport, 1))
            with opened.get_lock():
                opened.value += 1
        while waiting and waiting[0][0] <= now:
            _, sport, copies = waiting.pop(0)
            if flows.get(sport) != 'opening':
                continue
            if copies < 3:
                send(sport, SYN, 1000, copies)
                waiting.append((now + 2 * _RETRY_SECONDS, sport, copies + 1))
            else:
                flows.pop(sport)
        select.select([sock], [], [], 0.005)
        for _ in range(200):
            try:
                datagram = sock.recv(2048)
            except BlockingIOError:
                break
            packet = parse(datagram)
            if packet is not None:
                take(packet)
    sock.close()
