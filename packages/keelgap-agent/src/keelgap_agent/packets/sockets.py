"""The datagram sockets of a packet agent, opened before anything else."""

import socket
from contextlib import ExitStack
from typing import NamedTuple

from keelgap.addresses import Address, parse_address
from keelgap.sockets import bind_datagram
from keelgap_agent.packets.conf import AgentPacketSettings

__all__ = ('PacketSockets', 'open_sockets')


class PacketSockets(NamedTuple):
    """What the process receives from."""

    upstream: socket.socket
    #: Balancers and agents.
    peers: socket.socket


def open_sockets(
    settings: AgentPacketSettings,
    stack: ExitStack,
) -> PacketSockets:
    """Bind both; the stack closes them.  Raises PortInUse."""
    listen = settings.listen
    own = settings.instance.address
    sockets = PacketSockets(
        bind_datagram('listen.upstream', parse_address(listen.upstream)),
        bind_datagram('listen.peer_port', Address(own, listen.peer_port)),
    )
    for sock in sockets:
        stack.callback(sock.close)
    return sockets
