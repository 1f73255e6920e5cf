"""Every balancer and every agent is replaced while long flows are open."""

import asyncio

from keelgap_standins.caller import open_caller
from keelgap_standins.load import LoadStatistics, run_feed, run_upload
from tests.site.cases import BOARD, PROOF, SiteTestCase


class RollingReplacementTests(SiteTestCase):
    """A planned change breaks no flow."""

    async def replace_everything(self) -> None:
        """Replace all processes, a few at a time."""
        for number in range(1, 4):
            await self.site.replace_balancer(
                f'balancer-{number}',
                f'balancer-{number + 3}',
            )
        retiring = []
        for spec in (BOARD, PROOF):
            for number in (1, 2):
                name = f'{spec.name}-{number}'
                await self.site.start_agent(f'{spec.name}-{number + 2}', spec)
                self.site.publish_table()
                retire = self.site.retire_agent(name)
                retiring.append(asyncio.create_task(retire))
                await asyncio.sleep(0.3)
        await asyncio.gather(*retiring)

    async def test_long_flows_survive_and_new_ones_find_a_place(self) -> None:
        """Feeds and uploads run to their end, old agents exit after."""
        tally = LoadStatistics()
        async with asyncio.TaskGroup() as group:
            for _ in range(2):
                group.create_task(run_feed(self.site, tally, 60, 0.1))
                group.create_task(
                    run_upload(self.site, tally, 2000000, 0.05),
                )
            await asyncio.sleep(0.5)
            await self.replace_everything()
        self.assertEqual(tally.counts['broken_flows'], 0)
        self.assertEqual(tally.counts['answered_whole'], 4)
        self.assertEqual(len(self.site.retired_agents), 4)
        for service in ('board', 'proof'):
            async with open_caller(
                self.site.get_public_address(service)
            ) as caller:
                answer = await caller.request('GET', '/hello')
            self.assertEqual(answer.service, service)
