"""Check the settings file of an agent and print all faults at once."""

import sys

from keelgap.conf import load_settings
from keelgap.exceptions import ImproperlyConfigured
from keelgap.keys import load_keys
from keelgap.process import EXIT_FAULTS
from keelgap_agent.conf import AgentSettings

__all__ = ('check',)


def check(path: str) -> int:
    """Print the faults of a settings file; return the exit status."""
    try:
        load_keys(load_settings(path, AgentSettings).keys)
    except ImproperlyConfigured as error:
        print(error, file=sys.stderr)  # noqa: WPS421
        return EXIT_FAULTS
    print(f'{path}: no faults')  # noqa: WPS421
    return 0
