"""Who may take a new flow; of very many, a few."""

from collections.abc import Callable, Container, Iterable, Sequence
from math import gcd
from typing import Final

from xxhash import xxh3_64_intdigest

from keelgap_balancer.packets.ejection import find_left_out
from keelgap_balancer.packets.placing import defaults
from keelgap_balancer.packets.placing.memory import Order
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
    """Return the agents among which the place of a flow is decided."""
    views = state.by_service.get(service, ())
    left_out = find_left_out(state, service, now)
    if state.features.placement and len(views) > defaults.MANY_CANDIDATES:

        def choose(drawn: Iterable[AgentView]) -> list[AgentView]:
            able = _choose_able(state, drawn, now, excluded, left_out)
            is_any = any(_is_ready(view, now, left_out) for view in able)
            return able if is_any else []

        candidates = _list_few(state, service, key, choose)
        if candidates:
            return candidates
    return _choose_able(state, views, now, excluded, left_out)


def _choose_able(
    state: PacketState,
    views: Iterable[AgentView],
    now: float,
    excluded: Container[str],
    left_out: Container[AgentView],
) -> list[AgentView]:
    """Return those that take flows, as far as is known.

    Those that owe an answer come last, behind those that are ejected, and
    those whose entry went only where there is nobody else.
    """
    others = [
        view
        for view in views
        if view.host not in excluded and not state.is_evacuated(view)
    ]
    members = [view for view in others if view.is_open()]
    if not members:
        members = [view for view in others if view.may_return(now)]
    answering = [view for view in members if not view.is_quiet(now)]
    takers = answering or members
    return [view for view in takers if view not in left_out] or takers


def _is_ready(
    view: AgentView,
    now: float,
    left_out: Container[AgentView],
) -> bool:
    is_answering = view.is_open() and not view.is_quiet(now)
    return is_answering and view not in left_out


def _list_few(
    state: PacketState,
    service: str,
    key: bytes,
    choose: Callable[[Iterable[AgentView]], list[AgentView]],
) -> list[AgentView]:
    """Return a few by the hash of a flow's key, most of them near.

    All balancers of an availability zone draw the same ones for a flow.
    Where none of the near ones is ready, all of them are looked through: a
    flow does not leave its zone because of those drawn for it.  ``choose``
    returns those that take flows, if any of them is ready.
    """
    order = _get_order(state, service)
    point = xxh3_64_intdigest(key)
    near = _pick(order.near, point, defaults.DRAWN_NEAR)
    count = defaults.DRAWN_FAR + defaults.DRAWN_NEAR - len(near)
    if not choose(near):
        near = order.near
    return choose((*near, *_pick(order.far, point, count)))


def _get_order(state: PacketState, service: str) -> Order[AgentView]:
    """Return the order of a service without zones out of service.

    Made anew when its members change, or those zones.
    """
    views = state.by_service[service]
    evacuated = state.catalog.evacuated
    order = state.placing.orders.get(service)
    if order is None or not order.is_of(views, evacuated):
        able = (view for view in views if not state.is_evacuated(view))
        ordered = sorted(able, key=lambda view: view.seed)
        order = Order(
            views,
            frozenset(evacuated),
            tuple(filter(state.is_near, ordered)),
            tuple(view for view in ordered if not state.is_near(view)),
        )
        state.placing.keep_order(service, order, state.by_service)
    return order


def _pick(
    views: Sequence[AgentView],
    point: int,
    count: int,
) -> Sequence[AgentView]:
    """Return so many different ones, or all."""
    length = len(views)
    if length <= count:
        return views
    step = (point >> _HALF_BITS) % (length - 1) + 1
    while gcd(step, length) > 1:
        # It would come back to those it drew.
        step = step % (length - 1) + 1
    return [views[(point + step * number) % length] for number in range(count)]
