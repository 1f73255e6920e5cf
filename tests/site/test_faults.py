"""Processes die, restart and crowd while callers go on."""

import asyncio

from keelgap_agent.quic.protocol import CONNECTION_WINDOW, STREAM_WINDOW
from keelgap_standins.caller import Caller, FlowBroken, open_caller
from tests.site.cases import SiteTestCase

_LONG_PROTOCOLS = ('h3', *(f'protocol-{index:03}' for index in range(120)))


class FaultTests(SiteTestCase):
    """Real sockets, real QUIC; each fault as sudden as it comes."""

    async def follow_feed(self, caller: Caller, events: int) -> int:
        """Return how many events of a feed arrived."""
        path = f'/feed?count={events}&pause=0.1'
        answer = await caller.request('GET', path)
        return answer.body.count(b'\n')

    def list_waiting_octets(self) -> list[int]:
        """Return the octets that wait in each open request."""
        connections = [
            connection
            for agent in self.find_agents_with_flows()
            for connection in agent.server.flows.flows.values()
        ]
        return [
            stream.body.size
            for connection in connections
            for stream in connection.streams.values()
        ]

    async def test_long_client_hello_reaches_one_agent(self) -> None:
        """Its two datagrams go through different balancers."""
        for _ in range(5):
            async with open_caller(
                self.site.get_public_address('board'),
                alpn_protocols=_LONG_PROTOCOLS,
            ) as caller:
                answer = await caller.request('GET', '/hello')
            self.assertEqual(answer.status, 200)
        self.assertEqual(self.count_events('flows_opened'), 5)

    async def test_feed_survives_the_death_of_a_balancer(self) -> None:
        """Another live balancer takes over in both directions."""
        async with open_caller(self.site.get_public_address('board')) as caller:
            feed = asyncio.create_task(self.follow_feed(caller, 20))
            await asyncio.sleep(0.5)
            await self.site.kill_balancer('balancer-1')
            await self.site.kill_balancer('balancer-2')
            self.assertEqual(await feed, 20)

    async def test_only_flows_of_a_killed_agent_break(self) -> None:
        """They end at once when it is back; new flows go elsewhere."""
        async with open_caller(self.site.get_public_address('board')) as caller:
            feed = asyncio.create_task(self.follow_feed(caller, 100))
            await asyncio.sleep(0.3)
            victim = self.find_agents_with_flows()[0]
            await self.site.kill_agent(victim.name)
            async with open_caller(
                self.site.get_public_address('board')
            ) as other:
                answer = await other.request('GET', '/hello')
            self.assertEqual(answer.status, 200)
            await self.site.restart_agent(victim.name)
            await caller.ping_until_reset()
            with self.assertRaises(FlowBroken):
                await feed
            self.assertTrue(caller.was_reset)
        self.assertGreaterEqual(self.count_events('stateless_resets'), 1)

    async def test_flow_goes_around_a_partition(self) -> None:
        """Two balancers lose the owner, a third still reaches it."""
        async with open_caller(self.site.get_public_address('board')) as caller:
            await caller.request('GET', '/hello')
            owner = self.find_agents_with_flows()[0]
            for name in ('balancer-1', 'balancer-2'):
                self.cut(self.site.balancers[name], owner)
            self.site.config_service.is_unavailable = True
            self.assertEqual(await self.follow_feed(caller, 60), 60)
            answer = await caller.request('GET', '/hello')
        self.assertEqual(answer.status, 200)
        self.assertGreater(self.count_events('detours'), 0)
        self.assertGreater(self.count_events('detours_delivered'), 0)

    async def test_new_flows_avoid_a_silent_agent(self) -> None:
        """While the service is away and the list still shows it live."""
        self.site.config_service.is_unavailable = True
        victim = self.site.agents['board-1']
        await self.site.kill_agent('board-1')
        for _ in range(12):
            async with open_caller(
                self.site.get_public_address('board')
            ) as caller:
                answer = await caller.request('GET', '/hello')
            self.assertEqual(answer.status, 200)
        self.assertGreater(self.count_events('suspected'), 0)
        self.assertEqual(victim.upstream.request_count, 0)

    async def test_flow_survives_a_new_address_of_its_caller(self) -> None:
        """A NAT may forget a caller and give it another port."""
        async with open_caller(self.site.get_public_address('board')) as caller:
            await caller.request('GET', '/hello')
            before = caller.port
            await caller.migrate()
            self.assertNotEqual(caller.port, before)
            answer = await caller.request('GET', '/hello')
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.count_events('flows_opened'), 1)

    async def test_crowded_handshakes_are_validated_by_retry(self) -> None:
        """The Retry names the agent, so that the answer finds it."""
        for agent in self.site.agents.values():
            flows = agent.server.driver.ports.flows
            flows.count_handshakes = lambda: 64  # type: ignore[method-assign]
        async with open_caller(self.site.get_public_address('board')) as caller:
            answer = await caller.request('GET', '/hello')
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.count_events('flows_challenged'), 1)

    async def test_slow_upstream_holds_an_upload_back(self) -> None:
        """No more than the window waits in the agent."""
        for agent in self.site.agents.values():
            agent.upstream.upload_pause_seconds = 0.02
        longest = 0
        async with open_caller(self.site.get_public_address('proof')) as caller:
            upload = asyncio.create_task(caller.upload('/upload', 4000000))
            while not upload.done():
                await asyncio.sleep(0.01)
                longest = max(longest, *self.list_waiting_octets(), 0)
            answer = await upload
        self.assertEqual(answer.body, b'proof upload 4000000')
        self.assertGreater(longest, 0)
        self.assertLessEqual(longest, STREAM_WINDOW)
        self.assertLess(STREAM_WINDOW, CONNECTION_WINDOW)

    async def test_upload_survives_replacement_of_every_balancer(self) -> None:
        """A planned change cuts nothing."""
        async with open_caller(self.site.get_public_address('proof')) as caller:
            upload = asyncio.create_task(
                caller.upload('/upload', 2000000, pause=0.1),
            )
            for number in range(1, 4):
                await self.site.replace_balancer(
                    f'balancer-{number}',
                    f'balancer-{number + 3}',
                )
            answer = await upload
        self.assertEqual(answer.body, b'proof upload 2000000')

    async def test_feed_on_a_draining_upstream_ends_by_itself(self) -> None:
        """New flows go elsewhere, the agent exits after the feed."""
        async with open_caller(self.site.get_public_address('board')) as caller:
            feed = asyncio.create_task(self.follow_feed(caller, 25))
            await asyncio.sleep(0.3)
            leaving = self.find_agents_with_flows()[0]
            retire = asyncio.create_task(
                self.site.retire_agent(leaving.name),
            )
            await asyncio.sleep(1)
            before = leaving.upstream.request_count
            for _ in range(4):
                async with open_caller(
                    self.site.get_public_address('board')
                ) as other:
                    answer = await other.request('GET', '/hello')
                self.assertEqual(answer.status, 200)
            self.assertEqual(leaving.upstream.request_count, before)
            self.assertEqual(await feed, 25)
        await asyncio.wait_for(retire, 10)

    async def test_upstream_says_that_it_is_leaving(self) -> None:
        """Its own word is enough, within three seconds."""
        leaving = self.site.agents['board-1']
        leaving.upstream.draining = True
        await self.wait_until(
            lambda: leaving.server.driver.state.is_leaving,
            seconds=3,
        )
        for _ in range(4):
            async with open_caller(
                self.site.get_public_address('board')
            ) as caller:
                await caller.request('GET', '/hello')
        self.assertEqual(leaving.upstream.request_count, 0)
