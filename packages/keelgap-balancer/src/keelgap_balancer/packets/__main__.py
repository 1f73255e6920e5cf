"""Run a packet balancer: ``python -m keelgap_balancer.packets SETTINGS``.

Without an argument the path is taken from the environment.  This entry point
imports only what the first packet needs, to start quickly; ``keelgap
run_packets`` runs the same program.
"""

import sys
from contextlib import ExitStack

from keelgap.addresses import Address
from keelgap.packets.process import ServerFactory, run_process
from keelgap.packets.sockets import PacketSockets, open_sockets
from keelgap_balancer.packets.conf import BalancerPacketSettings

__all__ = ('main',)


def _open_sockets(
    settings: BalancerPacketSettings,
    stack: ExitStack,
) -> PacketSockets:
    listen = settings.listen
    peers = Address(settings.instance.address, listen.peer_port)
    return open_sockets('listen.callers', listen.callers, peers, stack)


def _load_server() -> ServerFactory[BalancerPacketSettings, PacketSockets]:
    """Import and return the balancer's class, once its sockets are open."""
    from keelgap_balancer.packets.server import (  # noqa: PLC0415, WPS433
        PacketBalancer,
    )

    return PacketBalancer


def main(path: str | None = None) -> int:
    """Run until SIGTERM; return the exit status."""
    return run_process(
        'keelgap',
        path,
        BalancerPacketSettings,
        _open_sockets,
        _load_server,
    )


if __name__ == '__main__':
    sys.exit(main(*sys.argv[1:2]))
