"""Refusal of new flows for an ejected upstream."""

from keelgap.packets.envelopes import EnvelopeKind
from keelgap_agent.packets.events import EnvelopeArrived
from keelgap_agent.packets.outlier_ejection import defaults
from keelgap_agent.packets.state import AgentState

__all__ = ('find_ejection_refusal',)


def find_ejection_refusal(
    state: AgentState,
    key: bytes,
    event: EnvelopeArrived,
) -> str | None:
    """Return why a flow is refused due to an ejection; None to admit it.

    An ejected upstream gets trials, and flows that several other agents have
    returned: if most upstreams fail, none of them is left out.  Such flows
    are recorded with the ejection.
    """
    outcomes = state.outcomes
    ejection = outcomes.ejection
    if not ejection.is_ejected:
        return None
    envelope = event.envelope
    is_trial = envelope.kind == EnvelopeKind.TRY
    if ejection.admit(key, event.now, is_trial=is_trial):
        outcomes.has_unreported_change = True
        return None
    if envelope.hop >= defaults.FORCED_ACCEPT_HOP:
        ejection.forced.add(key)
        return None
    outcomes.stale_balancers.add(event.sender)
    return 'miss_ejected'
