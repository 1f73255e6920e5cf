"""Early refusal of new flows for which no agent has capacity in time."""

from typing import Final, NamedTuple

from keelgap.catalog.models import PacketRoute
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.caller_waits import get_caller_host
from keelgap_balancer.packets.fair_shares import Queue
from keelgap_balancer.packets.flow_search import FlowSearch
from keelgap_balancer.packets.placement import choose_service
from keelgap_balancer.packets.state import PacketState
from keelgap_balancer.packets.views import AgentView

__all__ = (
    'Excess',
    'find_excess',
    'get_queue',
    'has_enough_late_declines',
    'list_full_hosts',
)

_MILLISECONDS: Final = 1000


class Excess(NamedTuple):
    """Recent flows of a caller at or above its fair share, and that share."""

    recent_flows: float
    level: float


def find_excess(
    state: PacketState,
    route: PacketRoute,
    key: bytes,
    now: float,
) -> Excess | None:
    """Return the recent flows of a caller at or above its share, or None.

    None is returned for a caller below its share, and if no level applies.

    If an upstream reports a free slot, the level is too low and is raised.
    """
    shares = state.caller_waits.shares
    queue = get_queue(route, key)
    level = shares.get_level(queue, now)
    if level is None:
        return None
    views = state.agents_by_service.get(queue.service, ())
    if any(_has_free_slot(view, now) for view in views):
        shares.raise_level(queue, now)
    recent_flows = shares.get_recent_flows(queue, get_caller_host(key), now)
    return None if recent_flows < level else Excess(recent_flows, level)


def get_queue(route: PacketRoute, key: bytes) -> Queue:
    """Return the queue of the flows that compete with a flow as equals."""
    return Queue(choose_service(route, key), route.priority)


def has_enough_late_declines(search: FlowSearch) -> bool:
    """Return whether enough agents declined a flow for lack of time.

    After that, only agents whose reports show free capacity are asked.  One
    agent that declines is not enough, since reports may be some ten
    milliseconds old.  A balancer without messages from agents refuses no flow.
    """
    return search.late_declines >= defaults.MIN_LATE_DECLINES


def list_full_hosts(
    state: PacketState,
    route: PacketRoute,
    key: bytes,
    now: float,
) -> set[str]:
    """Return the hosts whose reports show no capacity for a flow in time.

    For a flow that is late already, only hosts without a queue have capacity.
    """
    service = choose_service(route, key)
    views = state.agents_by_service.get(service, ())
    remaining_seconds = max(
        route.target_seconds - state.caller_waits.get_request_age(key, now), 0
    )
    return {
        view.host
        for view in views
        if _starts_too_late(view, remaining_seconds, now)
    }


def _starts_too_late(
    view: AgentView, remaining_seconds: float, now: float
) -> bool:
    """Return whether a new request is unlikely to start in the time left.

    An agent that does not respond counts, too.
    """
    if view.is_unresponsive(now):
        return True
    report = view.report
    slots = max(view.upstream.slots, 1)
    queue_length = report.busy + view.flows_since_report - slots
    work_ms = report.work_ms or report.answer_ms
    return queue_length * work_ms / slots > remaining_seconds * _MILLISECONDS


def _has_free_slot(view: AgentView, now: float) -> bool:
    """Return whether an upstream has a free slot, judging by its report."""
    if not view.accepts_flows() or view.is_unresponsive(now):
        return False
    return view.report.busy + view.flows_since_report < view.upstream.slots
