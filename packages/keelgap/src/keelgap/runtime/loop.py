"""Single-threaded event loop for sockets, timers and signals."""

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

#: Octets read at once from the wake-up socket for signals.
_WAKEUP_OCTETS: Final = 64
#: Maximum wait for an event; bounds the effect of a lost wake-up.
_MAX_WAIT_SECONDS: Final = 1.0


class Timer(NamedTuple):
    """A scheduled callback; ordered by due time, then by creation."""

    #: Due time in monotonic seconds.
    due: float
    #: Number in the order of creation.
    number: int
    callback: Callable[[], None]


class EventLoop:
    """Runs callbacks of ready sockets, due timers and received signals.

    The clock returns monotonic seconds; tests inject their own.
    """

    def __init__(
        self,
        stack: ExitStack,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create the selector for sockets; the stack closes it."""
        self.clock = clock
        self.selector = selectors.DefaultSelector()
        stack.callback(self.selector.close)
        self.timers: list[Timer] = []
        self.sequence = count()
        self.stopped = False
        self.signal_handlers: dict[int, Callable[[], None]] = {}

    def add_reader(
        self,
        sock: socket.socket,
        callback: Callable[[], None],
    ) -> None:
        """Call back while a socket is readable; replaces ``add_writer``."""
        self._register(sock, selectors.EVENT_READ, callback)

    def add_writer(
        self,
        sock: socket.socket,
        callback: Callable[[], None],
    ) -> None:
        """Call back while a socket is writable; replaces ``add_reader``."""
        self._register(sock, selectors.EVENT_WRITE, callback)

    def remove(self, sock: socket.socket) -> None:
        """Stop watching a socket; do nothing if it is not watched."""
        with suppress(KeyError, ValueError):
            self.selector.unregister(sock)

    def call_after(self, delay: float, callback: Callable[[], None]) -> None:
        """Call back once, after a delay in seconds."""
        due = self.clock() + delay
        heapq.heappush(self.timers, Timer(due, next(self.sequence), callback))

    def call_every(self, period: float, callback: Callable[[], None]) -> None:
        """Call back every ``period`` seconds, starting after one period."""

        def fire() -> None:
            """Schedule the next call, then call back."""
            self.call_after(period, fire)
            callback()

        self.call_after(period, fire)

    def handle_signals(
        self,
        handlers: dict[int, Callable[[], None]],
        stack: ExitStack,
    ) -> None:
        """Install handlers by signal number, which run in the event loop.

        The stack closes the sockets that wake the loop up.
        """
        receiver, sender = socket.socketpair()
        stack.callback(receiver.close)
        stack.callback(sender.close)
        receiver.setblocking(False)  # noqa: WPS425
        sender.setblocking(False)  # noqa: WPS425
        signal.set_wakeup_fd(sender.fileno(), warn_on_full_buffer=False)
        stack.callback(signal.set_wakeup_fd, -1)
        self.signal_handlers = handlers
        for number in handlers:
            signal.signal(number, _ignore_signal)
        self.add_reader(receiver, lambda: self._dispatch_signals(receiver))

    def run(self) -> None:
        """Run callbacks until ``stop`` is called."""
        while not self.stopped:
            self.run_once()

    def stop(self) -> None:
        """Make ``run`` return after the current iteration."""
        self.stopped = True

    def run_once(self) -> None:
        """Wait for the next event or timer, at most 1 s, and run callbacks."""
        for key, _ in self.selector.select(self._compute_wait()):
            key.data()
        self._run_timers()

    def _compute_wait(self) -> float:
        """Return the seconds until the next timer, at most 1 s."""
        if not self.timers:
            return _MAX_WAIT_SECONDS
        wait = self.timers[0].due - self.clock()
        return min(max(wait, 0), _MAX_WAIT_SECONDS)

    def _run_timers(self) -> None:
        """Run and remove all timers that are due."""
        now = self.clock()
        while self.timers and self.timers[0].due <= now:
            heapq.heappop(self.timers).callback()

    def _register(
        self,
        sock: socket.socket,
        events: int,
        callback: Callable[[], None],
    ) -> None:
        """Watch a socket for events, replacing what it was watched for."""
        if sock in self.selector.get_map():
            self.selector.modify(sock, events, callback)
        else:
            self.selector.register(sock, events, callback)

    def _dispatch_signals(self, receiver: socket.socket) -> None:
        """Run the handlers of the signals read from the wake-up socket."""
        with suppress(BlockingIOError):
            for number in receiver.recv(_WAKEUP_OCTETS):
                handler = self.signal_handlers.get(number)
                if handler is not None:
                    handler()


def _ignore_signal(number: int, frame: object) -> None:
    """Do nothing: the loop reads the signal from the wake-up descriptor."""
