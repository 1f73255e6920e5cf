"""Stand-in of an upstream instance: runs, uploads, feeds, and its own word."""

import asyncio
from collections import Counter
from contextlib import AsyncExitStack, suppress

from aiohttp import web

from keelgap.addresses import Address

__all__ = ('Upstream',)


class Upstream:
    """Serve one service and count what was run."""

    def __init__(self, service: str, name: str) -> None:
        """Serve as one instance of a service."""
        self.service = service
        self.name = name
        self.draining = False
        #: Pause after each chunk of an upload, in seconds.
        self.read_pause = 0.0  # noqa: WPS358
        #: How often each idempotency key was run.
        self.runs: Counter[str] = Counter()
        self.busy_seconds = 0.0  # noqa: WPS358
        self.started = asyncio.get_running_loop().time()
        self.requests = 0
        self.running = 0
        self.most_running = 0

    @property
    def load(self) -> float:
        """Return the mean of busy slots since the start."""
        lived = asyncio.get_running_loop().time() - self.started
        return self.busy_seconds / lived

    async def start(self, address: Address, stack: AsyncExitStack) -> None:
        """Serve until the stack closes."""
        app = web.Application(client_max_size=1 << 40)
        app.router.add_get('/state', self._tell_state)
        app.router.add_get('/feed', self._feed)
        app.router.add_post('/upload', self._upload)
        app.router.add_post('/runs', self._run)
        app.router.add_get('/{path:.*}', self._get)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, address.host, address.port).start()

    async def _tell_state(self, request: web.Request) -> web.Response:
        state = 'draining' if self.draining else 'active'
        return web.json_response({'state': state})

    async def _get(self, request: web.Request) -> web.Response:
        await self._work(request)
        return self._answer(f'{self.service} {request.path}')

    async def _run(self, request: web.Request) -> web.Response:
        key = request.headers.get('Idempotency-Key', '')
        self.runs[key] += 1
        body = await request.read()
        await self._work(request)
        return self._answer(f'{self.service} run {len(body)}')

    async def _upload(self, request: web.Request) -> web.Response:
        size = 0
        async for chunk in request.content.iter_any():
            size += len(chunk)
            await asyncio.sleep(self.read_pause)
        return self._answer(f'{self.service} upload {size}')

    async def _feed(self, request: web.Request) -> web.StreamResponse:
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

    async def _work(self, request: web.Request) -> None:
        seconds = float(request.query.get('work', '0'))
        self.requests += 1
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            await asyncio.sleep(seconds)
        finally:
            self.running -= 1
        self.busy_seconds += seconds

    def _answer(self, text: str) -> web.Response:
        return web.Response(text=text, headers={'X-Service': self.service})
