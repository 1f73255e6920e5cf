"""Tell other balancers what this one holds, and take what they tell."""

import socket
from collections.abc import Callable

from keelgap.addresses import Address
from keelgap.catalog.driver import CatalogDriver
from keelgap.catalog.readers import ReaderClaim, Readers
from keelgap.packets.envelopes import (
    Envelope,
    EnvelopeKind,
    Stamp,
    pack_envelope,
)
from keelgap.packets.process import PacketProcess
from keelgap.runtime.lines import MAX_NAMED
from keelgap.sockets import send_datagram
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.effects import TellBalancers
from keelgap_balancer.packets.gossip import (
    Gossip,
    MalformedGossip,
    decode_gossip,
    encode_gossip,
)
from keelgap_balancer.packets.peers import Peers
from keelgap_balancer.packets.places import Places

__all__ = ('GossipDriver',)


class GossipDriver:
    """Messages between balancers; their catalogs are read over HTTP."""

    def __init__(
        self,
        process: PacketProcess,
        peers: Peers,
        places: Places,
        catalog: CatalogDriver,
        make_stamp: Callable[[], Stamp],
        control_port: int,
    ) -> None:
        """Name the port on which balancers serve their catalogs."""
        self.process = process
        self.peers = peers
        self.places = places
        self.readers = Readers(peers.own)
        self.catalog = catalog
        self.make_stamp = make_stamp
        self.control_port = control_port
        #: Balancers that are new since the last line about them.
        self.found: set[str] = set()
        self.sock: socket.socket
        self.peer_port = 0

    def start(self, sock: socket.socket, peer_port: int) -> None:
        """Tell others from time to time."""
        self.sock = sock
        self.peer_port = peer_port
        self.process.loop.call_every(defaults.GOSSIP_SECONDS, self._fire)
        self.tell()

    def tell(self, *, is_round: bool = False) -> None:
        """Tell those whose turn it is; in each round, ask who owes answers."""
        # Also one that lost the store: the others must not count on it.
        is_reader = self.readers.is_reader
        now = self.process.loop.clock()
        receivers = self.peers.list_receivers(
            is_reader=is_reader,
            is_round=is_round,
        )
        for place, host in enumerate(receivers):
            is_next = is_round and self.peers.is_asked(host, place)
            asks = is_next and self.peers.probe(host, now)
            self._tell_peer(host, asks=asks)

    def tell_all(self, effect: TellBalancers) -> None:
        """Send a message that reducers exchange to the other balancers."""
        envelope = Envelope(
            effect.kind,
            hop=0,
            slots=0,
            priority=0,
            left_ms=0,
            service_tag=0,
            content=effect.content,
        )
        datagram = pack_envelope(envelope, self.make_stamp())
        for host in tuple(self.peers.heard)[: defaults.MAX_REFUSED_TOLD]:
            send_datagram(self.sock, datagram, (host, self.peer_port))

    def take(self, envelope: Envelope, host: str) -> None:
        """Take a message of another balancer."""
        try:
            gossip = decode_gossip(envelope.content)
        except MalformedGossip as error:
            self.process.counters.count(error.code)
            return
        now = self.process.loop.clock()
        self._note_readers(host, gossip, now)
        self.places.take(gossip.places)
        found = self.peers.take(gossip.changes, now)
        if self.peers.note(host, gossip.incarnation, gossip.peers, now):
            found = (*found, host)
            self._tell_peer(host)
        elif gossip.asks:
            self._tell_peer(host)
        self.found.update(found)
        peer = Address(host, self.control_port)
        self.catalog.note_peer(peer, gossip.revision)

    @property
    def _reads(self) -> bool:
        return self.readers.is_reader and self.catalog.is_answered

    def _fire(self) -> None:
        now = self.process.loop.clock()
        lost = self.peers.tick(now)
        self.places.forget(lost)
        self._tell_changes(lost)
        self._decide_reading(now)
        self.tell(is_round=True)

    def _decide_reading(self, now: float) -> None:
        before = self.readers.is_reader
        reads = self.readers.decide(now, self.peers.heard)
        self.catalog.decide_reading(reads, len(self.peers.heard) + 1)
        if reads != before:
            self.process.lines.tell(
                'reading_store' if reads else 'following_readers',
                other_readers=self.readers.list_fresh(now),
                revision=self.catalog.state.revision,
            )

    def _note_readers(self, host: str, gossip: Gossip, now: float) -> None:
        for claim in gossip.claims:
            self.readers.note_claim(claim, now)
        if gossip.reads:
            self.readers.note_claim(ReaderClaim(host, 0), now)
        else:
            self.readers.note_refusal(host, now)

    def _tell_changes(self, lost: tuple[str, ...]) -> None:
        """Log one line, however many balancers came or went."""
        if self.found or lost:
            self.process.lines.tell(
                'balancers_changed',
                found=len(self.found),
                lost=len(lost),
                known=len(self.peers.heard),
                found_hosts=sorted(self.found)[:MAX_NAMED],
                lost_hosts=lost[:MAX_NAMED],
            )
            self.found.clear()

    def _tell_peer(self, host: str, *, asks: bool = False) -> None:
        follower = self.catalog.state
        gossip = Gossip(
            follower.revision if follower.complete else 0,
            self._reads,
            self.peers.list_latest(),
            self.readers.make_claims(self.process.loop.clock()),
            self.peers.incarnation,
            asks,
            self.peers.take_news(),
            self.places.make_rows(),
        )
        envelope = Envelope(
            EnvelopeKind.GOSSIP,
            hop=0,
            slots=0,
            priority=0,
            left_ms=0,
            service_tag=0,
            content=encode_gossip(gossip),
        )
        datagram = pack_envelope(envelope, self.make_stamp())
        send_datagram(self.sock, datagram, (host, self.peer_port))
