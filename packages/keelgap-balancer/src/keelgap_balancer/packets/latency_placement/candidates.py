"""Selects the candidates for a new flow; samples them in large services."""

from collections.abc import Callable, Container, Iterable, Sequence
from math import gcd
from typing import Final

from xxhash import xxh3_64_intdigest

from keelgap_balancer.packets.ejection import find_excluded
from keelgap_balancer.packets.latency_placement import defaults
from keelgap_balancer.packets.latency_placement.state import SamplingOrder
from keelgap_balancer.packets.state import PacketState
from keelgap_balancer.packets.views import AgentView

__all__ = ('list_candidates',)

_HALF_BITS: Final = 32


def list_candidates(
    state: PacketState,
    service: str,
    key: bytes,
    now: float,
    excluded: Container[str],
) -> list[AgentView]:
    """Return the agents among which to choose one for a new flow.

    For a large service that is a sample, if ``placement`` is enabled.
    ``excluded`` hosts are left out.
    """
    views = state.agents_by_service.get(service, ())
    ejected = find_excluded(state, service, now)
    if state.features.placement and len(views) > defaults.SAMPLING_THRESHOLD:

        def choose(drawn: Iterable[AgentView]) -> list[AgentView]:
            """Return drawn agents that accept flows; none if none is ready."""
            accepting = _filter_accepting(state, drawn, now, excluded, ejected)
            has_ready = any(_is_ready(view, now, ejected) for view in accepting)
            return accepting if has_ready else []

        candidates = _sample(state, service, key, choose)
        if candidates:
            return candidates
    return _filter_accepting(state, views, now, excluded, ejected)


def _filter_accepting(
    state: PacketState,
    views: Iterable[AgentView],
    now: float,
    excluded: Container[str],
    ejected: Container[AgentView],
) -> list[AgentView]:
    """Return the best agents that may accept a flow.

    Ejected upstreams are used only if all responsive agents are ejected, and
    unresponsive agents only if there is no other.  Upstreams whose entry is
    missing are used only if no upstream has an entry.
    """
    eligible = [
        view
        for view in views
        if view.host not in excluded and not state.is_evacuated(view)
    ]
    open_views = [view for view in eligible if view.accepts_flows()]
    if not open_views:
        open_views = [view for view in eligible if view.may_be_alive(now)]
    responsive = [view for view in open_views if not view.is_unresponsive(now)]
    usable = responsive or open_views
    return [view for view in usable if view not in ejected] or usable


def _is_ready(
    view: AgentView,
    now: float,
    ejected: Container[AgentView],
) -> bool:
    """Return whether an agent accepts flows, responds and is not ejected."""
    is_responsive = view.accepts_flows() and not view.is_unresponsive(now)
    return is_responsive and view not in ejected


def _sample(
    state: PacketState,
    service: str,
    key: bytes,
    choose: Callable[[Iterable[AgentView]], list[AgentView]],
) -> list[AgentView]:
    """Return a sample of agents by the hash of a flow's key.

    Most of them are in this balancer's availability zone.

    All balancers of an availability zone draw the same sample for a flow.  If
    none of the sampled agents of this zone is ready, all agents of the zone
    are candidates: a flow must not leave its zone because of its sample.
    ``choose`` returns the agents that accept flows, if any of them is ready.
    """
    order = _get_sampling_order(state, service)
    hash_value = xxh3_64_intdigest(key)
    near = _draw(order.near, hash_value, defaults.SAMPLED_NEAR)
    count = defaults.SAMPLED_FAR + defaults.SAMPLED_NEAR - len(near)
    if not choose(near):
        near = order.near
    return choose((*near, *_draw(order.far, hash_value, count)))


def _get_sampling_order(
    state: PacketState, service: str
) -> SamplingOrder[AgentView]:
    """Return the agents of a service in the order for drawing samples.

    It leaves out availability zones that are out of service.  It is cached
    until these zones or the upstreams of the service change.
    """
    views = state.agents_by_service[service]
    evacuated = state.catalog.evacuated
    order = state.latency_placement.orders.get(service)
    if order is None or not order.is_current(views, evacuated):
        in_service = (view for view in views if not state.is_evacuated(view))
        ordered = sorted(in_service, key=lambda view: view.start_hash)
        order = SamplingOrder(
            views,
            frozenset(evacuated),
            tuple(filter(state.is_same_zone, ordered)),
            tuple(view for view in ordered if not state.is_same_zone(view)),
        )
        state.latency_placement.cache_order(
            service, order, state.agents_by_service
        )
    return order


def _draw(
    views: Sequence[AgentView],
    hash_value: int,
    count: int,
) -> Sequence[AgentView]:
    """Return ``count`` distinct agents chosen by a hash, or all if fewer."""
    length = len(views)
    if length <= count:
        return views
    step = (hash_value >> _HALF_BITS) % (length - 1) + 1
    while gcd(step, length) > 1:
        # Such a step would return to agents that were already drawn.
        step = step % (length - 1) + 1
    return [
        views[(hash_value + step * number) % length] for number in range(count)
    ]
