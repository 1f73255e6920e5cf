"""The control channel: one ROUTER socket, and a DEALER socket for each peer.

CURVE (ZeroMQ's handshake with RFC 7748 keys) encrypts and authenticates the
connections: a process without the fleet's key pair is rejected.
"""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import Any, Final

import zmq
from zmq import asyncio as zmq_asyncio
from zmq.auth.asyncio import AsyncioAuthenticator

from keelgap.addresses import Address
from keelgap.control.messages import (
    ControlMessage,
    Delivery,
    decode_message,
    encode_message,
)
from keelgap.exceptions import PortInUse
from keelgap.keys import FleetKeys
from keelgap.wire.exceptions import WireError

__all__ = ('ControlChannel',)

#: Messages queued for a peer that does not read.  Further ones are dropped;
#: the protocols that use the channel repeat their exchanges.
_HIGH_WATER_MARK: Final = 64
#: Open sockets to peers; above this, the least recently used is closed.
_MAX_PEERS: Final = 64
_MAX_FRAME_LENGTH: Final = 8 * 1024 * 1024
_ZAP_DOMAIN: Final = b'keelgap'


class _FleetAuthenticator:
    """CURVE authentication that accepts only the fleet's public key."""

    def __init__(self, public_key: bytes) -> None:
        self.public_key = public_key

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a peer's public key (Z85) is that of the fleet."""
        return key == self.public_key


class ControlChannel:
    """Send control messages to peers and pass received ones to a callback."""

    def __init__(
        self,
        address: Address,
        keys: FleetKeys,
        on_delivery: Callable[[Delivery], None],
        on_drop: Callable[[str], None],
    ) -> None:
        """Set the own address and the callbacks; start() binds the port."""
        self.address = address
        self.keys = keys
        self.on_delivery = on_delivery
        self.on_drop = on_drop
        self.context = zmq_asyncio.Context()
        # Sending never blocks, so senders use plain sockets without asyncio.
        self.sender_context: zmq.Context[zmq.Socket[bytes]] = zmq.Context(
            shadow=self.context,
        )
        self.dealers: dict[Address, zmq.Socket[bytes]] = {}

    async def start(self, stack: AsyncExitStack) -> None:
        """Bind the port and start reading until the stack closes."""
        stack.callback(self.context.term)
        authenticator = AsyncioAuthenticator(self.context)
        authenticator.start()
        stack.callback(authenticator.stop)
        stack.callback(self._close_dealers)
        fleet = _FleetAuthenticator(self.keys.curve_public)
        authenticator.configure_curve_callback(_ZAP_DOMAIN.decode(), fleet)
        router = self.context.socket(zmq.ROUTER)
        stack.callback(router.close, 0)
        router.curve_server = True
        router.zap_domain = _ZAP_DOMAIN
        self._configure(router)
        try:
            router.bind(f'tcp://{self.address}')
        except zmq.ZMQError as error:
            raise PortInUse('listen.control_port', *self.address) from error
        task = asyncio.create_task(self._read(router))
        stack.callback(task.cancel)

    def send(self, receiver: Address, message: ControlMessage) -> None:
        """Send without blocking; a message that cannot be queued is dropped."""
        frames = encode_message(self.address, message)
        dealer = self._get_dealer(receiver)
        try:
            dealer.send_multipart(frames, flags=zmq.NOBLOCK)
        except zmq.ZMQError:
            self.on_drop('control_send_failed')

    def _get_dealer(self, receiver: Address) -> zmq.Socket[bytes]:
        """Return the socket that sends to a receiver, connecting it if needed.

        If too many are open, the least recently used one is closed.
        """
        dealer = self.dealers.pop(receiver, None)
        if dealer is None:
            dealer = self.sender_context.socket(zmq.DEALER)
            dealer.curve_serverkey = self.keys.curve_public
            self._configure(dealer)
            dealer.connect(f'tcp://{receiver}')
        # Reinsertion keeps the dictionary ordered by last use.
        self.dealers[receiver] = dealer
        if len(self.dealers) > _MAX_PEERS:
            oldest = next(iter(self.dealers))
            self.dealers.pop(oldest).close(linger=0)
        return dealer

    def _close_dealers(self) -> None:
        while self.dealers:
            _, dealer = self.dealers.popitem()
            dealer.close(linger=0)

    def _configure(self, sock: zmq.Socket[Any]) -> None:
        """Set the keys and the limits of a socket."""
        sock.curve_publickey = self.keys.curve_public
        sock.curve_secretkey = self.keys.curve_secret
        sock.linger = 0
        sock.sndhwm = _HIGH_WATER_MARK
        sock.rcvhwm = _HIGH_WATER_MARK
        sock.maxmsgsize = _MAX_FRAME_LENGTH

    async def _read(self, router: zmq_asyncio.Socket) -> None:
        """Pass received messages on and count those that cannot be decoded."""
        while True:
            _peer, *frames = await router.recv_multipart()
            try:
                delivery = decode_message(frames)
            except WireError as error:
                self.on_drop(error.code)
            else:
                self.on_delivery(delivery)
