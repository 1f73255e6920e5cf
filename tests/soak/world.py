"""All programs and stand-ins of one run."""

import asyncio
import os
import signal
import subprocess  # noqa: S404
import sys
import time
from collections.abc import Mapping
from contextlib import AsyncExitStack, suppress
from pathlib import Path
from random import Random
from typing import Any, Final

from keelgap.catalog.models import PacketRoute, TrafficShare
from keelgap_platform.documents import ROUTES_KEY
from keelgap_platform.samples import (
    make_evacuation_key,
    make_routes_document,
)
from keelgap_platform.store_standin import PacketStore
from tests.processes import takes_signal
from tests.soak.callers import CallerHost, Routers
from tests.soak.proxies import DatagramMesh, StreamRelay
from tests.soak.settings import (
    AGENT_INI,
    BALANCER_INI,
    CALLERS,
    FEATURES_INI,
    SMALL_FLEET,
    STORE,
    Fleet,
    ProgramPlace,
    find_free_ports,
    make_places,
)
from tests.soak.truth import ROUTES, Truth
from tests.soak.upstreams import Ports, Upstream

__all__ = ('BALANCER', 'Program', 'World')

_DEPLOY: Final = Path(__file__).parents[2] / 'deploy'
_AGENT: Final = _DEPLOY / 'agent.py'
BALANCER: Final = _DEPLOY / 'balancer.py'
#: The platform kills a program that does not end by itself.
_GRACE_SECONDS: Final = 6.0
#: Until the agents run that start before their upstreams.
_AGENTS_SECONDS: Final = 4.0


class Program:
    """One program; it is ended by its process id, and only by us."""

    def __init__(
        self, place: ProgramPlace, path: Path, log: Path, launcher: Path
    ) -> None:
        """Start nothing yet."""
        self.launcher = launcher
        self.place = place
        self.path = path
        self.log = log
        self.process: subprocess.Popen[bytes] | None = None
        self.asked_to_stop: float | None = None

    def start(self) -> None:
        """Start it with its settings file."""
        self.asked_to_stop = None
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(  # noqa: S603
                [sys.executable, str(self.launcher), str(self.path)],
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal if it runs."""
        if self.process is not None and self.process.poll() is None:
            if number == signal.SIGTERM:
                self._ask_to_stop(self.process)
            else:
                self.process.send_signal(number)

    def kill(self) -> None:
        """End it without notice."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process = None

    def check_end(self) -> str | None:
        """Return what is wrong if it ended; forget it if all is right."""
        if self.process is None:
            return None
        status = self.process.poll()
        if status is None:
            return None
        self.process = None
        if self.asked_to_stop is None:
            return f'ended by itself with {status}'
        return None if status == 0 else f'stopped with {status}'

    def _ask_to_stop(self, process: subprocess.Popen[bytes]) -> None:
        if takes_signal(process.pid, signal.SIGTERM):
            self.asked_to_stop = time.monotonic()
            process.send_signal(signal.SIGTERM)
        else:
            # Not even the interpreter runs yet; its status says nothing.
            self.kill()


class World:
    """Programs, proxies, upstreams, callers and the truth."""

    def __init__(
        self,
        seed: int,
        folder: Path,
        *,
        has_features: bool = False,
        fleet: Fleet = SMALL_FLEET,
        balancer: Path = BALANCER,
    ) -> None:
        """Write settings into the folder; nothing runs yet.

        ``balancer`` is the file that starts balancers.
        """
        self.balancer = balancer
        self.fleet = fleet
        self.has_features = has_features
        #: What settings say of the fleet; no harm, since agents may be older.
        self.is_first_start = False
        self.random = Random(seed)
        self.folder = folder
        self.truth = Truth(fleet.config_seconds)
        self.places = make_places(fleet)
        self.balancers = [one for one in self.places if not one.service]
        self.agents = [one for one in self.places if one.service]
        names = ('callers', 'ready', 'control', 'store', 'app', 'outbound')
        self.ports = dict(zip(names, find_free_ports(6), strict=True))
        self.store = PacketStore('127.0.0.1')
        proxied = self.places if fleet.is_proxied else []
        self.mesh = DatagramMesh(self.random, proxied)
        self.store_relays = {
            place.name: StreamRelay((STORE, place.store), self.store.address)
            for place in self.balancers
        }
        self.relays = [*self.store_relays.values(), *self._make_relays()]
        ports = Ports(self.ports['app'], self.ports['outbound'])
        self.upstreams = [
            Upstream(
                self.random,
                self.truth,
                self.store,
                place,
                ports,
                fleet,
            )
            for place in self.agents
        ]
        self.routers = Routers(self.balancers, self.ports['ready'])
        self.programs = [self._make_program(one) for one in self.places]
        self.version = 0
        self.routes = list(ROUTES[:2])
        #: Services of routes, by name, where they differ from ROUTES.
        self.moved: Mapping[str, tuple[TrafficShare, ...]] = {}
        #: Routes that no caller uses.
        self.unused_routes: list[PacketRoute] = []
        self.hosts: list[CallerHost] = []

    async def start(self, stack: AsyncExitStack) -> None:
        """Open everything; the stack closes it."""
        stack.callback(self.store.close)
        self.publish()
        await self.mesh.open()
        stack.callback(self.mesh.close)
        for relay in self.relays:
            await relay.open()
            stack.callback(relay.close)
        for upstream in self.upstreams:
            await upstream.open()
            stack.callback(upstream.close)
            self._run(stack, upstream.run())
        stack.callback(self._kill_programs)
        await self._start_all()
        self._run(stack, self.routers.run())
        self._run(stack, self._watch_programs())
        for host in CALLERS:
            await self._start_callers(stack, host)

    def start_missing(self) -> None:
        """Start the programs that do not run."""
        for program in self.programs:
            if program.process is None:
                program.start()

    async def wait_for_stopped(self) -> None:
        """Wait until programs that were asked to stop have ended."""
        while any(
            one.process is not None and one.asked_to_stop is not None
            for one in self.programs
        ):
            await asyncio.sleep(0.05)

    def replace_upstream(self, upstream: Upstream, service: str) -> None:
        """Start another upstream, and tell its agent of its service."""
        upstream.service = service
        program = next(
            one for one in self.programs if one.place is upstream.place
        )
        place = upstream.place._replace(service=service)
        self._write_settings(place, program.path)
        program.send(signal.SIGHUP)
        upstream.start()

    def change_settings(self) -> None:
        """Change a setting of all agents, and tell them."""
        self.is_first_start = not self.is_first_start
        for program in self.programs:
            if program.place.service:
                self._write_settings(program.place, program.path)
                program.send(signal.SIGHUP)

    def leave_zone(self, zone: str) -> None:
        """Take an availability zone out of service."""
        self.store.put(make_evacuation_key(zone), {})

    def return_zone(self, zone: str) -> None:
        """Bring an availability zone back."""
        self.store.remove(make_evacuation_key(zone))

    def toggle_spare_route(self) -> None:
        """Add the spare route, or drop it."""
        spare = ROUTES[-1]
        now = time.monotonic()
        if spare in self.routes:
            self.routes.remove(spare)
        else:
            self.routes.append(spare)
        self.publish()
        if spare in self.routes:
            self.truth.dropped.pop(spare.name, None)
            self.truth.added[spare.name] = now
        else:
            self.truth.dropped[spare.name] = time.monotonic()
        for host in self.hosts:
            host.routes = list(ROUTES)

    def move_routes(
        self,
        moved: Mapping[str, tuple[TrafficShare, ...]],
    ) -> None:
        """Send routes to these services, by name, and others as at first."""
        self.moved = moved
        self.publish()

    def publish(self) -> None:
        """Write the routes into the store."""
        self.version += self.random.randrange(1, 5)
        routes = [
            route._replace(shares=self.moved.get(route.name, route.shares))
            for route in (*self.routes, *self.unused_routes)
        ]
        known = routes if self.moved else ROUTES
        services = {share.service for route in known for share in route.shares}
        for route in routes:
            self.truth.allow(route)
        document = make_routes_document(self.version, routes, services)
        self.store.put(ROUTES_KEY, document)

    async def _start_all(self) -> None:
        if self.fleet.starts_agents_first:
            self.start_missing()
            await asyncio.sleep(_AGENTS_SECONDS)
        for upstream in self.upstreams:
            upstream.start()
        self.start_missing()

    def _make_relays(self) -> list[StreamRelay]:
        """Return the ways on which balancers read each other's catalogs."""
        return [
            StreamRelay(
                (target.host, reader.control),
                (target.host, target.control),
            )
            for reader in self.balancers
            for target in self.balancers
            if reader is not target
        ]

    def _make_program(self, place: ProgramPlace) -> Program:
        path = self.folder / f'{place.name}.ini'
        self._write_settings(place, path)
        log = self.folder / f'{place.name}.log'
        launcher = _AGENT if place.service else self.balancer
        return Program(place, path, log, launcher)

    def _write_settings(self, place: ProgramPlace, path: Path) -> None:
        template = AGENT_INI if place.service else BALANCER_INI
        if self.has_features:
            template += FEATURES_INI
        seeds = [
            f'{one.host}:{place.control}'
            for one in self.balancers[:3]
            if one is not place
        ]
        fields: dict[str, Any] = {
            **self.ports,
            **place._asdict(),
            'seeds': ','.join(seeds),
            'store_host': STORE,
            'first_start': self.is_first_start,
        }
        # Readers of the file must never see half of it.
        later = path.with_suffix('.new')
        later.write_text(template.format(**fields))
        os.replace(later, path)

    async def _start_callers(self, stack: AsyncExitStack, host: str) -> None:
        port = self.ports['callers']
        caller = CallerHost(self.random, self.truth, self.routers, host, port)
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: caller,
            local_addr=(host, port),
        )
        stack.callback(caller.transport.close)
        self.hosts.append(caller)
        for _ in range(self.fleet.callers):
            self._run(stack, caller.run())

    def _run(self, stack: AsyncExitStack, work: Any) -> None:
        task = asyncio.create_task(work)

        async def cancel() -> None:
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task

        stack.push_async_callback(cancel)

    async def _watch_programs(self) -> None:
        """Report programs that end by themselves, kill those that do not."""
        while True:
            await asyncio.sleep(0.05)
            for program in self.programs:
                wrong = program.check_end()
                if wrong is not None:
                    name = program.place.name
                    self.truth.report(wrong, program=name)
                self._check_grace(program)

    def _check_grace(self, program: Program) -> None:
        since = program.asked_to_stop
        if program.process is None or since is None:
            return
        if time.monotonic() - since > _GRACE_SECONDS:
            program.kill()
            self.truth.report('did not stop', program=program.place.name)

    def _kill_programs(self) -> None:
        for program in self.programs:
            program.kill()
