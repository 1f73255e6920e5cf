"""Faults from outside of the programs, drawn by a seed."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from random import Random
from typing import Final

from keelgap_platform.documents import UPSTREAM_PREFIX
from tests.soak.world import World

__all__ = (
    'FAULTS',
    'LATER_FAULTS',
    'LINK_FAULTS',
    'LOAD_FAULTS',
    'Fault',
    'heal',
)

Fault = Callable[[World, Random], Awaitable[None]]

_PAUSES: Final = (0.2, 0.6, 1.5, 3.0)
_SERVICES: Final = ('board', 'proof')
_ZONES: Final = ('a', 'b', 'c')
_NONSENSE: Final = (b'[' * 100000, b'\xff', b'{}', b'{"State": "zombie"}')


async def _kill(world: World, random: Random) -> None:
    """Kill some programs; the platform starts them again."""
    for program in random.sample(world.programs, random.choice((1, 1, 2, 4))):
        program.kill()
    await asyncio.sleep(random.choice(_PAUSES))
    world.start_missing()


async def _stop(world: World, random: Random) -> None:
    """Ask programs to end, one after the other, and start them again."""
    for program in random.sample(world.programs, random.choice((1, 2, 3))):
        program.send(signal.SIGTERM)
        await asyncio.sleep(random.choice(_PAUSES))
    await world.wait_for_stopped()
    world.start_missing()


async def _pause(world: World, random: Random) -> None:
    """Let a program stand still, and wake up late."""
    program = random.choice(world.programs)
    program.send(signal.SIGSTOP)
    world.routers.salt += 1
    await asyncio.sleep(random.choice(_PAUSES))
    program.send(signal.SIGCONT)


async def _move_flows(world: World, random: Random) -> None:
    """Let the routers send nearly all flows to other balancers."""
    for _ in range(random.choice((1, 2, 5))):
        world.routers.salt += 1
        await asyncio.sleep(random.choice(_PAUSES) / 2)


async def _hang_up(world: World, random: Random) -> None:
    """Tell all programs to read their settings again."""
    for program in world.programs:
        program.send(signal.SIGHUP)


async def _cut(world: World, random: Random) -> None:
    """Let nothing pass between two programs, or one way only."""
    one, other = random.sample(world.places, 2)
    pairs = {(one.name, other.name)}
    if random.randrange(2):
        pairs.add((other.name, one.name))
    world.mesh.cut |= pairs
    world.routers.salt += 1
    await asyncio.sleep(random.choice(_PAUSES))
    world.mesh.cut -= pairs


async def _isolate(world: World, random: Random) -> None:
    """Cut one program off from all others, and from the store."""
    place = random.choice(world.places)
    names = [other.name for other in world.places if other is not place]
    pairs = {(place.name, name) for name in names}
    pairs |= {(name, place.name) for name in names}
    world.mesh.cut |= pairs
    relay = world.store_relays.get(place.name)
    if relay is not None:
        relay.refuses = True
        relay.reset_all()
    world.routers.salt += 1
    await asyncio.sleep(random.choice(_PAUSES))
    world.mesh.cut -= pairs
    if relay is not None:
        relay.refuses = False


async def _spoil_links(world: World, random: Random) -> None:
    """Lose, double and delay datagrams."""
    world.mesh.loss = random.choice((0, 0.03, 0.2))
    world.mesh.doubling = random.choice((0, 0.1))
    world.mesh.delay = random.choice((0, 0.01, 0.1))
    await asyncio.sleep(random.choice(_PAUSES))
    world.mesh.loss = 0
    world.mesh.doubling = 0
    world.mesh.delay = 0


async def _break_connections(world: World, random: Random) -> None:
    """Reset connections, or let them go silent for good."""
    for relay in random.sample(world.relays, random.choice((1, 3, 5))):
        if random.randrange(2):
            relay.reset_all()
        else:
            relay.silence_all()


async def _lose_store(world: World, random: Random) -> None:
    """Let the store refuse, swallow or delay calls, and forget history."""
    kind = random.choice((
        'refuses',
        'never_answers',
        'delays',
        'loses_history',
    ))
    if kind == 'delays':
        for relay in world.store_relays.values():
            relay.delay = 0.3
    else:
        setattr(world.store, kind, True)
    await asyncio.sleep(random.choice(_PAUSES))
    for relay in world.store_relays.values():
        relay.delay = 0
    world.store.refuses = False
    world.store.never_answers = False


async def _lose_heartbeats(world: World, random: Random) -> None:
    """Let the store be away for all; entries lapse, and come back."""
    world.store.refuses = True
    count = random.choice((1, 3, len(world.upstreams)))
    for upstream in random.sample(world.upstreams, count):
        upstream.reaches_store = False
    await asyncio.sleep(random.choice((2.0, 3.0)))
    world.store.refuses = False
    await asyncio.sleep(random.uniform(0, 1.0))
    for upstream in world.upstreams:
        upstream.reaches_store = True


async def _crash_upstream(world: World, random: Random) -> None:
    """Let an upstream crash; its address may go to the other service."""
    upstream = random.choice(world.upstreams)
    upstream.crash()
    await asyncio.sleep(random.choice((0.2, 2.0)))
    world.replace_upstream(upstream, random.choice(_SERVICES))


async def _replace_upstream(world: World, random: Random) -> None:
    """Drain an upstream and let it leave; another starts in its place."""
    upstream = random.choice(world.upstreams)
    upstream.drain()
    await asyncio.sleep(random.choice((1.0, 2.0, 3.0)))
    upstream.leave()
    world.replace_upstream(upstream, upstream.service)


async def _change_routes(world: World, random: Random) -> None:
    """Add and drop a route several times in quick succession."""
    for _ in range(random.choice((1, 3, 8))):
        world.toggle_spare_route()
        await asyncio.sleep(random.uniform(0.05, 0.4))


async def _kill_all(world: World, random: Random) -> None:
    """Let the power go: programs and upstreams lose everything."""
    for upstream in world.upstreams:
        upstream.crash()
    for program in world.programs:
        program.kill()
    await asyncio.sleep(random.choice((0.3, 1.2)))
    for upstream in world.upstreams:
        upstream.start()
    world.start_missing()


#: What proxies do to datagrams.
LINK_FAULTS: Final[tuple[Fault, ...]] = (_cut, _isolate, _spoil_links)

FAULTS: Final[tuple[Fault, ...]] = (
    _kill,
    _stop,
    _pause,
    _move_flows,
    _hang_up,
    _cut,
    _isolate,
    _spoil_links,
    _break_connections,
    _lose_store,
    _lose_heartbeats,
    _crash_upstream,
    _replace_upstream,
    _change_routes,
    _kill_all,
)


async def _leave_zone(world: World, random: Random) -> None:
    """Take an availability zone out of service, and back."""
    zone = random.choice(_ZONES)
    world.leave_zone(zone)
    await asyncio.sleep(random.choice(_PAUSES))
    world.return_zone(zone)


async def _restart_under_id(world: World, random: Random) -> None:
    """Let an upstream crash and start again under its id."""
    upstream = random.choice(world.upstreams)
    upstream.crash()
    await asyncio.sleep(random.choice((0.1, 0.5)))
    upstream.start(keeps_id=True)


async def _write_nonsense(world: World, random: Random) -> None:
    """Let another writer put entries that name no upstream."""
    for number in range(100):
        octets = random.choice(_NONSENSE)
        world.store.put_octets(f'{UPSTREAM_PREFIX}other-{number}', octets)


#: With what came to the contracts later; earlier seeds draw from FAULTS.
LATER_FAULTS: Final[tuple[Fault, ...]] = (
    *FAULTS,
    _leave_zone,
    _leave_zone,
    _restart_under_id,
    _restart_under_id,
    _write_nonsense,
)


async def _fail_requests(world: World, random: Random) -> None:
    """Let an upstream reset the flows of most requests that it gets."""
    upstream = random.choice(world.upstreams)
    upstream.failing = random.choice((0.4, 1.0))
    await asyncio.sleep(random.choice(_PAUSES))
    upstream.failing = 0


#: With what the decisions of section ``features`` are for.
LOAD_FAULTS: Final[tuple[Fault, ...]] = (
    *LATER_FAULTS,
    _fail_requests,
    _fail_requests,
    _fail_requests,
    _fail_requests,
)


def heal(world: World) -> None:
    """End all faults that are still under way."""
    world.mesh.heal()
    for relay in world.relays:
        relay.heal()
    world.store.refuses = False
    world.store.never_answers = False
    world.store.loses_history = False
    for upstream in world.upstreams:
        upstream.reaches_store = True
        upstream.failing = 0
        upstream.is_full = False
        if not upstream.alive:
            upstream.start()
    for program in world.programs:
        program.send(signal.SIGCONT)
    if world.moved:
        world.move_routes({})
    world.start_missing()
