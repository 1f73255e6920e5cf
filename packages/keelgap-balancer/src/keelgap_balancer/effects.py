"""Effects of the balancer's reducer, run by the driver."""

from typing import NamedTuple

from keelgap.addresses import Address
from keelgap.table import Service
from keelgap.wire.encapsulation import Envelope

__all__ = (
    'BalancerEffect',
    'CloseService',
    'Count',
    'Drop',
    'OpenService',
    'SendEnvelope',
    'SendToCaller',
)


class SendEnvelope(NamedTuple):
    """Send an envelope to another process."""

    receiver: Address
    envelope: Envelope


class SendToCaller(NamedTuple):
    """Send a datagram to a caller from the port of a service."""

    service: int
    caller: Address
    payload: bytes


class Drop(NamedTuple):
    """Count a datagram that is dropped."""

    #: Code of a WireError.
    reason: str


class Count(NamedTuple):
    """Increment a counter of the metrics."""

    #: Name of the counter without its prefix.
    name: str


class OpenService(NamedTuple):
    """Listen on the port of a service."""

    service: Service


class CloseService(NamedTuple):
    """Stop listening on the port of a service."""

    service: Service


BalancerEffect = (
    SendEnvelope | SendToCaller | Drop | Count | OpenService | CloseService
)
