"""Datagram sockets of the packet balancer and the packet agent."""

import socket
from contextlib import ExitStack
from typing import NamedTuple

from keelgap.addresses import Address, parse_address
from keelgap.sockets import bind_datagram

__all__ = ('PacketSockets', 'open_sockets')


class PacketSockets(NamedTuple):
    """The two sockets from which a process receives."""

    #: Receives packets from callers in a balancer, from the upstream in an
    #: agent.
    traffic: socket.socket
    #: Receives envelopes from other processes.
    peers: socket.socket


def open_sockets(
    traffic_setting: str,
    traffic_address: str,
    peer_address: Address,
    stack: ExitStack,
) -> PacketSockets:
    """Bind the traffic and peer sockets; the stack closes them.

    ``traffic_setting`` is the name of the setting with the traffic address.
    Raises PortInUse with the name of a setting if its port is taken.
    """
    traffic = parse_address(traffic_address)
    sockets = PacketSockets(
        bind_datagram(traffic_setting, traffic),
        bind_datagram('listen.peer_port', peer_address),
    )
    for sock in sockets:
        stack.callback(sock.close)
    return sockets
