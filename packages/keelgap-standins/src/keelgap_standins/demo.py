"""Demo of planned changes under load, with a whole site on loopback.

The site has three balancers, four agents and two services.  While short
requests, a long upload and a long feed run, the demo edits the table, replaces
a balancer and replaces an upstream.  No flow may break, and no request may be
misrouted, run twice or end with an unknown outcome.
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
    LoadStatistics,
    run_feed,
    run_short_requests,
    run_upload,
)
from keelgap_standins.site import ServiceSpec, Site

__all__ = ('DemoReport', 'run_demo')

_CALLERS_PER_SERVICE: Final = 4
_FEED_EVENTS: Final = 120
_FEED_PAUSE_SECONDS: Final = 0.1
_UPLOAD_OCTETS: Final = 4000000
_UPLOAD_PAUSE_SECONDS: Final = 0.1
_STEP_SECONDS: Final = 1.0
_MAX_PROPAGATION_SECONDS: Final = 10.0
_MAX_DEMO_SECONDS: Final = 55.0

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
    """Measurements of one run; the field names are the keys of the JSON."""

    requests: int
    answered_whole: int
    refused_not_run: int
    unknown: int
    run_twice: int
    flows: int
    broken_flows: int
    misrouted: int
    #: Maximum load of an upstream divided by the mean of its service; the
    #: largest of all services.
    imbalance: float
    table_seconds_to_everywhere: float
    rejected_and_retried: int
    reasons: dict[str, int]


class _PropagationTimer:
    """Measures how long edits take until they are in force everywhere."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.max_seconds = 0.0  # noqa: WPS358
        self.loop = asyncio.get_running_loop()

    async def wait(self) -> None:
        """Wait until the latest revision is in force in every process."""
        started = self.loop.time()
        revision = self.site.revision
        async with asyncio.timeout(_MAX_PROPAGATION_SECONDS):
            while min(self.site.get_revisions()) < revision:
                await asyncio.sleep(0.01)
        self.max_seconds = max(self.max_seconds, self.loop.time() - started)


async def run_demo(seed: int) -> DemoReport:
    """Run the demo and return its report."""
    random = Random(seed)  # noqa: S311
    statistics = LoadStatistics()
    async with AsyncExitStack() as stack:
        site = Site((_BOARD, _PROOF), random, stack)
        await site.start(3, 2)
        propagation = _PropagationTimer(site)
        await propagation.wait()
        propagation.max_seconds = 0
        async with _run_callers(site, statistics, random):
            await _replace_balancer(site, propagation)
            await _replace_upstream(site, propagation)
        return _make_report(site, statistics, propagation)


def _make_report(
    site: Site, statistics: LoadStatistics, propagation: _PropagationTimer
) -> DemoReport:
    run_counts: Counter[str] = Counter()
    for upstream in site.list_upstreams():
        run_counts.update(upstream.run_counts)
    counts = statistics.counts
    return DemoReport(
        requests=counts['requests'],
        answered_whole=counts['answered_whole'],
        refused_not_run=counts['refused_not_run'],
        unknown=counts['unknown'],
        run_twice=sum(count > 1 for count in run_counts.values()),
        flows=counts['flows'],
        broken_flows=counts['broken_flows'],
        misrouted=counts['misrouted'],
        imbalance=round(_compute_imbalance(site), 3),
        table_seconds_to_everywhere=round(propagation.max_seconds, 3),
        rejected_and_retried=counts['rejected_and_retried'],
        reasons=dict(statistics.reasons),
    )


@asynccontextmanager
async def _run_callers(
    site: Site,
    statistics: LoadStatistics,
    random: Random,
) -> AsyncIterator[None]:
    """Run all callers around the body of the ``async with`` statement.

    On exit, the callers of short requests stop, and the feed and the upload
    run to their end.
    """
    stop = asyncio.Event()
    async with asyncio.TaskGroup() as group:
        group.create_task(
            run_feed(site, statistics, _FEED_EVENTS, _FEED_PAUSE_SECONDS)
        )
        group.create_task(
            run_upload(site, statistics, _UPLOAD_OCTETS, _UPLOAD_PAUSE_SECONDS),
        )
        for service in ('board', 'proof'):
            for _ in range(_CALLERS_PER_SERVICE):
                group.create_task(
                    run_short_requests(site, service, statistics, random, stop),
                )
        await asyncio.sleep(_STEP_SECONDS)
        yield
        await asyncio.sleep(_STEP_SECONDS)
        stop.set()


async def _publish_table(site: Site, propagation: _PropagationTimer) -> None:
    site.publish_table()
    await propagation.wait()


async def _replace_balancer(site: Site, propagation: _PropagationTimer) -> None:
    """Edit a weight, then replace a balancer while callers run."""
    site.upstream_rows['board-1']['weight'] = 2
    await _publish_table(site, propagation)
    await site.replace_balancer('balancer-1', 'balancer-4')
    await asyncio.sleep(_STEP_SECONDS)


async def _replace_upstream(site: Site, propagation: _PropagationTimer) -> None:
    """Add an upstream, then drain and retire another while callers run."""
    await site.start_agent('board-3', _BOARD)
    await _publish_table(site, propagation)
    site.upstream_rows['board-2']['state'] = 'draining'
    await _publish_table(site, propagation)
    await site.retire_agent('board-2')
    await asyncio.sleep(_STEP_SECONDS)
    site.upstream_rows['board-1']['weight'] = 1
    await _publish_table(site, propagation)


def _compute_imbalance(site: Site) -> float:
    """Return the maximum of max/mean upstream load over all services."""
    by_service: dict[str, list[float]] = {}
    for agent in site.agents.values():
        loads = by_service.setdefault(agent.service, [])
        loads.append(agent.upstream.load)
    return max(
        max(loads) * len(loads) / (sum(loads) or 1)
        for loads in by_service.values()
    )


def _format_report(report: DemoReport) -> str:
    width = max(map(len, report))
    lines = [f'{name:<{width}}  {value}' for name, value in report.items()]
    verdict = 'nothing broke' if _is_successful(report) else 'SOMETHING BROKE'
    return '\n'.join(('keelgap demo', *lines, verdict))


def _is_successful(report: DemoReport) -> bool:
    return not (
        report['broken_flows']
        or report['misrouted']
        or report['run_twice']
        or report['unknown']
    )


def main(*, json: bool = False, seed: int = 1) -> None:
    """Run the demo; exit with status 0 only if nothing broke."""
    logger.disable('keelgap')
    report = asyncio.run(asyncio.wait_for(run_demo(seed), _MAX_DEMO_SECONDS))
    if json:
        print(msgspec.json.encode(report).decode())  # noqa: WPS421
    else:
        print(_format_report(report))  # noqa: WPS421
    sys.exit(0 if _is_successful(report) else 1)


if __name__ == '__main__':
    fire.Fire(main)
