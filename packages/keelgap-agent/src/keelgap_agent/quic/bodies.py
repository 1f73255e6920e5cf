"""Request bodies on their way from a caller to the upstream."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable

__all__ = ('BodyBuffer', 'BodyCancelled')


class BodyCancelled(Exception):
    """The caller broke the body off."""


class BodyBuffer:
    """Octets received and not yet taken; the caller's credit bounds them."""

    def __init__(self, on_taken: Callable[[int], None]) -> None:
        """Call on_taken with the count of octets that the upstream took."""
        self.on_taken = on_taken
        self.chunks: deque[bytes] = deque()
        self.size = 0
        self.ended = False
        self.cancelled = False
        self.changed = asyncio.Event()

    def feed(self, chunk: bytes, *, ended: bool) -> None:
        """Append what arrived."""
        if chunk:
            self.chunks.append(chunk)
            self.size += len(chunk)
        self.ended = self.ended or ended
        self.changed.set()

    def cancel(self) -> None:
        """Make the reader fail, unless all has arrived already."""
        self.cancelled = not self.ended
        self.changed.set()

    def read_all(self) -> bytes:
        """Return a body that has arrived in whole, leaving it in place."""
        return b''.join(self.chunks)

    async def read(self) -> AsyncIterator[bytes]:
        """Yield chunks; each is credited once the next one is asked for."""
        while True:
            while self.chunks and not self.cancelled:
                chunk = self.chunks.popleft()
                self.size -= len(chunk)
                yield chunk
                self.on_taken(len(chunk))
            if self.cancelled:
                raise BodyCancelled
            if self.ended:
                return
            self.changed.clear()
            await self.changed.wait()
