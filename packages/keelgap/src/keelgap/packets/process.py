"""Process setup that the packet balancer and the packet agent share."""

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
from keelgap.packets.reload import SettingsWatcher
from keelgap.runtime.json_log import JsonLog
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
#: Maximum delay of log lines, which are written together.
_FLUSH_SECONDS: Final = 0.25
_EXIT_BAD_SETTINGS: Final = 2


class _Decision(Protocol):
    """A decision on a flow, as the balancer and the agent record it."""

    #: Name of the counter and of the log event.
    name: str
    #: Fields of the log line; None if the decision is only counted.
    fields: dict[str, Any] | None


class DecisionLog:
    """Counts decisions on flows, and logs those that have fields."""

    def __init__(self, lines: JsonLog, counters: Counters) -> None:
        """Initialize with the log and the counters of the process."""
        self.lines = lines
        self.counters = counters

    def record_decision(self, decision: _Decision) -> None:
        """Count and log one decision."""
        self.counters.count(decision.name)
        if decision.fields is not None:
            self.lines.log_decision(decision.name, **decision.fields)


class PacketProcess:
    """Event loop, log and counters of one process."""

    def __init__(
        self,
        program: str,
        instance: str,
        stack: ExitStack,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create the event loop and the log; the stack closes the loop."""
        self.loop = EventLoop(stack, clock)
        self.lines = JsonLog(program, instance, self.loop.clock)
        self.counters = Counters()
        self.loop.call_every(_FLUSH_SECONDS, self.lines.flush)


def serve_metrics(
    process: PacketProcess,
    address: Address,
    gauges: Gauges,
    stack: ExitStack,
) -> None:
    """Start to serve the metrics page, unless the port is 0."""
    if address.port:
        page = make_metrics_page(process.counters, gauges)
        serve_pages(process.loop, address, {METRICS_PATH: page}, stack)


class PacketServer(Protocol):
    """A packet balancer or a packet agent."""

    def start(self) -> None:
        """Start to serve callers or the upstream; return at once."""

    def stop(self) -> None:
        """Start a graceful shutdown, which ends by stopping the event loop."""

    def reload(self, settings: Any) -> tuple[str, ...]:
        """Apply new settings without a restart, as far as possible.

        Returns the names of the settings that need none, as section.name.
        """


_SettingsT = TypeVar('_SettingsT', bound=tuple[Any, ...])
_SocketsT = TypeVar('_SocketsT')

#: Called with the settings, open sockets, the process and its exit stack.
ServerFactory = Callable[
    [_SettingsT, _SocketsT, PacketProcess, ExitStack],
    PacketServer,
]


def run_process(
    program: str,
    path: str | None,
    settings_type: type[_SettingsT],
    open_sockets: Callable[[_SettingsT, ExitStack], _SocketsT],
    load_factory: Callable[[], ServerFactory[_SettingsT, _SocketsT]],
) -> int:
    """Run a balancer or agent until it stops; return the exit status.

    The settings file is ``path``, or that of SETTINGS_VARIABLE.  Sockets are
    opened before ``load_factory`` imports the server's code.  Packets that
    arrive during the import queue in the sockets, so that their senders need
    not retransmit them.
    """
    ignore_hangup()
    path = path or os.environ.get(SETTINGS_VARIABLE, '')
    try:
        settings = load_settings(path, settings_type)
    except KeelgapError as error:
        return _report_startup_error(error)
    _make_stdout_nonblocking()
    with ExitStack() as stack:
        try:
            sockets = open_sockets(settings, stack)
        except KeelgapError as error:
            return _report_startup_error(error)
        process = PacketProcess(program, settings[0].name, stack)
        server = load_factory()(settings, sockets, process, stack)
        watcher = SettingsWatcher(path, settings, process.lines, server.reload)
        handlers = {
            int(signal.SIGTERM): server.stop,
            int(signal.SIGINT): server.stop,
            int(signal.SIGHUP): watcher.reload,
        }
        process.loop.handle_signals(handlers, stack)
        server.start()
        watcher.start(process.loop)
        process.lines.log(
            'started',
            process_seconds=round(time.process_time(), 3),
        )
        process.loop.run()
        process.lines.log('stopped', counters=process.counters.totals)
        process.lines.flush()
    return 0


def ignore_hangup() -> None:
    """Ignore SIGHUP, which may arrive before its handler is installed."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def _report_startup_error(error: KeelgapError) -> int:
    """Print the error to standard error; return the exit status."""
    print(f'{error.code}: {error}', file=sys.stderr)  # noqa: WPS421
    return _EXIT_BAD_SETTINGS


def _make_stdout_nonblocking() -> None:
    """Make writes to a full pipe fail instead of blocking the process."""
    os.set_blocking(sys.stdout.fileno(), False)  # noqa: WPS425
