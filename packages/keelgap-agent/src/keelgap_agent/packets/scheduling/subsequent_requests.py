"""Queueing of subsequent requests on open flows until there is capacity.

A packet is queued only if it surely begins a request: its flow is known, the
earlier request was answered, the previous packet was not full, and its data
were not seen before.  Anything else is sent to the upstream at once, so that
requests that it has started on can continue.  Queued packets cannot be lost,
since a caller that waits repeats them.
"""

from typing import Final

from keelgap.packets.envelopes import EnvelopeKind
from keelgap.packets.formats import ENDS_FLOW, Flags
from keelgap_agent.packets import defaults as agent_defaults
from keelgap_agent.packets.admission import release_queued, release_request
from keelgap_agent.packets.effects import AgentEffect, Decided
from keelgap_agent.packets.events import EnvelopeArrived
from keelgap_agent.packets.flows import Flow, QueuedRequest
from keelgap_agent.packets.outlier_ejection.detection import (
    record_bounce_outcome,
)
from keelgap_agent.packets.request_log import log_requests_unanswered
from keelgap_agent.packets.scheduling.continuations import record_packet_length
from keelgap_agent.packets.scheduling.order import has_capacity
from keelgap_agent.packets.scheduling.route_policy import update_policy
from keelgap_agent.packets.state import AgentState

__all__ = (
    'must_queue',
    'handle_flow_end',
    'queue_subsequent_request',
    'release_queued_request',
    'handle_bounce',
    'handle_subsequent_packet',
)

Effects = tuple[AgentEffect, ...]
_RST: Final = int(Flags.RST)
_MILLISECONDS: Final = 1000


def must_queue(
    state: AgentState,
    flow: Flow,
    event: EnvelopeArrived,
) -> bool:
    """Return whether a packet begins a request that must be queued.

    Also update the flow's route policy from the envelope and the data.
    """
    if not state.features.scheduling:
        return False
    flow.route_policy = update_policy(event.envelope, flow.route_policy)
    datagram = event.envelope.content
    if flow.route_policy is None or not _has_new_data(state, flow, datagram):
        return False
    is_continuation = (
        flow.route_policy.may_continue or flow.busy_since is not None
    )
    if is_continuation or flow.ended or not _may_queue(state, flow):
        record_packet_length(state, flow, datagram)
        return False
    has_queued = any(queued.packets for queued in state.queued.values())
    if has_queued or not has_capacity(state, event.now):
        return True
    record_packet_length(state, flow, datagram)
    return False


def queue_subsequent_request(
    state: AgentState,
    key: bytes,
    event: EnvelopeArrived,
) -> Effects:
    """Queue a request, unless it ranks first and there is capacity."""
    queued = _make_queued_request(state.flows[key], event)
    state.queued[key] = queued
    effects = (
        *_announce_owned(state, key, event),
        *_store_packet(state, key, queued, event),
    )
    if key not in state.queued:
        return effects
    return (*effects, Decided('held_later', _describe(state, key, event.now)))


def handle_subsequent_packet(
    state: AgentState,
    key: bytes,
    event: EnvelopeArrived,
) -> Effects:
    """Handle a caller's packet of a flow whose subsequent request is queued.

    New data are added to the queued request, and other packets are forwarded.
    If the packet ends the flow, the request is forwarded or dropped.
    """
    envelope = event.envelope
    datagram = envelope.content
    flow = state.flows[key]
    has_data = state.format.data_length(datagram) > 0
    forwarded = state.forward_to_upstream(event.sender, envelope)
    announced = _announce_owned(state, key, event)
    if state.format.flags(datagram) & ENDS_FLOW:
        # The last data of a request may arrive with the caller's FIN.
        dequeued = (
            release_queued_request(state, key, event.now)
            if has_data
            else _drop_departed(state, key, event.now)
        )
        flow.ended = True
        state.cancel_request(flow)
        return (
            *announced,
            *dequeued,
            forwarded,
            *release_queued(state, event.now),
        )
    if not has_data or not _has_new_data(state, flow, datagram):
        return (*announced, forwarded)
    return (*announced, *_store_packet(state, key, state.queued[key], event))


def handle_flow_end(
    state: AgentState,
    key: bytes,
    flags: int,
    now: float,
) -> Effects:
    """Send or drop the queued request of a flow that the upstream ends.

    Does nothing unless ``flags`` contain FIN or RST.  If the upstream closes
    the flow, the request is sent to it, since it responds to later packets
    itself.  After a reset the caller no longer waits, so the request is
    dropped.
    """
    if not flags & ENDS_FLOW or not _is_subsequent_queued(state, key):
        return ()
    if flags & _RST:
        fields = _describe(state, key, now)
        state.queued.pop(key)
        return (Decided('reset_waiting', fields),)
    return release_queued_request(state, key, now)


def release_queued_request(
    state: AgentState, key: bytes, now: float
) -> Effects:
    """Send the queued request of an open flow at once, if there is one."""
    if not _is_subsequent_queued(state, key):
        return ()
    return release_request(state, key, now)


def handle_bounce(
    state: AgentState,
    key: bytes,
    packet: bytes,
    now: float,
) -> Effects:
    """Handle a packet bounced by the upstream: send the queued request.

    Also record the outcome.  The upstream bounces that request as well, so its
    end is logged at once.
    """
    flow = state.flows.get(key)
    if flow is None or flow.searched_by is not None:
        return release_queued_request(state, key, now)
    recorded = record_bounce_outcome(state, key, flow, packet, now)
    released = release_queued_request(state, key, now)
    return (
        *recorded,
        *released,
        *log_requests_unanswered(state, key, flow, 'bounced'),
    )


def _is_subsequent_queued(state: AgentState, key: bytes) -> bool:
    """Return whether a request other than a flow's first is queued."""
    queued = state.queued.get(key)
    return queued is not None and queued.is_subsequent


def _may_queue(state: AgentState, flow: Flow) -> bool:
    """Return whether a request on a flow may be queued here.

    Without earlier data, a packet may belong to a request of which another
    process sent the beginning to the upstream.
    """
    if state.stopping_since is not None or not flow.confirmed:
        return False
    max_queued = state.slots * agent_defaults.MAX_QUEUED_PER_SLOT
    return flow.caller_sequence is not None and len(state.queued) < max_queued


def _has_new_data(state: AgentState, flow: Flow, datagram: bytes) -> bool:
    """Return whether a packet has data that were not sent to the upstream.

    A packet that ends its flow does not count.
    """
    if not state.format.data_length(datagram):
        return False
    if state.format.flags(datagram) & ENDS_FLOW:
        return False
    return flow.is_new_sequence(state.format.sequence(datagram))


def _make_queued_request(flow: Flow, event: EnvelopeArrived) -> QueuedRequest:
    """Return a queue entry with the time limits of the flow's route."""
    now = event.now
    route_policy = flow.route_policy
    assert route_policy is not None
    latest_departure = now + route_policy.timeout_seconds
    return QueuedRequest(
        arrived_at=now,
        priority=route_policy.priority,
        deadline=now + route_policy.target_seconds,
        earliest_departure=latest_departure,
        latest_departure=latest_departure,
        is_from_outage=False,
        packets={},
        is_subsequent=True,
    )


def _store_packet(
    state: AgentState,
    key: bytes,
    queued: QueuedRequest,
    event: EnvelopeArrived,
) -> Effects:
    """Add a packet to a queued request, once; release what has capacity."""
    sequence = state.format.sequence(event.envelope.content)
    is_copy = sequence in queued.packets
    if is_copy or len(queued.packets) < agent_defaults.MAX_QUEUED_PACKETS:
        queued.packets[sequence] = event
    return release_queued(state, event.now)


def _announce_owned(
    state: AgentState,
    key: bytes,
    event: EnvelopeArrived,
) -> Effects:
    """Tell a balancer that searched for a flow that this agent owns it."""
    if event.envelope.kind != EnvelopeKind.SEARCH:
        return ()
    return (state.send(event.sender, EnvelopeKind.OWNED, key),)


def _drop_departed(state: AgentState, key: bytes, now: float) -> Effects:
    """Drop a queued request whose caller has left."""
    fields = _describe(state, key, now)
    state.queued.pop(key)
    return (Decided('left_waiting', fields),)


def _describe(state: AgentState, key: bytes, now: float) -> dict[str, object]:
    """Return the log fields of a queued request."""
    queued = state.queued[key]
    return {
        'flow': state.format.describe_key(key),
        'priority': queued.priority,
        'left_ms': round((queued.deadline - now) * _MILLISECONDS),
        'waited_ms': round((now - queued.arrived_at) * _MILLISECONDS),
        'busy': state.busy,
        'waiting': len(state.queued),
    }
