"""The control channel: one ROUTER socket, and a DEALER for each peer.

CURVE (RFC 7748 keys in ZeroMQ's handshake) encrypts and authenticates: a
process that does not hold the fleet's key pair is not let in.
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

#: Messages queued for a peer that does not read; more are dropped, as every
#: exchange is repeated by its own protocol.
_HIGH_WATER: Final = 64
#: Sockets to peers kept open; the least recently used is closed.
_MAX_PEERS: Final = 64
_MAX_FRAME: Final = 8 * 1024 * 1024
_ZAP_DOMAIN: Final = b'keelgap'


class _FleetOnly:
    """Let in exactly the holders of the fleet's key."""

    def __init__(self, public_key: bytes) -> None:
        self.public_key = public_key

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a peer's public key (Z85) is the fleet's."""
        return key == self.public_key


class ControlChannel:
    """Send control messages to peers and hand on those received."""

    def __init__(
        self,
        address: Address,
        keys: FleetKeys,
        on_delivery: Callable[[Delivery], None],
        on_drop: Callable[[str], None],
    ) -> None:
        """Take who to be and where to hand messages; binds nothing yet."""
        self.address = address
        self.keys = keys
        self.on_delivery = on_delivery
        self.on_drop = on_drop
        self.context = zmq_asyncio.Context()
        # Senders never wait, so that they need no socket of the loop's.
        self.sender_context: zmq.Context[zmq.Socket[bytes]] = zmq.Context(
            shadow=self.context,
        )
        self.dealers: dict[Address, zmq.Socket[bytes]] = {}

    async def start(self, stack: AsyncExitStack) -> None:
        """Bind the port and start to read; the stack closes all."""
        stack.callback(self.context.term)
        authenticator = AsyncioAuthenticator(self.context)
        authenticator.start()
        stack.callback(authenticator.stop)
        stack.callback(self._close_dealers)
        fleet = _FleetOnly(self.keys.curve_public)
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
        """Send without waiting; what cannot be queued is dropped."""
        frames = encode_message(self.address, message)
        dealer = self._get_dealer(receiver)
        try:
            dealer.send_multipart(frames, flags=zmq.NOBLOCK)
        except zmq.ZMQError:
            self.on_drop('control_send_failed')

    def _get_dealer(self, receiver: Address) -> zmq.Socket[bytes]:
        dealer = self.dealers.pop(receiver, None)
        if dealer is None:
            dealer = self.sender_context.socket(zmq.DEALER)
            dealer.curve_serverkey = self.keys.curve_public
            self._configure(dealer)
            dealer.connect(f'tcp://{receiver}')
        # Re-insertion keeps the dictionary in order of last use.
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
        sock.curve_publickey = self.keys.curve_public
        sock.curve_secretkey = self.keys.curve_secret
        sock.linger = 0
        sock.sndhwm = _HIGH_WATER
        sock.rcvhwm = _HIGH_WATER
        sock.maxmsgsize = _MAX_FRAME

    async def _read(self, router: zmq_asyncio.Socket) -> None:
        while True:
            _peer, *frames = await router.recv_multipart()
            try:
                delivery = decode_message(frames)
            except WireError as error:
                self.on_drop(error.code)
            else:
                self.on_delivery(delivery)
