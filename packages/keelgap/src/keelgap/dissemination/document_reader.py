"""Blocking queries to the platform's configuration service.

``GET {url}/v1/kv/{key}?index=N&wait=30s`` returns the value at once if its
index differs from N; otherwise it returns when the value changes or the wait
expires.  The header ``X-Index`` holds the index of the value.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final, NamedTuple

import aiohttp

from keelgap.conf import ConfigServiceSettings
from keelgap.table.loader import MAX_DOCUMENT_LENGTH
from keelgap.table.parts import PartMismatch, join_parts, list_parts

__all__ = ('DocumentReader', 'INDEX_HEADER')

INDEX_HEADER: Final = 'X-Index'
_READ_ERRORS: Final = (
    aiohttp.ClientError,
    OSError,
    ValueError,
    PartMismatch,
)
_TIMEOUT_MARGIN_SECONDS: Final = 5.0
_BACKOFF_BASE_SECONDS: Final = 0.25
_BACKOFF_MAX_SECONDS: Final = 5.0
_MAX_BACKOFF_EXPONENT: Final = 5


class _Value(NamedTuple):
    """A value of the configuration service and the index to watch it from."""

    content: bytes
    #: Index of the value, from the index header.
    store_index: int


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    """Return the body, truncated one octet beyond the maximum length."""
    content = bytearray()
    async for chunk in response.content.iter_any():
        content.extend(chunk)
        if len(content) > MAX_DOCUMENT_LENGTH:
            break
    return bytes(content[: MAX_DOCUMENT_LENGTH + 1])


class DocumentReader:
    """Watch keys of the configuration service until cancelled."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        settings: ConfigServiceSettings,
        random: Random,
        on_document: Callable[[str, bytes], None],
    ) -> None:
        """Set the session, which the caller closes, and the callback."""
        self.session = session
        self.settings = settings
        self.random = random
        self.on_document = on_document

    async def watch(self, key: str) -> None:
        """Watch a key indefinitely, with exponential backoff after failures."""
        index = 0
        failures = 0
        while True:
            try:
                index = await self._read(key, index)
            except _READ_ERRORS:
                failures += 1
                # After an outage the service may hold an older value.
                index = 0
                await asyncio.sleep(self._compute_backoff(failures))
            else:
                failures = 0

    async def _read(self, key: str, index: int) -> int:
        """Wait for a value that changed since an index and report it.

        Returns the index of the value.
        """
        wait = self.settings.wait_seconds
        value = await self._get(key, index, wait)
        if value.store_index != index:
            self.on_document(key, await self._load_parts(value.content))
        return value.store_index

    async def _load_parts(self, content: bytes) -> bytes:
        """Return the whole document, with the parts listed in a manifest."""
        parts = list_parts(content)
        if not parts:
            return content
        values = {}
        for part in parts:
            value = await self._get(part['key'], 0, 0)  # noqa: WPS476
            values[part['key']] = value.content
        return join_parts(content, values)

    async def _get(self, key: str, index: int, wait: float) -> _Value:
        """Return the value of a key, once it changed or the wait is over."""
        base = self.settings.url.rstrip('/')
        async with self.session.get(
            f'{base}/v1/kv/{key}',
            params={'index': str(index), 'wait': f'{wait}s'},
            timeout=aiohttp.ClientTimeout(total=wait + _TIMEOUT_MARGIN_SECONDS),
            raise_for_status=True,
        ) as response:
            content = await _read_body(response)
            return _Value(content, int(response.headers[INDEX_HEADER]))

    def _compute_backoff(self, failures: int) -> float:
        """Return a random pause that grows with the failures, in seconds."""
        backoff = _BACKOFF_BASE_SECONDS * 2 ** min(
            failures, _MAX_BACKOFF_EXPONENT
        )
        bounded = min(backoff, _BACKOFF_MAX_SECONDS)
        return float(bounded * self.random.uniform(0.5, 1))
