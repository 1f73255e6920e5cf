"""The project's programs as processes, started as the deploy file says."""

import asyncio
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
import traceback
from pathlib import Path

from standins.client import Routers
from standins.record import Record
from standins.store import Store

ROOT = Path(__file__).resolve().parents[2]
_SECTION = re.compile(r'\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}', re.DOTALL)
_VALUE = re.compile(r'\{\{([\w.]+)\}\}')
#: A script may take 120 s; ending its processes takes some.
_LONGEST_SECONDS = 108.0


def fill_in(template, fields):
    """Fill in a template of the deploy file from flat fields."""

    def find(name):
        if name in fields:
            return fields[name]
        stem, _, index = name.rpartition('.')
        if index.isdigit() and stem in fields:
            return fields[stem].split(',')[int(index)]
        return ''

    def fill_section(match):
        kind, name, text = match.groups()
        is_there = bool(find(name))
        if is_there == (kind == '#'):
            return text.replace('{{.}}', find(name))
        return ''

    text = _SECTION.sub(fill_section, template)
    return _VALUE.sub(lambda match: find(match.group(1)), text)


def find_ports(host, count):
    """Return ports that are free on an address, for TCP and UDP."""
    ports = []
    port = random.randrange(11000, 24000)
    while len(ports) < count:
        port += 1
        try:
            with socket.socket() as stream:
                stream.bind((host, port))
            with socket.socket(type=socket.SOCK_DGRAM) as datagrams:
                datagrams.bind((host, port))
        except OSError:
            continue
        ports.append(port)
    return ports


class Program:
    """One process of the project."""

    def __init__(self, site, name, role, host, fields):
        self.site = site
        self.name = name
        self.role = role
        self.host = host
        self.fields = fields
        self.path = site.folder / f'{name}.conf'
        self.process = None

    def start(self):
        """Start it with the command of the deploy file."""
        role = self.site.deploy['roles'][self.role]
        self.write_settings()
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG') if name in os.environ
        }
        environment['KEELGAP_SETTINGS'] = str(self.path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        words = role['run'].split()
        if words[0] == 'python3':
            words[0] = sys.executable
        with (self.site.folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log,
            )
        self.site.record.write(f'{self.name} starts')

    def write_settings(self):
        """Fill in the settings file, as a whole and at once."""
        role = self.site.deploy['roles'][self.role]
        template = (ROOT / role['template']).read_text()
        later = self.path.with_suffix('.new')
        later.write_text(fill_in(template, self.fields))
        later.replace(self.path)
        self.site.record.write(f'the settings file of {self.name} is written')

    def signal(self, number):
        """Send a signal."""
        self.site.record.write(f'{self.name} gets {signal.Signals(number).name}')
        self.process.send_signal(number)

    async def stop(self, grace):
        """Stop it as planned work does; return whether it needed SIGKILL."""
        self.signal(signal.SIGTERM)
        loop = asyncio.get_running_loop()
        end = loop.time() + grace
        while self.process.poll() is None and loop.time() < end:
            await asyncio.sleep(0.02)
        is_late = self.process.poll() is None
        self.kill()
        self.site.record.write(f'{self.name} has ended')
        return is_late

    def kill(self):
        """End it."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def read_memory_mb(self):
        """Return the memory of its own in MB, without shared files.

        That is 0 if it does not run.
        """
        try:
            text = Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0
        for line in text.splitlines():
            if line.startswith('RssAnon'):
                return int(line.split()[1]) / 1000
        return 0


class Site:
    """A small site on loopback: fronts, agents, a store and routers."""

    def __init__(self, folder, fronts, *, bounds=(), contracts='', seeds=3):
        self.record = Record(folder / 'record.txt')
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        self.deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.net = f'127.{random.randrange(20, 220)}'
        names = ('data', 'peer', 'ready', 'control', 'store', 'app', 'outbound')
        ports = find_ports('127.0.0.1', len(names))
        self.ports = dict(zip(names, ports, strict=True))
        self.store = Store(self.record)
        self.bounds = dict(bounds)
        self.contracts = contracts
        hosts = [f'{self.net}.0.{n + 1}' for n in range(fronts)]
        self.seeds = ','.join(
            f'{host}:{self.ports["control"]}' for host in hosts[:seeds]
        )
        self.fronts = [
            self._make_front(n + 1, host) for n, host in enumerate(hosts)
        ]
        self.agents = []
        self.routers = Routers(self.record, hosts, self.ports['ready'])
        self.tasks = []
        #: What else ends with the site.
        self.closers = []

    def _make_fields(self, name, role, host):
        return {
            'Node': name,
            'Role': role,
            'Ip': host,
            'Zone': 'zone-a',
            'InternalPorts': f'{self.ports["peer"]},{self.ports["peer"]}',
            'Listen.DataAddr': f'{host}:{self.ports["data"]}',
            'Listen.Ready': f'{host}:{self.ports["ready"]}',
            'Bootstrap': 'true',
            'Contracts': self.contracts,
            'Limits.LinkMbps': '1000.0',
            **{f'Bounds.{key}': text for key, text in self.bounds.items()},
        }

    def _make_front(self, number, host):
        fields = self._make_fields(f'front-{number}', 'balancer', host)
        fields['Listen.Control'] = f'{host}:{self.ports["control"]}'
        fields['Seeds'] = self.seeds
        fields['platform.Address'] = f'{self.net}.9.1:{self.ports["store"]}'
        return Program(self, f'front-{number}', 'balancer', host, fields)

    def add_agent(self, number, service):
        """Return a further agent, which does not run yet."""
        host = f'{self.net}.1.{number}'
        fields = self._make_fields(f'side-{number}', 'agent', host)
        fields['Listen.outbound'] = f'{host}:{self.ports["outbound"]}'
        fields['Service'] = service
        fields['app'] = f'{host}:{self.ports["app"]}'
        agent = Program(self, f'side-{number}', 'agent', host, fields)
        self.agents.append(agent)
        return agent

    @property
    def target_ports(self):
        """Return the ports of a target and of the agent beside it."""
        return self.ports['app'], self.ports['outbound']

    async def open(self):
        """Open the store and start the routers."""
        await self.store.open(f'{self.net}.9.1', self.ports['store'])
        self.tasks.append(asyncio.create_task(self.routers.run()))

    async def wait_until_ready(self, seconds=20):
        """Wait until all fronts are in rotation; return whether they are."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            if not any(self.routers.misses.values()):
                return True
            await asyncio.sleep(0.1)
        return False

    def find_ended(self):
        """Return the programs that ended by themselves."""
        return [
            program.name
            for program in (*self.fronts, *self.agents)
            if program.process is not None and program.process.poll() is not None
        ]

    async def close(self):
        """End all that was started."""
        for task in self.tasks:
            task.cancel()
        for program in (*self.fronts, *self.agents):
            program.kill()
        for closer in self.closers:
            closer()
        self.store.close()
        self.record.close()
        if 'KEEP_LOGS' in os.environ:
            shutil.copytree(
                self.folder, os.environ['KEEP_LOGS'], dirs_exist_ok=True,
            )
        self.temporary.cleanup()


def make_route(name, host, port, service, **fields):
    """Return a route of the operator's configuration."""
    return {
        'Name': name,
        'Host': host,
        'Prefix': f'/{port}/',
        'Type': 'unsafe',
        'TimeoutMs': 5000,
        'SloMs': 333,
        'Priority': 1,
        'Service': service,
        'Attempts': 2,
        **fields,
    }


def make_config(version, routes, services):
    """Return the operator's configuration."""
    return {
        'Version': version,
        'Routes': routes,
        'Services': [
            {
                'Name': name, 'HealthPath': '/healthz', 'MaxConns': 2000,
                'Protocol': 'h1', 'Tls': False,
            }
            for name in services
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 262144,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
    }


def run_case(folder, fronts, play):
    """Play a case on a site; return the exit status of its script."""
    return asyncio.run(_run_case(folder, fronts, play))


async def _run_case(folder, fronts, play):
    site = Site(folder, fronts)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    could_run = False
    try:
        async with asyncio.timeout(_LONGEST_SECONDS):
            could_run = await play(site)
    except (TimeoutError, asyncio.CancelledError):
        site.record.write('it took too long or was told to stop')
    except Exception:
        # Not a broken rule, as the status 1 of an uncaught error would say.
        traceback.print_exc()
    finally:
        broken = len(site.record.broken)
        site.record.write(f'could run: {could_run}; broken: {broken}')
        await site.close()
    if not could_run:
        return 2
    return 1 if broken else 0
