"""Exchange of gossip messages with the other balancers."""

import socket
from collections.abc import Callable

from keelgap.addresses import Address
from keelgap.catalog import defaults as catalog_defaults
from keelgap.catalog.driver import CatalogDriver
from keelgap.catalog.readers import ReaderElection
from keelgap.packets.envelopes import (
    Envelope,
    EnvelopeKind,
    Stamp,
    pack_envelope,
)
from keelgap.packets.process import PacketProcess
from keelgap.runtime.json_log import MAX_LISTED
from keelgap.sockets import send_datagram
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.balancer_infos import BalancerInfoTable
from keelgap_balancer.packets.effects import SendToBalancers
from keelgap_balancer.packets.gossip import (
    GossipMessage,
    MalformedGossip,
    decode_gossip,
    encode_gossip,
)
from keelgap_balancer.packets.peers import PeerTable

__all__ = ('GossipDriver',)


class GossipDriver:
    """Sends and receives gossip; catalogs themselves are read over HTTP."""

    def __init__(
        self,
        process: PacketProcess,
        peers: PeerTable,
        balancer_infos: BalancerInfoTable,
        catalog: CatalogDriver,
        make_stamp: Callable[[], Stamp],
        control_port: int,
    ) -> None:
        """Create a driver that does not send yet.

        All balancers serve catalogs on ``control_port``.
        """
        self.process = process
        self.peers = peers
        self.balancer_infos = balancer_infos
        self.readers = ReaderElection(peers.own_host)
        self.catalog = catalog
        self.make_stamp = make_stamp
        self.control_port = control_port
        #: Balancers found since the last log line about them.
        self.found: set[str] = set()
        self.sock: socket.socket
        self.peer_port = 0

    def start(self, sock: socket.socket, peer_port: int) -> None:
        """Begin to send messages at regular intervals."""
        self.sock = sock
        self.peer_port = peer_port
        loop = self.process.loop
        loop.call_every(defaults.GOSSIP_INTERVAL_SECONDS, self._run_round)
        loop.call_every(
            catalog_defaults.READER_CHECK_SECONDS, self._check_reader_role
        )
        self.send_gossip()

    def send_gossip(self, *, is_round: bool = False) -> None:
        """Send a message to the next receivers; in a round, also probe some.

        A receiver that is probed is asked for a reply.
        """
        now = self.process.loop.clock()
        receivers = self.peers.select_receivers(
            self.readers.list_receivers(now),
            # A reader that lost the store sends to as many: the others must
            # learn that they cannot rely on it.
            is_reader=self.readers.is_reader,
            is_round=is_round,
        )
        for position, host in enumerate(receivers):
            may_probe = is_round and self.peers.should_probe(host, position)
            wants_reply = may_probe and self.peers.start_probe(host, now)
            self._send_to_peer(host, wants_reply=wants_reply)

    def broadcast(self, effect: SendToBalancers) -> None:
        """Send an envelope other than gossip to other balancers.

        At most MAX_REFUSED_RECEIVERS get it.
        """
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
        for host in tuple(self.peers.last_heard)[
            : defaults.MAX_REFUSED_RECEIVERS
        ]:
            send_datagram(self.sock, datagram, (host, self.peer_port))

    def handle_message(self, envelope: Envelope, host: str) -> None:
        """Apply a gossip message; reply to a new sender or on request."""
        try:
            gossip = decode_gossip(envelope.content)
        except MalformedGossip as error:
            self.process.counters.count(error.code)
            return
        now = self.process.loop.clock()
        self._record_claims(host, gossip, now)
        self.balancer_infos.merge(gossip.balancer_infos)
        found = self.peers.merge(gossip.changes, now)
        if self.peers.record_message(
            host, gossip.incarnation, gossip.peers, now
        ):
            found = (*found, host)
            self._send_to_peer(host)
        elif gossip.wants_reply:
            self._send_to_peer(host)
        self.found.update(found)
        peer = Address(host, self.control_port)
        self.catalog.record_peer_revision(peer, gossip.revision)

    @property
    def _is_active_reader(self) -> bool:
        """Return whether this balancer reads the store and gets answers."""
        return self.readers.is_reader and self.catalog.is_answered

    def _run_round(self) -> None:
        """Apply timeouts and send gossip.

        Called every GOSSIP_INTERVAL_SECONDS.
        """
        now = self.process.loop.clock()
        self.peers.tick(now)
        lost = self.peers.take_removed()
        self.balancer_infos.forget(lost)
        for lost_host in lost:
            self.readers.record_loss(lost_host, now)
        if self.found or lost:
            self.readers.change_fleet(self.peers.last_heard)
        self._log_changes(lost)
        self._check_reader_role()
        self.send_gossip(is_round=True)

    def _check_reader_role(self) -> None:
        """Decide whether this balancer reads the store; apply the decision.

        Called every READER_CHECK_SECONDS.
        """
        now = self.process.loop.clock()
        was_reader = self.readers.is_reader
        is_reader = self.readers.decide(now)
        self.catalog.set_reader_role(is_reader, len(self.peers.last_heard) + 1)
        if is_reader == was_reader:
            return
        self._log_role(now)
        if is_reader:
            # Others that wait for their turn need not start.
            self.send_gossip()

    def _log_role(self, now: float) -> None:
        """Log that this balancer began or ceased to read the store."""
        readers = self.readers
        since = readers.shortage_since
        known = list(readers.claim_times.items())
        self.process.lines.log(
            'reading_store' if readers.is_reader else 'following_readers',
            other_readers=readers.list_fresh(now)[:MAX_LISTED],
            claim_ages={
                host: round(now - claimed_at, 3)
                for host, claimed_at in known[:MAX_LISTED]
            },
            waited=0 if since is None else round(now - since, 3),
            higher_ranked=readers.higher_ranked,
            revision=self.catalog.state.revision,
        )

    def _record_claims(
        self, host: str, gossip: GossipMessage, now: float
    ) -> None:
        """Record which balancers read the store, according to a message.

        A reader whose catalog could not be fetched is as good as lost.
        """
        unreachable = self.catalog.state.peer_fetches.list_failed(now)
        for claim in gossip.claims:
            if claim.host not in unreachable:
                self.readers.record_claim(claim, now)
        if host in unreachable and gossip.is_reader:
            self.readers.record_loss(host, now)
        else:
            self.readers.record_message(host, now, is_reader=gossip.is_reader)

    def _log_changes(self, lost: tuple[str, ...]) -> None:
        """Log the balancers found since the last log line, and those lost."""
        if self.found or lost:
            self.process.lines.log(
                'balancers_changed',
                found=len(self.found),
                lost=len(lost),
                known=len(self.peers.last_heard),
                found_hosts=sorted(self.found)[:MAX_LISTED],
                lost_hosts=lost[:MAX_LISTED],
            )
            self.found.clear()

    def _send_to_peer(self, host: str, *, wants_reply: bool = False) -> None:
        """Send a gossip message with what this balancer knows to another."""
        catalog_state = self.catalog.state
        now = self.process.loop.clock()
        gossip = GossipMessage(
            catalog_state.revision if catalog_state.complete else 0,
            self._is_active_reader,
            self.peers.list_recent_peers(),
            self.readers.make_claims(now),
            self.peers.incarnation,
            wants_reply,
            self.peers.take_updates(),
            self.balancer_infos.take_updates(),
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
