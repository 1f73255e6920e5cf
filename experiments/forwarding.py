"""Cost of forwarding a datagram, against a bare UDP relay in the same run.

Both read the same datagrams from a full socket buffer on loopback and send
each on; what is timed is the reader alone, so that one core does one thing.
Prints one JSON object.
"""

import asyncio
import itertools
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from random import Random
from statistics import median
from typing import Any, Final, NamedTuple

import fire
import msgspec
import uvloop

from experiments.tables import make_table
from keelgap.addresses import Address
from keelgap.metrics import SharedMetrics
from keelgap.routing.connection_ids import ConnectionIdCodec, FlowOwner
from keelgap.sockets import bind_datagram, make_datagram_reader
from keelgap.wire.encapsulation import Envelope, EnvelopeCodec, MessageKind
from keelgap_balancer.driver import BalancerDriver
from keelgap_balancer.events import TableChanged
from keelgap_balancer.forwarding import choose_candidates
from keelgap_balancer.reducer import reduce
from keelgap_balancer.state import BalancerState

_ROUNDS: Final = 30
_BATCH: Final = 64
_DATAGRAM: Final = 1200
_SECONDS_TO_MICRO: Final = 1000000
_PINGS: Final = 3000
_MANY_FLOWS: Final = 100000


class _Rates(NamedTuple):
    """Datagrams a second, and microseconds for one, median of rounds."""

    per_second: float
    microseconds: float


def _time_reader(
    reader: Callable[[], None],
    fill: Callable[[], None],
) -> _Rates:
    times = []
    for _ in range(_ROUNDS):
        fill()
        started = time.perf_counter()
        reader()
        times.append((time.perf_counter() - started) / _BATCH)
    cost = median(times)
    return _Rates(round(1 / cost), round(cost * _SECONDS_TO_MICRO, 2))


def _make_filler(
    target: Address,
    datagrams: list[bytes],
    stack: ExitStack,
) -> Callable[[], None]:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    stack.callback(sock.close)
    position = iter(_cycle(datagrams))

    def fill() -> None:
        for _ in range(_BATCH):
            sock.sendto(next(position), target)

    return fill


def _cycle(datagrams: list[bytes]) -> Iterator[bytes]:
    yield from itertools.cycle(datagrams)


def _measure_relay(datagrams: list[bytes], stack: ExitStack) -> _Rates:
    """Measure the baseline: receive and send on, nothing else."""
    sock = bind_datagram('relay', Address('127.0.0.1', 0))
    out = bind_datagram('relay', Address('127.0.0.1', 0))
    sink = bind_datagram('sink', Address('127.0.0.1', 0))
    for one in (sock, out, sink):
        stack.callback(one.close)
    target = sink.getsockname()

    def relay(datagram: bytes, sender: tuple[str, int]) -> None:
        out.sendto(datagram, target)

    fill = _make_filler(sock.getsockname(), datagrams, stack)
    return _time_reader(make_datagram_reader(sock, relay), fill)


class _Bench:
    """A balancer whose only agent is a socket that nobody reads."""

    def __init__(self, stack: ExitStack) -> None:
        sink = bind_datagram('sink', Address('127.0.0.1', 0))
        stack.callback(sink.close)
        self.sink = sink
        self.agent = Address(*sink.getsockname())
        self.codec = ConnectionIdCodec({1: bytes(16)}, 1)
        self.stack = stack
        port = _find_free_port()
        table = make_table(1, 4, port, self.agent)
        data = Address('127.0.0.1', _find_free_port())
        state = BalancerState(data, self.codec)
        keys = {1: bytes(32)}
        self.driver = BalancerDriver(
            state,
            EnvelopeCodec(keys, 1, 1, data),
            SharedMetrics(),
        )
        self.driver.start(stack)
        now = asyncio.get_running_loop().time()
        self.driver.dispatch(TableChanged(now, table))
        self.listener = self.driver.listeners[1].sock

    def make_packets(self, flows: int) -> list[bytes]:
        """Return a short-header packet for each of some flows."""
        payload = bytes(_DATAGRAM - 18)
        owner = FlowOwner(self.agent, 1)
        return [
            b''.join((b'\x40', self.codec.issue(owner), payload))
            for _ in range(flows)
        ]

    def measure_forward(self, flows: int) -> _Rates:
        """Measure callers' packets on their way to the agent."""
        reader = make_datagram_reader(
            self.listener,
            self.driver._make_caller_reader(1),  # noqa: WPS437
        )
        target = Address(*self.listener.getsockname())
        packets = self.make_packets(flows)
        fill = _make_filler(target, packets, self.stack)
        return _time_reader(reader, fill)

    def measure_return(self) -> _Rates:
        """Measure agents' envelopes on their way to callers."""
        sock = self.driver.data_socket
        assert sock is not None
        sender = bind_datagram('agent', Address('127.0.0.1', 0))
        self.stack.callback(sender.close)
        own = sender.getsockname()
        codec = EnvelopeCodec({1: bytes(32)}, 1, 1, own)
        target = sock.getsockname()
        envelope = Envelope(
            MessageKind.RETURN,
            1,
            1,
            self.agent,
            payload=bytes(_DATAGRAM),
        )

        def fill() -> None:
            for _ in range(_BATCH):
                datagram = codec.seal(envelope, target)
                sender.sendto(datagram, target)

        reader = make_datagram_reader(
            sock,
            self.driver._read_envelope,  # noqa: WPS437
        )
        return _time_reader(reader, fill)


def _find_free_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(('127.0.0.1', 0))
        port: int = probe.getsockname()[1]
        return port


def measure_decisions(random: Random) -> dict[str, float]:
    """Return microseconds to rank candidates, by count of upstreams."""
    costs = {}
    for upstreams in (4, 100, 1000):
        codec = ConnectionIdCodec({1: bytes(16)}, 1)
        state = BalancerState(Address('127.0.0.1', 1), codec)
        reduce(state, TableChanged(0, make_table(1, upstreams, 4430, None)))
        keys = [random.randbytes(8) for _ in range(200)]
        started = time.perf_counter()
        for key in keys:
            choose_candidates(state, 1, key)
        spent = time.perf_counter() - started
        costs[str(upstreams)] = round(spent / len(keys) * _SECONDS_TO_MICRO, 1)
    return costs


class _Relay(asyncio.DatagramProtocol):
    """The plain relay that a newcomer would write with asyncio alone."""

    def __init__(self, target: Address) -> None:
        self.target = target
        self.count = 0
        self.done: asyncio.Future[None] | None = None
        self.transport: asyncio.DatagramTransport

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: object) -> None:
        self.transport.sendto(data, self.target)
        self.count += 1
        if self.count % _BATCH == 0 and self.done is not None:
            self.done.set_result(None)


async def _measure_plain_relay(
    datagrams: list[bytes],
    stack: ExitStack,
) -> _Rates:
    """Measure asyncio's datagram endpoint with the loop around it."""
    loop = asyncio.get_running_loop()
    sink = bind_datagram('sink', Address('127.0.0.1', 0))
    stack.callback(sink.close)
    transport, relay = await loop.create_datagram_endpoint(
        lambda: _Relay(Address(*sink.getsockname())),
        local_addr=('127.0.0.1', 0),
    )
    stack.callback(transport.close)
    target = transport.get_extra_info('sockname')
    fill = _make_filler(target, datagrams, stack)
    times = []
    for _ in range(_ROUNDS):
        relay.done = loop.create_future()
        fill()
        started = time.perf_counter()
        await relay.done
        times.append((time.perf_counter() - started) / _BATCH)
    cost = median(times)
    return _Rates(round(1 / cost), round(cost * _SECONDS_TO_MICRO, 2))


async def _measure_latency(
    target: Address,
    sink: socket.socket,
    datagram: bytes,
) -> dict[str, float]:
    """Return the time from sending a datagram until the sink has it."""
    loop = asyncio.get_running_loop()
    times = []
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for _ in range(_PINGS):
            started = time.perf_counter()
            sock.sendto(datagram, target)
            await loop.sock_recv(sink, _DATAGRAM * 2)
            times.append(time.perf_counter() - started)
    times.sort()
    return {
        'p50_us': round(times[_PINGS // 2] * _SECONDS_TO_MICRO, 1),
        'p99_us': round(times[_PINGS * 99 // 100] * _SECONDS_TO_MICRO, 1),
    }


async def measure_latencies(seed: int) -> dict[str, dict[str, float]]:
    """Return latencies to a sink: direct, by a relay, by a balancer."""
    loop = asyncio.get_running_loop()
    with ExitStack() as stack:
        bench = _Bench(stack)
        packet = bench.make_packets(1)[0]
        port = bench.listener.getsockname()
        balancer = await _measure_latency(port, bench.sink, packet)
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _Relay(bench.agent),
            local_addr=('127.0.0.1', 0),
        )
        stack.callback(transport.close)
        relay_port = transport.get_extra_info('sockname')
        relay = await _measure_latency(relay_port, bench.sink, packet)
        direct = await _measure_latency(bench.agent, bench.sink, packet)
    return {'direct': direct, 'plain_relay': relay, 'balancer': balancer}


async def measure(seed: int) -> dict[str, object]:
    """Return all figures of one run."""
    with ExitStack() as stack:
        bench = _Bench(stack)
        one = bench.measure_forward(1)
        many = bench.measure_forward(_MANY_FLOWS)
        back = bench.measure_return()
        relay = _measure_relay(bench.make_packets(1), stack)
        plain = await _measure_plain_relay(bench.make_packets(1), stack)
    return {
        'experiment': 'forwarding',
        'seed': seed,
        'relay': relay._asdict(),
        'plain_relay': plain._asdict(),
        'forward_1_flow': one._asdict(),
        'forward_100000_flows': many._asdict(),
        'return': back._asdict(),
        'forward_to_relay': round(one.per_second / relay.per_second, 3),
        'forward_to_plain_relay': round(one.per_second / plain.per_second, 3),
        'return_to_relay': round(back.per_second / relay.per_second, 3),
        'many_to_one_flow': round(many.per_second / one.per_second, 3),
        'latency': await measure_latencies(seed),
        'decision_microseconds': measure_decisions(Random(seed)),
    }


def main(seed: int = 1) -> None:
    """Run the experiment."""
    print(msgspec.json.encode(uvloop.run(measure(seed))).decode())


if __name__ == '__main__':
    fire.Fire(main)
