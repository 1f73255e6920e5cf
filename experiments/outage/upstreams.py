"""Upstreams as the platform describes them."""

from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Final

from tests.packets.building import ACK, BOUNCED, FIN, FORMAT, RST, SYN

__all__ = ('Upstream',)

#: An upstream is slow for so long after its start, by this factor.
COLD_SECONDS: Final = 2.0
COLD_FACTOR: Final = 1.6
#: Requests that wait at it beyond its slots; more openings are bounced.
QUEUE: Final = 8


class Upstream:
    """One start of an upstream; flows are single requests."""

    def __init__(
        self,
        slots: int,
        started: float,
        slowness: float,
        later: Callable[[float, Callable[[], None]], None],
        answer: Callable[[bytes, int, bytes], None],
        bounce: Callable[[bytes], None],
    ) -> None:
        """Plan ends of work, answer flows and bounce packets as given."""
        self.slots = slots
        self.started = started
        self.slowness = slowness
        self.later = later
        self.answer = answer
        self.bounce = bounce
        self.half_open: set[bytes] = set()
        #: Work of each open flow's request, in seconds at a warm upstream.
        self.open: dict[bytes, float] = {}
        self.queue: deque[bytes] = deque()
        self.running: set[bytes] = set()
        self.ended: set[bytes] = set()
        self.is_alive = True

    def take(self, datagram: bytes, work: float, now: float) -> None:
        """Take a packet whose caller's request needs so much work."""
        key = FORMAT.caller_key(datagram)
        flags = datagram[26]
        if flags & SYN:
            self._accept(key, datagram)
            return
        if key in self.ended:
            return
        if key not in self.half_open and key not in self.open:
            self.bounce(_mark_bounced(datagram))
            return
        self.half_open.discard(key)
        if flags & (FIN | RST):
            self._close(key, now)
        elif FORMAT.data_length(datagram) and key not in self.open:
            self.open[key] = work
            self.queue.append(key)
            self._start_next(now)

    def stop(self) -> None:
        """Lose power."""
        self.is_alive = False

    def _accept(self, key: bytes, datagram: bytes) -> None:
        full = len(self.queue) >= QUEUE
        if full and key not in self.half_open:
            self.bounce(_mark_bounced(datagram))
            return
        self.half_open.add(key)
        self.answer(key, SYN | ACK, b'')

    def _close(self, key: bytes, now: float) -> None:
        self.ended.add(key)
        self.open.pop(key, None)
        self.running.discard(key)
        if key in self.queue:
            self.queue.remove(key)
        self.answer(key, FIN | ACK, b'')
        self._start_next(now)

    def _start_next(self, now: float) -> None:
        while self.queue and len(self.running) < self.slots:
            key = self.queue.popleft()
            self.running.add(key)
            factor = self.slowness
            if now < self.started + COLD_SECONDS:
                factor *= COLD_FACTOR
            end = now + self.open[key] * factor
            self.later(end, partial(self._end, key, end))

    def _end(self, key: bytes, now: float) -> None:
        if not self.is_alive or key not in self.running:
            return
        self.running.discard(key)
        self.open.pop(key)
        self.ended.add(key)
        self.answer(key, FIN | ACK, b'HTTP/1.1 200 OK\r\n\r\n')
        self._start_next(now)


def _mark_bounced(datagram: bytes) -> bytes:
    octets = bytearray(datagram)
    octets[26] |= BOUNCED
    return bytes(octets)
