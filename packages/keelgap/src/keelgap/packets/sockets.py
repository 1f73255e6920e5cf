"""The datagram sockets of a packet program, opened before anything else."""

import socket
from contextlib import ExitStack
from typing import NamedTuple

from keelgap.addresses import Address, parse_address
from keelgap.sockets import bind_datagram

__all__ = ('PacketSockets', 'open_sockets')


class PacketSockets(NamedTuple):
    """What a process receives from."""

    #: Packets of callers in a balancer, of the upstream in an agent.
    traffic: socket.socket
    #: Envelopes of other processes.
    peers: socket.socket


def open_sockets(
    traffic_setting: str,
    traffic_address: str,
    peer_address: Address,
    stack: ExitStack,
) -> PacketSockets:
    """Bind both; the stack closes them.

    Raises PortInUse, which names the setting.
    """
    traffic = parse_address(traffic_address)
    sockets = PacketSockets(
        bind_datagram(traffic_setting, traffic),
        bind_datagram('listen.peer_port', peer_address),
    )
    for sock in sockets:
        stack.callback(sock.close)
    return sockets
