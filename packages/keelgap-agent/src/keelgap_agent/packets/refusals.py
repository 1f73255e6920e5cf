"""Conditions under which an agent refuses a new flow."""

from keelgap_agent.packets import defaults
from keelgap_agent.packets.capacity import NO_TIME, cannot_be_served
from keelgap_agent.packets.events import EnvelopeArrived
from keelgap_agent.packets.flows import QueuedRequest
from keelgap_agent.packets.state import AgentState

__all__ = ('find_refusal',)


def find_refusal(
    state: AgentState,
    event: EnvelopeArrived,
    request: QueuedRequest,
) -> str | None:
    """Return why a new flow is refused, as a counter name; None to admit it.

    Refusals due to an ejection are decided in ``outlier_ejection/refusal.py``.
    """
    now = event.now
    if state.stopping_since is not None:
        return 'miss_closed'
    if state.is_evacuated:
        # The balancer's catalog is behind, or was when it sent the packet.
        return 'miss_zone_left'
    if state.warm_up_limiter.is_at_limit(now):
        return 'miss_cold'
    if len(state.flows) >= defaults.MAX_FLOWS:
        return 'miss_full'
    if len(state.queued) >= state.slots * defaults.MAX_QUEUED_PER_SLOT:
        return 'miss_queue_full'
    if not state.features.admission:
        return None
    return (
        NO_TIME
        if cannot_be_served(state, request, event.envelope, now)
        else None
    )
