"""Run a packet agent: ``python -m keelgap_agent.packets SETTINGS``.

Without an argument, the path is read from the environment.  To keep the start
short, this module imports only what the first packet needs;
``keelgap-agent run_packets`` does the same.
"""

import sys
from contextlib import ExitStack

from keelgap.addresses import Address
from keelgap.packets.process import ServerFactory, run_process
from keelgap.packets.sockets import PacketSockets, open_sockets
from keelgap_agent.packets.conf import AgentPacketSettings

__all__ = ('main',)


def _open_sockets(
    settings: AgentPacketSettings,
    stack: ExitStack,
) -> PacketSockets:
    """Open the sockets for the upstream and for balancers and agents."""
    listen = settings.listen
    peers = Address(settings.instance.address, listen.peer_port)
    return open_sockets('listen.upstream', listen.upstream, peers, stack)


def _load_server() -> ServerFactory[AgentPacketSettings, PacketSockets]:
    """Import the server, deferred until its sockets are open."""
    from keelgap_agent.packets.server import (  # noqa: PLC0415, WPS433
        PacketAgent,
    )

    return PacketAgent


def main(path: str | None = None) -> int:
    """Run until SIGTERM; return the exit status."""
    return run_process(
        'keelgap-agent',
        path,
        AgentPacketSettings,
        _open_sockets,
        _load_server,
    )


if __name__ == '__main__':
    sys.exit(main(*sys.argv[1:2]))
