"""The whole path: caller, fabric, balancers, agents and upstreams."""

from keelgap_standins.caller import open_caller
from tests.site.cases import SiteTestCase


class PathTests(SiteTestCase):
    """Requests of callers reach the right upstream and come back whole."""

    async def test_request_is_answered_through_sprayed_packets(self) -> None:
        """Any balancer may get any datagram of a flow."""
        for service in ('board', 'proof'):
            async with open_caller(
                self.site.get_public_address(service)
            ) as caller:
                answer = await caller.request('GET', '/hello')
            self.assertEqual(answer.body.decode(), f'{service} /hello')

    async def test_long_upload_arrives_whole(self) -> None:
        """Back-pressure loses nothing of a body beyond all windows."""
        size = 3000000
        async with open_caller(self.site.get_public_address('proof')) as caller:
            answer = await caller.upload('/upload', size)
        self.assertEqual(answer.body.decode(), f'proof upload {size}')

    async def test_keyed_request_runs_once_through_any_agent(self) -> None:
        """Retries on other connections get the stored answer."""
        answers = []
        async with open_caller(self.site.get_public_address('board')) as caller:
            key = f'{await caller.get_ticket()}.run-1'
        for _ in range(4):
            async with open_caller(
                self.site.get_public_address('board')
            ) as caller:
                headers = {'idempotency-key': key}
                answer = await caller.request('POST', '/runs', b'x', headers)
                answers.append((answer.status, answer.body))
        self.assertEqual(set(answers), {(200, b'board run 1')})
        run_counts = [
            one.upstream.run_counts[key] for one in self.site.agents.values()
        ]
        self.assertEqual(sum(run_counts), 1)
