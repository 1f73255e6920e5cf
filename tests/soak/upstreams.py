"""Upstreams beside the agents: they hold flows, crash, drain and return."""

import asyncio
import socket
import time
from random import Random
from typing import Any, Final, Literal, NamedTuple

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
from tests.soak.settings import Fleet, ProgramPlace
from tests.soak.truth import ROUTES, Truth, make_canonical

__all__ = ('ANSWER', 'Ports', 'Upstream')

ANSWER: Final = b'HTTP/1.1 200 OK\r\nId: %s\r\n\r\n'
#: Pause between an upstream's writes of its entry, and how many may fail
#: before the entry lapses.
_HEARTBEAT_SECONDS: Final = 0.6
_MISSED_HEARTBEATS: Final = 3
_LAPSE_SECONDS: Final = _HEARTBEAT_SECONDS * _MISSED_HEARTBEATS
_MILLISECONDS: Final = 1000


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
        fleet: Fleet,
    ) -> None:
        """Start nothing yet."""
        self.random = random
        self.truth = truth
        self.store = store
        self.place = place
        self.ports = ports
        self.service = place.service
        self.fleet = fleet
        self.starts = 0
        #: Of this start, in the books.
        self.upstream_id = ''
        #: Of the entry in the store; several starts may have the same.
        self.entry_id = ''
        #: Unix milliseconds of the start.
        self.started = 0
        self.alive = False
        #: What its entry says of it.
        self.state: Literal['active', 'draining'] = 'active'
        #: Until when it says that it is slow after its start.
        self.warm_at: float = 0
        #: Reports of this start so far.
        self.reports = 0
        #: When the last one was made.
        self.reported_at: float = 0
        #: Takes health probes while the upstream runs.
        self.listener: socket.socket | None = None
        #: Whether the store takes this upstream's writes.
        self.reaches_store = True
        self.missed = 0
        #: Whether it takes no new flows.
        self.is_full = False
        #: Share of the requests whose flow it resets instead of an answer.
        self.failing: float = 0
        self.half_open: set[bytes] = set()
        #: Answers by flow and number of its request's first octet.
        self.answers: dict[tuple[bytes, int], bytes] = {}
        self.transport: Any = None

    async def open(self) -> None:
        """Bind; packets are dropped until it starts."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(self.place.host, self.ports.app),
        )

    def close(self) -> None:
        """Close all sockets."""
        self.transport.close()
        self._stop_listening()

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
        self.warm_at = time.monotonic() + self.fleet.warm_up_seconds
        self.reports = 0
        self.state = 'active'
        self._listen()
        self._write_entry()

    def crash(self) -> None:
        """Lose all flows; the entry lapses later."""
        self.alive = False
        self._stop_listening()
        self._lose_flows()

    def drain(self) -> None:
        """Say that this upstream leaves."""
        self.state = 'draining'
        self._write_entry()
        if self.reaches_store:
            self.truth.draining[self.upstream_id] = time.monotonic()

    def leave(self) -> None:
        """End for good; the entry goes."""
        self.alive = False
        self._stop_listening()
        self._lose_flows()
        self.store.remove(self._key)

    def beat(self) -> None:
        """Write the entry again, or let it lapse."""
        lapses = not self.alive or not self.reaches_store
        self.missed = self.missed + 1 if lapses else 0
        if self.missed == _MISSED_HEARTBEATS:
            self.store.remove(self._key)
        elif not lapses and self._has_news():
            self._write_entry()

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
        is_held = key in self.half_open or self._holds(key)
        if not is_held and (self.is_full or not opens):
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

    def _has_news(self) -> bool:
        """Return whether to write the entry: only changes are written."""
        was_cold = self.reported_at < self.warm_at
        return was_cold or self._key not in self.store.entries

    def _listen(self) -> None:
        """Take health probes, on the port that takes packets."""
        self._stop_listening()
        address = (self.place.host, self.ports.app)
        listener = socket.create_server(address)
        loop = asyncio.get_running_loop()
        loop.add_reader(listener, lambda: listener.accept()[0].close())
        self.listener = listener

    def _stop_listening(self) -> None:
        if self.listener is not None:
            asyncio.get_running_loop().remove_reader(self.listener)
            self.listener.close()
            self.listener = None

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
            delay = self.random.uniform(*self.fleet.work_seconds)
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

    def _write_entry(self) -> None:
        if not self.reaches_store:
            return
        self.reported_at = time.monotonic()
        self.reports += 1
        report = PacketUpstream(
            self.entry_id,
            self.service,
            Address(self.place.host, self.ports.app),
            self.place.zone,
            self.fleet.slots,
            self.state,
            max(self.warm_at - self.reported_at, 0),
            started=self.started,
            reports=self.reports,
        )
        self.store.put(self._key, make_upstream_document(report))


def name_flow(key: bytes) -> FlowName:
    """Return the flow that a key stands for."""
    caller = '.'.join(str(octet) for octet in reversed(key[:4]))
    port = int.from_bytes(key[4:6], 'little')
    host = '.'.join(str(octet) for octet in reversed(key[6:10]))
    route = next(route for route in ROUTES if route.host == host)
    return FlowName(caller, port, route)
