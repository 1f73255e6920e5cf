"""What both packet programs do around their server."""

import os
import signal
import sys
import time
from collections.abc import Callable
from contextlib import ExitStack
from typing import Any, Final, Protocol, TypeVar

from keelgap.addresses import Address
from keelgap.conf import load_settings
from keelgap.exceptions import KeelgapError
from keelgap.packets.counters import Counters
from keelgap.packets.metrics import (
    METRICS_PATH,
    Gauges,
    make_metrics_page,
)
from keelgap.packets.reload import SettingsWatch
from keelgap.runtime.lines import LogLines
from keelgap.runtime.loop import EventLoop
from keelgap.runtime.pages import serve_pages

__all__ = (
    'DecisionLog',
    'PacketProcess',
    'PacketServer',
    'SETTINGS_VARIABLE',
    'run_process',
    'serve_metrics',
)

SETTINGS_VARIABLE: Final = 'KEELGAP_SETTINGS'
#: Log lines wait so long at most; one write serves all of them.
_FLUSH_SECONDS: Final = 0.25
_EXIT_BAD_SETTINGS: Final = 2


class _Decision(Protocol):
    name: str
    fields: dict[str, Any] | None


class DecisionLog:
    """Count decisions, and log those that say what decided them."""

    def __init__(self, lines: LogLines, counters: Counters) -> None:
        """Write to the process's log."""
        self.lines = lines
        self.counters = counters

    def take(self, decision: _Decision) -> None:
        """Count and log one decision."""
        self.counters.count(decision.name)
        if decision.fields is not None:
            self.lines.decide(decision.name, **decision.fields)


class PacketProcess:
    """The loop, the log and the counters of one process."""

    def __init__(
        self,
        program: str,
        instance: str,
        stack: ExitStack,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Open the loop; the stack closes it."""
        self.loop = EventLoop(stack, clock)
        self.lines = LogLines(program, instance, self.loop.clock)
        self.counters = Counters()
        self.loop.call_every(_FLUSH_SECONDS, self.lines.flush)


def serve_metrics(
    process: PacketProcess,
    address: Address,
    gauges: Gauges,
    stack: ExitStack,
) -> None:
    """Serve the metrics page, unless its port is 0."""
    if address.port:
        page = make_metrics_page(process.counters, gauges)
        serve_pages(process.loop, address, {METRICS_PATH: page}, stack)


class PacketServer(Protocol):
    """A packet balancer or a packet agent."""

    def start(self) -> None:
        """Begin to serve."""

    def stop(self) -> None:
        """Leave in a planned way."""

    def reload(self, settings: Any) -> tuple[str, ...]:
        """Take later settings; return the names that are in force now."""


_SettingsT = TypeVar('_SettingsT', bound=tuple[Any, ...])
_SocketsT = TypeVar('_SocketsT')

#: Takes settings, open sockets, the process and its exit stack.
MakeServer = Callable[
    [_SettingsT, _SocketsT, PacketProcess, ExitStack],
    PacketServer,
]


def run_process(
    program: str,
    path: str | None,
    settings_type: type[_SettingsT],
    open_sockets: Callable[[_SettingsT, ExitStack], _SocketsT],
    load_server: Callable[[], MakeServer[_SettingsT, _SocketsT]],
) -> int:
    """Run a server until it stops itself; return the exit status.

    Sockets are open before the server's code is imported: what arrives
    meanwhile waits in them, instead of for its sender to repeat it.
    """
    ignore_hang_up()
    path = path or os.environ.get(SETTINGS_VARIABLE, '')
    try:
        settings = load_settings(path, settings_type)
    except KeelgapError as error:
        return _exit_on(error)
    _never_wait_for_readers()
    with ExitStack() as stack:
        try:
            sockets = open_sockets(settings, stack)
        except KeelgapError as error:
            return _exit_on(error)
        process = PacketProcess(program, settings[0].name, stack)
        server = load_server()(settings, sockets, process, stack)
        watch = SettingsWatch(path, settings, process.lines, server.reload)
        handlers = {
            int(signal.SIGTERM): server.stop,
            int(signal.SIGINT): server.stop,
            int(signal.SIGHUP): watch.reload,
        }
        process.loop.handle_signals(handlers, stack)
        server.start()
        watch.start(process.loop)
        process.lines.tell(
            'started',
            process_seconds=round(time.process_time(), 3),
        )
        process.loop.run()
        process.lines.tell('stopped', counters=process.counters.totals)
        process.lines.flush()
    return 0


def ignore_hang_up() -> None:
    """Outlive a reload signal that comes before there is a handler for it."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def _exit_on(error: KeelgapError) -> int:
    print(f'{error.code}: {error}', file=sys.stderr)  # noqa: WPS421
    return _EXIT_BAD_SETTINGS


def _never_wait_for_readers() -> None:
    """Let a full pipe behind standard output refuse instead of block."""
    os.set_blocking(sys.stdout.fileno(), False)  # noqa: WPS425
