"""A small site in one process: platform, fabric, keelgap and upstreams."""

import os
import socket
import tempfile
from contextlib import AsyncExitStack, ExitStack
from pathlib import Path
from random import Random
from typing import Any, Final, NamedTuple

import msgspec

from keelgap.addresses import Address
from keelgap.conf import (
    ConfigServiceSettings,
    InstanceSettings,
    KeySettings,
    ListenSettings,
)
from keelgap_agent.conf import (
    AgentSettings,
    LimitSettings,
    TlsSettings,
    UpstreamSettings,
)
from keelgap_agent.server import AgentServer
from keelgap_balancer.commands.example import make_keys
from keelgap_balancer.conf import BalancerSettings, DrainSettings
from keelgap_balancer.server import BalancerServer
from keelgap_standins.certificates import write_certificate
from keelgap_standins.config_service import ConfigService
from keelgap_standins.fabric import Fabric
from keelgap_standins.upstream import Upstream

__all__ = ('RunningAgent', 'RunningBalancer', 'ServiceSpec', 'Site')

_DATA_PORT: Final = 7001
_CONTROL_PORT: Final = 7002
_ADMIN_PORT: Final = 7003
_UPSTREAM_PORT: Final = 8080
_CONFIG_PORT: Final = 8500
_FIRST_SERVICE_PORT: Final = 4430
_ZONES: Final = ('zone-a', 'zone-b', 'zone-c')


class ServiceSpec(NamedTuple):
    """A service of the site, its traffic classes and its upstreams' limits."""

    name: str
    classes: tuple[dict[str, Any], ...] = ()
    slots: int = 3
    connections: int = 2000


class RunningBalancer(NamedTuple):
    """A balancer and the exit stack that closes it."""

    name: str
    server: BalancerServer
    stack: AsyncExitStack


class RunningAgent(NamedTuple):
    """An agent, its upstream and the exit stack that closes both."""

    name: str
    service: str
    server: AgentServer
    upstream: Upstream
    stack: AsyncExitStack


class Site:
    """Start and stop the processes of a site; publish table and instances."""

    def __init__(
        self,
        services: tuple[ServiceSpec, ...],
        random: Random,
        stack: AsyncExitStack,
    ) -> None:
        """Prepare addresses, keys and a certificate; bind no socket yet."""
        self.services = services
        self.stack = stack
        self.prefix = _choose_free_prefix()
        self.directory = Path(
            stack.enter_context(tempfile.TemporaryDirectory()),
        )
        make_keys(self.directory)
        write_certificate(self.directory, self.host(1))
        self.config_service = ConfigService()
        self.fabric = Fabric(
            self.host(1),
            random,
            stack.enter_context(ExitStack()),
        )
        self.revision = 0
        self.instances_revision = 0
        self.upstream_rows: dict[str, dict[str, Any]] = {}
        self.balancers: dict[str, RunningBalancer] = {}
        self.agents: dict[str, RunningAgent] = {}
        #: Agents that have left, kept for the counters of their upstreams.
        self.retired_agents: list[RunningAgent] = []
        self.instance_rows: dict[str, dict[str, Any]] = {}
        self.last_host_number = 10

    def host(self, number: int) -> str:
        """Return a loopback address of the site's own network."""
        return f'{self.prefix}.{number}'

    def get_service_port(self, service: str) -> int:
        """Return the public port of a service."""
        names = [spec.name for spec in self.services]
        return _FIRST_SERVICE_PORT + names.index(service)

    def get_public_address(self, service: str) -> Address:
        """Return the address that callers of a service use."""
        return Address(self.host(1), self.get_service_port(service))

    async def start(self, balancers: int, agents: int) -> None:
        """Start the platform, all balancers, and the agents of each service.

        ``agents`` is the number per service.
        """
        await self.config_service.start(
            Address(self.host(2), _CONFIG_PORT), self.stack
        )
        for spec in self.services:
            self.fabric.open_service(self.get_service_port(spec.name))
        for index in range(balancers):
            await self.start_balancer(f'balancer-{index + 1}')
        for spec in self.services:
            for index in range(agents):
                await self.start_agent(f'{spec.name}-{index + 1}', spec)
        self.publish_table()
        self.publish_instances()

    async def start_balancer(self, name: str) -> RunningBalancer:
        """Start a balancer and add it to the fabric and the instance list."""
        host = self._allocate_host()
        settings = BalancerSettings(
            self._make_instance(name, host),
            self._make_listen(),
            self._make_config_service(),
            self._make_keys(),
            DrainSettings(0.5, 20),
        )
        stack = await self.stack.enter_async_context(AsyncExitStack())
        server = BalancerServer(settings)
        await server.start(stack)
        running = RunningBalancer(name, server, stack)
        self.balancers[name] = running
        self._add_instance(name, 'balancer', host)
        self.fabric.balancers.append(host)
        return running

    async def start_agent(self, name: str, spec: ServiceSpec) -> RunningAgent:
        """Start an upstream and its agent; add them to table and instances.

        The new row takes effect with the next publish_table().
        """
        host = self._allocate_host()
        stack = await self.stack.enter_async_context(AsyncExitStack())
        upstream = Upstream(spec.name, name)
        await upstream.start(Address(host, _UPSTREAM_PORT), stack)
        server = AgentServer(self._make_agent_settings(name, host, spec))
        await server.start(stack)
        running = RunningAgent(name, spec.name, server, upstream, stack)
        self.agents[name] = running
        self.upstream_rows[name] = {
            'name': name,
            'service': spec.name,
            'agent': f'{host}:{_DATA_PORT}',
            'slots': spec.slots,
            'connections': spec.connections,
        }
        self._add_instance(name, 'agent', host)
        return running

    async def replace_balancer(self, name: str, successor: str) -> None:
        """Start a successor, then stop a balancer gracefully."""
        await self.start_balancer(successor)
        self.mark_leaving(name)
        leaving = self.balancers.pop(name)
        host = leaving.server.settings.instance.address
        self.fabric.balancers.remove(host)
        await leaving.server.drain()
        await leaving.stack.aclose()
        self.remove_instance(name)

    async def kill_balancer(self, name: str) -> None:
        """Stop a balancer abruptly; the fabric sends it nothing more."""
        dead = self.balancers.pop(name)
        await dead.stack.aclose()
        host = dead.server.settings.instance.address
        self.fabric.balancers.remove(host)

    async def kill_agent(self, name: str) -> None:
        """Stop an agent and its upstream abruptly.

        The table and the instance list still contain the agent.
        """
        await self.agents[name].stack.aclose()

    async def restart_agent(self, name: str) -> None:
        """Restart a killed agent and its upstream at the same address."""
        dead = self.agents[name]
        stack = await self.stack.enter_async_context(AsyncExitStack())
        host = dead.server.settings.instance.address
        await dead.upstream.start(Address(host, _UPSTREAM_PORT), stack)
        server = AgentServer(dead.server.settings)
        await server.start(stack)
        self.agents[name] = dead._replace(server=server, stack=stack)

    async def retire_agent(self, name: str) -> None:
        """Drain an upstream by the table, and stop it once its flows end."""
        self.upstream_rows[name]['state'] = 'draining'
        self.publish_table()
        self.mark_leaving(name)
        leaving = self.agents[name]
        await leaving.server.drain()
        self.retired_agents.append(self.agents.pop(name))
        await leaving.stack.aclose()
        self.upstream_rows.pop(name)
        self.publish_table()
        self.remove_instance(name)

    def publish_table(self) -> None:
        """Publish the table under the next revision."""
        self.revision += 1
        document = {
            'revision': self.revision,
            'services': [
                {
                    'name': spec.name,
                    'number': index + 1,
                    'port': self.get_service_port(spec.name),
                }
                for index, spec in enumerate(self.services)
            ],
            'classes': [
                {'service': spec.name, **row}
                for spec in self.services
                for row in spec.classes
            ],
            'upstreams': list(self.upstream_rows.values()),
        }
        self.config_service.put('table', msgspec.json.encode(document))

    def publish_instances(self) -> None:
        """Publish the instance list, as the platform does."""
        self.instances_revision += 1
        document = {
            'revision': self.instances_revision,
            'instances': list(self.instance_rows.values()),
        }
        self.config_service.put('instances', msgspec.json.encode(document))

    def mark_leaving(self, name: str) -> None:
        """Mark an instance as leaving and publish the instance list."""
        self.instance_rows[name]['state'] = 'leaving'
        self.publish_instances()

    def remove_instance(self, name: str) -> None:
        """Remove an instance and publish the instance list."""
        self.instance_rows.pop(name)
        self.publish_instances()

    def list_upstreams(self) -> list[Upstream]:
        """Return all upstreams, including those that have left."""
        running = [*self.agents.values(), *self.retired_agents]
        return [agent.upstream for agent in running]

    def get_revisions(self) -> set[int]:
        """Return the table revisions in force in all processes."""
        balancers = {
            balancer.server.driver.state.table.revision
            for balancer in self.balancers.values()
        }
        agents = {
            agent.server.driver.state.table.revision
            for agent in self.agents.values()
        }
        return balancers | agents

    def _allocate_host(self) -> str:
        self.last_host_number += 1
        return self.host(self.last_host_number)

    def _add_instance(self, name: str, role: str, host: str) -> None:
        zone = _ZONES[len(self.instance_rows) % len(_ZONES)]
        self.instance_rows[name] = {
            'name': name,
            'role': role,
            'address': host,
            'data_port': _DATA_PORT,
            'control_port': _CONTROL_PORT,
            'availability_zone': zone,
        }
        if self.instances_revision:
            self.publish_instances()

    def _make_instance(self, name: str, host: str) -> InstanceSettings:
        zone = _ZONES[len(self.instance_rows) % len(_ZONES)]
        return InstanceSettings(name, host, zone)

    def _make_listen(self) -> ListenSettings:
        return ListenSettings(_DATA_PORT, _CONTROL_PORT, _ADMIN_PORT)

    def _make_config_service(self) -> ConfigServiceSettings:
        url = f'http://{self.host(2)}:{_CONFIG_PORT}'
        return ConfigServiceSettings(url, wait_seconds=5)

    def _make_keys(self) -> KeySettings:
        return KeySettings(
            str(self.directory / 'connection-ids-first.key'),
            str(self.directory / 'mac-first.key'),
            str(self.directory / 'curve-public.key'),
            str(self.directory / 'curve-secret.key'),
        )

    def _make_agent_settings(
        self,
        name: str,
        host: str,
        spec: ServiceSpec,
    ) -> AgentSettings:
        url = f'http://{host}:{_UPSTREAM_PORT}'
        return AgentSettings(
            self._make_instance(name, host),
            self._make_listen(),
            self._make_config_service(),
            self._make_keys(),
            UpstreamSettings(spec.name, url, '/state'),
            TlsSettings(
                str(self.directory / 'certificate.pem'),
                str(self.directory / 'certificate.key'),
            ),
            LimitSettings(),
        )


def _choose_free_prefix() -> str:
    """Return the first three octets of an unused loopback network."""
    random = Random(os.getpid())
    while True:
        prefix = f'127.{random.randint(1, 254)}.{random.randint(0, 254)}'
        if _is_free(prefix):
            return prefix


def _is_free(prefix: str) -> bool:
    probes = ((1, _FIRST_SERVICE_PORT), (11, _DATA_PORT))
    for number, port in probes:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            try:
                probe.bind((f'{prefix}.{number}', port))
            except OSError:
                return False
    return True
