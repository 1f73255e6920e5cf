"""Selects the service and the agent for a new flow."""

from collections.abc import Container, Sequence
from math import log
from typing import Final, NamedTuple

from xxhash import xxh3_64_intdigest

from keelgap.catalog.models import PacketRoute
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.latency_placement.candidates import (
    list_candidates,
)
from keelgap_balancer.packets.latency_placement.costs import (
    choose_fastest_agent,
    measure_imbalance,
)
from keelgap_balancer.packets.state import PacketState
from keelgap_balancer.packets.views import AgentView

__all__ = ('choose_service', 'choose_agent')

_HASH_BITS: Final = 64
_HASH_RANGE: Final = float(1 << _HASH_BITS)


class _TypicalResponse(NamedTuple):
    """Typical load and response time of the candidates for a new flow."""

    #: Busy requests per open flow.
    busy_per_flow: float
    #: Median of the mean response times, in milliseconds.
    answer_ms: float


def choose_service(route: PacketRoute, key: bytes) -> str:
    """Return the service of a flow, by the weights of its route.

    The choice depends on the flow's key alone, so that all copies of its
    first packet go to the same service.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    total = sum(share.weight for share in route.shares)
    position = xxh3_64_intdigest(key) / _HASH_RANGE * total
    for share in route.shares:
        position -= share.weight
        if position < 0:
            return share.service
    return route.shares[-1].service


def choose_agent(
    state: PacketState,
    route: PacketRoute,
    key: bytes,
    now: float,
    excluded: Container[str],
) -> AgentView | None:
    """Return the agent to which to offer a new flow, or None.

    Agents in an availability zone that is out of service are never chosen,
    and unresponsive agents come last.  If ``placement`` is enabled and
    upstreams or load are uneven, the agent with the least expected latency is
    chosen.  Otherwise it is the one with the least expected load; an agent in
    another availability zone is chosen only when the load here exceeds its
    own by REMOTE_ZONE_COST.  If there is no candidate, upstreams are used
    whose entry is missing but whose agent still sends messages: all entries
    expire while the store is unavailable, and return with it.
    """
    service = choose_service(route, key)
    candidates = list_candidates(state, service, key, now, excluded)
    if not candidates:
        return None
    busy_per_flow = _compute_busy_per_flow(candidates)
    if state.features.placement:
        profile = measure_imbalance(candidates, busy_per_flow)
        if profile is not None:
            return choose_fastest_agent(
                state,
                profile,
                candidates,
                route.name,
                key,
                now,
            )
    typical = _TypicalResponse(
        busy_per_flow,
        _compute_median([view.report.answer_ms for view in candidates]),
    )
    return min(
        candidates,
        key=lambda view: _compute_cost(state, view, key, now, typical),
    )


def _compute_median(values: list[int]) -> int:
    """Return the lower median of values; sorts them in place.

    Importing statistics would take 20 ms.
    """
    values.sort()
    return values[(len(values) - 1) // 2]


def _compute_busy_per_flow(views: Sequence[AgentView]) -> float:
    """Return the number of busy requests per open flow, at most 1."""
    flows = sum(view.report.flows for view in views)
    busy = sum(view.report.busy for view in views)
    return min(busy / flows, 1) if flows else 0


def _compute_cost(
    state: PacketState,
    view: AgentView,
    key: bytes,
    now: float,
    typical: _TypicalResponse,
) -> tuple[float, int]:
    """Return a sort key for agents: the expected load per slot, then a hash.

    Slow upstreams and other availability zones cost more.
    """
    report = view.report
    slots: float = view.upstream.slots
    if now < view.warm_up_until:
        slots *= defaults.WARM_UP_SLOT_SHARE
    expected_busy = report.flows * typical.busy_per_flow
    expected = (report.busy + expected_busy) / 2 + view.flows_since_report
    cost = (expected + 1) / slots
    if 0 < typical.answer_ms < report.answer_ms:
        # The same number of requests takes longer here, by this factor.
        cost *= report.answer_ms / typical.answer_ms
    if not state.is_same_zone(view):
        cost += defaults.REMOTE_ZONE_COST
    return _round_cost(cost), xxh3_64_intdigest(key, view.start_hash)


def _round_cost(cost: float) -> float:
    """Round the cost of an agent down, so that similar queues cost the same.

    Among equal costs a hash decides, so that copies of an opening packet that
    the routers send through another balancer go to the same agent.
    """
    if cost < defaults.QUEUE_LOAD_THRESHOLD:
        return cost
    steps = log(cost / defaults.QUEUE_LOAD_THRESHOLD) / log(
        defaults.QUEUE_STEP_FACTOR
    )
    return defaults.QUEUE_LOAD_THRESHOLD * defaults.QUEUE_STEP_FACTOR ** int(
        steps
    )
