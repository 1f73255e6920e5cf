"""Faults that strike programs by their role, with a change soon after."""

import asyncio
import signal
from random import Random
from typing import Final

from tests.soak.faults import LATER_FAULTS, LINK_FAULTS, Fault
from tests.soak.roles import find_directory_nodes, find_owners, find_readers
from tests.soak.world import Program, World

__all__ = ('FLEET_ROLE_FAULTS', 'ROLE_FAULTS', 'lose_readers_for_good')

_SOON: Final = (0, 0.3, 0.8, 1.5)
_TAKE_OVER: Final = (1.0, 1.5, 2.0)
_PAUSES: Final = (0.5, 2.0, 4.0)
_OWNERS: Final = 2


async def _change(world: World, random: Random) -> None:
    """Change the routes within the next seconds, and move all flows."""
    await asyncio.sleep(random.choice(_SOON))
    world.toggle_spare_route()
    world.routers.salt += 1


async def _kill_role(
    world: World, random: Random, programs: list[Program]
) -> None:
    for program in programs:
        program.kill()
    await _change(world, random)
    await asyncio.sleep(random.choice(_PAUSES))
    world.start_missing()


async def _kill_readers(world: World, random: Random) -> None:
    """Kill all balancers that read the store."""
    await _kill_role(world, random, find_readers(world))


async def _kill_those_that_take_over(world: World, random: Random) -> None:
    """Kill all readers, and soon those that read in their place."""
    for program in find_readers(world):
        program.kill()
    await asyncio.sleep(random.choice(_TAKE_OVER))
    await _kill_role(world, random, find_readers(world))


async def _pause_readers(world: World, random: Random) -> None:
    """Let all readers stand still, and wake up late."""
    readers = find_readers(world)
    for paused in readers:
        paused.send(signal.SIGSTOP)
    await _change(world, random)
    await asyncio.sleep(random.choice(_PAUSES))
    for woken in readers:
        woken.send(signal.SIGCONT)


async def _stop_readers(world: World, random: Random) -> None:
    """Tell all readers to end at once, and start them again."""
    for program in find_readers(world):
        program.send(signal.SIGTERM)
    await _change(world, random)
    await world.wait_for_stopped()
    world.start_missing()


async def _kill_directory_nodes(world: World, random: Random) -> None:
    """Kill agents that keep a flow directory."""
    nodes = find_directory_nodes(world)
    await _kill_role(world, random, nodes[: len(nodes) // 2 + 1])


async def _kill_owners(world: World, random: Random) -> None:
    """Kill the agents beside the upstreams that hold most flows."""
    await _kill_role(world, random, find_owners(world)[:_OWNERS])


async def lose_readers_for_good(world: World, random: Random) -> None:
    """Kill all readers, or let them stand still, until the end of the run."""
    number = random.choice((signal.SIGKILL, signal.SIGSTOP))
    for program in find_readers(world):
        if number == signal.SIGKILL:
            program.kill()
        else:
            program.send(number)
    await asyncio.sleep(random.choice(_SOON))


_BY_ROLE: Final[tuple[Fault, ...]] = (
    _kill_readers,
    _kill_those_that_take_over,
    _pause_readers,
    _stop_readers,
    _kill_directory_nodes,
    _kill_owners,
)

#: Each of them often, among the faults of single programs.
ROLE_FAULTS: Final[tuple[Fault, ...]] = (*LATER_FAULTS, *_BY_ROLE * 3)

#: Without those that proxies do, for fleets without proxies.
FLEET_ROLE_FAULTS: Final[tuple[Fault, ...]] = (
    *(fault for fault in LATER_FAULTS if fault not in LINK_FAULTS),
    *_BY_ROLE * 3,
)
