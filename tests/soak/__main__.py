"""Run seeds of the soak one after the other; print one JSON object a seed."""

import argparse
import asyncio
import json
import shutil
import sys
import time
from contextlib import AsyncExitStack
from pathlib import Path
from random import Random
from tempfile import mkdtemp
from typing import Any, Final

from tests.soak.faults import (
    FAULTS,
    LATER_FAULTS,
    LOAD_FAULTS,
    Fault,
    heal,
)
from tests.soak.fleet_faults import FLEET_FAULTS
from tests.soak.route_faults import ROUTE_FAULTS
from tests.soak.settings import (
    CALM_SECONDS,
    FAULT_SECONDS,
    LARGE_FLEET,
    SMALL_FLEET,
)
from tests.soak.truth import Truth
from tests.soak.world import World

__all__ = ('run_seed',)

#: Seconds at the end in which nearly all requests must be served.
_LAST_SECONDS: Final = 3.0
_LEAST_SERVED: Final = 0.95
_START_SECONDS: Final = 3.0
#: Seeds from here on have the faults of later contracts, too.
FIRST_LATER_SEED: Final = 1000
#: Seeds from here on have upstreams that fail requests, and programs that
#: make the decisions of section ``features``.
FIRST_LOAD_SEED: Final = 2000
#: Seeds from here on have a fleet of a customer's size, with flow directories.
FIRST_FLEET_SEED: Final = 4000
#: One in so many of the seeds with moved routes has a fleet of that size, too.
LARGE_FLEET_SHARE: Final = 10
#: Seeds from here on have routes that get other services.
FIRST_ROUTE_SEED: Final = 5000
#: Out of service at the end; other zones have upstreams of each service.
_LEFT_ZONE: Final = 'a'


async def _inject(
    world: World,
    random: Random,
    seconds: float,
    faults: tuple[Fault, ...],
) -> list[str]:
    """Let faults come in series that overlap; return their names."""
    names = []
    tasks = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        fault = random.choice(faults)
        names.append(fault.__name__.strip('_'))
        tasks.append(asyncio.create_task(fault(world, random)))
        await asyncio.sleep(random.uniform(0.1, 2.0))
    await asyncio.gather(*tasks)
    return names


def _check_end(truth: Truth) -> float:
    """Check that callers are served again; return the share of the last."""
    start = time.monotonic() - _LAST_SECONDS
    last = [
        one
        for one in truth.attempts
        if one.began > start and one.route not in truth.dropped
    ]
    share = sum(one.served for one in last) / len(last) if last else 0
    if share < _LEAST_SERVED:
        truth.report('callers are not served again', share=share)
    return round(share, 3)


async def _run(seed: int, folder: Path, seconds: float) -> dict[str, Any]:
    random = Random(seed)
    has_load = seed >= FIRST_LOAD_SEED
    has_moves = seed >= FIRST_ROUTE_SEED
    has_fleet = seed >= FIRST_FLEET_SEED and (
        not has_moves or seed % LARGE_FLEET_SHARE == 0
    )
    has_load = has_load and not has_fleet and not has_moves
    fleet = LARGE_FLEET if has_fleet else SMALL_FLEET
    world = World(seed, folder, has_features=has_load, fleet=fleet)
    async with AsyncExitStack() as stack:
        await world.start(stack)
        await asyncio.sleep(_START_SECONDS)
        has_later = seed >= FIRST_LATER_SEED
        faults = LATER_FAULTS if has_later else FAULTS
        faults = LOAD_FAULTS if has_load else faults
        faults = FLEET_FAULTS if has_fleet else faults
        faults = ROUTE_FAULTS if has_moves else faults
        names = await _inject(world, random, seconds, faults)
        heal(world)
        world.truth.calm_since = time.monotonic()
        await asyncio.sleep(1)
        # These must be in force at the end.
        world.toggle_spare_route()
        world.upstreams[0].drain()
        if has_later:
            world.leave_zone(_LEFT_ZONE)
            world.truth.zone_left = (_LEFT_ZONE, time.monotonic())
        await asyncio.sleep(CALM_SECONDS - 1)
        share = _check_end(world.truth)
    truth = world.truth
    return {
        'seed': seed,
        'faults': names,
        'requests': len(truth.attempts),
        'served': sum(one.served for one in truth.attempts),
        'served_at_the_end': share,
        'resets': truth.resets,
        'broken': truth.broken[:10],
    }


def run_seed(seed: int, seconds: float = FAULT_SECONDS) -> dict[str, Any]:
    """Return what came of one seed; its logs stay if anything broke."""
    folder = Path(mkdtemp(prefix=f'keelgap-soak-{seed}-'))
    report = asyncio.run(_run(seed, folder, seconds))
    if report['broken']:
        report['logs'] = str(folder)
    else:
        shutil.rmtree(folder)
    return report


def main() -> int:
    """Return 0 if no promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--count', type=int, default=1)
    arguments = parser.parse_args()
    broken = 0
    for seed in range(arguments.seed, arguments.seed + arguments.count):
        report = run_seed(seed)
        broken += bool(report['broken'])
        print(json.dumps(report), flush=True)  # noqa: WPS421
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
