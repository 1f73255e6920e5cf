"""Upstreams beside the agents: they hold flows, crash, drain and return."""

import asyncio
import time
from random import Random
from typing import Any, Final, NamedTuple

from keelgap.addresses import Address
from keelgap.catalog.models import PacketUpstream
from keelgap_platform.samples import (
    make_upstream_document,
    make_upstream_key,
)
from keelgap_platform.store_standin import PacketStore
from tests.packets.building import (
    ACK,
    BOUNCED,
    FIN,
    FORMAT,
    RST,
    SYN,
    FlowName,
    make_packet,
)
from tests.soak.settings import ProgramPlace
from tests.soak.truth import ROUTES, Truth, make_canonical

__all__ = ('ANSWER', 'Ports', 'Upstream')

ANSWER: Final = b'HTTP/1.1 200 OK\r\nId: %s\r\n\r\n'
#: Pause between an upstream's writes of its entry, and how many may fail
#: before the entry lapses.
_HEARTBEAT_SECONDS: Final = 0.6
_MISSED_HEARTBEATS: Final = 3
_LAPSE_SECONDS: Final = _HEARTBEAT_SECONDS * _MISSED_HEARTBEATS
_MILLISECONDS: Final = 1000
_WORK_SECONDS: Final = (0.005, 0.05)


class Ports(NamedTuple):
    """Ports of one agent towards its upstream."""

    app: int
    outbound: int


class Upstream(asyncio.DatagramProtocol):
    """What listens beside one agent; each start has another id."""

    def __init__(
        self,
        random: Random,
        truth: Truth,
        store: PacketStore,
        place: ProgramPlace,
        ports: Ports,
    ) -> None:
        """Start nothing yet."""
        self.random = random
        self.truth = truth
        self.store = store
        self.place = place
        self.ports = ports
        self.service = place.service
        self.starts = 0
        #: Of this start, in the books.
        self.upstream_id = ''
        #: Of the entry in the store; several starts may have the same.
        self.entry_id = ''
        #: Unix milliseconds of the start.
        self.started = 0
        self.alive = False
        #: Whether the store takes this upstream's writes.
        self.reaches_store = True
        self.missed = 0
        #: Share of the requests whose flow it resets instead of an answer.
        self.failing: float = 0
        self.half_open: set[bytes] = set()
        #: Answers by flow and number of its request's first octet.
        self.answers: dict[tuple[bytes, int], bytes] = {}
        self.transport: Any = None

    async def open(self) -> None:
        """Bind, and start the first time."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(self.place.host, self.ports.app),
        )
        self.start()

    def connection_made(self, transport: Any) -> None:
        """Keep the socket."""
        self.transport = transport

    def start(self, *, keeps_id: bool = False) -> None:
        """Start without flows; under a new id the former entry lapses."""
        self._lose_flows()
        former = self._key
        self.starts += 1
        self.started = round(time.time() * _MILLISECONDS)
        self.upstream_id = f'{self.place.name}-{self.starts}'
        if not keeps_id:
            self.entry_id = self.upstream_id
            loop = asyncio.get_running_loop()
            loop.call_later(_LAPSE_SECONDS, lambda: self.store.remove(former))
        self.alive = True
        self.missed = 0
        self._write_entry('ready')

    def crash(self) -> None:
        """Lose all flows; the entry lapses later."""
        self.alive = False
        self._lose_flows()

    def drain(self) -> None:
        """Say that this upstream leaves."""
        self._write_entry('draining')
        if self.reaches_store:
            self.truth.draining[self.upstream_id] = time.monotonic()

    def leave(self) -> None:
        """End for good; the entry goes."""
        self.alive = False
        self._lose_flows()
        self.store.remove(self._key)

    def beat(self) -> None:
        """Write the entry again, or let it lapse."""
        lapses = not self.alive or not self.reaches_store
        self.missed = self.missed + 1 if lapses else 0
        if self.missed == _MISSED_HEARTBEATS:
            self.store.remove(self._key)
        elif not lapses and self._key not in self.store.entries:
            self._write_entry('ready')

    async def run(self) -> None:
        """Write heartbeats until cancelled."""
        while True:
            await asyncio.sleep(_HEARTBEAT_SECONDS)
            self.beat()

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Take a packet of a caller, as its agent passed it on."""
        if not self.alive:
            return
        key = FORMAT.caller_key(data)
        opens = bool(data[26] & SYN)
        if not opens and key not in self.half_open and not self._holds(key):
            bounced = bytearray(data)
            bounced[26] |= BOUNCED
            self._send(bytes(bounced))
            return
        self.truth.check_at_upstream(
            data,
            self.upstream_id,
            self.service,
            opens=opens,
        )
        if opens:
            self.truth.check_zone(self.place.zone)
        if opens:
            self.half_open.add(key)
            self._reply(key, SYN | ACK)
        else:
            self._take_open(key, data)

    def _take_open(self, key: bytes, data: bytes) -> None:
        self.half_open.discard(key)
        self.truth.open_flows[key] = self.upstream_id
        if data[26] & FIN:
            self.truth.open_flows.pop(key)
            self._reply(key, ACK)
            return
        request = (key, FORMAT.sequence(data))
        answer = self.answers.get(request)
        if answer is not None:
            self._send(answer)
        elif FORMAT.data_length(data):
            self.answers[request] = b''
            delay = self.random.uniform(*_WORK_SECONDS)
            started = self.upstream_id
            asyncio.get_running_loop().call_later(
                delay,
                lambda: self._answer(request, data, started),
            )

    def _answer(
        self,
        request: tuple[bytes, int],
        data: bytes,
        started: str,
    ) -> None:
        if self.upstream_id != started or not self.alive:
            return
        if self.random.random() < self.failing:
            self.truth.open_flows.pop(request[0], None)
            self._reply(request[0], RST)
            return
        request_id = data[FORMAT.header_length :].split(b'\r\n')[1]
        self.answers[request] = self._reply(
            request[0],
            ACK,
            ANSWER % request_id,
        )

    def _holds(self, key: bytes) -> bool:
        return self.truth.open_flows.get(key) == self.upstream_id

    def _lose_flows(self) -> None:
        self.half_open.clear()
        self.answers.clear()
        lost = list(filter(self._holds, self.truth.open_flows))
        for key in lost:
            self.truth.open_flows.pop(key)

    def _reply(self, key: bytes, flags: int, data: bytes = b'') -> bytes:
        packet = make_packet(name_flow(key), flags, data=data, back=True)
        self.truth.from_upstreams.add(make_canonical(packet))
        self._send(packet)
        return packet

    def _send(self, packet: bytes) -> None:
        if packet and not self.transport.is_closing():
            address = (self.place.host, self.ports.outbound)
            self.transport.sendto(packet, address)

    @property
    def _key(self) -> str:
        return make_upstream_key(self.entry_id)

    def _write_entry(self, state: str) -> None:
        if not self.reaches_store:
            return
        report = PacketUpstream(
            self.entry_id,
            self.service,
            Address(self.place.host, self.ports.app),
            self.place.zone,
            4,
            'draining' if state == 'draining' else 'active',
            0,
            started=self.started,
        )
        self.store.put(self._key, make_upstream_document(report))


def name_flow(key: bytes) -> FlowName:
    """Return the flow that a key stands for."""
    caller = '.'.join(str(octet) for octet in reversed(key[:4]))
    port = int.from_bytes(key[4:6], 'little')
    host = '.'.join(str(octet) for octet in reversed(key[6:10]))
    route = next(route for route in ROUTES if route.host == host)
    return FlowName(caller, port, route)
