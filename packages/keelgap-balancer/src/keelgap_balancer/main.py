"""Command line of the ``keelgap`` program: the balancer and its tools."""

import sys

import fire
from fire.decorators import SetParseFn, SetParseFns
from fire.parser import DefaultParseValue

from keelgap import VERSION
from keelgap_balancer.commands.check import Check
from keelgap_balancer.commands.example import Example
from keelgap_balancer.commands.run import run
from keelgap_balancer.commands.show import Show
from keelgap_balancer.commands.split import split
from keelgap_balancer.commands.status import status
from keelgap_balancer.commands.trace import trace
from keelgap_balancer.packets.__main__ import main as run_packets

__all__ = ('Commands', 'main')


class Commands:
    """keelgap: a layer-4 load balancer for services that change often."""

    def __init__(self) -> None:
        """Initialize the command groups."""
        self.check = Check()
        self.example = Example()
        self.show = Show()

    @SetParseFn(str)
    def run(self, settings: str) -> None:
        """Run a balancer with settings from an INI file."""
        sys.exit(run(settings))

    @SetParseFns(json=DefaultParseValue)
    @SetParseFn(str)
    def status(self, *addresses: str, json: bool = False) -> None:
        """Print the revision in force at each ADMIN_ADDRESS, and who lags."""
        sys.exit(status(addresses, as_json=json))

    @SetParseFn(str)
    def split(self, table: str, directory: str, prefix: str = 'table') -> None:
        """Split a large table into parts under 1 MiB and a manifest."""
        sys.exit(split(table, directory, prefix))

    @SetParseFn(str)
    def run_packets(self, settings: str) -> None:
        """Run a packet balancer with settings from an INI file."""
        sys.exit(run_packets(settings))

    @SetParseFns(around=DefaultParseValue)
    @SetParseFn(str)
    def trace(self, wanted: str, *logs: str, around: bool = False) -> None:
        """Print the history of a request, flow or HOST:PORT found in LOGS."""
        sys.exit(trace(wanted, logs, around=around))

    def version(self) -> str:
        """Print the version."""
        return VERSION


def main() -> None:
    """Run the command line."""
    if '--version' in sys.argv[1:]:
        print(f'keelgap {VERSION}')  # noqa: WPS421
        return
    fire.Fire(Commands(), name='keelgap')
