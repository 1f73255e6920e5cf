"""Give flows up that wait for an upstream which fails.

None of them is open: no packet behind the opening one has reached the
upstream, nor will one.  Where the upstream has not answered the opening
packet, that goes back to the balancer.  Otherwise the caller holds the
upstream's answer, and counts its flow as open.  If the upstream is silent, a
reset lets those who may repeat their requests do so at once; the others would
wait for nothing.  It is sent only if the first data acknowledge this upstream,
for the caller may have chosen another one.  If the upstream gives bad answers,
those who wait get theirs: some are good, and the others come as soon as a
reset would.

An agent that is younger than its upstream gives up nothing: what looks new to
it may be a late copy of a flow that is open.
"""

from keelgap.packets.envelopes import OPENING_KINDS
from keelgap.packets.formats import ENDS_FLOW
from keelgap_agent.packets.effects import (
    AgentEffect,
    Decided,
    SendToCaller,
)
from keelgap_agent.packets.events import EnvelopeArrived
from keelgap_agent.packets.outcomes.acknowledging import (
    acknowledges_upstream,
)
from keelgap_agent.packets.state import AgentState

__all__ = (
    'answer_given_up',
    'drop_given_up',
    'give_back_opening',
    'give_up_all',
    'give_up_ready',
)

Effects = tuple[AgentEffect, ...]


def give_up_all(state: AgentState, now: float) -> Effects:
    """Give up what waits, when the upstream is ejected."""
    effects: list[AgentEffect] = []
    for key in tuple(state.held):
        if state.outcomes.ejection.is_taken(key):
            continue
        if key in state.outcomes.unopened:
            effects.extend(give_back_opening(state, key, now))
        else:
            effects.extend(give_up_ready(state, key, now))
    return tuple(effects)


def give_back_opening(state: AgentState, key: bytes, now: float) -> Effects:
    """Give a flow back whose opening packet the upstream did not answer.

    Balancers of earlier releases might reset it, though it is open elsewhere.
    """
    event = state.outcomes.unopened.pop(key)
    is_understood = bool(state.balancers.report_formats.get(event.sender))
    if not state.registrar.is_complete or not is_understood:
        return ()
    fields = _describe(state, key, now - event.now)
    # Data show that the caller chose another upstream, so only they matter.
    events = tuple(state.held[key].packets.values()) or (event,)
    _forget(state, key, now, is_reset=False)
    misses = [state.give_back(one.sender, one.envelope) for one in events]
    return *misses, Decided('miss_unopened', fields)


def give_up_ready(state: AgentState, key: bytes, now: float) -> Effects:
    """Reset a flow whose request came, while the upstream is ejected."""
    ejection = state.outcomes.ejection
    held = state.held[key]
    is_known = state.registrar.is_complete
    if not is_known or not ejection.is_out or not ejection.is_silent:
        return ()
    if ejection.is_taken(key) or not held.packets:
        return ()
    datagram = next(iter(held.packets.values())).envelope.content
    flow = state.flows[key]
    # Data that passed have opened the flow.
    is_open = flow.caller_sequence is not None
    if is_open or not acknowledges_upstream(state, flow, datagram):
        return ()
    fields = _describe(state, key, now - held.came)
    _forget(state, key, now, is_reset=True)
    reset = SendToCaller(state.format.make_reset(datagram))
    return reset, Decided('reset_ejected', fields)


def answer_given_up(
    state: AgentState,
    key: bytes,
    event: EnvelopeArrived,
) -> Effects:
    """Answer a later packet of a flow that was given up.

    It must not reach the upstream: the request may run elsewhere by now.
    """
    envelope = event.envelope
    datagram = envelope.content
    is_opening = envelope.kind in OPENING_KINDS
    # A caller that was reset may open a new flow from the same port.
    is_new = is_opening and not state.format.copies(datagram)
    if is_new or not state.outcomes.given_up[key].is_reset:
        miss = state.give_back(event.sender, envelope)
        return miss, Decided('miss_given_up')
    is_over = state.format.flags(datagram) & ENDS_FLOW
    if is_over or is_opening:
        return (Decided('drop_given_up'),)
    reset = SendToCaller(state.format.make_reset(datagram))
    return reset, Decided('reset_given_up')


def drop_given_up() -> Effects:
    """Drop what the upstream says on a flow that was given up."""
    return (Decided('drop_given_up'),)


def _forget(
    state: AgentState,
    key: bytes,
    now: float,
    *,
    is_reset: bool,
) -> None:
    state.forget(key)
    state.outcomes.give_up(key, now, is_reset=is_reset)


def _describe(
    state: AgentState,
    key: bytes,
    waited: float,
) -> dict[str, object]:
    return {
        'flow': state.format.describe_key(key),
        'waited': round(waited, 3),
        'busy': state.busy,
        'waiting': len(state.held),
    }
