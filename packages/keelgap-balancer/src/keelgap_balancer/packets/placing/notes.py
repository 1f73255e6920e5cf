"""What is counted, learned and told of a placement."""

from keelgap.catalog.models import PacketRoute
from keelgap_balancer.packets.effects import Decided, PacketEffect
from keelgap_balancer.packets.state import PacketState
from keelgap_balancer.packets.views import AgentView

__all__ = ('note_placement',)


def note_placement(
    state: PacketState,
    taker: AgentView,
    route: PacketRoute,
    key: bytes,
    now: float,
) -> tuple[PacketEffect, ...]:
    """Note where a flow went; return a line if that is far, not too often."""
    if not state.features.placement:
        return ()
    memory = state.placing
    memory.spans.watch(key, route.name, now)
    if state.is_near(taker):
        memory.placed_near += 1
        return ()
    memory.placed_far += 1
    waits = memory.waits
    if waits is None or not memory.is_tellable(now):
        return ()
    fields = {
        'flow': state.format.describe_key(key),
        'route': route.name,
        'upstream': taker.upstream.upstream_id,
        'near_cost': round(waits.near, 2),
        'far_cost': round(waits.far, 2),
        'placed_far': memory.placed_far,
    }
    return (Decided('placed_far', fields),)
