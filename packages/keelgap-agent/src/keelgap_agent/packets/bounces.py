"""Packets that the upstream bounced, because it does not have their flow."""

from types import MappingProxyType
from typing import Final

from keelgap.packets.envelopes import OPENING_KINDS, EnvelopeKind
from keelgap_agent.packets.admission import release_queued
from keelgap_agent.packets.effects import AgentEffect, Decided
from keelgap_agent.packets.outlier_ejection.abandonment import (
    drop_abandoned_packet,
)
from keelgap_agent.packets.route_services import precede_denial
from keelgap_agent.packets.scheduling.subsequent_requests import handle_bounce
from keelgap_agent.packets.state import AgentState

__all__ = ('return_bounced_packet',)

Effects = tuple[AgentEffect, ...]
_KIND_NAMES: Final = MappingProxyType({
    int(kind): kind.name.lower() for kind in EnvelopeKind
})


def return_bounced_packet(
    state: AgentState, datagram: bytes, now: float
) -> Effects:
    """Return a bounced packet to its balancer, and remove the flow."""
    host, hop, kind = state.balancers.read_mark(state.format.mark(datagram))
    packet = state.format.without_bounce(datagram)
    key = state.format.caller_key(packet)
    if key in state.outcomes.abandoned_flows:
        return drop_abandoned_packet()
    lost = handle_bounce(state, key, packet, now)
    state.forget(key)
    if host is None:
        dropped = Decided('drop_bounce_unknown_mark')
        return (dropped, *lost, *release_queued(state, now))
    bounced = _log_bounced(state, key, hop, kind)
    miss = state.send(host, EnvelopeKind.MISS, packet, hop)
    returned: Effects = (miss,)
    if kind not in OPENING_KINDS:
        returned = precede_denial(state, miss, (key,))
    return (*returned, bounced, *lost, *release_queued(state, now))


def _log_bounced(state: AgentState, key: bytes, hop: int, kind: int) -> Decided:
    """Count a bounced packet by the kind of its envelope; log an opening."""
    bounced = Decided(f'bounced_{_KIND_NAMES.get(kind, "unknown")}')
    if kind not in OPENING_KINDS:
        return bounced
    fields = {
        'flow': state.format.describe_key(key),
        'hop': hop,
        'busy': state.busy,
        'flows': len(state.flows),
    }
    return bounced._replace(fields=fields)
