"""Why an upstream gets no new flow now."""

from keelgap_agent.packets import defaults
from keelgap_agent.packets.events import EnvelopeArrived
from keelgap_agent.packets.flows import Held
from keelgap_agent.packets.room import NO_TIME, lacks_time
from keelgap_agent.packets.state import AgentState

__all__ = ('find_refusal',)


def find_refusal(
    state: AgentState,
    event: EnvelopeArrived,
    held: Held,
) -> str | None:
    """Return why a new flow is given back; None if it is taken."""
    now = event.now
    if state.stopping_since is not None:
        return 'miss_closed'
    if state.is_evacuated:
        # Whoever offers is behind, or was when it sent this.
        return 'miss_zone_left'
    if state.cold.is_full(now):
        return 'miss_cold'
    if len(state.flows) >= defaults.MAX_FLOWS:
        return 'miss_full'
    if len(state.held) >= state.slots * defaults.HELD_PER_SLOT:
        return 'miss_queue_full'
    if not state.features.admission:
        return None
    return NO_TIME if lacks_time(state, held, event.envelope, now) else None
