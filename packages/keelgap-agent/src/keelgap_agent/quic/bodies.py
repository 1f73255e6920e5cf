"""Buffers for request bodies between a caller and the upstream."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable

__all__ = ('BodyBuffer', 'BodyCancelled')


class BodyCancelled(Exception):
    """The caller cancelled the request before the end of its body."""


class BodyBuffer:
    """Octets received and not yet consumed, bounded by flow control."""

    def __init__(self, on_consumed: Callable[[int], None]) -> None:
        """Call on_consumed with the number of octets that were consumed."""
        self.on_consumed = on_consumed
        self.chunks: deque[bytes] = deque()
        self.size = 0
        self.ended = False
        self.cancelled = False
        self.changed = asyncio.Event()

    def feed(self, chunk: bytes, *, ended: bool) -> None:
        """Append received octets."""
        if chunk:
            self.chunks.append(chunk)
            self.size += len(chunk)
        self.ended = self.ended or ended
        self.changed.set()

    def cancel(self) -> None:
        """Make the reader fail, unless the body is complete already."""
        self.cancelled = not self.ended
        self.changed.set()

    def get_contents(self) -> bytes:
        """Return the buffered octets without consuming them."""
        return b''.join(self.chunks)

    async def read(self) -> AsyncIterator[bytes]:
        """Yield chunks; each counts as consumed when the next is requested."""
        while True:
            while self.chunks and not self.cancelled:
                chunk = self.chunks.popleft()
                self.size -= len(chunk)
                yield chunk
                self.on_consumed(len(chunk))
            if self.cancelled:
                raise BodyCancelled
            if self.ended:
                return
            self.changed.clear()
            await self.changed.wait()
