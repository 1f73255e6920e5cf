"""Slopes for docs/CAPACITY.md: three or more points, fit and residual.

Prints one JSON object.  Octets of memory are the growth of the resident set;
seconds are processor time of this process.
"""

import gc
import os
import resource
import time
import tracemalloc
from collections import deque
from collections.abc import Callable
from itertools import pairwise
from pathlib import Path
from random import Random
from typing import Any, Final, NamedTuple

import fire
import msgspec
import numpy as np

from experiments.flows import make_flows, time_handshakes
from experiments.spread import measure_size
from keelgap.addresses import Address
from keelgap.control.messages import DocumentDelta, encode_message
from keelgap.dissemination.acceptance import make_announce
from keelgap.dissemination.documents import (
    Document,
    compute_changes,
    load_document,
)
from keelgap.dissemination.driver import (
    make_instances_parser,
    make_parsers,
    make_table_parser,
)
from keelgap.dissemination.effects import PutInForce
from keelgap.dissemination.events import DocumentRead, MessageReceived
from keelgap.dissemination.reducer import reduce as disseminate
from keelgap.dissemination.state import (
    DisseminationIdentity,
    DisseminationState,
    DocumentKeys,
    ParsedDocument,
)
from keelgap.routing.connection_ids import ConnectionIdCodec
from keelgap.wire.encapsulation import Envelope, EnvelopeCodec, MessageKind
from keelgap_agent.requests.ledger import EntryState, Ledger, LedgerKey
from keelgap_agent.requests.outcomes import StoredAnswer
from keelgap_balancer.events import InstancesChanged, TableChanged, TimerFired
from keelgap_balancer.reducer import reduce
from keelgap_balancer.state import BalancerState
from keelgap_standins.simulated_network import start_network

_ROWS: Final = (1000, 4000, 8500, 17000)
_ROWS_A_SERVICE: Final = 2.2
_PEERS: Final = (1000, 4000, 8500, 17000)
_PROCESSES: Final = (30, 100, 300, 900)
_ZONES: Final = (3, 9, 21)
_PEER: Final = Address('10.0.0.2', 7002)
#: Calls that are timed for each point; the best counts.
_REPEATS: Final = 5
_ENTRIES: Final = (1000, 10000, 50000)
_FLOWS: Final = (50, 100, 200, 400)


class Fit(NamedTuple):
    """A line through measured points."""

    points: list[tuple[float, float]]
    slope: float
    intercept: float
    #: Largest distance of a point from the line, as a share of the largest.
    residual: float


def fit(points: list[tuple[float, float]]) -> Fit:
    """Fit a line by least squares."""
    xs, ys = np.array(points, dtype=float).T
    slope, intercept = np.polyfit(xs, ys, 1)
    distance = np.abs(ys - (slope * xs + intercept))
    residual = float(distance.max() / max(abs(ys).max(), 1e-12))
    return Fit(points, float(slope), float(intercept), round(residual, 4))


def get_resident() -> int:
    """Return the resident set of this process in octets."""
    gc.collect()
    pages = int(Path('/proc/self/statm').read_text('utf-8').split()[1])
    return pages * resource.getpagesize()


def measure_memory(
    sizes: tuple[int, ...],
    make: Callable[[int], Any],
) -> Fit:
    """Fit the resident memory that objects of growing size keep.

    Nothing is freed in between, so that no object fills an old hole.
    """
    points = []
    kept = []
    for size in sizes:
        before = get_resident()
        kept.append(make(size))
        points.append((float(size), float(get_resident() - before)))
    return fit(points)


def measure_objects(
    sizes: tuple[int, ...],
    make: Callable[[int], Any],
) -> Fit:
    """Fit the memory of Python objects alone, as their allocator counts."""
    points = []
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        kept = make(size)  # noqa: F841
        octets, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        points.append((float(size), float(octets)))
    return fit(points)


def measure_time(
    sizes: tuple[int, ...],
    make: Callable[[int], Callable[[], object]],
) -> Fit:
    """Fit the processor time of a call, the best of five."""
    points = []
    for size in sizes:
        act = make(size)
        spent = []
        for _ in range(_REPEATS):
            started = time.process_time()
            act()
            spent.append(time.process_time() - started)
        points.append((float(size), min(spent)))
    return fit(points)


def make_table(rows: int, changed: int = 0) -> Document:
    """Return a table document with so many upstreams."""
    services = int(rows / _ROWS_A_SERVICE)
    document = {
        'revision': 1 + changed,
        'services': [
            {'name': f's{index}', 'number': index + 1, 'port': 1024 + index}
            for index in range(services)
        ],
        'upstreams': [
            {
                'name': f'upstream-{index}',
                'service': f's{index % services}',
                'agent': f'10.{index // 62500}.{index // 250 % 250}.'
                f'{index % 250 + 1}:7001',
                'weight': 1 + changed if index == 0 else 1,
                'slots': 4,
                'connections': 5000,
                'state': 'active',
            }
            for index in range(rows)
        ],
    }
    return load_document(msgspec.json.encode(document))


def make_list(instances: int, changed: int = 0) -> Document:
    """Return a list of so many instances."""
    document = {
        'revision': 1 + changed,
        'instances': [
            {
                'name': f'instance-{index}',
                'role': 'agent',
                'address': f'10.{index // 62500}.{index // 250 % 250}.'
                f'{index % 250 + 1}',
                'data_port': 7001,
                'control_port': 7002,
                'availability_zone': f'zone-{index % 21}',
                'state': 'leaving' if index == 0 and changed % 2 else 'live',
            }
            for index in range(instances)
        ],
    }
    return load_document(msgspec.json.encode(document))


def make_balancer(rows: int) -> BalancerState:
    """Return a balancer that has a table of so many rows in force."""
    state = BalancerState(
        Address('10.255.0.1', 7001),
        ConnectionIdCodec({1: bytes(16)}, 1),
    )
    table = make_table_parser()(make_table(rows))
    reduce(state, TableChanged(0, table))
    return state


def hold_table(rows: int) -> tuple[object, ...]:
    """Return all that a balancer keeps of a table of so many rows."""
    document = make_table(rows)
    check = make_table_parser()
    state = BalancerState(
        Address('10.255.0.1', 7001),
        ConnectionIdCodec({1: bytes(16)}, 1),
    )
    reduce(state, TableChanged(0, check(document)))
    return document, check, state


def make_receiver(
    versions: list[Document],
    key: str,
    put_in_force: Callable[[ParsedDocument], object],
) -> Callable[[], object]:
    """Return a call that receives the next delta and puts it in force.

    All that a process does for a change is in it: the delta is applied,
    checked, passed on and put in force.
    """
    deltas = deque(
        DocumentDelta(
            key,
            before.version,
            after.version,
            compute_changes(before, after),
        )
        for before, after in pairwise(versions)
    )
    state = _start_process(key, versions[0])

    def act() -> None:
        event = MessageReceived(1, _PEER, deltas.popleft())
        _, effects = disseminate(state, event)
        for effect in effects:
            if isinstance(effect, PutInForce):
                put_in_force(effect.parsed)

    return act


def _start_process(key: str, document: Document) -> DisseminationState:
    names = DocumentKeys()
    identity = DisseminationIdentity(Address('10.0.0.1', 7002), 'zone-0')
    state = DisseminationState(identity, make_parsers(names), Random(1), 0)
    state.joined = True
    disseminate(state, DocumentRead(0, key, document.content))
    return state


def change_table(rows: int) -> Callable[[], object]:
    """Return a call that receives a change of one row."""
    balancer = make_balancer(rows)
    versions = [make_table(rows, changed) for changed in range(_REPEATS + 1)]

    def put_in_force(parsed: Any) -> None:
        reduce(balancer, TableChanged(0, parsed))

    return make_receiver(versions, DocumentKeys().table, put_in_force)


def change_list(instances: int) -> Callable[[], object]:
    """Return a call that receives a change of one instance."""
    balancer = make_balancer(1000)
    versions = [
        make_list(instances, changed) for changed in range(_REPEATS + 1)
    ]

    def put_in_force(parsed: Any) -> None:
        reduce(balancer, InstancesChanged(0, parsed))

    return make_receiver(versions, DocumentKeys().instances, put_in_force)


def tick_balancer(rows: int) -> Callable[[], object]:
    """Return a call of a balancer's timer that awaits each tenth agent."""
    state = make_balancer(rows)
    for index, agent in enumerate(sorted(state.owners)):
        if index % 10:
            state.health.record_message(agent, 0)
        else:
            state.health.expect_answer(agent, 0)
    return lambda: reduce(state, TimerFired(0.1))


def hold_list(instances: int) -> tuple[object, ...]:
    """Return all that a process keeps of a list of so many instances."""
    document = make_list(instances)
    check = make_instances_parser()
    return document, check, check(document)


def make_peers(peers: int) -> EnvelopeCodec:
    """Return a codec that has talked with so many peers."""
    own = Address('10.255.0.1', 7001)
    codec = EnvelopeCodec({1: bytes(32)}, 1, 1, own)
    for index in range(peers):
        peer = Address(f'10.0.{index // 250}.{index % 250 + 1}', 7001)
        other = EnvelopeCodec({1: bytes(32)}, 1, 1, peer)
        envelope = Envelope(MessageKind.PROBE, 0, 1)
        codec.seal(envelope, peer)
        codec.open(other.seal(envelope, own), peer)
    return codec


def measure_flows(sizes: tuple[int, ...]) -> Fit:
    """Fit the memory of established QUIC flows with HTTP/3 in an agent."""
    return measure_memory(sizes, make_flows)


def make_ledger(entries: int) -> Ledger:
    """Return a ledger of answers with a short body."""
    ledger = Ledger(entries)
    for serial in range(entries):
        key = LedgerKey(serial, bytes(8), f'{serial:016x}')
        ledger.admit(key, float(serial))
        body = f'{serial:0100}'.encode()
        answer = StoredAnswer(200, ((b'content-type', b'text/plain'),), body)
        ledger.record_outcome(key, EntryState.ANSWERED, answer)
    return ledger


def measure_handshakes(sizes: tuple[int, ...]) -> Fit:
    """Fit the agent's processor time of handshakes by their number."""
    return fit([(float(size), time_handshakes(size)) for size in sizes])


def measure_spread(seed: int) -> dict[str, Any]:
    """Return how octets, time and reads grow with the fleet."""
    by_size = [measure_size(seed, size, 0, 21) for size in _PROCESSES]
    by_zones = [measure_size(seed, 210, 0, zones) for zones in _ZONES]
    return {
        'octets_a_second': fit([
            (row['processes'], row['octets_a_second_a_process'])
            for row in by_size
        ])._asdict(),
        'everywhere_max_s': [
            (row['processes'], row['everywhere_max_s']) for row in by_size
        ],
        'reads_by_zones': fit([
            (zones, row['reads_a_second'])
            for zones, row in zip(_ZONES, by_zones, strict=True)
        ])._asdict(),
        'reads_by_processes': fit([
            (row['processes'], row['reads_a_second']) for row in by_size
        ])._asdict(),
    }


def measure(seed: int) -> dict[str, Any]:
    """Return all slopes of one run."""
    net = start_network(seed, 3)
    state = next(iter(net.processes.values())).state
    announce = encode_message(
        Address('10.0.0.1', 7002),
        make_announce(state, net.now, wants_reply=True),
    )
    change = compute_changes(make_table(1000), make_table(1000, changed=1))
    base = get_resident()
    return {
        'experiment': 'slopes',
        'seed': seed,
        'cores': os.cpu_count(),
        'base_resident_octets': base,
        'announce_octets': sum(map(len, announce)),
        'one_row_change_octets': len(change),
        'table_octets_a_row': fit([
            (rows, len(make_table(rows).content)) for rows in _ROWS
        ])._asdict(),
        'list_octets_an_instance': fit([
            (rows, len(make_list(rows).content)) for rows in _ROWS
        ])._asdict(),
        'flow_memory': measure_flows(_FLOWS)._asdict(),
        'peer_memory': measure_memory(_PEERS, make_peers)._asdict(),
        'ledger_memory': measure_objects(_ENTRIES, make_ledger)._asdict(),
        'handshake_seconds': measure_handshakes(_FLOWS)._asdict(),
        'table_memory': measure_objects(_ROWS, hold_table)._asdict(),
        'list_memory': measure_objects(_ROWS, hold_list)._asdict(),
        'table_change_seconds': measure_time(_ROWS, change_table)._asdict(),
        'timer_seconds': measure_time(_ROWS, tick_balancer)._asdict(),
        'list_change_seconds': measure_time(_ROWS, change_list)._asdict(),
        'spread': measure_spread(seed),
    }


def main(seed: int = 1) -> None:
    """Run the measurement."""
    print(msgspec.json.encode(measure(seed)).decode())


if __name__ == '__main__':
    fire.Fire(main)
