"""Slopes of the packet programs, for docs/CAPACITY.md.

One process holds up to 17,000 upstreams; nothing is sent.  Prints one JSON
object.

    python -m experiments.packet_slopes --seed 1
"""

import argparse
import json
import struct
import time
import tracemalloc
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any

from keelgap.addresses import Address
from keelgap.catalog.models import (
    Catalog,
    PacketRoute,
    PacketUpstream,
    RouteSet,
    TrafficShare,
)
from keelgap.packets.envelopes import LoadReport
from keelgap.packets.features import Features
from keelgap.packets.formats import PacketFormat
from keelgap_agent.packets.flows import Flow
from keelgap_agent.packets.state import AgentState
from keelgap_balancer.packets import reducer
from keelgap_balancer.packets.effects import SendReset, SendToAgent
from keelgap_balancer.packets.events import (
    CallerPacket,
    CatalogChanged,
    EnvelopeArrived,
    TimerFired,
)
from keelgap_balancer.packets.placement import choose_agent
from keelgap_balancer.packets.state import PacketState, make_owner_cache
from keelgap_platform.layout import make_packet_format

SIZES = (1000, 4000, 17000)
#: Upstreams a service on average at the size to design for: 17,000 / 7,800.
PER_SERVICE = 2.2
#: Upstreams of one service.
SERVICES = (15, 46, 1000)
SYN = 2
ACK = 128


def make_catalog(random: Random, size: int) -> Catalog:
    """Return upstreams of services with a few upstreams each."""
    services = max(int(size / PER_SERVICE), 1)
    rows = [make_upstream(random, number, services) for number in range(size)]
    upstreams = {row.upstream_id: row for row in rows}
    routes = tuple(make_route(number) for number in range(services))
    return Catalog(1, RouteSet(1, routes, 15), upstreams)


def make_upstream(
    random: Random,
    number: int,
    services: int,
) -> PacketUpstream:
    """Return one upstream on a host of its own."""
    return PacketUpstream(
        f'i-{random.randrange(2**32):08x}-{number}',
        f's{number % services}',
        Address(f'10.{number >> 16}.{number >> 8 & 255}.{number & 255}', 8080),
        f'zone-{number % 21}',
        4,
        'active',
        0,
    )


def make_route(number: int) -> PacketRoute:
    """Return the route of one service."""
    host = f'198.18.{number >> 8}.{number & 255}'
    return PacketRoute(
        f'r{number}', host, 443, (TrafficShare(f's{number}', 1),)
    )


def make_packet(number: int, route: PacketRoute, flags: int) -> bytes:
    """Return a packet of a caller to a route."""
    caller = 0x64400000 + number
    port = 1024 + number % 60000
    host = bytes(reversed([int(part) for part in route.host.split('.')]))
    head = struct.pack('<HHIH4s', 0, route.port, caller, port, host)
    return head + bytes(12) + bytes((flags,)) + bytes(7)


def measure(call: Callable[[int], object], count: int) -> float:
    """Return microseconds of processor time a call."""
    started = time.process_time()
    for number in range(count):
        call(number)
    taken = time.process_time() - started
    return round(taken / count * 1e6, 2)


def measure_size(random: Random, size: int) -> dict[str, Any]:
    """Return what one balancer needs with so many upstreams."""
    packet_format = make_packet_format()
    tracemalloc.start()
    catalog = make_catalog(random, size)
    state = PacketState(packet_format, 'zone-0', 0)
    reducer.reduce(state, CatalogChanged(0, catalog))
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    routes = catalog.routes.routes

    def change(number: int) -> None:
        reducer.reduce(state, CatalogChanged(0, catalog))

    def tick(number: int) -> None:
        reducer.reduce(state, TimerFired(number / 10))

    def open_flow(number: int) -> None:
        packet = make_packet(number, routes[number % len(routes)], SYN)
        reducer.reduce(state, CallerPacket(0, packet))

    def forward(number: int) -> None:
        packet = make_packet(number, routes[number % len(routes)], ACK)
        reducer.reduce(state, CallerPacket(0, packet))

    return {
        'upstreams': size,
        'octets_an_upstream': round(held / size),
        'catalog_change_ms': measure(change, 3) / 1000,
        'timer_ms': measure(tick, 30) / 1000,
        'new_flow_us': measure(open_flow, 5000),
        'forward_us': measure(forward, 5000),
        'hops_to_an_owner': count_hops(state, packet_format, routes, 500),
    }


def count_hops(
    state: PacketState,
    packet_format: PacketFormat,
    routes: tuple[PacketRoute, ...],
    flows: int,
) -> float:
    """Return agents asked until the owner of a moved flow is found."""
    asked = 0
    owners = state.owners
    for number in range(flows):
        packet = make_packet(number, routes[number % len(routes)], ACK)
        key = packet_format.caller_key(packet)
        owner = owners.get(key)
        state.owners = make_owner_cache(0)
        event: Any = CallerPacket(0, packet)
        while owner is not None:
            _, effects = reducer.reduce(state, event)
            sent = [one for one in effects if isinstance(one, SendToAgent)]
            if any(isinstance(one, SendReset) for one in effects) or not sent:
                break
            asked += 1
            if sent[0].host == owner.host:
                break
            miss = sent[0].envelope._replace(kind=4)
            event = EnvelopeArrived(0, sent[0].host, miss)
        state.searches.clear()
    return round(asked / flows, 2)


def measure_placement(random: Random, size: int) -> dict[str, Any]:
    """Return what a decision costs among upstreams of one service."""
    catalog = make_catalog(random, size)
    route = make_route(0)
    upstreams = {
        name: upstream._replace(service=route.shares[0].service)
        for name, upstream in catalog.upstreams.items()
    }
    catalog = catalog._replace(upstreams=upstreams)
    report = LoadReport(9, 9, 40, closed=False, work_ms=40)
    taken = {}
    for way, is_on in (('by_load', False), ('by_answer', True)):
        state = PacketState(
            make_packet_format(),
            'zone-0',
            0,
            Features(placement=is_on),
        )
        reducer.reduce(state, CatalogChanged(0, catalog))
        for view in state.agents_by_host.values():
            view.report = report
        choose = partial(choose_numbered, state, route)
        taken[f'{way}_us'] = measure(choose, 2000)
    return {'upstreams': size, **taken}


def choose_numbered(
    state: PacketState, route: PacketRoute, number: int
) -> None:
    """Choose the agent for one flow."""
    choose_agent(state, route, number.to_bytes(12, 'little'), 0, ())


def measure_flows(count: int) -> dict[str, Any]:
    """Return what a flow costs in memory, in both programs."""
    packet_format = make_packet_format()
    tracemalloc.start()
    agent = AgentState(packet_format, 's', 0)
    for number in range(count):
        agent.flows[number.to_bytes(12, 'little')] = Flow(float(number))
    in_agent, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    tracemalloc.start()
    owners = make_owner_cache(0)
    nobody: Any = None
    for number in range(count):
        owners.young[number.to_bytes(12, 'little')] = nobody
    in_balancer, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        'flows': count,
        'octets_in_agent': round(in_agent / count),
        'octets_in_balancer': round(in_balancer / count),
    }


def main() -> None:
    """Measure all sizes."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    random = Random(parser.parse_args().seed)
    report = {
        'balancer': [measure_size(random, size) for size in SIZES],
        'flows': measure_flows(20000),
        'placement': [measure_placement(random, size) for size in SERVICES],
    }
    print(json.dumps(report, indent=1))


if __name__ == '__main__':
    main()
