"""When a new flow that agents have no time for is refused."""

from typing import Final, NamedTuple

from keelgap.catalog.models import PacketRoute
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.ages import get_host
from keelgap_balancer.packets.placement import choose_service
from keelgap_balancer.packets.searches import Search
from keelgap_balancer.packets.shares import Queue
from keelgap_balancer.packets.state import PacketState
from keelgap_balancer.packets.views import AgentView

__all__ = (
    'Excess',
    'find_excess',
    'get_queue',
    'has_asked_enough',
    'list_full',
)

_MILLISECONDS: Final = 1000


class Excess(NamedTuple):
    """What a caller got lately, and the most there is room for."""

    got: float
    level: float


def find_excess(
    state: PacketState,
    route: PacketRoute,
    key: bytes,
    now: float,
) -> Excess | None:
    """Return by how much a caller had more than its share, if it had.

    An upstream that reports a free slot shows that the level is too low.
    """
    shares = state.ages.shares
    queue = get_queue(route, key)
    level = shares.get_level(queue, now)
    if level is None:
        return None
    views = state.by_service.get(queue.service, ())
    if any(_is_idle(view, now) for view in views):
        shares.note_idle(queue, now)
    got = shares.read(queue, get_host(key), now)
    return None if got < level else Excess(got, level)


def get_queue(route: PacketRoute, key: bytes) -> Queue:
    """Return the flows that compete with a flow as equals."""
    return Queue(choose_service(route, key), route.priority)


def has_asked_enough(search: Search) -> bool:
    """Return whether enough agents had no time for a flow.

    After that only agents are asked whose reports show room; reports may be
    some ten milliseconds old, so one answer is not enough.  A balancer that
    hears no agent refuses nobody.
    """
    return search.lacks_time >= defaults.FEWEST_WITHOUT_TIME


def list_full(
    state: PacketState,
    route: PacketRoute,
    key: bytes,
    now: float,
) -> set[str]:
    """Return the hosts whose reports leave no room for a flow in time.

    For one that is late already there is room only where nobody waits.
    """
    service = choose_service(route, key)
    views = state.by_service.get(service, ())
    left = max(route.aim_seconds - state.ages.get_age(key, now), 0)
    return {view.host for view in views if _is_full(view, left, now)}


def _is_full(view: AgentView, left: float, now: float) -> bool:
    if view.is_quiet(now):
        return True
    report = view.report
    slots = max(view.upstream.slots, 1)
    queue = report.busy + view.picks - slots
    work_ms = report.work_ms or report.answer_ms
    return queue * work_ms / slots > left * _MILLISECONDS


def _is_idle(view: AgentView, now: float) -> bool:
    """Return whether an upstream has a free slot, as far as is known."""
    if not view.is_open() or view.is_quiet(now):
        return False
    return view.report.busy + view.picks < view.upstream.slots
