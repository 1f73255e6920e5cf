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
    """Return the effect that forwards a packet with the policy of its route.

    The policy is the priority and the target response time.  An agent that
    started after the flow was opened has no other source for them.  A target
    of 0 would mean that it is unknown, so at least one millisecond is sent.
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
