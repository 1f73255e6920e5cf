"""Abandon queued flows when the upstream fails.

None of these flows is open: the upstream has received nothing but the opening
packet, and will receive nothing else.

- If the upstream has not replied to the opening packet, that packet is
  returned to the balancer.
- If it has replied, the caller considers the flow open.  If the upstream is
  unresponsive, the flow is reset: callers that may repeat their requests can
  do so at once, and the others would wait in vain.  The reset is sent only if
  the caller's first data acknowledge this upstream, since the caller may have
  chosen another one.
- If the upstream responds with errors, the flows stay queued: some responses
  are good, and the errors arrive as soon as a reset would.

An agent that started later than its upstream abandons nothing: a flow that
looks new to it may be a late copy of one that is open.
"""

from keelgap.packets.envelopes import OPENING_KINDS
from keelgap.packets.formats import ENDS_FLOW
from keelgap_agent.packets.effects import (
    AgentEffect,
    Decided,
    SendToCaller,
)
from keelgap_agent.packets.events import EnvelopeArrived
from keelgap_agent.packets.outlier_ejection.acknowledgments import (
    acknowledges_upstream,
)
from keelgap_agent.packets.state import AgentState

__all__ = (
    'answer_abandoned_flow',
    'drop_abandoned_packet',
    'return_opening',
    'abandon_queued_flows',
    'reset_queued_flow',
)

Effects = tuple[AgentEffect, ...]


def abandon_queued_flows(state: AgentState, now: float) -> Effects:
    """Reset queued flows of an ejected upstream, or return them.

    Flows without a reply to their opening packet return to their balancers.
    Flows that were admitted since the ejection, such as trials, are kept.
    """
    effects: list[AgentEffect] = []
    for key in tuple(state.queued):
        if state.outcomes.ejection.is_admitted(key):
            continue
        if key in state.outcomes.unanswered_openings:
            effects.extend(return_opening(state, key, now))
        else:
            effects.extend(reset_queued_flow(state, key, now))
    return tuple(effects)


def return_opening(state: AgentState, key: bytes, now: float) -> Effects:
    """Return a flow to its balancer after its opening packet got no reply.

    The flow is kept if it may be open already, or if its balancer is of an
    earlier release, which might reset it although another upstream has it.
    """
    event = state.outcomes.unanswered_openings.pop(key)
    is_supported = bool(state.balancers.report_formats.get(event.sender))
    if not state.registrar.is_complete or not is_supported:
        return ()
    fields = _describe(state, key, now - event.now)
    # Data show that the caller chose another upstream, so if there are any,
    # only they are returned.
    events = tuple(state.queued[key].packets.values()) or (event,)
    _abandon(state, key, now, is_reset=False)
    returned = [
        state.return_to_balancer(one.sender, one.envelope) for one in events
    ]
    return *returned, Decided('miss_unopened', fields)


def reset_queued_flow(state: AgentState, key: bytes, now: float) -> Effects:
    """Reset a flow whose request is queued for an unresponsive upstream.

    Nothing is done unless the upstream is ejected and unresponsive, and the
    data show that the caller chose it.
    """
    ejection = state.outcomes.ejection
    queued = state.queued[key]
    is_known = state.registrar.is_complete
    if not is_known or not ejection.is_ejected or not ejection.is_unresponsive:
        return ()
    if ejection.is_admitted(key) or not queued.packets:
        return ()
    datagram = next(iter(queued.packets.values())).envelope.content
    flow = state.flows[key]
    # Data that were sent to the upstream have opened the flow.
    is_open = flow.caller_sequence is not None
    if is_open or not acknowledges_upstream(state, flow, datagram):
        return ()
    fields = _describe(state, key, now - queued.arrived_at)
    _abandon(state, key, now, is_reset=True)
    reset = SendToCaller(state.format.make_reset(datagram))
    return reset, Decided('reset_ejected', fields)


def answer_abandoned_flow(
    state: AgentState,
    key: bytes,
    event: EnvelopeArrived,
) -> Effects:
    """Reset or return an abandoned flow again when its caller sends a packet.

    The packet must not reach the upstream: the request may already run
    elsewhere.  A repeated opening or closing packet after a reset is dropped.
    """
    envelope = event.envelope
    datagram = envelope.content
    is_opening = envelope.kind in OPENING_KINDS
    # After a reset the caller may open a new flow from the same port.
    is_new = is_opening and not state.format.retransmissions(datagram)
    if is_new or not state.outcomes.abandoned_flows[key].is_reset:
        miss = state.return_to_balancer(event.sender, envelope)
        return miss, Decided('miss_given_up')
    is_end = state.format.flags(datagram) & ENDS_FLOW
    if is_end or is_opening:
        return (Decided('drop_given_up'),)
    reset = SendToCaller(state.format.make_reset(datagram))
    return reset, Decided('reset_given_up')


def drop_abandoned_packet() -> Effects:
    """Drop a packet that the upstream sent or bounced on an abandoned flow.

    An abandoned flow was reset, or returned to its balancer, while queued.
    """
    return (Decided('drop_given_up'),)


def _abandon(
    state: AgentState,
    key: bytes,
    now: float,
    *,
    is_reset: bool,
) -> None:
    """Remove a queued flow, and remember that it was reset or returned."""
    state.forget(key)
    state.outcomes.abandon(key, now, is_reset=is_reset)


def _describe(
    state: AgentState,
    key: bytes,
    waited: float,
) -> dict[str, object]:
    """Return the log fields of a flow that waited for some seconds."""
    return {
        'flow': state.format.describe_key(key),
        'waited': round(waited, 3),
        'busy': state.busy,
        'waiting': len(state.queued),
    }
