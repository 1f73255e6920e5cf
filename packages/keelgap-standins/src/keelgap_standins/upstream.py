"""Simulated upstream: pages, runs, uploads, feeds and its own state."""

import asyncio
from collections import Counter
from contextlib import AsyncExitStack, suppress

from aiohttp import web

from keelgap.addresses import Address

__all__ = ('Upstream',)


class Upstream:
    """HTTP server of one upstream that counts its requests."""

    def __init__(self, service: str, name: str) -> None:
        """Create an upstream that is not listening yet."""
        self.service = service
        self.name = name
        self.draining = False
        #: Pause after each received chunk of an upload.
        self.upload_pause_seconds = 0.0  # noqa: WPS358
        #: Number of runs by idempotency key.
        self.run_counts: Counter[str] = Counter()
        self.busy_seconds = 0.0  # noqa: WPS358
        self.started_at = asyncio.get_running_loop().time()
        self.request_count = 0
        self.running_requests = 0
        self.max_running_requests = 0

    @property
    def load(self) -> float:
        """Return the mean number of requests in progress since the start.

        Only the work of finished requests is counted.
        """
        uptime = asyncio.get_running_loop().time() - self.started_at
        return self.busy_seconds / uptime

    async def start(self, address: Address, stack: AsyncExitStack) -> None:
        """Listen on an address until the stack closes."""
        app = web.Application(client_max_size=1 << 40)
        app.router.add_get('/state', self._handle_state)
        app.router.add_get('/feed', self._handle_feed)
        app.router.add_post('/upload', self._handle_upload)
        app.router.add_post('/runs', self._handle_run)
        app.router.add_get('/{path:.*}', self._handle_page)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, address.host, address.port).start()

    async def _handle_state(self, request: web.Request) -> web.Response:
        state = 'draining' if self.draining else 'active'
        return web.json_response({'state': state})

    async def _handle_page(self, request: web.Request) -> web.Response:
        """Respond with the service and the path after simulated work."""
        await self._simulate_work(request)
        return self._make_response(f'{self.service} {request.path}')

    async def _handle_run(self, request: web.Request) -> web.Response:
        key = request.headers.get('Idempotency-Key', '')
        self.run_counts[key] += 1
        body = await request.read()
        await self._simulate_work(request)
        return self._make_response(f'{self.service} run {len(body)}')

    async def _handle_upload(self, request: web.Request) -> web.Response:
        size = 0
        async for chunk in request.content.iter_any():
            size += len(chunk)
            await asyncio.sleep(self.upload_pause_seconds)
        return self._make_response(f'{self.service} upload {size}')

    async def _handle_feed(self, request: web.Request) -> web.StreamResponse:
        count = int(request.query.get('count', '10'))
        pause = float(request.query.get('pause', '0.1'))
        response = web.StreamResponse(headers={'X-Service': self.service})
        await response.prepare(request)
        with suppress(ConnectionResetError):
            for index in range(count):
                event = f'{self.service} event {index}\n'
                await response.write(event.encode())
                await asyncio.sleep(pause)
            await response.write_eof()
        return response

    async def _simulate_work(self, request: web.Request) -> None:
        seconds = float(request.query.get('work', '0'))
        self.request_count += 1
        self.running_requests += 1
        self.max_running_requests = max(
            self.max_running_requests, self.running_requests
        )
        try:
            await asyncio.sleep(seconds)
        finally:
            self.running_requests -= 1
        self.busy_seconds += seconds

    def _make_response(self, text: str) -> web.Response:
        return web.Response(text=text, headers={'X-Service': self.service})
