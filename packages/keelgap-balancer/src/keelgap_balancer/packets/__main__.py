"""Run a packet balancer: ``python -m keelgap_balancer.packets SETTINGS``.

Without an argument the path comes from the environment.  This start imports
only what the first packet needs; ``keelgap run_packets`` does the same.
"""

import sys

from keelgap.packets.process import run_process
from keelgap_balancer.packets.conf import BalancerPacketSettings
from keelgap_balancer.packets.server import PacketBalancer

__all__ = ('main',)


def main(path: str | None = None) -> int:
    """Run until SIGTERM; return the exit status."""
    return run_process(
        'keelgap',
        path,
        BalancerPacketSettings,
        PacketBalancer,
    )


if __name__ == '__main__':
    sys.exit(main(*sys.argv[1:2]))
