"""Counts, learns from and logs the placements of flows."""

from keelgap.catalog.models import PacketRoute
from keelgap_balancer.packets.effects import Decided, PacketEffect
from keelgap_balancer.packets.state import PacketState
from keelgap_balancer.packets.views import AgentView

__all__ = ('note_placement',)


def note_placement(
    state: PacketState,
    view: AgentView,
    route: PacketRoute,
    key: bytes,
    now: float,
) -> tuple[PacketEffect, ...]:
    """Record a placement; return a log line if it is in another zone.

    Lines are rate-limited.
    """
    if not state.features.placement:
        return ()
    placement_state = state.placing
    placement_state.spans.watch(key, route.name, now)
    if state.is_near(view):
        placement_state.placed_near += 1
        return ()
    placement_state.placed_far += 1
    waits = placement_state.waits
    if waits is None or not placement_state.is_tellable(now):
        return ()
    fields = {
        'flow': state.format.describe_key(key),
        'route': route.name,
        'upstream': view.upstream.upstream_id,
        'near_cost': round(waits.near, 2),
        'far_cost': round(waits.far, 2),
        'placed_far': placement_state.placed_far,
    }
    return (Decided('placed_far', fields),)
