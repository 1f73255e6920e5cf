"""Callers under load, and a tally of what they were told."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from random import Random
from typing import Final

import msgspec

from keelgap_standins.caller import (
    Caller,
    CallerAnswer,
    FlowBroken,
    RequestRejected,
    open_caller,
)
from keelgap_standins.site import Site

__all__ = ('Tally', 'run_feed', 'run_short_requests', 'run_upload')

_OK: Final = 200
_ATTEMPTS: Final = 6
_REQUESTS_A_FLOW: Final = 8
_KEYED_SHARE: Final = 0.4
_UNKNOWN: Final = ('outcome-unknown', 'outcome-pending', 'upstream-failed')


class Tally:
    """What callers saw, counted."""

    def __init__(self) -> None:
        """Start at zero."""
        self.counts: Counter[str] = Counter()
        self.reasons: Counter[str] = Counter()

    def note_broken(self, reason: object) -> None:
        """Count a flow that ended before its answer was whole."""
        self.counts['broken_flows'] += 1
        self.reasons[f'broken: {reason!r}'] += 1

    def note_answer(self, service: str, answer: CallerAnswer) -> None:
        """Count an answer by what it says."""
        if answer.status == _OK:
            whole = answer.service == service
            self.counts['answered_whole' if whole else 'misrouted'] += 1
            return
        problem = msgspec.json.decode(answer.body)
        self.reasons[problem['reason']] += 1
        kind = problem['type'].rpartition('/')[2]
        name = 'unknown' if kind in _UNKNOWN else 'refused_not_run'
        self.counts[name] += 1


async def _try_until_processed(
    tally: Tally,
    act: Callable[[], Awaitable[None]],
) -> None:
    """Repeat what an upstream rejected before it processed it."""
    for _ in range(_ATTEMPTS):
        try:
            await act()
        except RequestRejected:
            tally.counts['rejected_and_retried'] += 1
        except (FlowBroken, ConnectionError, TimeoutError) as error:
            tally.note_broken(error)
            return
        else:
            return
    tally.note_broken('rejected too often')


async def run_short_requests(
    site: Site,
    service: str,
    tally: Tally,
    random: Random,
    stop: asyncio.Event,
) -> None:
    """Open flows one after the other, with some requests on each."""
    while not stop.is_set():
        async with AsyncExitStack() as stack:
            caller = await _open(site, service, tally, stack)
            if caller is None:
                continue
            for _ in range(_REQUESTS_A_FLOW):
                if not caller.is_open or stop.is_set():
                    break
                await _request_once(caller, service, tally, random)
                await asyncio.sleep(random.uniform(0.01, 0.05))


async def _open(
    site: Site,
    service: str,
    tally: Tally,
    stack: AsyncExitStack,
) -> Caller | None:
    tally.counts['flows'] += 1
    try:
        return await stack.enter_async_context(
            open_caller(site.public(service)),
        )
    except (ConnectionError, TimeoutError) as error:
        tally.note_broken(error)
        return None


async def _request_once(
    caller: Caller,
    service: str,
    tally: Tally,
    random: Random,
) -> None:
    async def act() -> None:
        work = f'work={random.uniform(0.005, 0.02):.4f}'
        if service == 'board' and random.random() < _KEYED_SHARE:
            ticket = await caller.get_ticket()
            key = f'{ticket}.{random.getrandbits(32):x}'
            headers = {'idempotency-key': key}
            path = f'/runs?{work}'
            answer = await caller.request('POST', path, b'run', headers)
        else:
            answer = await caller.request('GET', f'/page?{work}')
        tally.note_answer(service, answer)

    tally.counts['requests'] += 1
    try:
        await act()
    except RequestRejected:
        # The flow is being closed; the next flow asks again.
        tally.counts['requests'] -= 1
        tally.counts['rejected_and_retried'] += 1
    except FlowBroken as error:
        tally.note_broken(error)


async def run_feed(
    site: Site,
    tally: Tally,
    events: int,
    pause: float,
) -> None:
    """Follow a live feed to its end."""

    async def act() -> None:
        tally.counts['flows'] += 1
        async with open_caller(site.public('board')) as caller:
            path = f'/feed?count={events}&pause={pause}'
            answer = await caller.request('GET', path)
        tally.note_answer('board', answer)
        if answer.body.count(b'\n') != events:
            tally.note_broken('feed cut short')

    tally.counts['requests'] += 1
    await _try_until_processed(tally, act)


async def run_upload(
    site: Site,
    tally: Tally,
    size: int,
    pause: float,
) -> None:
    """Upload a long proof piece by piece."""

    async def act() -> None:
        tally.counts['flows'] += 1
        async with open_caller(site.public('proof')) as caller:
            answer = await caller.upload('/upload', size, pause)
        tally.note_answer('proof', answer)
        if answer.body != f'proof upload {size}'.encode():
            tally.note_broken('upload cut short')

    tally.counts['requests'] += 1
    await _try_until_processed(tally, act)
