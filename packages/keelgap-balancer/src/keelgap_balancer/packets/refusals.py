"""What follows a refusal: the caller may come back, to any balancer."""

from keelgap.catalog.models import PacketRoute
from keelgap.packets.envelopes import EnvelopeKind
from keelgap.packets.exceptions import MalformedEnvelope
from keelgap.packets.refusals import (
    MAX_REFUSED,
    pack_refused,
    unpack_refused,
)
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.effects import (
    Decided,
    PacketEffect,
    TellBalancers,
)
from keelgap_balancer.packets.events import EnvelopeArrived
from keelgap_balancer.packets.state import PacketState

__all__ = ('note_refusal', 'take_refused', 'tell_refused')

Effects = tuple[PacketEffect, ...]


def note_refusal(
    state: PacketState,
    route: PacketRoute,
    key: bytes,
    now: float,
) -> Effects:
    """Expect a refused caller again, here and at the other balancers."""
    state.ages.note_refusal(key, now)
    counted = Decided(f'refused_priority_{route.priority}')
    return counted, *tell_refused(state, now)


def tell_refused(state: PacketState, now: float) -> Effects:
    """Tell the other balancers of refused callers, some at a time."""
    ages = state.ages
    is_early = now - ages.told_at < defaults.REFUSED_PAUSE_SECONDS
    if not ages.untold or is_early:
        return ()
    ages.told_at = now
    told = ages.untold[:MAX_REFUSED]
    ages.untold = ages.untold[MAX_REFUSED : 2 * MAX_REFUSED]
    return (TellBalancers(EnvelopeKind.REFUSED, pack_refused(told)),)


def take_refused(state: PacketState, event: EnvelopeArrived) -> Effects:
    """Expect callers again that another balancer refused."""
    try:
        callers = unpack_refused(event.envelope.content)
    except MalformedEnvelope as error:
        return (Decided(error.code),)
    for caller in callers:
        state.ages.expect_again(caller, event.now)
    return ()
