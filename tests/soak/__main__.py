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
from typing import Any, Final, NamedTuple

from tests.soak.faults import (
    FAULTS,
    LATER_FAULTS,
    LOAD_FAULTS,
    Fault,
    heal,
)
from tests.soak.fleet_faults import FLEET_FAULTS
from tests.soak.role_faults import (
    FLEET_ROLE_FAULTS,
    ROLE_FAULTS,
    lose_readers_for_good,
)
from tests.soak.route_faults import ROUTE_FAULTS
from tests.soak.settings import (
    CALM_SECONDS,
    FAULT_SECONDS,
    LARGE_FLEET,
    SETTLED_SECONDS,
    SMALL_FLEET,
    Fleet,
    make_role_fleet,
)
from tests.soak.truth import Truth
from tests.soak.world import BALANCER, World

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
#: Seeds from here on have fleets of all sizes that lose programs by their role.
FIRST_ROLE_SEED: Final = 6000
#: A paused balancer is out of rotation, and a change due, within this.
_AFTER_LOSS_SECONDS: Final = 4.0
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


class _Plan(NamedTuple):
    """What the number of a seed stands for."""

    fleet: Fleet
    faults: tuple[Fault, ...]
    #: Whether zones leave, too.
    has_later: bool
    has_load: bool = False
    #: Whether the readers are lost for good before the last change.
    has_roles: bool = False


def _make_plan(seed: int) -> _Plan:
    """Return the fleet and the faults of a seed."""
    if seed >= FIRST_ROLE_SEED:
        fleet = make_role_fleet(seed)
        faults = ROLE_FAULTS if fleet.is_proxied else FLEET_ROLE_FAULTS
        return _Plan(fleet, faults, has_later=True, has_roles=True)
    if seed >= FIRST_ROUTE_SEED:
        is_large = seed % LARGE_FLEET_SHARE == 0
        fleet = LARGE_FLEET if is_large else SMALL_FLEET
        return _Plan(fleet, ROUTE_FAULTS, has_later=True)
    if seed >= FIRST_FLEET_SEED:
        return _Plan(LARGE_FLEET, FLEET_FAULTS, has_later=True)
    if seed >= FIRST_LOAD_SEED:
        return _Plan(SMALL_FLEET, LOAD_FAULTS, has_later=True, has_load=True)
    has_later = seed >= FIRST_LATER_SEED
    return _Plan(SMALL_FLEET, LATER_FAULTS if has_later else FAULTS, has_later)


async def _change_at_the_end(world: World, random: Random, plan: _Plan) -> None:
    """Change what must be in force at the end, and wait until it is due."""
    calm_seconds = CALM_SECONDS
    await asyncio.sleep(1)
    if plan.has_roles:
        await asyncio.sleep(SETTLED_SECONDS)
        await lose_readers_for_good(world, random)
        calm_seconds = plan.fleet.config_seconds + _AFTER_LOSS_SECONDS
    world.toggle_spare_route()
    world.upstreams[0].drain()
    if plan.has_later:
        world.leave_zone(_LEFT_ZONE)
        world.truth.zone_left = (_LEFT_ZONE, time.monotonic())
    await asyncio.sleep(calm_seconds - 1)


async def _run(
    seed: int, folder: Path, seconds: float, balancer: Path
) -> dict[str, Any]:
    random = Random(seed)
    plan = _make_plan(seed)
    world = World(
        seed,
        folder,
        has_features=plan.has_load,
        fleet=plan.fleet,
        balancer=balancer,
    )
    async with AsyncExitStack() as stack:
        await world.start(stack)
        await asyncio.sleep(_START_SECONDS)
        names = await _inject(world, random, seconds, plan.faults)
        heal(world)
        world.truth.calm_since = time.monotonic()
        await _change_at_the_end(world, random, plan)
        share = _check_end(world.truth)
    truth = world.truth
    return {
        'seed': seed,
        'balancers': plan.fleet.balancers,
        'faults': names,
        'requests': len(truth.attempts),
        'served': sum(one.served for one in truth.attempts),
        'served_at_the_end': share,
        'resets': truth.resets,
        'broken': truth.broken[:10],
    }


def run_seed(
    seed: int,
    seconds: float = FAULT_SECONDS,
    balancer: Path = BALANCER,
) -> dict[str, Any]:
    """Return what came of one seed; its logs stay if anything broke.

    ``balancer`` is the file that starts balancers.
    """
    folder = Path(mkdtemp(prefix=f'keelgap-soak-{seed}-'))
    report = asyncio.run(_run(seed, folder, seconds, balancer))
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
