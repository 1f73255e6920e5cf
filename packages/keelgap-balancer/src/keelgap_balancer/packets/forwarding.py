"""Forward packets of open flows to the agents that hold them."""

from typing import Final

from keelgap.packets.envelopes import EnvelopeKind
from keelgap_balancer.packets.effects import SendToAgent
from keelgap_balancer.packets.state import PacketState
from keelgap_balancer.packets.views import AgentView

__all__ = ('forward',)

_MILLISECONDS: Final = 1000


def forward(
    state: PacketState,
    owner: AgentView,
    datagram: bytes,
    hop: int = 0,
) -> SendToAgent:
    """Return the effect that forwards a packet with the terms of its route.

    The terms are the priority and the aim.  An agent that started after the
    flow was opened has no other source for them.  An aim of 0 would mean that
    it is unknown, so it is at least one millisecond.
    """
    route = state.find_route(datagram) if state.features.scheduling else None
    if route is None:
        return owner.send(EnvelopeKind.FORWARD, datagram, hop)
    return owner.send(
        EnvelopeKind.FORWARD,
        datagram,
        hop,
        route.priority,
        max(round(route.target_seconds * _MILLISECONDS), 1),
    )
