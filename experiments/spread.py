"""The table in force everywhere: time, octets and reads, by fleet size.

Real reducers on a paused clock, one process each.  Prints one JSON object.
"""

from statistics import fmean, median
from typing import Any, Final

import fire
import msgspec

from keelgap.addresses import Address
from keelgap.dissemination.events import RevisionSeen
from keelgap_standins.simulated_network import (
    TABLE_KEY,
    SimulatedNetwork,
    make_table_document,
    start_network,
)

__all__ = ('measure',)

_SIZES: Final = (3, 10, 30, 60, 200)
_CHANGES: Final = 8
#: 14,000 changes a day are one in 6.2 seconds.
_PAUSE: Final = 6.2
_LONGEST: Final = 60.0
#: Runs over which stale decisions are averaged.
_SEEDS: Final = 6
_TRAFFIC_PAUSE: Final = 0.05


def measure_size(
    seed: int,
    processes: int,
    loss_rate: float,
    zones: int = 3,
) -> dict[str, Any]:
    """Return the figures of one fleet under a day's rate of changes."""
    net = start_network(seed, processes, zones, loss_rate)
    started = net.now
    read_count = net.read_count
    sent = sum(one.octets_sent for one in net.processes.values())
    times = [_change(net, revision) for revision in range(2, 2 + _CHANGES)]
    seconds = net.now - started
    sent = sum(one.octets_sent for one in net.processes.values()) - sent
    return {
        'processes': processes,
        'loss': loss_rate,
        'everywhere_p50_s': round(median(times), 3),
        'everywhere_max_s': round(max(times), 3),
        'octets_a_second_a_process': round(sent / seconds / processes, 1),
        'reads_a_second': round((net.read_count - read_count) / seconds, 3),
    }


def _change(net: SimulatedNetwork, revision: int) -> float:
    net.put(TABLE_KEY, make_table_document(revision))
    spent = net.run_until(lambda: not net.count_outdated(revision), _LONGEST)
    net.run(max(_PAUSE - spent, 0))
    return spent


def measure_service_down(seed: int, processes: int) -> dict[str, Any]:
    """Return how fast all follow one process that alone is ahead."""
    net = start_network(seed, processes)
    first = next(iter(net.processes))
    net.values[TABLE_KEY] = msgspec.json.encode(make_table_document(2))
    net._read(first, net.processes[first], TABLE_KEY)  # noqa: WPS437
    net.run(0.006)
    net.switch_service(is_service_unavailable=True)
    spent = net.run_until(lambda: not net.count_outdated(2), _LONGEST)
    return {'processes': processes, 'everywhere_s': round(spent, 3)}


class _Traffic:
    """Data traffic between random processes, with or without revisions."""

    def __init__(self, net: SimulatedNetwork, carries: bool) -> None:
        self.net = net
        self.carries = carries
        self.decisions = 0
        self.stale = 0
        self.newest = 1

    def run(self) -> None:
        """Have each process handle one message from a random other."""
        net = self.net
        controls = list(net.processes)
        for control in controls:
            receiver = net.processes[control]
            sender = net.random.choice(controls)
            revision = net.processes[sender].get_revision()
            self.decisions += 1
            self.stale += receiver.get_revision() < self.newest
            if self.carries and not net.is_lost():
                data = Address(sender.host, sender.port - 1)
                seen = RevisionSeen(net.now, data, revision)
                net._dispatch(control, seen)  # noqa: WPS437
        net._call_later(_TRAFFIC_PAUSE, self.run)  # noqa: WPS437


def measure_gate(
    seed: int,
    processes: int,
    loss_rate: float,
    carries: bool,
) -> dict[str, Any]:
    """Return the mean share of stale decisions over several seeds."""
    shares = [
        measure_stale_share(seed + offset, processes, loss_rate, carries)
        for offset in range(_SEEDS)
    ]
    return {
        'processes': processes,
        'loss': loss_rate,
        'seeds': _SEEDS,
        'revisions_on_traffic': carries,
        'stale_share_mean': round(fmean(shares), 6),
        'stale_share_min': round(min(shares), 6),
        'stale_share_max': round(max(shares), 6),
    }


def measure_stale_share(
    seed: int,
    processes: int,
    loss_rate: float,
    carries: bool,
) -> float:
    """Return the share of decisions made with an old table."""
    net = start_network(seed, processes, loss_rate=loss_rate)
    traffic = _Traffic(net, carries)
    traffic.run()
    for revision in range(2, 2 + _CHANGES):
        traffic.newest = revision
        _change(net, revision)
    return traffic.stale / traffic.decisions


def measure(seed: int) -> dict[str, Any]:
    """Return all figures of one run."""
    return {
        'experiment': 'spread',
        'seed': seed,
        'sizes': [
            measure_size(seed, size, loss_rate)
            for loss_rate in (0, 0.3)
            for size in _SIZES
        ],
        'service_down': [measure_service_down(seed, size) for size in (10, 60)],
        'gate': [
            measure_gate(seed, 90, loss_rate, carries)
            for loss_rate in (0, 0.3)
            for carries in (False, True)
        ],
    }


def main(seed: int = 1) -> None:
    """Run the experiment."""
    print(msgspec.json.encode(measure(seed)).decode())


if __name__ == '__main__':
    fire.Fire(main)
