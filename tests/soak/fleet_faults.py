"""Faults that take a whole fleet: many programs or upstreams at once."""

import asyncio
import signal
from random import Random
from typing import Final

from keelgap.catalog.models import PacketRoute, TrafficShare
from tests.soak.faults import LATER_FAULTS, LINK_FAULTS, Fault
from tests.soak.world import World

__all__ = ('FLEET_FAULTS',)

_SHARE_KILLED: Final = 0.6
_SHARE_TURNED_AWAY: Final = 0.35
_SHARE_STARVED: Final = 0.2
_RESTART_SECONDS: Final = (0.1, 0.5, 2.0)
_SERVICES: Final = ('board', 'proof')
_YOUNG_SECONDS: Final = (0.3, 1.5)
_MOVES: Final = 4
_MOVE_SECONDS: Final = 0.3
_TURN_SECONDS: Final = 0.05
_TURNS: Final = 20
_ROUTES: Final = 1400


async def _kill_many(world: World, random: Random) -> None:
    """Kill many programs of both kinds at the same moment."""
    count = round(len(world.programs) * _SHARE_KILLED)
    for program in random.sample(world.programs, count):
        program.kill()
    await asyncio.sleep(random.choice(_RESTART_SECONDS))
    world.start_missing()
    await _move_flows(world)


async def _kill_beside_young(world: World, random: Random) -> None:
    """Start some upstreams anew under load, and kill many agents soon."""
    service = random.choice(_SERVICES)
    upstreams = [one for one in world.upstreams if one.service == service]
    young = random.sample(upstreams, len(upstreams) // 4)
    for upstream in young:
        upstream.crash()
        world.replace_upstream(upstream, service)
    others = [one for one in upstreams if one not in young]
    for other in others:
        other.is_full = True
    await asyncio.sleep(random.uniform(*_YOUNG_SECONDS))
    for other in others:
        other.is_full = False
    agents = [one for one in world.programs if one.place.service]
    for program in random.sample(agents, round(len(agents) * _SHARE_KILLED)):
        program.kill()
    await asyncio.sleep(random.choice(_RESTART_SECONDS))
    world.start_missing()
    await _move_flows(world)


async def _move_flows(world: World) -> None:
    for _ in range(_MOVES):
        await asyncio.sleep(_MOVE_SECONDS)
        world.routers.salt += 1


async def _release(world: World, random: Random) -> None:
    """Replace many upstreams of a service, one after the other."""
    service = random.choice(_SERVICES)
    upstreams = [one for one in world.upstreams if one.service == service]
    for upstream in random.sample(upstreams, len(upstreams) // 2):
        upstream.leave()
        world.replace_upstream(upstream, service)
        await asyncio.sleep(random.choice((0.1, 0.4)))


async def _roll(world: World, random: Random) -> None:
    """Stop and start all programs of one kind in turn."""
    has_service = random.choice((False, True))
    programs = [
        one for one in world.programs if bool(one.place.service) == has_service
    ]
    for program in programs:
        program.send(signal.SIGTERM)
        await asyncio.sleep(_TURN_SECONDS)
        world.start_missing()
    await world.wait_for_stopped()
    world.start_missing()


async def _turn_away(world: World, random: Random) -> None:
    """Let the store refuse some balancers and serve the others."""
    relays = list(world.store_relays.values())
    count = round(len(relays) * _SHARE_TURNED_AWAY)
    chosen = random.sample(relays, count)
    for relay in chosen:
        relay.refuses = True
        relay.reset_all()
    await asyncio.sleep(random.choice((1.0, 3.0)))
    for relay in chosen:
        relay.refuses = False


async def _starve(world: World, random: Random) -> None:
    """Let some programs run half of the time."""
    count = round(len(world.programs) * _SHARE_STARVED)
    chosen = random.sample(world.programs, count)
    for _ in range(_TURNS):
        for number in (signal.SIGSTOP, signal.SIGCONT):
            for program in chosen:
                program.send(number)
            await asyncio.sleep(_TURN_SECONDS)


async def _grow_table(world: World, random: Random) -> None:
    """Add many routes that no caller uses, and drop them."""
    world.unused_routes = [
        PacketRoute(
            f'unused-{number}',
            f'198.19.{number // 200}.{number % 200 + 1}',
            443,
            (TrafficShare(random.choice(_SERVICES), 1),),
        )
        for number in range(_ROUTES)
    ]
    world.publish()
    await asyncio.sleep(random.choice((0.5, 2.0)))
    world.unused_routes = []
    world.publish()


#: Each of them often, among the faults of single programs.  Their datagrams
#: pass no proxy that could lose them.
FLEET_FAULTS: Final[tuple[Fault, ...]] = (
    *(fault for fault in LATER_FAULTS if fault not in LINK_FAULTS),
    *(
        _kill_many,
        _kill_beside_young,
        _kill_beside_young,
        _release,
        _roll,
        _turn_away,
        _starve,
        _grow_table,
    )
    * 2,
)
