"""The two programs as real processes, and the operators' commands."""

import asyncio
import json
import signal
import sys
import tempfile
from asyncio.subprocess import PIPE, Process
from contextlib import AsyncExitStack
from pathlib import Path
from random import Random
from unittest import IsolatedAsyncioTestCase

from keelgap.addresses import Address
from keelgap_standins.caller import open_caller
from keelgap_standins.site import ServiceSpec, Site
from keelgap_standins.upstream import Upstream

_BIN = Path(sys.executable).parent
_ADDRESS_LINES = 'data_port = 7001\ncontrol_port = 7002\nadmin_port = 7003\n'


class ProgramTests(IsolatedAsyncioTestCase):
    """One balancer and one agent, started as operators start them."""

    async def asyncSetUp(self) -> None:
        """Prepare the platform and the settings files."""
        asyncio.get_running_loop().set_debug(enabled=False)
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.site = Site((ServiceSpec('board'),), Random(2), self.stack)
        await self.site.start(0, 0)
        self.directory = Path(
            self.stack.enter_context(tempfile.TemporaryDirectory()),
        )

    async def start_program(self, program: str, *arguments: str) -> Process:
        """Start a program; it is killed at the end if it still runs."""
        process = await asyncio.create_subprocess_exec(
            _BIN / program,
            *arguments,
            stdout=PIPE,
            stderr=PIPE,
        )

        def kill_if_running() -> None:
            if process.returncode is None:
                process.kill()

        self.stack.callback(kill_if_running)
        return process

    async def run_program(
        self,
        program: str,
        *arguments: str,
    ) -> tuple[int, str, str]:
        """Run a program to its end; return status, output and errors."""
        process = await self.start_program(program, *arguments)
        output, errors = await process.communicate()
        return process.returncode or 0, output.decode(), errors.decode()

    def write_settings(self, name: str, host: str, extra: str) -> str:
        """Write a settings file and return its path."""
        keys = self.site.directory
        path = self.directory / f'{name}.ini'
        path.write_text(
            f'[instance]\nname = {name}\naddress = {host}\n'
            'availability_zone = zone-a\n'
            f'[listen]\n{_ADDRESS_LINES}'
            f'[config_service]\nurl = http://{self.site.host(2)}:8500\n'
            f'[keys]\nconnection_ids_first = {keys}/connection-ids-first.key\n'
            f'mac_first = {keys}/mac-first.key\n'
            f'curve_public = {keys}/curve-public.key\n'
            f'curve_secret = {keys}/curve-secret.key\n{extra}',
        )
        return str(path)

    async def test_programs_serve_and_stop_in_a_planned_way(self) -> None:
        """A request is served, the read-back tells, SIGTERM exits 0."""
        agent_host, balancer_host = self.site.host(31), self.site.host(32)
        keys = self.site.directory
        agent = await self.start_program(
            'keelgap-agent',
            'run',
            self.write_settings(
                'board-1',
                agent_host,
                f'[upstream]\nservice = board\nurl = http://{agent_host}:8080\n'
                f'[tls]\ncertificate = {keys}/certificate.pem\n'
                f'key = {keys}/certificate.key\n',
            ),
        )
        balancer = await self.start_program(
            'keelgap',
            'run',
            '--settings',
            self.write_settings(
                'balancer-1',
                balancer_host,
                '[drain]\nquiet_seconds = 0.2\n',
            ),
        )
        upstream = Upstream('board', 'board-1')
        await upstream.start(Address(agent_host, 8080), self.stack)
        self.site.upstream_rows['board-1'] = {
            'name': 'board-1',
            'service': 'board',
            'agent': f'{agent_host}:7001',
        }
        self.site.publish_table()
        self.site.fabric.balancers.append(balancer_host)
        admins = (f'{agent_host}:7003', f'{balancer_host}:7003')
        await self.wait_until_current(admins)
        async with open_caller(self.site.get_public_address('board')) as caller:
            answer = await caller.request('GET', '/hello')
        self.assertEqual(answer.body, b'board /hello')
        await self.check_read_back(admins[1])
        for process in (agent, balancer):
            process.send_signal(signal.SIGTERM)
        for process in (agent, balancer):
            _, errors = await process.communicate()
            self.assertEqual(process.returncode, 0, errors)
            self.assertNotIn(b'Warning', errors)
            events = [json.loads(line)['event'] for line in errors.splitlines()]
            self.assertEqual(events[0], 'started')
            self.assertIn('document_in_force', events)
            self.assertEqual(events[-2:], ['draining', 'stopped'])

    async def wait_until_current(self, admins: tuple[str, ...]) -> None:
        """Wait until ``keelgap status`` says that all are current."""
        async with asyncio.timeout(20):
            while True:
                status, output, _ = await self.run_program(
                    'keelgap',
                    'status',
                    *admins,
                    '--json',
                )
                revisions = [line['revision'] for line in json.loads(output)]
                if status == 0 and set(revisions) == {self.site.revision}:
                    return

    async def check_read_back(self, admin: str) -> None:
        """Compare ``show`` with what was published."""
        _, output, _ = await self.run_program(
            'keelgap',
            'show',
            'table',
            admin,
            '--json',
        )
        report = json.loads(output)
        revision = report['table']['revision']
        self.assertEqual(revision, self.site.revision)
        self.assertIsNone(report['table']['refused'])
        upstream_rows = report['content']['upstreams']
        self.assertEqual([row['name'] for row in upstream_rows], ['board-1'])
        _, output, _ = await self.run_program(
            'keelgap',
            'show',
            'upstreams',
            admin,
        )
        self.assertIn('board-1', output)

    async def test_bad_settings_end_without_a_traceback(self) -> None:
        """Every fault is told at once, with the nearest known name."""
        path = self.directory / 'bad.ini'
        path.write_text('[instance]\nnam = x\n[liste]\n')
        status, _, errors = await self.run_program(
            'keelgap',
            'run',
            '--settings',
            str(path),
        )
        self.assertEqual(status, 2)
        self.assertNotIn('Traceback', errors)
        self.assertIn("did you mean 'name'?", errors)
        self.assertIn("did you mean 'listen'?", errors)
        self.assertIn('keys.mac_first', errors)

    async def test_port_in_use_is_named(self) -> None:
        """The setting and the address stand in the message."""
        host = self.site.host(33)
        taken = Upstream('board', 'x')
        await taken.start(Address(host, 7003), self.stack)
        path = self.write_settings('balancer-1', host, '')
        status, _, errors = await self.run_program(
            'keelgap',
            'run',
            '--settings',
            path,
        )
        self.assertEqual(status, 2)
        self.assertIn(f'listen.admin_port: cannot bind {host}:7003', errors)
