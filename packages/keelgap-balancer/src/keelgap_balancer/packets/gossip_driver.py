"""Tell other balancers what this one holds, and take what they tell."""

import socket
from collections.abc import Callable

from keelgap.addresses import Address
from keelgap.catalog.driver import CatalogDriver
from keelgap.packets.envelopes import (
    Envelope,
    EnvelopeKind,
    Stamp,
    pack_envelope,
)
from keelgap.packets.process import PacketProcess
from keelgap.sockets import send_datagram
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.gossip import (
    MalformedGossip,
    Peers,
    decode_gossip,
)

__all__ = ('GossipDriver',)


class GossipDriver:
    """Messages between balancers; their catalogs are read over HTTP."""

    def __init__(
        self,
        process: PacketProcess,
        peers: Peers,
        catalog: CatalogDriver,
        make_stamp: Callable[[], Stamp],
        control_port: int,
    ) -> None:
        """Name the port on which balancers serve their catalogs."""
        self.process = process
        self.peers = peers
        self.catalog = catalog
        self.make_stamp = make_stamp
        self.control_port = control_port
        self.sock: socket.socket
        self.peer_port = 0

    def start(self, sock: socket.socket, peer_port: int) -> None:
        """Tell others from time to time."""
        self.sock = sock
        self.peer_port = peer_port
        self.process.loop.call_every(defaults.GOSSIP_SECONDS, self.tell)
        self.tell()

    def tell(self) -> None:
        """Tell those whose turn it is."""
        for silent in self.peers.forget_silent(self.process.loop.clock()):
            self.process.lines.tell('balancer_lost', host=silent)
        for host in self.peers.list_receivers():
            self._tell_peer(host)

    def take(self, envelope: Envelope, host: str) -> None:
        """Take a message of another balancer."""
        try:
            gossip = decode_gossip(envelope.content)
        except MalformedGossip as error:
            self.process.counters.count(error.code)
            return
        if self.peers.note(host, gossip, self.process.loop.clock()):
            self.process.lines.tell('balancer_found', host=host)
            self._tell_peer(host)
        peer = Address(host, self.control_port)
        self.catalog.note_peer(peer, gossip.revision)

    def _tell_peer(self, host: str) -> None:
        follower = self.catalog.state
        revision = follower.revision if follower.complete else 0
        content = self.peers.make_gossip(revision)
        datagram = pack_envelope(
            Envelope(EnvelopeKind.GOSSIP, 0, 0, 0, 0, 0, content),
            self.make_stamp(),
        )
        send_datagram(self.sock, datagram, (host, self.peer_port))
