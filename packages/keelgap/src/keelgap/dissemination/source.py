"""Blocking queries at the platform's configuration service.

``GET {url}/v1/kv/{key}?index=N&wait=30s`` answers with the value at once if
its index differs from N, else when it changes or the wait is over.  The
header ``X-Index`` holds the index of the value.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final, NamedTuple

import aiohttp

from keelgap.conf import ConfigServiceSettings
from keelgap.table.loader import MAX_DOCUMENT
from keelgap.table.parts import PartMismatch, join_parts, list_parts

__all__ = ('DocumentReader', 'INDEX_HEADER')

INDEX_HEADER: Final = 'X-Index'
_READ_ERRORS: Final = (
    aiohttp.ClientError,
    OSError,
    ValueError,
    PartMismatch,
)
_GRACE_SECONDS: Final = 5.0
_BACKOFF_BASE_SECONDS: Final = 0.25
_BACKOFF_MAX_SECONDS: Final = 5.0
_MAX_STEPS: Final = 5


class _Value(NamedTuple):
    content: bytes
    #: Value of the index header.
    version: int


async def _read_all(response: aiohttp.ClientResponse) -> bytes:
    """Return the body, cut one octet after the longest that is allowed."""
    content = bytearray()
    async for chunk in response.content.iter_any():
        content.extend(chunk)
        if len(content) > MAX_DOCUMENT:
            break
    return bytes(content[: MAX_DOCUMENT + 1])


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

    async def watch(self, key: str) -> None:
        """Read a key for ever; pause and try again when the read fails."""
        index = 0
        failed = 0
        while True:
            try:
                index = await self._read(key, index)
            except _READ_ERRORS:
                failed += 1
                # The value may be an older one when the service is back.
                index = 0
                await asyncio.sleep(self._compute_pause(failed))
            else:
                failed = 0

    async def _read(self, key: str, index: int) -> int:
        wait = self.settings.wait_seconds
        value = await self._get(key, index, wait)
        if value.version != index:
            self.on_document(key, await self._complete(value.content))
        return value.version

    async def _complete(self, content: bytes) -> bytes:
        """Return a whole document, reading the parts that it names."""
        parts = list_parts(content)
        if not parts:
            return content
        values = {}
        for part in parts:
            value = await self._get(part['key'], 0, 0)  # noqa: WPS476
            values[part['key']] = value.content
        return join_parts(content, values)

    async def _get(self, key: str, index: int, wait: float) -> _Value:
        base = self.settings.url.rstrip('/')
        async with self.session.get(
            f'{base}/v1/kv/{key}',
            params={'index': str(index), 'wait': f'{wait}s'},
            timeout=aiohttp.ClientTimeout(total=wait + _GRACE_SECONDS),
            raise_for_status=True,
        ) as response:
            content = await _read_all(response)
            return _Value(content, int(response.headers[INDEX_HEADER]))

    def _compute_pause(self, failed: int) -> float:
        pause = _BACKOFF_BASE_SECONDS * 2 ** min(failed, _MAX_STEPS)
        bounded = min(pause, _BACKOFF_MAX_SECONDS)
        return float(bounded * self.random.uniform(0.5, 1))
