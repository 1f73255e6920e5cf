"""Chooses the agent with the least expected latency for a new flow.

The unit of cost is the service time of one request at a typical upstream of
the service.  A flow with a single request goes where that request is expected
to be answered first.  A long flow is placed by the share of the upstream's
capacity that it takes, since it occupies that share for a long time.
"""

from collections.abc import Callable, Sequence
from math import log
from typing import Final, NamedTuple

from xxhash import xxh3_64_intdigest

from keelgap_balancer.packets.defaults import WARM_UP_SLOT_SHARE
from keelgap_balancer.packets.latency_placement import defaults
from keelgap_balancer.packets.latency_placement.state import CrossZoneCosts
from keelgap_balancer.packets.state import PacketState
from keelgap_balancer.packets.views import AgentView

__all__ = ('choose_fastest_agent', 'measure_imbalance')

_HALF: Final = 0.5


class TypicalLoad(NamedTuple):
    """Typical load and service time of the candidates for a new flow."""

    #: Busy requests per open flow.
    busy_per_flow: float
    #: Median of the upstreams' service times in milliseconds; 0 if unknown.
    work_ms: int


class _Flow(NamedTuple):
    """Inputs to the cost of a new flow that are the same for all agents."""

    state: PacketState
    typical: TypicalLoad
    #: Share of long flows among those of its route.
    long_share: float
    now: float


def measure_imbalance(
    views: Sequence[AgentView],
    busy_per_flow: float,
) -> TypicalLoad | None:
    """Return typical values if the load or speed of upstreams is uneven.

    None is returned for an even service.

    A service is even if no requests wait and all upstreams take about the
    same time for a request.  It counts as even, too, if that time is unknown
    for most of them: they have just started, or their agents are of an
    earlier release.
    """
    known = sorted(view.report.work_ms for view in views if view.report.work_ms)
    if len(known) * 2 < len(views):
        return None
    typical = TypicalLoad(busy_per_flow, known[(len(known) - 1) // 2])
    if any(_is_unusual(view, typical) for view in views):
        return typical
    return None


def choose_fastest_agent(
    state: PacketState,
    typical: TypicalLoad,
    views: Sequence[AgentView],
    route_name: str,
    key: bytes,
    now: float,
) -> AgentView:
    """Return the agent with the least expected cost for a new flow.

    An agent of another availability zone is returned only if it is cheaper by
    more than a penalty.  Among agents of similar cost a hash decides.
    """
    flow = _Flow(
        state,
        typical,
        state.latency_placement.flow_durations.get_long_flow_share(route_name),
        now,
    )
    costs = {view.host: _compute_cost(flow, view) for view in views}
    rank = _make_rank(costs, key)
    near, others = _split_by_zone(state, views)
    best_near = min(near or others, key=rank)
    if not near or not others:
        return best_near
    best_far = min(others, key=rank)
    near_cost = min(costs[view.host] for view in near)
    cross_zone_costs = CrossZoneCosts(near_cost, costs[best_far.host])
    if cross_zone_costs.near <= cross_zone_costs.far + _compute_zone_penalty(
        typical
    ):
        return best_near
    state.latency_placement.cross_zone_costs = cross_zone_costs
    return best_far


def _split_by_zone(
    state: PacketState,
    views: Sequence[AgentView],
) -> tuple[list[AgentView], list[AgentView]]:
    """Return the agents of the own availability zone, and the others."""
    near: list[AgentView] = []
    others: list[AgentView] = []
    for view in views:
        (near if state.is_same_zone(view) else others).append(view)
    return near, others


def _make_rank(
    costs: dict[str, float],
    key: bytes,
) -> Callable[[AgentView], tuple[int, int]]:
    """Return a sort key: steps of the cost, then a hash of the flow key.

    Reports lag behind, and many balancers use the same ones.  For agents
    within one step, all balancers choose the same agent for one flow, and
    different agents for different flows.
    """
    step = log(defaults.COST_STEP_FACTOR)
    return lambda view: (
        int(log(max(costs[view.host], defaults.MIN_COST)) / step),
        xxh3_64_intdigest(key, view.start_hash),
    )


def _compute_zone_penalty(typical: TypicalLoad) -> float:
    """Return the cost of sending a flow to another availability zone.

    Its unit is the service time of a request at a typical upstream.
    """
    return (
        defaults.CROSS_ZONE_MARGIN
        + defaults.CROSS_ZONE_RTT_MS / typical.work_ms
    )


def _is_unusual(view: AgentView, typical: TypicalLoad) -> bool:
    """Return whether requests wait at an upstream or its speed differs."""
    if view.report.busy > view.upstream.slots:
        return True
    return _compute_work_ratio(view, typical) != 1


def _compute_work_ratio(view: AgentView, typical: TypicalLoad) -> float:
    """Return the service time of an upstream as a multiple of the median.

    It is the mean time for which a request occupies a slot.  If it is
    unknown, 1 is returned.

    Small differences count as none: the values are means of few responses,
    reported in whole milliseconds.
    """
    work_ms = view.report.work_ms
    if not work_ms:
        return 1
    if abs(work_ms - typical.work_ms) <= defaults.WORK_ROUNDING_MS:
        return 1
    ratio = work_ms / typical.work_ms
    is_similar = (
        1 / defaults.SIMILAR_WORK_FACTOR < ratio < defaults.SIMILAR_WORK_FACTOR
    )
    return 1 if is_similar else max(ratio, defaults.MIN_WORK_RATIO)


def _compute_cost(flow: _Flow, view: AgentView) -> float:
    """Return the expected cost of one more flow at an agent.

    Its unit is the service time of a request at a typical upstream.
    """
    slots: float = view.upstream.slots
    if flow.now < view.warm_up_until:
        slots *= WARM_UP_SLOT_SHARE
    share = flow.long_share
    cost = (1 - share) * _compute_latency(flow, view, slots)
    cost += share * _compute_load(flow, view, slots)
    return cost * _compute_work_ratio(view, flow.typical)


def _compute_latency(
    flow: _Flow,
    view: AgentView,
    slots: float,
) -> float:
    """Return the expected latency of one request at an agent.

    Its unit is the service time of a request at that agent's upstream.
    """
    report = view.report
    typical_busy = report.flows * flow.typical.busy_per_flow
    weight = _compute_report_weight(flow.now - view.reported_at)
    load = (
        typical_busy
        + weight * (report.busy - typical_busy)
        + view.flows_since_report
    ) / slots
    wait = max(load + 1 / slots - 1, 0)
    # Even if a slot is free, other requests may take it first.
    return 1 + wait + defaults.FULL_LOAD_COST * min(load, 1)


def _compute_load(
    flow: _Flow,
    view: AgentView,
    slots: float,
) -> float:
    """Return the expected busy requests per slot with one more long flow."""
    report = view.report
    typical_busy = report.flows * flow.typical.busy_per_flow
    return (
        (report.busy + typical_busy) * _HALF + view.flows_since_report + 1
    ) / slots


def _compute_report_weight(age: float) -> float:
    """Return how far to trust a load report of an age in seconds, from 0 to 1.

    The remaining weight goes to the typical load.
    """
    beyond = max(age - defaults.REPORT_FRESH_SECONDS, 0)
    return defaults.REPORT_HALF_WEIGHT_SECONDS / (
        defaults.REPORT_HALF_WEIGHT_SECONDS + beyond
    )
