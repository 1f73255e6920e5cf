"""Faults that give routes other services while their flows are open."""

import asyncio
import signal
from collections.abc import Mapping
from random import Random
from types import MappingProxyType
from typing import Final

from keelgap.catalog.models import TrafficShare
from tests.soak.faults import LATER_FAULTS, Fault
from tests.soak.world import World

__all__ = ('ROUTE_FAULTS',)

_BOARD: Final = (TrafficShare('board', 1),)
_PROOF: Final = (TrafficShare('proof', 1),)
_BOTH: Final = (*_BOARD, *_PROOF)
_NO_WEIGHT: Final = (TrafficShare('board', 0), *_PROOF)

#: The services of routes by the route's name.  A service that no route of a
#: table names is not among the services of the table, either.
Table = Mapping[str, tuple[TrafficShare, ...]]
_TABLES: Final[tuple[Table, ...]] = (
    MappingProxyType({'board': _PROOF, 'proof': _BOARD}),
    MappingProxyType({'board': _BOTH, 'proof': _PROOF}),
    MappingProxyType({'board': _NO_WEIGHT, 'proof': _PROOF, 'spare': _PROOF}),
    MappingProxyType({'board': _PROOF, 'proof': _PROOF, 'spare': _PROOF}),
    MappingProxyType({'board': _BOARD, 'proof': _BOARD}),
    MappingProxyType({}),
)
_PAUSES: Final = (0.05, 0.3, 1.0, 2.5)


async def _move_routes(world: World, random: Random) -> None:
    """Give routes other services several times, and move their flows."""
    for _ in range(random.choice((1, 2, 3))):
        world.move_routes(random.choice(_TABLES))
        await asyncio.sleep(random.choice(_PAUSES))
        world.routers.salt += 1


async def _restart_balancers(world: World, random: Random) -> None:
    """Move routes, and stop and start each balancer in turn."""
    await _move_routes(world, random)
    balancers = [one for one in world.programs if not one.place.service]
    for program in balancers:
        program.send(signal.SIGTERM)
        await asyncio.sleep(random.choice(_PAUSES))
        await world.wait_for_stopped()
        world.start_missing()


async def _kill_balancers(world: World, random: Random) -> None:
    """Kill all balancers at once beside a change of the table."""
    await _move_routes(world, random)
    for program in world.programs:
        if not program.place.service:
            program.kill()
    if random.randrange(2):
        world.move_routes(random.choice(_TABLES))
    await asyncio.sleep(random.choice(_PAUSES))
    world.start_missing()
    world.routers.salt += 1


async def _kill_programs(world: World, random: Random) -> None:
    """Kill all programs at once; upstreams live on."""
    await _move_routes(world, random)
    for program in world.programs:
        program.kill()
    await asyncio.sleep(random.choice(_PAUSES))
    world.start_missing()
    world.routers.salt += 1


#: With moved routes in three of five cases.
ROUTE_FAULTS: Final[tuple[Fault, ...]] = (
    *LATER_FAULTS,
    *((_move_routes,) * 12),
    *((_restart_balancers, _kill_balancers) * 7),
    *((_kill_programs,) * 4),
)
