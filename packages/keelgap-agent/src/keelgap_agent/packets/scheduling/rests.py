"""Detect that the next data of a flow may be the rest of a request.

Data from the upstream does not show that it has received a whole request: it
may be an interim response, an early refusal or a copy of the previous
response.  Half a request would occupy a slot of the upstream while the rest is
queued here.
"""

from keelgap_agent.packets.flows import Flow, QueuedRequest
from keelgap_agent.packets.scheduling import defaults
from keelgap_agent.packets.state import AgentState

__all__ = ('note_length', 'note_released')


def note_length(state: AgentState, flow: Flow, datagram: bytes) -> None:
    """Record whether the latest data of a caller filled its packet."""
    terms = flow.terms
    if terms is None:
        return
    length = state.format.data_length(datagram)
    goes_on = length >= defaults.FULL_PACKET_OCTETS
    if goes_on != terms.goes_on:
        flow.terms = terms._replace(goes_on=goes_on)


def note_released(state: AgentState, queued: QueuedRequest) -> None:
    """Record the same for the last packet of a queued request that is sent."""
    for event in queued.packets.values():
        datagram = event.envelope.content
        flow = state.flows[state.format.caller_key(datagram)]
        if state.format.sequence(datagram) == flow.caller_sequence:
            note_length(state, flow, datagram)
