"""Client for the admin pages of processes."""

import asyncio
from collections.abc import Iterable
from typing import Any, Final, NamedTuple

import aiohttp
import msgspec

from keelgap.exceptions import KeelgapError

__all__ = ('PageResult', 'Unreachable', 'fetch_pages', 'fetch_page')

_TIMEOUT: Final = aiohttp.ClientTimeout(total=5)


class Unreachable(KeelgapError):
    """An admin address did not return a valid page."""

    code = 'unreachable'


class PageResult(NamedTuple):
    """A page of one admin address, or the error if it was not available."""

    address: str
    document: Any
    error: Unreachable | None = None


async def fetch_page(address: str, path: str) -> Any:
    """Return the decoded JSON of a page, or raise Unreachable."""
    url = f'http://{address}{path}'
    try:
        async with aiohttp.ClientSession(timeout=_TIMEOUT) as session:
            async with session.get(url, raise_for_status=True) as response:
                return msgspec.json.decode(await response.read())
    except (aiohttp.ClientError, OSError, msgspec.DecodeError) as error:
        raise Unreachable(f'{address}: {error}') from error


async def fetch_pages(addresses: Iterable[str], path: str) -> list[PageResult]:
    """Fetch the same page of several processes concurrently."""
    return list(
        await asyncio.gather(
            *(_fetch_or_fail(address, path) for address in addresses)
        )
    )


async def _fetch_or_fail(address: str, path: str) -> PageResult:
    """Return the page of an address, or the error instead."""
    try:
        return PageResult(address, await fetch_page(address, path))
    except Unreachable as error:
        return PageResult(address, None, error)
