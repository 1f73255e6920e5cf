"""Load generators, and counters of the responses that they receive."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from random import Random
from typing import Final

import msgspec

from keelgap_standins.caller import (
    Caller,
    CallerResponse,
    FlowBroken,
    RequestRejected,
    open_caller,
)
from keelgap_standins.site import Site

__all__ = ('LoadStatistics', 'run_feed', 'run_short_requests', 'run_upload')

_STATUS_OK: Final = 200
_MAX_ATTEMPTS: Final = 6
_REQUESTS_PER_FLOW: Final = 8
_KEYED_REQUEST_RATIO: Final = 0.4
_UNKNOWN_OUTCOMES: Final = (
    'outcome-unknown',
    'outcome-pending',
    'upstream-failed',
)


class LoadStatistics:
    """Counters of flows, requests and their outcomes."""

    def __init__(self) -> None:
        """Create counters at zero."""
        self.counts: Counter[str] = Counter()
        self.reasons: Counter[str] = Counter()

    def record_broken_flow(self, reason: object) -> None:
        """Count a flow that ended before its response was complete."""
        self.counts['broken_flows'] += 1
        self.reasons[f'broken: {reason!r}'] += 1

    def record_response(self, service: str, response: CallerResponse) -> None:
        """Count a response by its status, service and type of problem."""
        if response.status == _STATUS_OK:
            is_from_service = response.service == service
            self.counts[
                'answered_whole' if is_from_service else 'misrouted'
            ] += 1
            return
        problem = msgspec.json.decode(response.body)
        self.reasons[problem['reason']] += 1
        kind = problem['type'].rpartition('/')[2]
        name = 'unknown' if kind in _UNKNOWN_OUTCOMES else 'refused_not_run'
        self.counts[name] += 1


async def _retry_rejected(
    statistics: LoadStatistics,
    send_request: Callable[[], Awaitable[None]],
) -> None:
    """Send a request until it is not rejected as unprocessed."""
    for _ in range(_MAX_ATTEMPTS):
        try:
            await send_request()
        except RequestRejected:
            statistics.counts['rejected_and_retried'] += 1
        except (FlowBroken, ConnectionError, TimeoutError) as error:
            statistics.record_broken_flow(error)
            return
        else:
            return
    statistics.record_broken_flow('rejected too often')


async def run_short_requests(
    site: Site,
    service: str,
    statistics: LoadStatistics,
    random: Random,
    stop: asyncio.Event,
) -> None:
    """Open flows one after the other and send some requests on each."""
    while not stop.is_set():
        async with AsyncExitStack() as stack:
            caller = await _open_flow(site, service, statistics, stack)
            if caller is None:
                continue
            for _ in range(_REQUESTS_PER_FLOW):
                if not caller.is_open or stop.is_set():
                    break
                await _send_random_request(caller, service, statistics, random)
                await asyncio.sleep(random.uniform(0.01, 0.05))


async def _open_flow(
    site: Site,
    service: str,
    statistics: LoadStatistics,
    stack: AsyncExitStack,
) -> Caller | None:
    statistics.counts['flows'] += 1
    try:
        return await stack.enter_async_context(
            open_caller(site.get_public_address(service)),
        )
    except (ConnectionError, TimeoutError) as error:
        statistics.record_broken_flow(error)
        return None


async def _send_random_request(
    caller: Caller,
    service: str,
    statistics: LoadStatistics,
    random: Random,
) -> None:
    async def send_request() -> None:
        work_query = f'work={random.uniform(0.005, 0.02):.4f}'
        if service == 'board' and random.random() < _KEYED_REQUEST_RATIO:
            ticket = await caller.get_ticket()
            key = f'{ticket}.{random.getrandbits(32):x}'
            headers = {'idempotency-key': key}
            path = f'/runs?{work_query}'
            response = await caller.request('POST', path, b'run', headers)
        else:
            response = await caller.request('GET', f'/page?{work_query}')
        statistics.record_response(service, response)

    statistics.counts['requests'] += 1
    try:
        await send_request()
    except RequestRejected:
        # The server is closing the flow; the next flow sends another request.
        statistics.counts['requests'] -= 1
        statistics.counts['rejected_and_retried'] += 1
    except FlowBroken as error:
        statistics.record_broken_flow(error)


async def run_feed(
    site: Site,
    statistics: LoadStatistics,
    events: int,
    pause: float,
) -> None:
    """Read a live feed to its end."""

    async def send_request() -> None:
        """Read the feed once over a new connection and record the result."""
        statistics.counts['flows'] += 1
        async with open_caller(site.get_public_address('board')) as caller:
            path = f'/feed?count={events}&pause={pause}'
            response = await caller.request('GET', path)
        statistics.record_response('board', response)
        if response.body.count(b'\n') != events:
            statistics.record_broken_flow('feed cut short')

    statistics.counts['requests'] += 1
    await _retry_rejected(statistics, send_request)


async def run_upload(
    site: Site,
    statistics: LoadStatistics,
    size: int,
    pause: float,
) -> None:
    """Upload a long proof in chunks."""

    async def send_request() -> None:
        statistics.counts['flows'] += 1
        async with open_caller(site.get_public_address('proof')) as caller:
            response = await caller.upload('/upload', size, pause)
        statistics.record_response('proof', response)
        if response.body != f'proof upload {size}'.encode():
            statistics.record_broken_flow('upload cut short')

    statistics.counts['requests'] += 1
    await _retry_rejected(statistics, send_request)
