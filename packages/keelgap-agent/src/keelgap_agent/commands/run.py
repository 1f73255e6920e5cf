"""Run an agent with the settings of an INI file."""

from keelgap.conf import load_settings
from keelgap.exceptions import KeelgapError
from keelgap.logs import configure_logs
from keelgap.process import report_error
from keelgap.process import run as run_server
from keelgap_agent.conf import AgentSettings
from keelgap_agent.server import AgentServer

__all__ = ('run',)


def run(path: str) -> int:
    """Run an agent until SIGTERM and the end of all its flows.

    Returns the exit status.
    """
    try:
        settings = load_settings(path, AgentSettings)
    except KeelgapError as error:
        return report_error(error)
    configure_logs('keelgap-agent', settings.instance.name)
    return run_server(lambda: AgentServer(settings))
