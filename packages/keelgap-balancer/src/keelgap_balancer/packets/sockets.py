"""The datagram sockets of a packet balancer, opened before anything else."""

import socket
from contextlib import ExitStack
from typing import NamedTuple

from keelgap.addresses import Address, parse_address
from keelgap.sockets import bind_datagram
from keelgap_balancer.packets.conf import BalancerPacketSettings

__all__ = ('PacketSockets', 'open_sockets')


class PacketSockets(NamedTuple):
    """What the process receives from."""

    callers: socket.socket
    #: Balancers and agents.
    peers: socket.socket


def open_sockets(
    settings: BalancerPacketSettings,
    stack: ExitStack,
) -> PacketSockets:
    """Bind both; the stack closes them.  Raises PortInUse."""
    listen = settings.listen
    own = settings.instance.address
    sockets = PacketSockets(
        bind_datagram('listen.callers', parse_address(listen.callers)),
        bind_datagram('listen.peer_port', Address(own, listen.peer_port)),
    )
    for sock in sockets:
        stack.callback(sock.close)
    return sockets
