"""Where a new flow goes."""

from collections.abc import Container, Sequence
from math import log
from typing import Final, NamedTuple

from xxhash import xxh3_64_intdigest

from keelgap.catalog.models import PacketRoute
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.placing.candidates import list_candidates
from keelgap_balancer.packets.placing.delays import (
    choose_first_to_answer,
    measure_service,
)
from keelgap_balancer.packets.state import PacketState
from keelgap_balancer.packets.views import AgentView

__all__ = ('choose_service', 'choose_taker')

_HASH_BITS: Final = 64
_HASH_RANGE: Final = float(1 << _HASH_BITS)


class _Typical(NamedTuple):
    """What is usual among the candidates for a flow."""

    #: Requests at work for each open flow.
    duty: float
    #: Median of the mean times to an answer, in milliseconds.
    answer_ms: float


def choose_service(route: PacketRoute, key: bytes) -> str:
    """Return the service of a flow, by the weights of its route.

    The flow's key decides, so that all copies of its first packet agree.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    total = sum(share.weight for share in route.shares)
    point = xxh3_64_intdigest(key) / _HASH_RANGE * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service


def choose_taker(
    state: PacketState,
    route: PacketRoute,
    key: bytes,
    now: float,
    excluded: Container[str],
) -> AgentView | None:
    """Return the agent that should take a new flow, or None.

    None in an availability zone that is out of service.  Agents that owe an
    answer come last.  With ``placement`` on, and upstreams or load uneven, the
    one wins that is expected to answer first.  Otherwise the least expected
    load wins, and an agent in another availability zone only when the load
    here exceeds its own by REMOTE_LOAD.  Without any, upstreams that still
    speak though their entry went are taken: all entries lapse while the store
    is away, and come back.
    """
    service = choose_service(route, key)
    candidates = list_candidates(state, service, key, now, excluded)
    if not candidates:
        return None
    duty = _compute_duty(candidates)
    if state.features.placement:
        usual = measure_service(candidates, duty)
        if usual is not None:
            return choose_first_to_answer(
                state,
                usual,
                candidates,
                route.name,
                key,
                now,
            )
    typical = _Typical(
        duty,
        _compute_median([view.report.answer_ms for view in candidates]),
    )
    return min(
        candidates,
        key=lambda view: _compute_cost(state, view, key, now, typical),
    )


def _compute_median(numbers: list[int]) -> int:
    """Return the lower median; importing statistics costs 20 ms of start."""
    numbers.sort()
    return numbers[(len(numbers) - 1) // 2]


def _compute_duty(views: Sequence[AgentView]) -> float:
    """Return the requests at work for each open flow."""
    flows = sum(view.report.flows for view in views)
    busy = sum(view.report.busy for view in views)
    return min(busy / flows, 1) if flows else 0


def _compute_cost(
    state: PacketState,
    view: AgentView,
    key: bytes,
    now: float,
    typical: _Typical,
) -> tuple[float, int]:
    report = view.report
    slots: float = view.upstream.slots
    if now < view.warm_at:
        slots *= defaults.WARM_UP_SLOTS
    flows_at_work = report.flows * typical.duty
    expected = (report.busy + flows_at_work) / 2 + view.picks
    cost = (expected + 1) / slots
    if 0 < typical.answer_ms < report.answer_ms:
        # As many requests take as much longer here.
        cost *= report.answer_ms / typical.answer_ms
    if not state.is_near(view):
        cost += defaults.REMOTE_LOAD
    return _round_cost(cost), xxh3_64_intdigest(key, view.seed)


def _round_cost(cost: float) -> float:
    """Return equal costs for queues of about the same length.

    Then the hash decides, and copies of an opening packet that the routers
    send through another balancer meet the same agent.
    """
    if cost < defaults.QUEUE_LOAD:
        return cost
    steps = log(cost / defaults.QUEUE_LOAD) / log(defaults.QUEUE_STEP)
    return defaults.QUEUE_LOAD * defaults.QUEUE_STEP ** int(steps)
