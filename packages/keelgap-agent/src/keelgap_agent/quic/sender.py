"""Sender of envelopes from the agent's data port."""

import socket
from collections.abc import Callable

from keelgap.addresses import Address
from keelgap.metrics import SharedMetrics
from keelgap.sockets import send_datagram
from keelgap.wire.encapsulation import Envelope, EnvelopeCodec, MessageKind

__all__ = ('EnvelopeSender',)


class EnvelopeSender:
    """Seal and send envelopes, and count those that could not be sent."""

    def __init__(
        self,
        envelopes: EnvelopeCodec,
        metrics: SharedMetrics,
        get_revision: Callable[[], int],
        get_service: Callable[[], int],
    ) -> None:
        """Take the codec and the metrics; the flow table sets the socket."""
        self.envelopes = envelopes
        self.metrics = metrics
        self.get_revision = get_revision
        self.get_service = get_service
        self.sock: socket.socket | None = None

    def send_to_caller(
        self,
        via: Address,
        caller: tuple[str, int],
        datagram: bytes,
    ) -> None:
        """Send a datagram to a caller through a balancer."""
        envelope = Envelope(
            MessageKind.RETURN,
            self.get_service(),
            self.get_revision(),
            Address(*caller),
            payload=datagram,
        )
        self.send(via, envelope)

    def send(self, receiver: Address, envelope: Envelope) -> None:
        """Seal and send an envelope."""
        datagram = self.envelopes.seal(envelope, receiver)
        if self.sock is None or not send_datagram(
            self.sock,
            datagram,
            receiver,
        ):
            self.metrics.drops.labels('send_failed').inc()

    def acknowledge(self, balancer: Address) -> None:
        """Acknowledge a probe or a first datagram to a balancer."""
        kind = MessageKind.PROBE_REPLY
        revision = self.get_revision()
        self.send(balancer, Envelope(kind, 0, revision))
