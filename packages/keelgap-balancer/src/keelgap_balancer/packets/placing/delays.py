"""Which agent is expected to answer a new flow first.

Costs are in units of the work that one request is for a typical upstream of
the service.  A flow that brings one request goes where that is answered
first; one that stays goes by its share of the upstream's capacity, since it
will load it for long.
"""

from collections.abc import Callable, Sequence
from math import log
from typing import Final, NamedTuple

from xxhash import xxh3_64_intdigest

from keelgap_balancer.packets.defaults import WARM_UP_SLOTS
from keelgap_balancer.packets.placing import defaults
from keelgap_balancer.packets.placing.memory import Waits
from keelgap_balancer.packets.state import PacketState
from keelgap_balancer.packets.views import AgentView

__all__ = ('choose_first_to_answer', 'measure_service')

_HALF: Final = 0.5


class Typical(NamedTuple):
    """What is usual among the candidates for a flow."""

    #: Requests at work for each open flow.
    duty: float
    #: Median of the work of one request, in milliseconds; 0 if unknown.
    work_ms: int


class _Question(NamedTuple):
    """One new flow, and what its place depends on."""

    state: PacketState
    typical: Typical
    #: Share of the flows of its route that stay.
    long_share: float
    now: float


def measure_service(
    views: Sequence[AgentView],
    duty: float,
) -> Typical | None:
    """Return what is usual, or None where nothing is uneven.

    Nothing is where nobody waits and all work at about the same pace, nor
    where that of most is unknown: they have just begun, or their agents are
    of an earlier release.
    """
    known = sorted(view.report.work_ms for view in views if view.report.work_ms)
    if len(known) * 2 < len(views):
        return None
    typical = Typical(duty, known[(len(known) - 1) // 2])
    if any(_is_unusual(view, typical) for view in views):
        return typical
    return None


def choose_first_to_answer(
    state: PacketState,
    typical: Typical,
    views: Sequence[AgentView],
    route_name: str,
    key: bytes,
    now: float,
) -> AgentView:
    """Return the agent with the least cost; the hash decides among equals."""
    question = _Question(
        state,
        typical,
        state.placing.spans.get_long_share(route_name),
        now,
    )
    costs = {view.host: _compute_cost(question, view) for view in views}
    rank = _make_rank(costs, key)
    near, others = _split(state, views)
    taker = min(near or others, key=rank)
    if not near or not others:
        return taker
    far = min(others, key=rank)
    least = min(costs[view.host] for view in near)
    waits = Waits(least, costs[far.host])
    if waits.near <= waits.far + _compute_way(typical):
        return taker
    state.placing.waits = waits
    return far


def _split(
    state: PacketState,
    views: Sequence[AgentView],
) -> tuple[list[AgentView], list[AgentView]]:
    """Return those of the own availability zone, and the others."""
    near: list[AgentView] = []
    others: list[AgentView] = []
    for view in views:
        (near if state.is_near(view) else others).append(view)
    return near, others


def _make_rank(
    costs: dict[str, float],
    key: bytes,
) -> Callable[[AgentView], tuple[int, int]]:
    """Return a ranking by steps of the cost, and by the hash of the key.

    Reports are behind, and many balancers read the same ones.  Within a step
    they agree on the place of one flow, and differ on that of the next.
    """
    step = log(defaults.COST_STEP)
    return lambda view: (
        int(log(max(costs[view.host], defaults.LEAST_COST)) / step),
        xxh3_64_intdigest(key, view.seed),
    )


def _compute_way(typical: Typical) -> float:
    """Return what the way to another availability zone costs."""
    return defaults.FAR_MARGIN + defaults.FAR_MILLISECONDS / typical.work_ms


def _is_unusual(view: AgentView, typical: Typical) -> bool:
    if view.report.busy > view.upstream.slots:
        return True
    return _compute_pace(view, typical) != 1


def _compute_pace(view: AgentView, typical: Typical) -> float:
    """Return how many times the usual work a request is for an upstream.

    Paces that differ by little count as alike: they rest on few answers,
    and are told in whole milliseconds.
    """
    work_ms = view.report.work_ms
    if not work_ms:
        return 1
    if abs(work_ms - typical.work_ms) <= defaults.ROUNDED_MILLISECONDS:
        return 1
    pace = work_ms / typical.work_ms
    is_alike = 1 / defaults.ALIKE_PACE < pace < defaults.ALIKE_PACE
    return 1 if is_alike else max(pace, defaults.LEAST_PACE)


def _compute_cost(question: _Question, view: AgentView) -> float:
    """Return the expected cost of one more flow at an agent."""
    slots: float = view.upstream.slots
    if question.now < view.warm_at:
        slots *= WARM_UP_SLOTS
    share = question.long_share
    cost = (1 - share) * _compute_delay(question, view, slots)
    cost += share * _compute_load(question, view, slots)
    return cost * _compute_pace(view, question.typical)


def _compute_delay(
    question: _Question,
    view: AgentView,
    slots: float,
) -> float:
    """Return how soon one request is answered, in requests of that agent."""
    report = view.report
    usual = report.flows * question.typical.duty
    trust = _compute_trust(question.now - view.reported_at)
    load = (usual + trust * (report.busy - usual) + view.picks) / slots
    wait = max(load + 1 / slots - 1, 0)
    # Even with a free slot others may come first.
    return 1 + wait + defaults.LOAD_COST * min(load, 1)


def _compute_load(
    question: _Question,
    view: AgentView,
    slots: float,
) -> float:
    """Return the load of a slot with one flow more that stays."""
    report = view.report
    usual = report.flows * question.typical.duty
    return ((report.busy + usual) * _HALF + view.picks + 1) / slots


def _compute_trust(age: float) -> float:
    """Return how much a report says of now."""
    beyond = max(age - defaults.FRESH_SECONDS, 0)
    return defaults.TRUSTED_SECONDS / (defaults.TRUSTED_SECONDS + beyond)
