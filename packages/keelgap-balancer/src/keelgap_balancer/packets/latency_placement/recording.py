"""Counts, learns from and logs the placements of flows."""

from keelgap.catalog.models import PacketRoute
from keelgap_balancer.packets.effects import Decided, PacketEffect
from keelgap_balancer.packets.state import PacketState
from keelgap_balancer.packets.views import AgentView

__all__ = ('record_placement',)


def record_placement(
    state: PacketState,
    view: AgentView,
    route: PacketRoute,
    key: bytes,
    now: float,
) -> tuple[PacketEffect, ...]:
    """Count a new flow placed at an agent, and watch how long it stays open.

    Returns a log line, at a limited rate, if costs led to another availability
    zone.  Does nothing unless ``placement`` is enabled.
    """
    if not state.features.placement:
        return ()
    placement_state = state.latency_placement
    placement_state.flow_durations.watch_flow(key, route.name, now)
    if state.is_same_zone(view):
        placement_state.placed_near += 1
        return ()
    placement_state.placed_far += 1
    cross_zone_costs = placement_state.cross_zone_costs
    if cross_zone_costs is None or not placement_state.should_log(now):
        return ()
    fields = {
        'flow': state.format.describe_key(key),
        'route': route.name,
        'upstream': view.upstream.upstream_id,
        'near_cost': round(cross_zone_costs.near, 2),
        'far_cost': round(cross_zone_costs.far, 2),
        'placed_far': placement_state.placed_far,
    }
    return (Decided('placed_far', fields),)
