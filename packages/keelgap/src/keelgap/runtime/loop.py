"""A single-threaded loop over sockets, timers and signals."""

import heapq
import selectors
import signal
import socket
import time
from collections.abc import Callable
from contextlib import ExitStack, suppress
from itertools import count
from typing import Final, NamedTuple

__all__ = ('EventLoop', 'Timer')

#: Octets read at once from the socket that signals write to.
_WAKEUP_OCTETS: Final = 64
#: Longest wait for an event, in seconds; bounds the effect of a lost wake-up.
_LONGEST_WAIT: Final = 1.0


class Timer(NamedTuple):
    """A call that is due at some time; ordered by time, then by age."""

    due: float
    number: int
    callback: Callable[[], None]


class EventLoop:
    """Call back when sockets are ready, timers are due or signals came.

    The clock gives seconds that never go back; tests pass one of their own.
    """

    def __init__(
        self,
        stack: ExitStack,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Open the selector; the stack closes it."""
        self.clock = clock
        self.selector = selectors.DefaultSelector()
        stack.callback(self.selector.close)
        self.timers: list[Timer] = []
        self.numbers = count()
        self.stopped = False
        self.signal_handlers: dict[int, Callable[[], None]] = {}

    def add_reader(
        self,
        sock: socket.socket,
        callback: Callable[[], None],
    ) -> None:
        """Call back whenever the socket can be read."""
        self._register(sock, selectors.EVENT_READ, callback)

    def add_writer(
        self,
        sock: socket.socket,
        callback: Callable[[], None],
    ) -> None:
        """Call back whenever the socket can be written, and only then."""
        self._register(sock, selectors.EVENT_WRITE, callback)

    def remove(self, sock: socket.socket) -> None:
        """Watch a socket no longer; does nothing if it was not watched."""
        with suppress(KeyError, ValueError):
            self.selector.unregister(sock)

    def call_after(self, delay: float, callback: Callable[[], None]) -> None:
        """Call back once, after some seconds."""
        due = self.clock() + delay
        heapq.heappush(self.timers, Timer(due, next(self.numbers), callback))

    def call_every(self, period: float, callback: Callable[[], None]) -> None:
        """Call back with a period in seconds, from one period on."""

        def fire() -> None:
            self.call_after(period, fire)
            callback()

        self.call_after(period, fire)

    def handle_signals(
        self,
        handlers: dict[int, Callable[[], None]],
        stack: ExitStack,
    ) -> None:
        """Run a handler in the loop after its signal arrived."""
        receiver, sender = socket.socketpair()
        stack.callback(receiver.close)
        stack.callback(sender.close)
        receiver.setblocking(False)  # noqa: WPS425
        sender.setblocking(False)  # noqa: WPS425
        signal.set_wakeup_fd(sender.fileno(), warn_on_full_buffer=False)
        stack.callback(signal.set_wakeup_fd, -1)
        self.signal_handlers = handlers
        for number in handlers:
            signal.signal(number, _leave_to_loop)
        self.add_reader(receiver, lambda: self._take_signals(receiver))

    def run(self) -> None:
        """Serve until stop is called."""
        while not self.stopped:
            self.run_once()

    def stop(self) -> None:
        """Return from run after the present round."""
        self.stopped = True

    def run_once(self) -> None:
        """Wait for the next events and timers, and call back."""
        for key, _ in self.selector.select(self._compute_wait()):
            key.data()
        self._run_timers()

    def _compute_wait(self) -> float:
        if not self.timers:
            return _LONGEST_WAIT
        wait = self.timers[0].due - self.clock()
        return min(max(wait, 0), _LONGEST_WAIT)

    def _run_timers(self) -> None:
        now = self.clock()
        while self.timers and self.timers[0].due <= now:
            heapq.heappop(self.timers).callback()

    def _register(
        self,
        sock: socket.socket,
        events: int,
        callback: Callable[[], None],
    ) -> None:
        if sock in self.selector.get_map():
            self.selector.modify(sock, events, callback)
        else:
            self.selector.register(sock, events, callback)

    def _take_signals(self, receiver: socket.socket) -> None:
        with suppress(BlockingIOError):
            for number in receiver.recv(_WAKEUP_OCTETS):
                handler = self.signal_handlers.get(number)
                if handler is not None:
                    handler()


def _leave_to_loop(number: int, frame: object) -> None:
    """Do nothing: the wake-up descriptor tells the loop of the signal."""
