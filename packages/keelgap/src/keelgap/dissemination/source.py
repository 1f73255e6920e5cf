"""Blocking queries at the platform's configuration service.

``GET {url}/v1/kv/{key}?index=N&wait=30s`` answers with the value at once if
its index differs from N, else when it changes or the wait is over.  The
header ``X-Index`` holds the index of the value.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

import aiohttp

from keelgap.conf import ConfigServiceSettings
from keelgap.table.loader import MAX_DOCUMENT

__all__ = ('DocumentReader', 'INDEX_HEADER')

INDEX_HEADER: Final = 'X-Index'
_GRACE_SECONDS: Final = 5.0
_BACKOFF_BASE_SECONDS: Final = 0.25
_BACKOFF_MAX_SECONDS: Final = 5.0
_MAX_STEPS: Final = 5


class DocumentReader:
    """Watch some keys of the service until cancelled."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        settings: ConfigServiceSettings,
        random: Random,
        on_document: Callable[[str, bytes], None],
    ) -> None:
        """Use a session that its owner closes."""
        self.session = session
        self.settings = settings
        self.random = random
        self.on_document = on_document
        self.reads = 0
        self.failures = 0

    async def watch(self, name: str, service_key: str) -> None:
        """Read a key for ever; pause and try again when the read fails."""
        index = 0
        failed = 0
        while True:
            try:
                index = await self._read(name, service_key, index)
            except (aiohttp.ClientError, OSError, ValueError):
                self.failures += 1
                failed += 1
                # The value may be an older one when the service is back.
                index = 0
                await asyncio.sleep(self._compute_pause(failed))
            else:
                failed = 0

    async def _read(self, name: str, service_key: str, index: int) -> int:
        wait = self.settings.wait_seconds
        base = self.settings.url.rstrip('/')
        self.reads += 1
        async with self.session.get(
            f'{base}/v1/kv/{service_key}',
            params={'index': str(index), 'wait': f'{wait}s'},
            timeout=aiohttp.ClientTimeout(total=wait + _GRACE_SECONDS),
            raise_for_status=True,
        ) as response:
            content = await response.content.read(MAX_DOCUMENT + 1)
            newest = int(response.headers[INDEX_HEADER])
        if newest != index:
            self.on_document(name, content)
        return newest

    def _compute_pause(self, failed: int) -> float:
        pause = _BACKOFF_BASE_SECONDS * 2 ** min(failed, _MAX_STEPS)
        bounded = min(pause, _BACKOFF_MAX_SECONDS)
        return float(bounded * self.random.uniform(0.5, 1))
