"""A site with much traffic, whose stand-ins run in processes of their own."""

import asyncio
import sys
from pathlib import Path

from review_site import Site

STANDINS = Path(__file__).parent


class BusySite(Site):
    """A site whose targets and most clients run in processes of their own."""

    def __init__(self, record, folder):
        super().__init__(record, folder)
        self.helpers, self.target_helpers, self.client_helpers = [], [], []
        self.busy_targets = []
        self.told = None
        self.served = {}
        self.asking = asyncio.Lock()

    def add_side(self, zone, service, **options):
        """Add a side machine, whose target runs in another process."""
        machine = super().add_side(zone, service, **options)
        self.busy_targets.append(self.targets.pop())
        return machine

    async def start_targets(self, processes):
        """Start all targets, and register them in the store."""
        hosts = [machine.host for machine in self.sides]
        for number in range(processes):
            helper = await self.run_helper(
                'busy_targets.py', self.ports.app, self.ports.outbound,
                *hosts[number::processes],
            )
            self.target_helpers.append(helper)
            await helper.stdout.readline()
        for target in self.busy_targets:
            target.id = f'{target.machine.name}-1'
            target.report()

    async def start_client(self, route, rate, ports=(1024, 65535)):
        """Start a client address that opens so many flows a second."""
        number = len(self.client_helpers)
        helper = await self.run_helper(
            'busy_clients.py', f'{self.ports.net}.{230 + number}',
            self.ports.data, *route[:2], rate, *ports,
        )
        self.client_helpers.append(helper)
        self.tasks.append(
            asyncio.create_task(self.follow_load(helper, number))
        )
        if not number:
            self.tasks.append(asyncio.create_task(self.steer()))
        self.told = None

    async def run_helper(self, name, *arguments):
        """Start a stand-in process."""
        helper = await asyncio.create_subprocess_exec(
            sys.executable, str(STANDINS / name), *map(str, arguments),
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
        )
        self.helpers.append(helper)
        return helper

    async def ask(self, helper, line):
        """Return the answer of a target process."""
        async with self.asking:
            helper.stdin.write(f'{line}\n'.encode())
            return (await helper.stdout.readline()).decode().strip()

    async def find_holder(self, key):
        """Return the host of the target that holds a flow, or 'nobody'."""
        for helper in self.target_helpers:
            host = await self.ask(helper, f'holds {key[0]} {key[1]}')
            if host != 'nobody':
                return host
        return 'nobody'

    async def follow_load(self, helper, number):
        """Read what a client process counts."""
        while line := await helper.stdout.readline():
            words = line.decode().split()
            if words[0] in ('reset', 'silent'):
                host = f'{self.ports.net}.{230 + number}'
                holder = await self.find_holder((host, int(words[1])))
                self.on_long(host, *words, holder)
            else:
                self.served[number] = [int(one) for one in words]

    def on_long(self, host, what, sport, age, requests, holder):
        """Take note of what became of a long flow of a client process."""
        self.record.note(
            f'long flow {host}:{sport} {what} at age {age} during request '
            f'{requests}; target beside {holder} holds it'
        )

    async def steer(self):
        """Tell client processes which front machines are in rotation."""
        while True:
            hosts = [one.host for one in self.fronts]
            ready = [one for one in hosts if self.misses.get(one, 2) < 2]
            ready = ready or hosts
            if ready != self.told:
                self.told = ready
                self.record.note(f'in rotation: {ready}')
                for helper in self.client_helpers:
                    helper.stdin.write((' '.join(ready) + '\n').encode())
            await asyncio.sleep(0.1)

    def close(self):
        """End all processes."""
        for helper in self.helpers:
            if helper.returncode is None:
                helper.kill()
        super().close()
