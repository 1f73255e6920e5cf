"""Detect that the next data of a flow may be the rest of a request.

Data from the upstream does not show that it has received a whole request: it
may be an interim response, an early refusal or a copy of the previous
response.  Half a request would occupy a slot of the upstream while the rest is
queued here.
"""

from keelgap_agent.packets.flows import Flow, QueuedRequest
from keelgap_agent.packets.scheduling import defaults
from keelgap_agent.packets.state import AgentState

__all__ = ('record_packet_length', 'record_released_request')


def record_packet_length(
    state: AgentState, flow: Flow, datagram: bytes
) -> None:
    """Record whether a caller's latest packet was full of data.

    If so, the next one may continue the same request.
    """
    route_policy = flow.route_policy
    if route_policy is None:
        return
    length = state.format.data_length(datagram)
    may_continue = length >= defaults.FULL_PACKET_OCTETS
    if may_continue != route_policy.may_continue:
        flow.route_policy = route_policy._replace(may_continue=may_continue)


def record_released_request(state: AgentState, queued: QueuedRequest) -> None:
    """Record whether the last packet of a released request was full."""
    for event in queued.packets.values():
        datagram = event.envelope.content
        flow = state.flows[state.format.caller_key(datagram)]
        if state.format.sequence(datagram) == flow.caller_sequence:
            record_packet_length(state, flow, datagram)
