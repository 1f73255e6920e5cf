"""The agent's data port, which maps envelopes to connections."""

import asyncio
from collections.abc import Callable
from contextlib import ExitStack
from typing import NamedTuple

from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.packet import QuicHeader

from keelgap.addresses import Address
from keelgap.routing.connection_ids import ConnectionIdCodec, FlowOwner
from keelgap.sockets import bind_datagram, make_datagram_reader
from keelgap.wire.encapsulation import Envelope, MessageKind
from keelgap.wire.exceptions import (
    ForeignService,
    ForgedConnectionId,
    UnknownKind,
    WireError,
)
from keelgap.wire.packets import parse_header
from keelgap_agent.quic import handshakes
from keelgap_agent.quic.connections import CallerConnection, ConnectionHooks
from keelgap_agent.quic.protocol import AgentQuicConnection, HandshakeIds
from keelgap_agent.quic.return_path import ReturnPath
from keelgap_agent.quic.sender import EnvelopeSender

__all__ = ('FlowHooks', 'FlowTable', 'FlowOffer')


class FlowOffer(NamedTuple):
    """The first datagram of a new flow, which the agent accepts or refuses."""

    envelope: Envelope
    #: Balancer through which answers reach the caller.
    via: Address
    header: QuicHeader
    ids: HandshakeIds
    validated: bool


class FlowHooks(NamedTuple):
    """Callbacks from the flow table to its driver."""

    on_offer: Callable[[FlowOffer], None]
    accepts_service: Callable[[int], bool]
    on_revision_seen: Callable[[Address, int], None]


class FlowTable:
    """All flows of one agent, indexed by their connection ids."""

    def __init__(
        self,
        owner: FlowOwner,
        codec: ConnectionIdCodec,
        sender: EnvelopeSender,
        configuration: QuicConfiguration,
        hooks: FlowHooks,
    ) -> None:
        """Create an empty table; start() binds its port."""
        self.owner = owner
        self.codec = codec
        self.sender = sender
        self.configuration = configuration
        self.hooks = hooks
        self.loop = asyncio.get_running_loop()
        self.validator = handshakes.AddressValidator(self.codec, owner)
        self.return_path = ReturnPath()
        self.by_id: dict[bytes, CallerConnection] = {}
        self.flows: dict[int, CallerConnection] = {}
        #: Ids of flows whose handshake is not complete.
        self.handshaking: set[int] = set()
        self.next_flow_id = 1

    def start(self, stack: ExitStack) -> None:
        """Bind the data port; the stack closes it."""
        sock = bind_datagram('listen.data_port', self.owner.agent)
        stack.callback(sock.close)
        self.sender.sock = sock
        self.loop.add_reader(sock, make_datagram_reader(sock, self._receive))
        stack.callback(self.loop.remove_reader, sock)
        stack.callback(self._stop_timers)

    def set_service(self, service: int) -> None:
        """Set the service number that new connection ids carry."""
        self.owner = self.owner._replace(service=service)
        self.validator.owner = self.owner

    def count_handshakes(self) -> int:
        """Return the number of flows whose handshake is not complete."""
        return len(self.handshaking)

    def accept(
        self, offer: FlowOffer, hooks: ConnectionHooks
    ) -> CallerConnection:
        """Open the flow of an accepted offer and return its connection."""
        envelope = offer.envelope
        quic = AgentQuicConnection(
            self.configuration,
            offer.ids,
            self.codec,
            self.owner,
        )
        connection = CallerConnection(
            self.next_flow_id,
            quic,
            envelope.caller,
            hooks,
        )
        self.next_flow_id += 1
        self.flows[connection.flow_id] = connection
        self.handshaking.add(connection.flow_id)
        self._register(connection, offer.header.destination_cid)
        return connection

    def feed(
        self,
        connection: CallerConnection,
        envelope: Envelope,
        via: Address,
    ) -> None:
        """Pass a datagram to its connection and send the answers.

        A caller's address may change, for example behind a NAT (RFC 9000,
        9.3).  The connection validates a new address before it relies on it.
        """
        connection.via = via
        connection.caller = envelope.caller
        now = self.loop.time()
        quic = connection.quic
        quic.receive_datagram(envelope.payload, envelope.caller, now)
        connection.process_events()
        if quic.is_established:
            self.handshaking.discard(connection.flow_id)
        connection.wake_senders()
        self.transmit(connection)

    def transmit(self, connection: CallerConnection) -> None:
        """Send the pending datagrams of a connection and reset its timer."""
        now = self.loop.time()
        via = self.return_path.choose_balancer(connection.via, now)
        for datagram, caller in connection.quic.datagrams_to_send(now):
            self.sender.send_to_caller(via, caller, datagram)
        while connection.quic.issued:
            self._register(connection, connection.quic.issued.popleft())
        self._set_timer(connection)

    def forget_id(self, connection_id: bytes) -> None:
        """Remove a connection id that its caller retired."""
        self.by_id.pop(connection_id, None)

    def forget(self, connection: CallerConnection) -> None:
        """Remove a connection that has ended."""
        if connection.timer is not None:
            connection.timer.cancel()
        self.flows.pop(connection.flow_id, None)
        self.handshaking.discard(connection.flow_id)
        for connection_id in connection.ids:
            self.by_id.pop(connection_id, None)

    def _receive(self, datagram: bytes, sender: tuple[str, int]) -> None:
        """Handle a datagram, and count it as dropped if it is invalid."""
        try:
            self._handle_datagram(datagram, Address(*sender))
        except WireError as error:
            self.sender.metrics.drops.labels(error.code).inc()

    def _handle_datagram(self, datagram: bytes, sender: Address) -> None:
        """Handle an authenticated envelope according to its kind."""
        envelope = self.sender.envelopes.open(datagram, sender)
        self.hooks.on_revision_seen(sender, envelope.revision)
        kind = envelope.kind
        now = self.loop.time()
        if kind is MessageKind.PROBE:
            self.sender.acknowledge(sender)
        elif kind is MessageKind.LEAVING:
            self.return_path.record_leaving(sender, now)
        elif kind is MessageKind.FORWARD:
            self.return_path.record_heard(sender, now)
            self._handle_packet(envelope, sender)
        elif kind is MessageKind.HANDOVER:
            self._handle_packet(envelope, envelope.via)
        else:
            raise UnknownKind

    def _handle_packet(self, envelope: Envelope, via: Address) -> None:
        """Pass a caller's packet to its flow, or treat it as a new flow.

        A packet that belongs to no flow and opens none gets a stateless reset.
        """
        if not self.hooks.accepts_service(envelope.service):
            raise ForeignService
        header = parse_header(envelope.payload)
        connection = self.by_id.get(header.destination_id)
        if connection:
            self.feed(connection, envelope, via)
        elif header.may_open_flow:
            self._handle_initial(envelope, via)
        else:
            self._send_stateless_reset(envelope, header.destination_id, via)

    def _handle_initial(self, envelope: Envelope, via: Address) -> None:
        """Offer a new flow to admission, or negotiate the QUIC version."""
        initial = handshakes.parse_initial(
            envelope.payload,
            self.configuration,
        )
        header = initial.header
        if not initial.is_supported:
            negotiation = handshakes.make_version_negotiation(
                header,
                self.configuration,
            )
            self.sender.send_to_caller(via, envelope.caller, negotiation)
            return
        ids = HandshakeIds(header.destination_cid, None)
        validated = bool(header.token)
        if validated:
            now = self.loop.time()
            ids = self.validator.check(header, envelope.caller, now)
        offer = FlowOffer(envelope, via, header, ids, validated)
        self.hooks.on_offer(offer)

    def _send_stateless_reset(
        self,
        envelope: Envelope,
        connection_id: bytes,
        via: Address,
    ) -> None:
        """Send a stateless reset for a connection id of this agent."""
        if self.codec.read(connection_id) != self.owner:
            raise ForgedConnectionId
        token = self.codec.compute_reset_token(connection_id)
        reset = handshakes.make_stateless_reset(envelope.payload, token)
        if reset is not None:
            self.sender.metrics.events.labels('stateless_resets').inc()
            self.sender.send_to_caller(via, envelope.caller, reset)

    def _register(
        self,
        connection: CallerConnection,
        connection_id: bytes,
    ) -> None:
        """Index a connection by one of its connection ids."""
        connection.ids.add(connection_id)
        self.by_id[connection_id] = connection

    def _set_timer(self, connection: CallerConnection) -> None:
        """Replace the timer of a connection by one that QUIC asks for."""
        if connection.timer is not None:
            connection.timer.cancel()
            connection.timer = None
        due = connection.quic.get_timer()
        if due is not None and not connection.closed:
            connection.timer = self.loop.call_at(
                due,
                self._handle_timer,
                connection,
            )

    def _handle_timer(self, connection: CallerConnection) -> None:
        """Handle the expired timer of a connection and send what is due."""
        connection.timer = None
        connection.quic.handle_timer(self.loop.time())
        connection.process_events()
        connection.wake_senders()
        if not connection.closed:
            self.transmit(connection)

    def _stop_timers(self) -> None:
        for connection in self.flows.values():
            if connection.timer is not None:
                connection.timer.cancel()
