"""What a scheduler could serve that knows every deadline and every work."""

import heapq
from typing import NamedTuple

from experiments.outage.callers import Caller
from experiments.outage.scenario import Scenario
from experiments.outage.upstreams import COLD_FACTOR, COLD_SECONDS
from experiments.outage.world import World

__all__ = (
    'Served',
    'compute_bound',
    'compute_bound_in_time',
    'count_served',
)


class Served(NamedTuple):
    """Shares of all requests."""

    answered: float
    in_time: float


class _Outage(NamedTuple):
    """When no upstream works, and until when they are slow after it."""

    begins: float
    ends: float
    warm_at: float


def count_served(world: World) -> Served:
    """Return what the callers of a run got."""
    callers = world.population.callers
    answered = [
        (one.answered - one.asked, one.kind.aim)
        for one in callers
        if one.answered is not None
    ]
    in_time = sum(took <= aim for took, aim in answered)
    return Served(len(answered) / len(callers), in_time / len(callers))


def compute_bound(world: World) -> float:
    """Return the share that earliest deadline first would answer.

    All slots form one pool without any network, from the moment when the
    first program starts and the store answers; who cannot be served any more
    takes no slot, and what ran when the power went is lost.
    """
    scenario = world.scenario
    callers = world.population.callers
    outage = _find_outage(scenario)
    free: list[float] = [0 for _ in range(scenario.agents * scenario.slots)]
    waiting: list[tuple[float, int]] = []
    served = 0
    arrived = 0
    while arrived < len(callers) or waiting:
        at = heapq.heappop(free)
        if outage.begins <= at < outage.ends:
            at = outage.ends
        if not waiting:
            at = max(at, callers[arrived].asked)
        while arrived < len(callers) and callers[arrived].asked <= at:
            heapq.heappush(waiting, (callers[arrived].leaves, arrived))
            arrived += 1
        end, is_served = _serve(callers[heapq.heappop(waiting)[1]], at, outage)
        served += is_served
        heapq.heappush(free, end)
    return served / len(callers)


def compute_bound_in_time(world: World, since: float = 0) -> float:
    """Return the share that could be answered in time, without an outage.

    Earliest aim first; who cannot be in time any more takes no slot.  Of
    those who ask after a time.
    """
    scenario = world.scenario
    callers = world.population.callers
    free: list[float] = [0 for _ in range(scenario.agents * scenario.slots)]
    waiting: list[tuple[float, int]] = []
    in_time = 0
    arrived = 0
    while arrived < len(callers) or waiting:
        at = heapq.heappop(free)
        if not waiting:
            at = max(at, callers[arrived].asked)
        while arrived < len(callers) and callers[arrived].asked <= at:
            caller = callers[arrived]
            due = caller.asked + caller.kind.aim
            heapq.heappush(waiting, (due, arrived))
            arrived += 1
        due, number = heapq.heappop(waiting)
        end = at + callers[number].work
        is_in_time = end <= due
        in_time += is_in_time and callers[number].asked >= since
        heapq.heappush(free, end if is_in_time else at)
    return in_time / sum(caller.asked >= since for caller in callers)


def _find_outage(scenario: Scenario) -> _Outage:
    dark_at = scenario.dark_at
    if dark_at is None:
        return _Outage(0, 0, 0)
    back = dark_at + scenario.dark_for + scenario.starts[0]
    ends = max(back, scenario.store_back)
    return _Outage(dark_at, ends, back + COLD_SECONDS)


def _serve(caller: Caller, at: float, outage: _Outage) -> tuple[float, bool]:
    """Return when a slot is free again, and whether it served a caller."""
    factor: float = 1
    if outage.ends <= at < outage.warm_at:
        factor = COLD_FACTOR
    end = at + caller.work * factor
    if at < outage.begins < end:
        return outage.ends, False
    if end > caller.leaves:
        return at, False
    return end, True
