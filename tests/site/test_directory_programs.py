"""Real programs whose services have flow directories, at a customer's size."""

import asyncio
import shutil
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack, ExitStack, suppress
from pathlib import Path
from tempfile import mkdtemp
from typing import Final
from unittest import TestCase

from keelgap.packets.directory import make_directory
from keelgap_balancer.packets import defaults
from tests.soak.settings import LARGE_FLEET
from tests.soak.upstreams import Upstream
from tests.soak.world import World

_SEED: Final = 1
_SERVICE: Final = 'proof'
#: Until all programs serve.
_START_SECONDS: Final = 6.0
#: Flows that must be open at one upstream, and how long that may take.
_FLOWS: Final = 12
_LONGEST_WAIT: Final = 1.2
_POLL_SECONDS: Final = 0.02
_RESTART_SECONDS: Final = 0.1
#: An agent has registered its flows after this.
_SETTLED_SECONDS: Final = 0.5
_MOVES: Final = 4
_MOVE_SECONDS: Final = 0.3
_PAUSE_SECONDS: Final = 2.0
_RELOADS: Final = 6
_QUICK_MOVES: Final = 20
_QUICK_SECONDS: Final = 0.05

Scenario = Callable[[World], Awaitable[None]]


def _list_upstreams(world: World) -> list[Upstream]:
    return [one for one in world.upstreams if one.service == _SERVICE]


def _list_nodes(world: World) -> set[str]:
    """Return the hosts of the agents that keep the service's directory."""
    hosts = sorted(one.place.host for one in _list_upstreams(world))
    directory = make_directory(1, hosts, defaults.MAX_ASKED)
    return {host for nodes in directory.shards for host in nodes}


def _list_others(world: World) -> list[Upstream]:
    """Return the upstreams beside whose agents no directory is kept."""
    nodes = _list_nodes(world)
    return [
        one for one in _list_upstreams(world) if one.place.host not in nodes
    ]


async def _fill(world: World, upstream: Upstream) -> None:
    """Let flows open at one upstream while all others of its service are full.

    As when one is added under load.  Without any flow there the scenario would
    prove nothing.
    """
    others = [one for one in _list_upstreams(world) if one is not upstream]
    with ExitStack() as stack, suppress(TimeoutError):
        for other in others:
            other.is_full = True
            stack.callback(setattr, other, 'is_full', False)  # noqa: B010
        async with asyncio.timeout(_LONGEST_WAIT):
            while _count_flows(world, upstream) < _FLOWS:
                await asyncio.sleep(_POLL_SECONDS)
    if not _count_flows(world, upstream):
        raise AssertionError('no flow opened at the upstream')


def _count_flows(world: World, upstream: Upstream) -> int:
    holders = world.truth.open_flows.values()
    return sum(holder == upstream.upstream_id for holder in holders)


def _kill(world: World, hosts: set[str]) -> None:
    """Kill the programs on some hosts at the same moment."""
    for program in world.programs:
        if program.place.host in hosts:
            program.kill()


async def _move_flows(world: World) -> None:
    """Let the routers send nearly all flows elsewhere, several times."""
    for _ in range(_MOVES):
        world.routers.salt += 1
        await asyncio.sleep(_MOVE_SECONDS)


async def _kill_beside_young_upstreams(world: World) -> None:
    """Kill an agent in its upstream's warm-up, and both directory nodes."""
    for upstream in _list_others(world)[:3]:
        upstream.crash()
        world.replace_upstream(upstream, _SERVICE)
        await _fill(world, upstream)
        _kill(world, _list_nodes(world) | {upstream.place.host})
        await asyncio.sleep(_RESTART_SECONDS)
        world.start_missing()
        await asyncio.sleep(_SETTLED_SECONDS)
        await _move_flows(world)
        await asyncio.sleep(_PAUSE_SECONDS)


async def _reload(world: World) -> None:
    """Change the settings of all agents, while the routers move flows."""
    for _ in range(_RELOADS):
        world.change_settings()
        for _ in range(_QUICK_MOVES):
            await asyncio.sleep(_QUICK_SECONDS)
            world.routers.salt += 1
        await asyncio.sleep(_QUICK_SECONDS)


async def _play(scenario: Scenario, folder: Path) -> list[str]:
    """Return the promises that were broken."""
    world = World(_SEED, folder, fleet=LARGE_FLEET)
    async with AsyncExitStack() as stack:
        await world.start(stack)
        await asyncio.sleep(_START_SECONDS)
        await scenario(world)
    return world.truth.broken


class DirectoryProgramTests(TestCase):
    """24 balancers, 68 agents, and services of 54 and of 14 upstreams."""

    def test_flows_outlive_agents_killed_beside_a_young_upstream(self) -> None:
        """Guards flows of an upstream whose agent and directory restart.

        The agent must not claim to have seen them all.
        """
        self.check(_kill_beside_young_upstreams)

    def test_flows_outlive_a_reload_of_their_agents_settings(self) -> None:
        """Guards flows that open after a reload.

        The agents must go on to register them with their directory.
        """
        self.check(_reload)

    def check(self, scenario: Scenario) -> None:
        """Play a scenario; its logs stay if a promise was broken."""
        folder = Path(mkdtemp(prefix='keelgap-directory-'))
        broken = asyncio.run(_play(scenario, folder))
        self.assertEqual(broken, [], str(folder))
        shutil.rmtree(folder)
