"""The demo: a whole site on loopback, changed while callers use it.

Three balancers, four agents, two services.  While short requests, a long
upload and a long feed run, the table is edited, a balancer is replaced and an
upstream is replaced.  Nothing may break.
"""

import asyncio
import sys
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from random import Random
from typing import Final, TypedDict

import fire
import msgspec

from keelgap.logs import logger
from keelgap_standins.load import (
    Tally,
    run_feed,
    run_short_requests,
    run_upload,
)
from keelgap_standins.site import ServiceSpec, Site

__all__ = ('DemoReport', 'run_demo')

_CALLERS_A_SERVICE: Final = 4
_FEED_EVENTS: Final = 120
_FEED_PAUSE: Final = 0.1
_UPLOAD_OCTETS: Final = 4000000
_UPLOAD_PAUSE: Final = 0.1
_STEP_SECONDS: Final = 1.0
_LONGEST_SPREAD: Final = 10.0
_LONGEST_DEMO: Final = 55.0

_BOARD: Final = ServiceSpec(
    'board',
    (
        {
            'name': 'submission',
            'method': 'POST',
            'path_prefix': '/runs',
            'priority': 0,
            'at_most_once': True,
        },
        {'name': 'feed', 'path_prefix': '/feed', 'takes_slot': False},
    ),
)
_PROOF: Final = ServiceSpec(
    'proof',
    ({'name': 'upload', 'path_prefix': '/upload', 'takes_slot': False},),
)


class DemoReport(TypedDict):
    """What the demo measured."""

    requests: int
    answered_whole: int
    refused_not_run: int
    unknown: int
    run_twice: int
    flows: int
    broken_flows: int
    misrouted: int
    #: Largest load of an upstream divided by the mean of its service.
    imbalance: float
    table_seconds_to_everywhere: float
    rejected_and_retried: int
    reasons: dict[str, int]


class _Spread:
    """How long each edit took until it was in force everywhere."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.longest = 0.0  # noqa: WPS358
        self.loop = asyncio.get_running_loop()

    async def wait(self) -> None:
        """Wait until the newest revision is in force in every process."""
        started = self.loop.time()
        revision = self.site.revision
        async with asyncio.timeout(_LONGEST_SPREAD):
            while min(self.site.get_revisions()) < revision:
                await asyncio.sleep(0.01)
        self.longest = max(self.longest, self.loop.time() - started)


async def run_demo(seed: int) -> DemoReport:
    """Run the demo and return its report."""
    random = Random(seed)  # noqa: S311
    tally = Tally()
    async with AsyncExitStack() as stack:
        site = Site((_BOARD, _PROOF), random, stack)
        await site.start(3, 2)
        spread = _Spread(site)
        await spread.wait()
        spread.longest = 0
        async with _callers(site, tally, random):
            await _replace_balancer(site, spread)
            await _replace_upstream(site, spread)
        return _make_report(site, tally, spread)


def _make_report(site: Site, tally: Tally, spread: _Spread) -> DemoReport:
    runs: Counter[str] = Counter()
    for upstream in site.list_upstreams():
        runs.update(upstream.runs)
    counts = tally.counts
    return DemoReport(
        requests=counts['requests'],
        answered_whole=counts['answered_whole'],
        refused_not_run=counts['refused_not_run'],
        unknown=counts['unknown'],
        run_twice=sum(count > 1 for count in runs.values()),
        flows=counts['flows'],
        broken_flows=counts['broken_flows'],
        misrouted=counts['misrouted'],
        imbalance=round(_compute_imbalance(site), 3),
        table_seconds_to_everywhere=round(spread.longest, 3),
        rejected_and_retried=counts['rejected_and_retried'],
        reasons=dict(tally.reasons),
    )


@asynccontextmanager
async def _callers(
    site: Site,
    tally: Tally,
    random: Random,
) -> AsyncIterator[None]:
    """Run all callers; wait for the long ones at the end."""
    stop = asyncio.Event()
    async with asyncio.TaskGroup() as group:
        group.create_task(run_feed(site, tally, _FEED_EVENTS, _FEED_PAUSE))
        group.create_task(
            run_upload(site, tally, _UPLOAD_OCTETS, _UPLOAD_PAUSE),
        )
        for service in ('board', 'proof'):
            for _ in range(_CALLERS_A_SERVICE):
                group.create_task(
                    run_short_requests(site, service, tally, random, stop),
                )
        await asyncio.sleep(_STEP_SECONDS)
        yield
        await asyncio.sleep(_STEP_SECONDS)
        stop.set()


async def _publish(site: Site, spread: _Spread) -> None:
    site.publish()
    await spread.wait()


async def _replace_balancer(site: Site, spread: _Spread) -> None:
    """Edit a weight, then replace a balancer under load."""
    site.rows['board-1']['weight'] = 2
    await _publish(site, spread)
    await site.replace_balancer('balancer-1', 'balancer-4')
    await asyncio.sleep(_STEP_SECONDS)


async def _replace_upstream(site: Site, spread: _Spread) -> None:
    """Add an upstream, then drain and retire another under load."""
    await site.start_agent('board-3', _BOARD)
    await _publish(site, spread)
    site.rows['board-2']['state'] = 'draining'
    await _publish(site, spread)
    await site.retire_agent('board-2')
    await asyncio.sleep(_STEP_SECONDS)
    site.rows['board-1']['weight'] = 1
    await _publish(site, spread)


def _compute_imbalance(site: Site) -> float:
    """Return max/mean of the load of upstreams, the worst of all services."""
    by_service: dict[str, list[float]] = {}
    for agent in site.agents.values():
        loads = by_service.setdefault(agent.service, [])
        loads.append(agent.upstream.load)
    return max(
        max(loads) * len(loads) / (sum(loads) or 1)
        for loads in by_service.values()
    )


def _describe(report: DemoReport) -> str:
    width = max(map(len, report))
    lines = [f'{name:<{width}}  {value}' for name, value in report.items()]
    verdict = 'nothing broke' if _is_whole(report) else 'SOMETHING BROKE'
    return '\n'.join(('keelgap demo', *lines, verdict))


def _is_whole(report: DemoReport) -> bool:
    return not (
        report['broken_flows']
        or report['misrouted']
        or report['run_twice']
        or report['unknown']
    )


def main(*, json: bool = False, seed: int = 1) -> None:
    """Run the demo; exit 0 only if nothing broke."""
    logger.disable('keelgap')
    report = asyncio.run(asyncio.wait_for(run_demo(seed), _LONGEST_DEMO))
    if json:
        print(msgspec.json.encode(report).decode())  # noqa: WPS421
    else:
        print(_describe(report))  # noqa: WPS421
    sys.exit(0 if _is_whole(report) else 1)


if __name__ == '__main__':
    fire.Fire(main)
