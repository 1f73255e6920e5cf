"""Validation of a settings file or a table, reporting all faults at once."""

import sys
from pathlib import Path

from fire.decorators import SetParseFn

from keelgap.conf import load_settings
from keelgap.dissemination.documents import UnusableDocument, load_document
from keelgap.exceptions import ImproperlyConfigured, TableRefused
from keelgap.keys import load_keys
from keelgap.process import EXIT_FAULTS
from keelgap.table import load_table
from keelgap_balancer.conf import BalancerSettings

__all__ = ('Check',)


class Check:
    """Check a file before it is used; exit with status 1 on faults."""

    @SetParseFn(str)
    def settings(self, path: str) -> None:
        """Check the settings file of a balancer and its key files."""
        try:
            load_keys(load_settings(path, BalancerSettings).keys)
        except ImproperlyConfigured as error:
            _exit_with_error(str(error))
        print(f'{path}: no faults')  # noqa: WPS421

    @SetParseFn(str)
    def table(self, path: str) -> None:
        """Check a table document with the rules that all processes apply."""
        try:
            content = Path(path).read_bytes()
            load_table(content)
            version = load_document(content).version
        except (OSError, TableRefused, UnusableDocument) as error:
            _exit_with_error(str(error))
        print(  # noqa: WPS421
            f'{path}: no faults; revision {version.revision}, '
            f'digest {version.digest}',
        )


def _exit_with_error(problem: str) -> None:
    """Print a problem and exit with the status for faults."""
    print(problem, file=sys.stderr)  # noqa: WPS421
    sys.exit(EXIT_FAULTS)
