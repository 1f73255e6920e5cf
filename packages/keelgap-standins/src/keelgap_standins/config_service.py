"""Stand-in of the configuration service: read and watch over HTTP."""

import asyncio
from contextlib import AsyncExitStack
from typing import Final

from aiohttp import web

from keelgap.addresses import Address
from keelgap.dissemination.source import INDEX_HEADER

__all__ = ('ConfigService',)

_DEFAULT_WAIT: Final = 30.0


class ConfigService:
    """Hold values that the operators' side writes and processes read."""

    def __init__(self) -> None:
        """Start empty."""
        self.values: dict[str, bytes] = {}
        self.index = 0
        self.reads = 0
        self.away = False
        self.changed = asyncio.Event()

    def put(self, key: str, value: bytes) -> None:
        """Write a value, as the operators' scripts do."""
        self.index += 1
        self.values[key] = value
        self.changed.set()
        self.changed = asyncio.Event()

    async def start(self, address: Address, stack: AsyncExitStack) -> None:
        """Serve until the stack closes."""
        app = web.Application()
        app.router.add_get('/v1/kv/{key}', self._read)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, address.host, address.port).start()

    async def _read(self, request: web.Request) -> web.Response:
        self.reads += 1
        if self.away:
            return web.Response(status=503)
        key = request.match_info['key']
        known = int(request.query.get('index', '0'))
        wait = float(request.query.get('wait', '').rstrip('s') or _DEFAULT_WAIT)
        if known == self.index or key not in self.values:
            await self._wait(wait)
        if self.away or key not in self.values:
            return web.Response(status=503)
        return web.Response(
            body=self.values[key],
            headers={INDEX_HEADER: str(self.index)},
        )

    async def _wait(self, seconds: float) -> None:
        changed = self.changed
        try:
            await asyncio.wait_for(changed.wait(), seconds)
        except TimeoutError:
            return
