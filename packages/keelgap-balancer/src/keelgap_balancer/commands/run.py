"""Run a balancer with settings from an INI file."""

from keelgap.conf import load_settings
from keelgap.exceptions import KeelgapError
from keelgap.logs import configure_logs
from keelgap.process import report_error
from keelgap.process import run as run_server
from keelgap_balancer.conf import BalancerSettings
from keelgap_balancer.server import BalancerServer

__all__ = ('run',)


def run(path: str) -> int:
    """Run a balancer until SIGTERM; return the exit status."""
    try:
        settings = load_settings(path, BalancerSettings)
    except KeelgapError as error:
        return report_error(error)
    configure_logs('keelgap', settings.instance.name)
    return run_server(lambda: BalancerServer(settings))
