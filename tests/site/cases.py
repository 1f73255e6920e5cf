"""A running site for tests."""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from random import Random
from typing import Any
from unittest import IsolatedAsyncioTestCase, mock

from keelgap.wire.encapsulation import Envelope
from keelgap.wire.exceptions import TruncatedDatagram
from keelgap_standins.site import (
    RunningAgent,
    RunningBalancer,
    ServiceSpec,
    Site,
)

__all__ = ('BOARD', 'PROOF', 'SiteTestCase')

SUBMISSION = {
    'name': 'submission',
    'method': 'POST',
    'path_prefix': '/runs',
    'priority': 0,
    'at_most_once': True,
}
FEED = {'name': 'feed', 'path_prefix': '/feed', 'takes_slot': False}
UPLOAD = {'name': 'upload', 'path_prefix': '/upload', 'takes_slot': False}
BOARD = ServiceSpec('board', (SUBMISSION, FEED))
PROOF = ServiceSpec('proof', (UPLOAD,))


class SiteTestCase(IsolatedAsyncioTestCase):
    """A site of three balancers and two agents a service."""

    services = (BOARD, PROOF)
    agents = 2

    async def asyncSetUp(self) -> None:
        """Start the site and wait until its table is in force."""
        # The loop's debug mode times every callback, which halves the speed.
        asyncio.get_running_loop().set_debug(enabled=False)
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.site = Site(self.services, Random(1), self.stack)
        await self.site.start(3, self.agents)
        await self.wait_for_revision(1)

    async def wait_for_revision(self, revision: int) -> None:
        """Wait until a revision is in force in every process."""
        await self.wait_until(
            lambda: self.site.get_revisions() == {revision},
        )

    async def wait_until(
        self,
        holds: Callable[[], bool],
        seconds: float = 10,
    ) -> None:
        """Wait until something holds, or fail."""
        async with asyncio.timeout(seconds):
            while not holds():
                await asyncio.sleep(0.02)

    def find_agents_with_flows(self) -> list[RunningAgent]:
        """Return the agents that have a flow open."""
        return [
            agent
            for agent in self.site.agents.values()
            if agent.server.driver.state.flows
        ]

    def cut(self, balancer: RunningBalancer, agent: RunningAgent) -> None:
        """Part a balancer from an agent on the data path, both ways."""
        codec = balancer.server.driver.envelopes
        parted = agent.server.driver.state.identity.data
        seal, open_envelope = codec.seal, codec.open

        def seal_unless_parted(envelope: Envelope, receiver: Any) -> bytes:
            if tuple(receiver) == parted:
                return b''
            return seal(envelope, receiver)

        def open_unless_parted(datagram: bytes, sender: Any) -> Envelope:
            if tuple(sender) == parted:
                raise TruncatedDatagram
            return open_envelope(datagram, sender)

        self.enterContext(
            mock.patch.object(codec, 'seal', seal_unless_parted),
        )
        self.enterContext(
            mock.patch.object(codec, 'open', open_unless_parted),
        )

    def count_events(self, name: str) -> float:
        """Return a counter summed over all processes."""
        running = (*self.site.balancers.values(), *self.site.agents.values())
        registries = (one.server.metrics.registry for one in running)
        return sum(
            registry.get_sample_value('keelgap_events_total', {'name': name})
            or 0
            for registry in registries
        )
