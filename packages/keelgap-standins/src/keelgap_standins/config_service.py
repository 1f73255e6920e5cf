"""In-memory configuration service with reads and watches over HTTP."""

import asyncio
from contextlib import AsyncExitStack
from typing import Final

from aiohttp import web

from keelgap.addresses import Address
from keelgap.dissemination.document_reader import INDEX_HEADER

__all__ = ('ConfigService',)

_DEFAULT_WAIT_SECONDS: Final = 30.0


class ConfigService:
    """Key-value store that operators write and processes read or watch."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.values: dict[str, bytes] = {}
        self.index = 0
        self.read_count = 0
        self.is_unavailable = False
        self.change_event = asyncio.Event()

    def put(self, key: str, value: bytes) -> None:
        """Write a value and wake up all watches."""
        self.index += 1
        self.values[key] = value
        self.change_event.set()
        self.change_event = asyncio.Event()

    async def start(self, address: Address, stack: AsyncExitStack) -> None:
        """Listen on an address until the stack closes."""
        app = web.Application()
        app.router.add_get('/v1/kv/{key}', self._read)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, address.host, address.port).start()

    async def _read(self, request: web.Request) -> web.Response:
        self.read_count += 1
        if self.is_unavailable:
            return web.Response(status=503)
        key = request.match_info['key']
        known_index = int(request.query.get('index', '0'))
        wait_seconds = float(
            request.query.get('wait', '').rstrip('s') or _DEFAULT_WAIT_SECONDS
        )
        if known_index == self.index or key not in self.values:
            await self._wait_for_change(wait_seconds)
        if self.is_unavailable or key not in self.values:
            return web.Response(status=503)
        return web.Response(
            body=self.values[key],
            headers={INDEX_HEADER: str(self.index)},
        )

    async def _wait_for_change(self, seconds: float) -> None:
        change_event = self.change_event
        try:
            await asyncio.wait_for(change_event.wait(), seconds)
        except TimeoutError:
            return
