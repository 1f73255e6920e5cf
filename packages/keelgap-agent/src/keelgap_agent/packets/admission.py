"""Queue of requests that wait until the upstream has capacity for them.

This module is the queue.  The feature ``admission`` of the settings, which
refuses requests early, is in ``capacity``; subsequent requests of open flows
are in ``scheduling``.

An upstream serves its own queue in order of arrival.  After an outage all
requests would therefore be late, both those of the callers that return first
and all that follow.  So the agent forwards opening packets at once and queues
the first request of each flow until the upstream has capacity.  A caller with
an open flow stays until it gets its answer or times out, and ends the flow when
it leaves.  A caller without an answer to its opening packet retransmits it,
which may open the flow at a second upstream, and gives up after 1.4 s without
telling anybody.

Callers that waited through an outage are served first when they are about to
leave, then requests that can be answered in time, by priority.  The others get
the remaining capacity.
"""

from typing import Final

from keelgap.packets.envelopes import OPENING_KINDS, EnvelopeKind
from keelgap.packets.formats import ENDS_FLOW
from keelgap.packets.retransmission import OPEN_TIMEOUT_SECONDS
from keelgap_agent.packets import defaults
from keelgap_agent.packets.capacity import (
    NO_TIME,
    choose_under_overload,
    estimate_start_ms,
)
from keelgap_agent.packets.effects import (
    AgentEffect,
    Decided,
)
from keelgap_agent.packets.events import EnvelopeArrived
from keelgap_agent.packets.flows import Flow, QueuedRequest
from keelgap_agent.packets.outlier_ejection.abandonment import reset_queued_flow
from keelgap_agent.packets.outlier_ejection.detection import (
    track_opening,
    track_request,
)
from keelgap_agent.packets.outlier_ejection.refusal import find_ejection_refusal
from keelgap_agent.packets.refusals import find_refusal
from keelgap_agent.packets.registration import register_flow
from keelgap_agent.packets.request_log import log_request_started
from keelgap_agent.packets.scheduling.order import (
    choose_next,
    has_capacity,
    observe_wait,
)
from keelgap_agent.packets.scheduling.route_policy import read_opening_policy
from keelgap_agent.packets.state import AgentState

__all__ = (
    'release_all',
    'release_queued',
    'release_request',
    'admit_opening',
    'handle_queued_packet',
)

Effects = tuple[AgentEffect, ...]
_MILLISECONDS: Final = 1000


def admit_opening(
    state: AgentState,
    key: bytes,
    event: EnvelopeArrived,
) -> Effects:
    """Forward an opening packet and queue its request, or refuse the flow.

    A refused opening packet is returned to its balancer.
    """
    now = event.now
    state.balancers.reports_due.add(event.sender)
    state.record_opening(now)
    envelope = event.envelope
    if envelope.slots:
        state.slots = envelope.slots
    request = _make_queued_request(state, event)
    refusal = find_refusal(state, event, request) or find_ejection_refusal(
        state, key, event
    )
    if refusal is not None:
        return _refuse(state, event, refusal, request)
    state.capacity.record_admitted(request.priority, now)
    flow = Flow(now)
    if state.features.scheduling:
        flow.route_policy = read_opening_policy(envelope)
    state.flows[key] = flow
    state.queued[key] = request
    track_opening(state, key, event)
    state.warm_up_limiter.record_flow(now)
    forwarded = state.forward_to_upstream(event.sender, envelope)
    return (*register_flow(state, key, flow, now), forwarded)


def handle_queued_packet(
    state: AgentState,
    key: bytes,
    event: EnvelopeArrived,
) -> Effects:
    """Handle a caller's packet of a flow whose first request is queued.

    Data are added to the queue, and an opening packet is forwarded.  A closing
    packet is forwarded and removes the request from the queue.
    """
    envelope = event.envelope
    datagram = envelope.content
    if envelope.kind in OPENING_KINDS:
        return (state.forward_to_upstream(event.sender, envelope),)
    owned: Effects = ()
    if envelope.kind == EnvelopeKind.SEARCH:
        owned = (state.send(event.sender, EnvelopeKind.OWNED, key),)
    request = state.queued[key]
    if state.format.flags(datagram) & ENDS_FLOW:
        state.queued.pop(key)
        state.flows[key].ended = True
        state.outcomes.forget(key)
        departed = Decided(
            'left_waiting',
            _describe(state, key, request, event.now),
        )
        return (
            *owned,
            state.forward_to_upstream(event.sender, envelope),
            departed,
        )
    if not state.format.data_length(datagram):
        return owned
    is_first = not request.packets
    if len(request.packets) < defaults.MAX_QUEUED_PACKETS:
        request.packets[state.format.sequence(datagram)] = event
    abandoned = reset_queued_flow(state, key, event.now)
    if abandoned:
        return (*owned, *abandoned)
    released = release_queued(state, event.now)
    if is_first and key in state.queued:
        fields = _describe(state, key, request, event.now)
        released = (*released, Decided('held', fields))
    return (*owned, *released)


def release_queued(state: AgentState, now: float) -> Effects:
    """Forward queued requests in order of rank while there is capacity."""
    effects: list[AgentEffect] = list(_drop_expired(state, now))
    while has_capacity(state, now):
        ready = [
            key
            for key, request in state.queued.items()
            if request.packets and not state.outcomes.would_time_out(key)
        ]
        if not ready:
            break
        key = _choose_by_load(state, ready, now)
        effects.extend(_release(state, key, now))
    return tuple(effects)


def release_all(state: AgentState, now: float) -> Effects:
    """Forward all queued requests, before this process stops."""
    return tuple(
        effect
        for key in tuple(state.queued)
        for effect in _release(state, key, now)
    )


def release_request(state: AgentState, key: bytes, now: float) -> Effects:
    """Forward one queued request now, with the packets received so far."""
    return _release(state, key, now)


def _release(state: AgentState, key: bytes, now: float) -> Effects:
    """Remove a request from the queue, and forward its packets in order."""
    request = state.queued.pop(key)
    flow = state.flows[key]
    effects: list[AgentEffect] = []
    for sequence in flow.sort_sequences(request.packets):
        event = request.packets[sequence]
        datagram = event.envelope.content
        state.record_data(flow, sequence, now)
        track_request(state, key, flow, datagram, now)
        effects.append(state.forward_to_upstream(event.sender, event.envelope))
        effects.extend(log_request_started(state, key, flow, datagram, now))
    return (*effects, *observe_wait(state, request, now))


def _make_queued_request(
    state: AgentState, event: EnvelopeArrived
) -> QueuedRequest:
    """Return the queue entry of a new flow, from its opening packet."""
    wait = event.envelope.wait
    now = event.now
    first_attempt_at = now - wait.age_ms / _MILLISECONDS
    remaining_seconds = event.envelope.left_ms / _MILLISECONDS
    return QueuedRequest(
        arrived_at=now,
        priority=event.envelope.priority,
        deadline=now + remaining_seconds,
        earliest_departure=now + wait.min_remaining_ms / _MILLISECONDS,
        latest_departure=now + wait.max_remaining_ms / _MILLISECONDS,
        is_from_outage=first_attempt_at
        < state.traffic_resumed_at + OPEN_TIMEOUT_SECONDS,
        packets={},
    )


def _drop_expired(state: AgentState, now: float) -> Effects:
    """Drop the queued requests whose callers must have left by now.

    A flow whose first request is dropped is removed as well.
    """
    expired = [
        key
        for key, request in state.queued.items()
        if now >= request.latest_departure
    ]
    for key in expired:
        if state.queued.pop(key).is_subsequent:
            # The flow is open and stays.  If the caller still waits, it
            # retransmits the request.
            continue
        state.forget(key)
    return tuple(Decided('held_too_long') for _ in expired)


def _refuse(
    state: AgentState,
    event: EnvelopeArrived,
    reason: str,
    request: QueuedRequest,
) -> Effects:
    """Return an opening packet to its balancer, and log the reason."""
    envelope = event.envelope
    start_ms = 0
    if reason == NO_TIME:
        state.capacity.record_refusal(request.priority, event.now)
        start_ms = estimate_start_ms(state, request, event.now)
    miss = state.return_to_balancer(event.sender, envelope, start_ms)
    fields = {
        'flow': state.format.describe_key(
            state.format.caller_key(envelope.content),
        ),
        'hop': envelope.hop,
        'busy': state.busy,
        'held': len(state.queued),
        'slots': state.slots,
        'room_ms': start_ms,
    }
    return miss, Decided(reason, fields)


def _describe(
    state: AgentState,
    key: bytes,
    request: QueuedRequest,
    now: float,
) -> dict[str, object]:
    """Return the log fields of a queued request."""
    return {
        'flow': state.format.describe_key(key),
        'left_ms': round((request.deadline - now) * _MILLISECONDS),
        'from_outage': request.is_from_outage,
        'busy': state.busy,
        'waiting': len(state.queued),
    }


def _choose_by_load(state: AgentState, ready: list[bytes], now: float) -> bytes:
    """Return the flow whose request is forwarded next.

    Under overload, the order of early refusal applies.
    """
    if state.capacity.is_overloaded(now):
        return choose_under_overload(state, ready, now)
    return choose_next(state, ready, now)
