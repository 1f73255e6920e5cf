"""Entry point shared by both programs: event loop, signals and errors."""

import asyncio
import resource
import signal
import sys
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import Final, Protocol

import uvloop

from keelgap.exceptions import KeelgapError
from keelgap.logs import logger

__all__ = ('EXIT_BAD_SETTINGS', 'EXIT_FAULTS', 'Server', 'report_error', 'run')

#: Exit status of a check that found faults.
EXIT_FAULTS: Final = 1
#: Exit status of a program that cannot start with its settings.
EXIT_BAD_SETTINGS: Final = 2


class Server(Protocol):
    """The server of a balancer or an agent."""

    async def start(self, stack: AsyncExitStack) -> None:
        """Bind the ports and start serving until the stack closes."""

    async def drain(self) -> None:
        """Shut down gracefully."""


def report_error(error: KeelgapError) -> int:
    """Print an error without its traceback and return the exit status."""
    print(f'{error.code}: {error}', file=sys.stderr)  # noqa: WPS421
    return EXIT_BAD_SETTINGS


def _raise_file_limit() -> None:
    """Raise the limit on open files to the hard limit.

    A balancer has one socket for each service: 7,800 at the design size.
    """
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def run(make_server: Callable[[], Server]) -> int:
    """Run a server until SIGTERM or SIGINT; return the exit status."""
    _raise_file_limit()
    try:
        uvloop.run(_run(make_server))
    except KeelgapError as error:
        return report_error(error)
    return 0


async def _run(make_server: Callable[[], Server]) -> None:
    """Run a server until a signal arrives, then drain it."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    async with AsyncExitStack() as stack:
        server = make_server()
        await server.start(stack)
        logger.info('started')
        await stop.wait()
        logger.info('draining')
        await server.drain()
    logger.info('stopped')
