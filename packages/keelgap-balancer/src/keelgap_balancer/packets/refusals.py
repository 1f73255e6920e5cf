"""Share refusals between balancers, as a caller may retry at any of them."""

from keelgap.catalog.models import PacketRoute
from keelgap.packets.envelopes import EnvelopeKind
from keelgap.packets.exceptions import MalformedEnvelope
from keelgap.packets.refusals import (
    MAX_REFUSED_CALLERS,
    pack_refused,
    unpack_refused,
)
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.effects import (
    Decided,
    PacketEffect,
    SendToBalancers,
)
from keelgap_balancer.packets.events import EnvelopeArrived
from keelgap_balancer.packets.state import PacketState

__all__ = ('record_refusal', 'handle_refused', 'broadcast_refused')

Effects = tuple[PacketEffect, ...]


def record_refusal(
    state: PacketState,
    route: PacketRoute,
    key: bytes,
    now: float,
) -> Effects:
    """Count a refusal, and expect a retry of its caller.

    The retry may come to any balancer, so the others are told.
    """
    state.caller_waits.record_refusal(key, now)
    counter = Decided(f'refused_priority_{route.priority}')
    return counter, *broadcast_refused(state, now)


def broadcast_refused(state: PacketState, now: float) -> Effects:
    """Send refused callers to the other balancers, in batches.

    Callers beyond two batches are dropped.
    """
    caller_waits = state.caller_waits
    is_too_soon = (
        now - caller_waits.announced_at < defaults.REFUSED_INTERVAL_SECONDS
    )
    if not caller_waits.unannounced or is_too_soon:
        return ()
    caller_waits.announced_at = now
    batch = caller_waits.unannounced[:MAX_REFUSED_CALLERS]
    caller_waits.unannounced = caller_waits.unannounced[
        MAX_REFUSED_CALLERS : 2 * MAX_REFUSED_CALLERS
    ]
    return (SendToBalancers(EnvelopeKind.REFUSED, pack_refused(batch)),)


def handle_refused(state: PacketState, event: EnvelopeArrived) -> Effects:
    """Expect retries of callers that another balancer refused."""
    try:
        callers = unpack_refused(event.envelope.content)
    except MalformedEnvelope as error:
        return (Decided(error.code),)
    for caller in callers:
        state.caller_waits.expect_retry(caller, event.now)
    return ()
