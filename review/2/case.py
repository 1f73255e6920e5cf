"""Open flows after their routes were given other services."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.client import Client, ClientFlow  # noqa: E402
from standins.programs import make_config, make_route, run_case  # noqa: E402
from standins.target import Target  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
#: The pages' StableWindowMs and GraceS, in seconds.
STABLE_SECONDS = 4.0
GRACE_SECONDS = 6.0
#: Long flows of each route.
FLOWS = 16
#: The longest work of a request on the sheet.
WORK_SECONDS = 0.31
FORMER, LATER = 'board-1', 'board-2'
SERVICES = (FORMER, LATER)
#: A route with one service, and one whose flows are shared out to two.
PLAIN_PORT, SHARED_PORT = 443, 8443


async def use_flow(flow, number, answered, ended):
    """Send a request now and then on one open flow until told to end."""
    count = 0
    while not ended.is_set() and not flow.ended:
        count += 1
        request_id = f'f{number}-{count}'
        if await flow.request(request_id, 5.0):
            answered.add(request_id)
        await asyncio.sleep(0.4)


def make_version(version, host, service, weights):
    """Return a version of the configuration."""
    backends = [
        {'Service': name, 'Weight': weight} for name, weight in weights.items()
    ]
    return make_config(
        version,
        [
            make_route('r-plain', host, PLAIN_PORT, service),
            make_route(
                'r-shared', host, SHARED_PORT, service, Backends=backends,
            ),
        ],
        SERVICES,
    )


def check_resets(site, targets, flows):
    """Break the rule for each reset of a flow that its target holds."""
    for flow in flows:
        holders = [one.name for one in targets if one.holds(flow.key)]
        if flow.was_reset_by_system and holders:
            site.record.break_rule(
                f'FLOW: {flow.key} was reset by the system, and {holders[0]} '
                'holds it open and lives',
            )


async def play(site):
    """Play the case; return whether it could run."""
    host = f'{site.net}.8.1'
    targets = []
    ran = set()
    await site.open()
    before = make_version(3, host, FORMER, {FORMER: 50, LATER: 50})
    await site.store.put('op/config', before)
    for number, service in enumerate((FORMER, FORMER, LATER, LATER), start=1):
        agent = site.add_agent(number, service)
        agent.start()
        target = Target(
            site.record, site.store, f't-{number}', service, agent.host,
            site.target_ports, work_seconds=WORK_SECONDS,
        )
        target.on_request = lambda target, request_id: ran.add(request_id)
        await target.start()
        targets.append(target)
    for front in site.fronts:
        front.start()
    if not await site.wait_until_ready():
        return False
    await asyncio.sleep(2)
    client = Client(site.record, site.routers, f'{site.net}.2.1',
                    site.ports['data'])
    await client.open()
    flows = [
        ClientFlow(client, 40000 + n, (host, port))
        for n in range(FLOWS) for port in (PLAIN_PORT, SHARED_PORT)
    ]
    opened = await asyncio.gather(*(flow.open() for flow in flows))
    if not all(opened):
        return False
    ended = asyncio.Event()
    answered = set()
    users = [
        asyncio.create_task(use_flow(flow, number, answered, ended))
        for number, flow in enumerate(flows)
    ]
    await asyncio.sleep(2)
    # The operator moves one route, and takes one service out of the other.
    # Both routes stay, and so do the targets of both services.
    after = make_version(5, host, LATER, {LATER: 100})
    await site.store.put('op/config', after)
    await asyncio.sleep(2 * STABLE_SECONDS)
    if TROUBLE:
        front = site.fronts[0]
        if await front.stop(GRACE_SECONDS):
            site.record.write('it did not stop in time')
        await asyncio.sleep(0.5)
        front.start()
    await asyncio.sleep(3 * STABLE_SECONDS)
    check_resets(site, targets, flows)
    ended.set()
    await asyncio.gather(*users)
    lost = sorted(ran - answered)
    site.record.write(f'requests that ran and were not answered: {lost}')
    probe = ClientFlow(client, 41000, (host, PLAIN_PORT))
    is_served = await probe.open() and await probe.request('probe', 5.0)
    by = [one.name for one in targets if one.holds(probe.key)]
    site.record.write(f'a new flow is served: {is_served}, by {by}')
    return not site.find_ended()


if __name__ == '__main__':
    sys.exit(run_case(Path(__file__).resolve().parent, 2, play))
