"""The ``keelgap-agent`` program."""

import sys

import fire
from fire.decorators import SetParseFn

from keelgap import VERSION
from keelgap_agent.commands.check import check
from keelgap_agent.commands.run import run
from keelgap_agent.packets.__main__ import main as run_packets

__all__ = ('Commands', 'main')


class Commands:
    """keelgap-agent: the keelgap process beside an upstream instance."""

    @SetParseFn(str)
    def run(self, settings: str) -> None:
        """Run an agent with the settings of an INI file."""
        sys.exit(run(settings))

    @SetParseFn(str)
    def run_packets(self, settings: str) -> None:
        """Run an agent of opaque packet flows with an INI file."""
        sys.exit(run_packets(settings))

    @SetParseFn(str)
    def check(self, path: str) -> None:
        """Check a settings file and its key files; exit 1 on faults."""
        sys.exit(check(path))

    def version(self) -> str:
        """Print the version."""
        return VERSION


def main() -> None:
    """Run the command line."""
    if '--version' in sys.argv[1:]:
        print(f'keelgap-agent {VERSION}')  # noqa: WPS421
        return
    fire.Fire(Commands(), name='keelgap-agent')
