"""Readers of the store in fleets of all sizes, on a virtual clock.

After all readers are lost it prints, for each size, the parts of the time until
a change that is confirmed at that moment is known to all: until a balancer
begins to read, until the store has answered it, until all have fetched the
change.  It also prints octets by role, changes of readers on quiet and lossy
days, and what the store and one balancer get when all start or go on at once.
Prints one JSON object a size.

    python -m experiments.readers_model --seed 1 --sizes 8 26 100
    python -m experiments.readers_model --sizes 2600 --parts readers
"""

import argparse
import json
import time
from collections.abc import Callable, Collection
from statistics import mean
from typing import Any, Final

from experiments.reader_fleet import ReaderFleet
from keelgap.catalog import defaults

__all__ = ('measure',)

SIZES: Final = (8, 25, 26, 100, 370, 1000, 2600)
#: What is measured; the largest fleets take minutes for each.
PARTS: Final = ('days', 'readers', 'lossy', 'candidates', 'herds')
SETTLE_SECONDS: Final = 5.0
QUIET_SECONDS: Final = 20.0
LOSS: Final = 0.1
#: Largest fleet of which all starts are simulated; balancers of a larger one
#: take too long to get to know each other.
MAX_STARTED: Final = 400
LIMIT_SECONDS: Final = 30.0


def start_settled(count: int, seed: int) -> ReaderFleet:
    """Return a fleet in which all know each other and three read."""
    fleet = ReaderFleet(count, seed)
    fleet.start_settled(fleet.hosts)
    fleet.run(SETTLE_SECONDS)
    return fleet


def measure_days(fleet: ReaderFleet) -> dict[str, Any]:
    """Return octets by role, and how often readers changed."""
    for counted in fleet.balancers.values():
        counted.octets = 0
    fleet.changes.clear()
    fleet.run(QUIET_SECONDS)
    quiet_changes = len(fleet.changes)
    rates = {
        host: balancer.octets / QUIET_SECONDS
        for host, balancer in fleet.balancers.items()
    }
    readers = set(fleet.list_readers())
    candidates = set(fleet.list_candidates()) - readers
    fleet.loss = LOSS
    fleet.changes.clear()
    fleet.run(QUIET_SECONDS)
    fleet.loss = 0
    return {
        'octets_a_second': {
            'readers': _average(rates, readers),
            'candidates': _average(rates, candidates),
            'others': _average(rates, set(rates) - readers - candidates),
        },
        'role_changes_in_20_quiet_s': quiet_changes,
        'role_changes_in_20_lossy_s': len(fleet.changes),
    }


def measure_loss(
    fleet: ReaderFleet, lose: Callable[[ReaderFleet], None]
) -> dict[str, float]:
    """Return the parts of the time until a change is known after a loss."""
    fleet.run(fleet.random.random())
    lose(fleet)
    fleet.change()
    reads = fleet.time_until(
        lambda: bool(fleet.list_readers()), LIMIT_SECONDS, 0.01
    )
    answered = fleet.time_until(
        lambda: fleet.count_behind(fleet.balancers) < len(fleet.balancers),
        LIMIT_SECONDS,
        0.01,
    )
    spread = fleet.time_until(
        lambda: not fleet.count_behind(fleet.balancers), LIMIT_SECONDS, 0.05
    )
    return {
        'begins': reads,
        'answered': answered,
        'spread': spread,
        'sum': round(reads + answered + spread, 2),
    }


def measure_herds(fleet: ReaderFleet, count: int, seed: int) -> dict[str, Any]:
    """Return readers and load after all went on, and after all started."""
    with fleet.pause(fleet.hosts):
        fleet.run(20)
    herds = {'all_go_on': _watch_herd(fleet)}
    if count <= MAX_STARTED:
        started = ReaderFleet(count, seed)
        started.start(started.hosts)
        herds['all_start'] = _watch_herd(started)
    return herds


def _watch_herd(fleet: ReaderFleet) -> dict[str, Any]:
    """Return the readers after some seconds, and the most load in one."""
    readers = []
    most_reads = 0
    most_messages = 0
    for _ in range(15):
        fleet.reads = 0
        for balancer in fleet.balancers.values():
            balancer.messages_in = 0
        fleet.run(1)
        readers.append(len(fleet.list_readers()))
        most_reads = max(most_reads, fleet.reads)
        busiest = max(one.messages_in for one in fleet.balancers.values())
        most_messages = max(most_messages, busiest)
    return {
        'readers_after_1_2_5_15_s': [readers[at] for at in (0, 1, 4, 14)],
        'most_store_calls_in_a_second': most_reads,
        'most_messages_to_one_in_a_second': most_messages,
    }


def _kill_readers(fleet: ReaderFleet) -> None:
    fleet.kill(fleet.list_readers())


def _kill_candidates(fleet: ReaderFleet) -> None:
    fleet.kill(fleet.list_candidates())


def measure(
    count: int, seed: int, parts: Collection[str] = PARTS
) -> dict[str, Any]:
    """Return how fleets of one size behave."""
    began = time.monotonic()
    report: dict[str, Any] = {'balancers': count}
    if 'days' in parts:
        report.update(measure_days(start_settled(count, seed)))
    if 'readers' in parts:
        report['readers_killed'] = measure_loss(
            start_settled(count, seed + 1), _kill_readers
        )
    if 'lossy' in parts:
        lossy = start_settled(count, seed + 2)
        lossy.loss = LOSS
        report['readers_killed_on_lossy_links'] = measure_loss(
            lossy, _kill_readers
        )
    if 'candidates' in parts and count > defaults.CANDIDATE_COUNT:
        report['all_candidates_killed'] = measure_loss(
            start_settled(count, seed + 3), _kill_candidates
        )
    if 'herds' in parts:
        herds = measure_herds(start_settled(count, seed + 4), count, seed)
        report.update(herds)
    report['seconds_of_this_run'] = round(time.monotonic() - began, 1)
    return report


def _average(rates: dict[str, float], hosts: set[str]) -> int:
    return round(mean(rates[host] for host in hosts)) if hosts else 0


def main() -> None:
    """Measure all sizes."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--sizes', type=int, nargs='*', default=SIZES)
    parser.add_argument('--parts', nargs='*', choices=PARTS, default=PARTS)
    chosen = parser.parse_args()
    for count in chosen.sizes:
        report = measure(count, chosen.seed, chosen.parts)
        print(json.dumps(report), flush=True)


if __name__ == '__main__':
    main()
