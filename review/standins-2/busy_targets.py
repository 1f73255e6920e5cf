"""Targets with much traffic, several in one process.

Arguments: the port of the targets, the port of their agents, then the hosts.
They answer a request of one packet at once.  A line ``holds SRC SPORT`` on
standard input is answered on standard output with the host that holds an open
flow from there, or with ``nobody``.
"""

import random
import selectors
import socket
import struct
import sys

HEAD = struct.Struct('<HH4sH4s4sIIB3s4s')
SYN, ACK, FIN, RST, BOUNCED = 2, 128, 4, 64, 1
ZERO4, ZERO3, SUM = bytes(4), bytes(3), b'sum!'
KEPT_ENDED = 20000


class BusyTarget:
    """One target."""

    def __init__(self, host, port, outbound):
        self.host = host
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 22)
        self.sock.bind((host, port))
        self.sock.setblocking(False)
        self.outbound = (host, outbound)
        #: By key: own first number, next number expected, next number sent,
        #: the last answer with the number of its request.
        self.flows = {}
        self.half = {}
        self.ended = {}

    def read(self):
        """Take what has arrived."""
        for _ in range(64):
            try:
                raw = self.sock.recv(2048)
            except BlockingIOError:
                return
            self.take(raw)

    def send(self, back, flags, seq, ack, data=b''):
        """Send a packet through the agent."""
        src, sport, dst, dport = back
        self.sock.sendto(HEAD.pack(
            len(data), dport, src, sport, dst, ZERO4, seq, ack, flags, ZERO3,
            SUM,
        ) + data, self.outbound)

    def take(self, raw):
        """Take one packet."""
        length, dport, src, sport, dst, _, seq, ack, flags, _, _ = (
            HEAD.unpack_from(raw)
        )
        key = (src, sport, dst, dport)
        back = (dst, dport, src, sport)
        if flags & SYN:
            if key in self.flows:
                return
            if key not in self.half:
                self.half[key] = [random.randrange(1, 1 << 30), seq + 1]
            own, peer = self.half[key]
            self.send(back, SYN | ACK, own, peer)
            return
        begun = self.half.get(key)
        if begun is not None and ack == begun[0] + 1:
            del self.half[key]
            self.flows[key] = [begun[0], begun[1], begun[0] + 1, None, b'']
        flow = self.flows.get(key)
        if flow is None:
            self.refuse(key, back, raw, flags, seq, ack, length)
        elif flags & RST:
            self.end(key)
        else:
            self.take_open(key, back, flow, flags, seq, raw[HEAD.size:])

    def take_open(self, key, back, flow, flags, seq, data):
        """Take a packet of an open flow."""
        if data and seq == flow[1]:
            flow[1] += len(data)
            body = data.split(b'\r\n')[1]
            answer = (
                b'HTTP/1.1 200 OK\r\nX-Keelgap-Response-Sig: s\r\n'
                b'Content-Length: %d\r\n\r\n' % len(body) + body
            )
            flow[3], flow[4] = (seq, flow[2]), answer
            flow[2] += len(answer)
            self.send(back, ACK, flow[3][1], flow[1], answer)
        elif data and flow[3] and seq == flow[3][0]:
            self.send(back, ACK, flow[3][1], flow[1], flow[4])
        if flags & FIN and seq + len(data) == flow[1]:
            self.send(back, FIN | ACK, flow[2], flow[1] + 1)
            self.end(key)

    def refuse(self, key, back, raw, flags, seq, ack, length):
        """Answer a packet of a flow that is not open here."""
        if key in self.ended:
            if flags & FIN:
                self.send(back, ACK, ack, seq + 1)
            elif length:
                self.send(back, RST, ack, seq)
            return
        bounced = bytearray(raw)
        bounced[26] |= BOUNCED
        bounced[27:30] = ZERO3
        self.sock.sendto(bounced, self.outbound)

    def end(self, key):
        """Forget a flow, but remember that it was here."""
        del self.flows[key]
        self.ended[key] = None
        if len(self.ended) > KEPT_ENDED:
            del self.ended[next(iter(self.ended))]


def main():
    """Serve until standard input ends."""
    port, outbound = int(sys.argv[1]), int(sys.argv[2])
    selector = selectors.DefaultSelector()
    targets = [BusyTarget(host, port, outbound) for host in sys.argv[3:]]
    for target in targets:
        selector.register(target.sock, selectors.EVENT_READ, target.read)
        listener = socket.create_server((target.host, port))

        def accept(listener=listener):
            listener.accept()[0].close()

        selector.register(listener, selectors.EVENT_READ, accept)

    def command():
        line = sys.stdin.readline().split()
        if not line:
            sys.exit(0)
        host = bytes(int(part) for part in reversed(line[1].split('.')))
        holders = [
            target.host for target in targets for key in target.flows
            if key[:2] == (host, int(line[2]))
        ]
        print(holders[0] if holders else 'nobody', flush=True)

    selector.register(sys.stdin, selectors.EVENT_READ, command)
    print('ready', flush=True)
    while True:
        for key, _ in selector.select():
            key.data()


main()
