"""Run a packet agent: ``python -m keelgap_agent.packets SETTINGS``.

Without an argument the path comes from the environment.  This start imports
only what the first packet needs; ``keelgap-agent run_packets`` does the same.
"""

import sys

from keelgap.packets.process import run_process
from keelgap_agent.packets.conf import AgentPacketSettings
from keelgap_agent.packets.server import PacketAgent

__all__ = ('main',)


def main(path: str | None = None) -> int:
    """Run until SIGTERM; return the exit status."""
    return run_process(
        'keelgap-agent',
        path,
        AgentPacketSettings,
        PacketAgent,
    )


if __name__ == '__main__':
    sys.exit(main(*sys.argv[1:2]))
