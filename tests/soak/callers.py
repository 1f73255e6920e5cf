"""Callers, and the routers before the balancers."""

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress
from random import Random
from typing import Any, Final
from zlib import crc32

from keelgap.catalog.models import PacketRoute
from tests.packets.building import (
    ACK,
    FIN,
    FORMAT,
    RST,
    SYN,
    FlowName,
    make_packet,
)
from tests.soak.settings import ProgramPlace
from tests.soak.truth import ROUTES, Attempt, Truth, make_canonical

__all__ = ('CallerHost', 'Routers')

#: When an opening packet is sent again, and when it is given up.
_OPENING_SECONDS: Final = (0.2, 0.4, 0.8)
#: When data is sent again, and when its caller gives up.
_DATA_SECONDS: Final = (0.2, 0.4, 0.8, 1.6)
_REQUESTS: Final = (1, 2, 6, 12)
_PAUSE_SECONDS: Final = (0.05, 1.2)
_PROBE_SECONDS: Final = 0.5
_MISSES: Final = 2
_SUM: Final = slice(30, 34)


class Routers:
    """Which balancers are in rotation, by their readiness pages."""

    def __init__(self, balancers: list[ProgramPlace], ready: int) -> None:
        """Start with all of them out of rotation."""
        self.balancers = balancers
        self.ready = ready
        #: Another value moves nearly all flows to other balancers.
        self.salt = 0
        self.misses = dict.fromkeys((one.host for one in balancers), _MISSES)

    async def run(self) -> None:
        """Ask twice a second until cancelled."""
        while True:
            answers = await asyncio.gather(
                *(self._ask(one.host) for one in self.balancers),
            )
            for one, ready in zip(self.balancers, answers, strict=True):
                self.misses[one.host] = (
                    0 if ready else self.misses[one.host] + 1
                )
            await asyncio.sleep(_PROBE_SECONDS)

    def choose(self, key: bytes) -> str:
        """Return the balancer that a packet of a flow goes to."""
        hosts = [
            host for host, misses in self.misses.items() if misses < _MISSES
        ]
        hosts = hosts or list(self.misses)
        return hosts[crc32(key, self.salt) % len(hosts)]

    async def _ask(self, host: str) -> bool:
        try:
            async with asyncio.timeout(_PROBE_SECONDS):
                reader, writer = await asyncio.open_connection(
                    host,
                    self.ready,
                )
                writer.write(b'GET /-/ready HTTP/1.1\r\n\r\n')
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in line


class _Flow:
    """One flow of a caller, with the packets that came for it."""

    def __init__(self, name: FlowName) -> None:
        self.name = name
        self.arrived: asyncio.Queue[bytes] = asyncio.Queue()
        #: Ids of all requests on it; late copies of answers may still come.
        self.requests: list[bytes] = []


class CallerHost(asyncio.DatagramProtocol):
    """All callers of one address."""

    def __init__(
        self,
        random: Random,
        truth: Truth,
        routers: Routers,
        host: str,
        port: int,
    ) -> None:
        """Send nothing yet."""
        self.random = random
        self.truth = truth
        self.routers = routers
        self.host = host
        self.port = port
        self.flows: dict[bytes, _Flow] = {}
        self.next_port = 1000
        self.next_id = 0
        #: Routes that callers use now.
        self.routes = list(ROUTES[:2])
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        """Keep the socket."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Hand a packet to its flow."""
        flow = self.flows.get(FORMAT.upstream_key(data))
        if not _is_reset(data):
            self.truth.check_at_caller(data)
        if flow is not None:
            flow.arrived.put_nowait(data)

    async def run(self) -> None:
        """Open one flow after the other until cancelled."""
        while True:
            await self._use_flow(self.random.choice(self.routes))
            await asyncio.sleep(self.random.uniform(*_PAUSE_SECONDS))

    async def _use_flow(self, route: PacketRoute) -> None:
        self.next_port += 1
        flow = _Flow(FlowName(self.host, self.next_port, route))
        self.flows[flow.name.key] = flow
        began = time.monotonic()
        if await self._open(flow):
            await self._make_requests(flow, began)
            await self._send(flow, FIN | ACK, 9999, b'', (0.05,))
        else:
            self._record(began, route.name, served=False)
        self.flows.pop(flow.name.key)

    async def _open(self, flow: _Flow) -> bool:
        for copies, pause in enumerate(_OPENING_SECONDS):
            self._write(flow, make_packet(flow.name, SYN, ack=copies))
            answer = await self._await(flow, pause, lambda packet: True)
            if answer is not None and answer[26] & RST:
                self.truth.check_refusal(flow.name.route.name)
                return False
            if answer is not None:
                return True
        return False

    async def _make_requests(self, flow: _Flow, began: float) -> None:
        for number in range(self.random.choice(_REQUESTS)):
            if number:
                await asyncio.sleep(self.random.uniform(*_PAUSE_SECONDS))
                began = time.monotonic()
            answer = await self._request(flow, 10 + number * 100)
            is_reset = answer is not None and bool(answer[26] & RST)
            served = answer is not None and not is_reset
            self._record(began, flow.name.route.name, served=served)
            if is_reset:
                route = flow.name.route.name
                self.truth.check_reset(flow.name.key, route)
            if not served:
                return

    async def _request(self, flow: _Flow, sequence: int) -> bytes | None:
        self.next_id += 1
        request_id = f'{self.host}-{self.next_id}.'.encode()
        flow.requests.append(request_id)
        data = b'GET / HTTP/1.1\r\n%s\r\n\r\n' % request_id
        return await self._send(flow, ACK, sequence, data, _DATA_SECONDS)

    async def _send(
        self,
        flow: _Flow,
        flags: int,
        sequence: int,
        data: bytes,
        pauses: tuple[float, ...],
    ) -> bytes | None:
        """Send a packet again and again; return the answer, or a reset."""
        packet = make_packet(flow.name, flags, seq=sequence, data=data)

        def is_wanted(answer: bytes) -> bool:
            is_reset = bool(answer[26] & RST)
            return is_reset or self._is_awaited(flow, answer)

        for pause in pauses:
            self._write(flow, packet)
            answer = await self._await(flow, pause, is_wanted)
            if answer is not None:
                return answer
        return None

    async def _await(
        self,
        flow: _Flow,
        pause: float,
        is_wanted: Callable[[bytes], bool],
    ) -> bytes | None:
        """Return the first packet that is wanted, or None after a pause."""
        with suppress(TimeoutError):
            async with asyncio.timeout(pause):
                answer = await flow.arrived.get()
                while not is_wanted(answer):
                    answer = await flow.arrived.get()
                return answer
        return None

    def _is_awaited(self, flow: _Flow, answer: bytes) -> bool:
        """Return whether a packet answers the latest request of its flow."""
        if not FORMAT.data_length(answer):
            return False
        if not any(request_id in answer for request_id in flow.requests):
            self.truth.report('answer to a request of another flow')
        return flow.requests[-1] in answer

    def _write(self, flow: _Flow, packet: bytes) -> None:
        self.truth.from_callers.add(make_canonical(packet))
        balancer = self.routers.choose(flow.name.key)
        self.transport.sendto(packet, (balancer, self.port))

    def _record(self, began: float, route: str, *, served: bool) -> None:
        self.truth.attempts.append(Attempt(began, served, route))


def _is_reset(packet: bytes) -> bool:
    is_empty = not FORMAT.data_length(packet) and not any(packet[_SUM])
    return bool(packet[26] & RST) and is_empty
