"""The whole path: caller, fabric, balancers, agents and upstreams."""

import asyncio
from contextlib import AsyncExitStack
from random import Random
from unittest import IsolatedAsyncioTestCase

from keelgap_standins.caller import open_caller
from keelgap_standins.site import ServiceSpec, Site

SUBMISSION = {
    'name': 'submission',
    'method': 'POST',
    'path_prefix': '/runs',
    'priority': 0,
    'at_most_once': True,
}
FEED = {'name': 'feed', 'path_prefix': '/feed', 'takes_slot': False}
UPLOAD = {
    'name': 'upload',
    'path_prefix': '/upload',
    'takes_slot': False,
}
BOARD = ServiceSpec('board', (SUBMISSION, FEED))
PROOF = ServiceSpec('proof', (UPLOAD,))


class SiteTestCase(IsolatedAsyncioTestCase):
    """A site of three balancers and two agents a service."""

    async def asyncSetUp(self) -> None:
        """Start the site and wait until its table is in force."""
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.site = Site((BOARD, PROOF), Random(1), self.stack)
        await self.site.start(3, 2)
        await self.wait_for_revision(1)

    async def wait_for_revision(self, revision: int) -> None:
        """Wait until a revision is in force in every process."""
        async with asyncio.timeout(10):
            while self.site.get_revisions() != {revision}:
                await asyncio.sleep(0.05)


class PathTests(SiteTestCase):
    """Requests of callers reach the right upstream and come back whole."""

    async def test_request_is_answered_through_sprayed_packets(self) -> None:
        """Any balancer may get any datagram of a flow."""
        for service in ('board', 'proof'):
            async with open_caller(self.site.public(service)) as caller:
                answer = await caller.request('GET', '/hello')
            self.assertEqual(answer.body.decode(), f'{service} /hello')

    async def test_long_upload_arrives_whole(self) -> None:
        """Back-pressure loses nothing of a body beyond all windows."""
        size = 3000000
        async with open_caller(self.site.public('proof')) as caller:
            answer = await caller.upload('/upload', size)
        self.assertEqual(answer.body.decode(), f'proof upload {size}')

    async def test_keyed_request_runs_once_through_any_agent(self) -> None:
        """Retries on other connections get the stored answer."""
        answers = []
        async with open_caller(self.site.public('board')) as caller:
            key = f'{await caller.get_ticket()}.run-1'
        for _ in range(4):
            async with open_caller(self.site.public('board')) as caller:
                headers = {'idempotency-key': key}
                answer = await caller.request('POST', '/runs', b'x', headers)
                answers.append((answer.status, answer.body))
        self.assertEqual(set(answers), {(200, b'board run 1')})
        runs = [one.upstream.runs[key] for one in self.site.agents.values()]
        self.assertEqual(sum(runs), 1)
