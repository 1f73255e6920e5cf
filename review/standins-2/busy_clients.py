"""Clients that open a flow for each short request, many a second.

Arguments: own host, the port of packets, host and port of the route, requests
a second, and the first and the last port from which flows are opened in turn.  A line on standard input names the front machines in rotation; ``long N`` makes
the next N flows long: they stay open, with a request every second.
Standard output gets a line a second: sent, served, refused, given up.  A line
``reset SPORT AGE REQUESTS`` tells that a long flow was reset, and ``silent
SPORT AGE REQUESTS`` that a request on it got no answer.
"""

import heapq
import random
import selectors
import socket
import struct
import sys
import time

HEAD = struct.Struct('<HH4sH4s4sIIB3s4s')
SYN, ACK, FIN, RST = 2, 128, 4, 64
ZERO4, ZERO3, SUM = bytes(4), bytes(3), b'sum!'
PAUSES = {
    'syn': (0.2, 0.4, 0.8), 'data': (0.2, 0.4, 0.8, 1.6), 'fin': (0.2,),
    'idle': (1.0,),
}
RESET_WINDOW = 76800
MASK = 0xFFFFFFFF


def pack_host(host):
    """Return an address in the byte order of the packets."""
    return bytes(int(part) for part in reversed(host.split('.')))


class BusyClient:
    """All flows of one client address."""

    def __init__(self, host, port, route, rate, ports):
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 22)
        self.sock.bind((host, port))
        self.sock.setblocking(False)
        self.host, self.port, self.rate = pack_host(host), port, rate
        self.name = host
        self.dst, self.dport = pack_host(route[0]), route[1]
        self.fronts = []
        self.flows = {}
        self.timers = []
        self.ports = ports
        self.next_port = random.randrange(*ports)
        self.next_at = time.monotonic()
        self.counts = [0, 0, 0, 0]
        self.long_wanted = 0
        #: Start and requests of each long flow, by port.
        self.long = {}
        self.numbers = 0

    def send(self, sport, flags, seq, ack, data=b''):
        """Send a packet to the front machine of the flow."""
        front = self.fronts[(sport * 2654435761 >> 7) % len(self.fronts)]
        self.sock.sendto(HEAD.pack(
            len(data), self.dport, self.host, sport, self.dst, ZERO4, seq, ack,
            flags, ZERO3, SUM,
        ) + data, (front, self.port))

    def begin(self, now):
        """Open one more flow."""
        self.next_port += 1
        if self.next_port > self.ports[1]:
            self.next_port = self.ports[0]
        sport = self.next_port
        if sport in self.flows:
            return
        self.counts[0] += 1
        # State, number of tries, next own number, next number of the other.
        self.flows[sport] = ['syn', 0, random.randrange(1, 1 << 30), 0, b'']
        self.transmit(sport, now)

    def transmit(self, sport, now):
        """Send the packet that is due on a flow, and wait for its answer."""
        flow = self.flows[sport]
        state, tries, seq, ack, data = flow
        if tries >= len(PAUSES[state]):
            del self.flows[sport]
            self.counts[3] += state != 'fin'
            self.report_long('silent', sport, now)
            return
        if state == 'idle':
            pass
        elif state == 'syn':
            self.send(sport, SYN, seq, tries)
        elif state == 'data':
            self.send(sport, ACK, seq, ack, data)
        else:
            self.send(sport, FIN | ACK, seq, ack)
        flow[1] += 1
        heapq.heappush(
            self.timers, (now + PAUSES[state][tries], sport, state, seq, tries)
        )

    def read(self):
        """Take what has arrived."""
        for _ in range(64):
            try:
                raw = self.sock.recv(2048)
            except BlockingIOError:
                return
            self.take(raw)

    def take(self, raw):
        """Take one packet."""
        length, dport, _, _, _, _, seq, _, flags, _, _ = HEAD.unpack_from(raw)
        flow = self.flows.get(dport)
        if flow is None:
            return
        now = time.monotonic()
        if flags & RST:
            distance = (seq - flow[3]) & MASK
            is_near = min(distance, MASK + 1 - distance) <= RESET_WINDOW
            if flow[0] == 'syn' or is_near:
                del self.flows[dport]
                self.counts[2] += 1
                self.report_long('reset', dport, now)
        elif flow[0] == 'syn' and flags & SYN:
            if self.long_wanted:
                self.long_wanted -= 1
                self.long[dport] = [now, 0]
            self.request(dport, flow, flow[2] + 1, seq + 1, now)
        elif flow[0] == 'data' and length and seq == flow[3]:
            self.counts[1] += 1
            state = 'idle' if dport in self.long else 'fin'
            flow[:] = [state, 0, flow[2] + len(flow[4]), seq + length, b'']
            self.transmit(dport, now)
        elif flow[0] == 'fin' and flags & FIN:
            self.send(dport, ACK, flow[2] + 1, seq + 1)
            del self.flows[dport]

    def request(self, sport, flow, seq, ack, now):
        """Send a request on an open flow."""
        self.numbers += 1
        data = (
            f'GET / HTTP/1.1\r\nX-Keelgap-Request-Id: '
            f'{self.name}-{self.numbers}\r\n\r\n'
        ).encode()
        if sport in self.long:
            self.long[sport][1] += 1
        flow[:] = ['data', 0, seq, ack, data]
        self.transmit(sport, now)

    def report_long(self, what, sport, now):
        """Tell what became of a flow if it is a long one."""
        if sport in self.long:
            began, requests = self.long.pop(sport)
            print(what, sport, round(now - began, 1), requests, flush=True)

    def tick(self, now):
        """Open flows that are due, and repeat what was not answered."""
        if now - self.next_at > 0.5:
            self.next_at = now
        while self.next_at <= now:
            self.next_at += 1 / self.rate
            if self.fronts:
                self.begin(now)
        while self.timers and self.timers[0][0] <= now:
            _, sport, state, seq, tries = heapq.heappop(self.timers)
            flow = self.flows.get(sport)
            if flow is None or flow[:3] != [state, tries + 1, seq]:
                continue
            if state == 'idle':
                self.request(sport, flow, flow[2], flow[3], now)
            else:
                self.transmit(sport, now)


def main():
    """Run until standard input ends."""
    host, port, route_host, route_port, rate, first, last = sys.argv[1:]
    route = (route_host, int(route_port))
    ports = (int(first), int(last))
    client = BusyClient(host, int(port), route, float(rate), ports)
    selector = selectors.DefaultSelector()

    def command():
        line = sys.stdin.readline()
        if not line:
            sys.exit(0)
        words = line.split()
        if words[0] == 'long':
            client.long_wanted = int(words[1])
        else:
            client.fronts = words

    selector.register(client.sock, selectors.EVENT_READ, client.read)
    selector.register(sys.stdin, selectors.EVENT_READ, command)
    report_at = time.monotonic() + 1
    while True:
        for key, _ in selector.select(0.004):
            key.data()
        now = time.monotonic()
        client.tick(now)
        if now >= report_at:
            report_at += 1
            print(*client.counts, flush=True)


main()
