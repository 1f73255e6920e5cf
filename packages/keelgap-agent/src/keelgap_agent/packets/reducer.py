"""The reducer of the packet agent: ``(state, event) -> (state, effects)``."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Final

from keelgap.packets.envelopes import (
    OPENING_KINDS,
    EnvelopeKind,
)
from keelgap.packets.exceptions import MalformedEnvelope
from keelgap.packets.formats import ENDS_FLOW, Flags, get_route_key
from keelgap.packets.route_services import pack_held_routes
from keelgap_agent.packets import defaults
from keelgap_agent.packets.admission import (
    admit_opening,
    handle_queued_packet,
    release_all,
    release_queued,
)
from keelgap_agent.packets.bounces import return_bounced_packet
from keelgap_agent.packets.directory import (
    handle_lookup,
    handle_registration,
    notify_watchers,
    request_resyncs,
)
from keelgap_agent.packets.effects import (
    AgentEffect,
    Decided,
    SendToCaller,
)
from keelgap_agent.packets.events import (
    AgentEvent,
    EnvelopeArrived,
    StopRequested,
    TimerFired,
    UpstreamPacket,
)
from keelgap_agent.packets.flows import Flow
from keelgap_agent.packets.notices import handle_notice
from keelgap_agent.packets.outlier_ejection.abandonment import (
    answer_abandoned_flow,
    drop_abandoned_packet,
)
from keelgap_agent.packets.outlier_ejection.detection import (
    detect_timeouts,
    record_opening_reply,
    record_packet_outcome,
    track_request,
)
from keelgap_agent.packets.outlier_ejection.reports import (
    make_report_to,
    prepend_reports,
)
from keelgap_agent.packets.pending_openings import (
    awaits_first_notice,
    queue_opening,
    release_openings,
    retry_notice_request,
)
from keelgap_agent.packets.registration import (
    handle_resync,
    refresh_registrations,
    register_flow,
)
from keelgap_agent.packets.request_log import (
    log_pending_requests,
    log_request_answered,
    log_request_started,
    log_requests_unanswered,
)
from keelgap_agent.packets.route_services import (
    handle_route_services,
)
from keelgap_agent.packets.scheduling.subsequent_requests import (
    handle_flow_end,
    handle_subsequent_packet,
    must_queue,
    queue_subsequent_request,
)
from keelgap_agent.packets.state import AgentState

__all__ = ('reduce',)

Effects = tuple[AgentEffect, ...]
_SYN: Final = int(Flags.SYN)
_BOUNCED: Final = int(Flags.BOUNCED)
_RST: Final = int(Flags.RST)


def reduce(
    state: AgentState,
    event: AgentEvent,
) -> tuple[AgentState, Effects]:
    """Return the state after an event and the effects for the driver."""
    effects = _HANDLERS[type(event)](state, event)
    return state, prepend_reports(state, effects)


def _handle_envelope(state: AgentState, event: EnvelopeArrived) -> Effects:
    """Record the stamp of an envelope, and handle it according to its kind."""
    state.record_stamp(event.stamp, event.now)
    handler = _ENVELOPE_HANDLERS.get(event.envelope.kind)
    if handler is None:
        return (Decided('drop_unexpected_kind'),)
    try:
        return handler(state, event)
    except MalformedEnvelope as error:
        return (Decided(error.code),)


def _subscribe(state: AgentState, event: EnvelopeArrived) -> Effects:
    """Subscribe a balancer to load reports, and apply its notice.

    The first report is sent at once.
    """
    state.balancers.subscribers[event.sender] = event.now
    return _answer_ask(state, event)


def _answer_ask(state: AgentState, event: EnvelopeArrived) -> Effects:
    """Apply the notice in an envelope, and reply with a load report."""
    state.balancers.report_formats[event.sender] = event.envelope.hop
    state.balancers.polled_at[event.sender] = event.now
    handled = handle_notice(state, event)
    report = make_report_to(state, event.sender, with_routes=True)
    return (report, *handled)


def _handle_packet(state: AgentState, event: EnvelopeArrived) -> Effects:
    """Forward a caller's packet to the upstream, queue it, or refuse it.

    A packet of another service is returned to its balancer.
    """
    envelope = event.envelope
    datagram = envelope.content
    if not state.format.has_valid_length(datagram):
        return (Decided(MalformedEnvelope.code),)
    if envelope.service_tag != state.service_tag:
        return (
            state.return_to_balancer(event.sender, envelope),
            Decided('miss_other_service'),
        )
    key = state.format.caller_key(datagram)
    if key not in state.flows:
        handled = _handle_unknown_flow(state, key, event)
        if handled is not None:
            return handled
    flow = state.flows[key]
    flow.last_seen_at = event.now
    handler = _find_queue_handler(state, key, flow, event)
    if handler is not None:
        return handler(state, key, event)
    return _forward_packet(state, key, flow, event)


def _find_queue_handler(
    state: AgentState,
    key: bytes,
    flow: Flow,
    event: EnvelopeArrived,
) -> Callable[[AgentState, bytes, EnvelopeArrived], Effects] | None:
    """Return the handler of a packet if a request of its flow is queued.

    It may be queued already, or begin with this packet; else return None.
    """
    waiting = state.queued.get(key)
    if waiting is not None:
        return (
            handle_subsequent_packet
            if waiting.is_subsequent
            else handle_queued_packet
        )
    return queue_subsequent_request if must_queue(state, flow, event) else None


def _forward_packet(
    state: AgentState,
    key: bytes,
    flow: Flow,
    event: EnvelopeArrived,
) -> Effects:
    """Forward a caller's packet, and update its flow and requests.

    A balancer that searched for the flow is told that it is owned here, once
    the upstream has confirmed the flow.
    """
    envelope = event.envelope
    datagram = envelope.content
    started = _record_caller_packet(state, key, flow, datagram, event.now)
    forwarded = state.forward_to_upstream(event.sender, envelope)
    # A caller that ended its flow may have freed a slot.
    released = release_queued(state, event.now) if flow.ended else ()
    owned: Effects = ()
    if envelope.kind == EnvelopeKind.SEARCH:
        if not flow.confirmed:
            flow.searched_by = event.sender
            # A search goes to many agents, most of which do not own the flow,
            # so its requests are logged only once the upstream has answered;
            # see log_pending_requests.
            return (forwarded, *released)
        owned = (state.send(event.sender, EnvelopeKind.OWNED, key),)
    return (forwarded, *owned, *started, *released)


def _handle_unknown_flow(
    state: AgentState,
    key: bytes,
    event: EnvelopeArrived,
) -> Effects | None:
    """Handle a packet of an unknown flow; return None to treat it as open.

    Unless the packet opens a flow, the upstream may have the flow open.  The
    agent does not decide that: it records the flow and returns None, and the
    upstream bounces the forwarded packet if it does not have the flow.
    """
    envelope = event.envelope
    if key in state.outcomes.abandoned_flows:
        return answer_abandoned_flow(state, key, event)
    if envelope.kind in OPENING_KINDS:
        handler = queue_opening if awaits_first_notice(state) else admit_opening
        return handler(state, key, event)
    if len(state.flows) >= defaults.MAX_FLOWS:
        forwarded = state.forward_to_upstream(event.sender, envelope)
        return forwarded, Decided('flow_table_full')
    state.flows[key] = Flow(event.now)
    return None


def _record_caller_packet(
    state: AgentState,
    key: bytes,
    flow: Flow,
    datagram: bytes,
    now: float,
) -> Effects:
    """Record the data or the end of a flow in a packet from the caller."""
    if state.format.flags(datagram) & ENDS_FLOW:
        # The caller no longer waits for an answer, and upstreams stop the work
        # on a request whose flow has ended.
        flow.ended = True
        state.cancel_request(flow)
        state.outcomes.ejection.forget(key)
    if state.format.data_length(datagram):
        sequence = state.format.sequence(datagram)
        if state.record_data(flow, sequence, now):
            track_request(state, key, flow, datagram, now)
            return log_request_started(state, key, flow, datagram, now)
    return ()


def _handle_upstream_packet(
    state: AgentState,
    event: UpstreamPacket,
) -> Effects:
    """Forward a packet to its caller, or return a bounced one to a balancer.

    Also update the flow, its request and the queue accordingly.
    """
    datagram = event.datagram
    flags = state.format.flags(datagram)
    if flags & _BOUNCED:
        return return_bounced_packet(state, datagram, event.now)
    now = event.now
    key = state.format.upstream_key(datagram)
    if key in state.outcomes.abandoned_flows:
        return drop_abandoned_packet()
    flow = state.flows.get(key)
    if flow is None:
        # The flow was opened before this process started.
        flow = Flow(now)
        if len(state.flows) < defaults.MAX_FLOWS:
            state.flows[key] = flow
    flow.last_seen_at = now
    flow.confirmed = True
    record_opening_reply(state, key, flow, datagram)
    owned = (
        *_record_held_route(state, key, now),
        *_answer_search(state, key, flow),
    )
    if not flow.is_registered and key in state.flows:
        owned = (*owned, *register_flow(state, key, flow, now))
    answered = _record_answer(state, key, flow, datagram, now)
    # Must follow the end of the flow: data forwarded on an ended flow does not
    # count as work.
    dequeued = handle_flow_end(state, key, flags, now)
    released = release_queued(state, now) if state.queued else ()
    return (SendToCaller(datagram), *owned, *answered, *dequeued, *released)


def _record_held_route(state: AgentState, key: bytes, now: float) -> Effects:
    """Record the route of a flow that the upstream holds.

    If it is new, tell it to all balancers that polled this agent lately.  The
    table may send the route elsewhere, and another balancer may get the next
    packet of the flow.
    """
    if not state.routes.record_held(get_route_key(key)):
        return ()
    content = pack_held_routes(state.list_held_routes())
    return tuple(
        state.send(host, EnvelopeKind.HELD_ROUTES, content)
        for host in state.balancers.list_polling(now)
    )


def _answer_search(state: AgentState, key: bytes, flow: Flow) -> Effects:
    """Tell the balancer that searched for the flow that it is owned here."""
    searched_by = flow.searched_by
    if searched_by is None:
        return ()
    flow.searched_by = None
    owned = state.send(searched_by, EnvelopeKind.OWNED, key)
    return (owned, *log_pending_requests(state, key, flow))


def _record_answer(
    state: AgentState,
    key: bytes,
    flow: Flow,
    datagram: bytes,
    now: float,
) -> Effects:
    """Record the response or the end of a flow in an upstream's packet."""
    answered: Effects = ()
    classified = record_packet_outcome(state, key, flow, datagram, now)
    flags = state.format.flags(datagram)
    if state.format.data_length(datagram):
        state.record_service_time(flow, datagram, now)
        state.end_request(flow, now)
        answered = log_request_answered(state, key, flow, datagram, now)
    if flags & ENDS_FLOW:
        flow.ended = True
        state.end_request(flow, now)
        if flags & _RST:
            answered = (
                *answered,
                *log_requests_unanswered(state, key, flow, 'reset'),
            )
    return (*answered, *classified)


def _handle_timer(state: AgentState, event: TimerFired) -> Effects:
    """Detect timeouts, remove old flows, and send what is due."""
    now = event.now
    effects = detect_timeouts(state, now)
    if now - state.swept_at >= defaults.SWEEP_INTERVAL_SECONDS:
        state.swept_at = now
        state.directory.expire(now)
        state.routes.expire_services(now)
        effects = (*effects, *_sweep(state, now))
    return (*effects, *_release_and_report(state, now))


def _release_and_report(state: AgentState, now: float) -> Effects:
    """Release queued requests; send due registrations and load reports."""
    released = release_queued(state, now)
    directory_effects = (
        *retry_notice_request(state, now),
        *refresh_registrations(state, now),
        *request_resyncs(state, now),
        *notify_watchers(state, now),
    )
    report = state.make_report()
    unreported_seconds = now - state.balancers.last_report_at
    if (
        report == state.balancers.last_report
        and unreported_seconds < defaults.MAX_REPORT_INTERVAL_SECONDS
    ):
        return (*released, *directory_effects, *_send_due_reports(state))
    state.balancers.last_report = report
    state.balancers.last_report_at = now
    return (*released, *directory_effects, *_send_all_reports(state, now))


def _send_all_reports(state: AgentState, now: float) -> Effects:
    """Send a load report to all subscribed balancers, and the due ones."""
    subscribers = state.balancers.subscribers
    expired = [
        host
        for host, subscribed_at in subscribers.items()
        if now - subscribed_at > defaults.SUBSCRIPTION_SECONDS
    ]
    for gone in expired:
        subscribers.pop(gone)
    effects = tuple(make_report_to(state, receiver) for receiver in subscribers)
    state.balancers.reports_due.difference_update(subscribers)
    return (*effects, *_send_due_reports(state))


def _send_due_reports(state: AgentState) -> Effects:
    """Send a load report to each balancer that offered a flow.

    The report shows that this agent is alive.  In a large fleet a balancer
    subscribes to few agents only, and hears nothing else from the others.
    """
    due = state.balancers.reports_due
    effects = tuple(make_report_to(state, receiver) for receiver in sorted(due))
    due.clear()
    return effects


def _sweep(state: AgentState, now: float) -> Effects:
    """Remove flows that ended, never opened or were idle for too long."""
    expired = [
        key
        for key, flow in state.flows.items()
        if now - flow.last_seen_at > _choose_idle_timeout(flow)
    ]
    effects: list[AgentEffect] = []
    for key in expired:
        effects.extend(
            log_requests_unanswered(state, key, state.flows[key], 'silent'),
        )
        state.forget(key)
    state.routes.update_held(
        get_route_key(flow_key)
        for flow_key, flow in state.flows.items()
        if flow.confirmed
    )
    return tuple(effects)


def _choose_idle_timeout(flow: Flow) -> float:
    """Return the seconds without a packet after which a flow is removed."""
    if flow.ended:
        return defaults.ENDED_FLOW_SECONDS
    if flow.confirmed:
        return defaults.IDLE_FLOW_SECONDS
    return defaults.UNANSWERED_OPENING_SECONDS


def _stop(state: AgentState, event: StopRequested) -> Effects:
    """Refuse new flows from now on, and report so to balancers.

    All queued requests are forwarded.
    """
    state.stopping_since = event.now
    refused = release_openings(state, event.now)
    released = (*refused, *release_all(state, event.now))
    return (*released, *_send_all_reports(state, event.now))


_ENVELOPE_HANDLERS: Final[
    Mapping[int, Callable[[AgentState, EnvelopeArrived], Effects]]
] = MappingProxyType({
    int(EnvelopeKind.ASK): _answer_ask,
    int(EnvelopeKind.HELLO): _subscribe,
    int(EnvelopeKind.FORWARD): _handle_packet,
    int(EnvelopeKind.OPEN): _handle_packet,
    int(EnvelopeKind.TRY): _handle_packet,
    int(EnvelopeKind.SEARCH): _handle_packet,
    int(EnvelopeKind.REGISTER): handle_registration,
    int(EnvelopeKind.RESYNC): handle_resync,
    int(EnvelopeKind.LOOKUP): handle_lookup,
    int(EnvelopeKind.ROUTE_SERVICES): handle_route_services,
})

_HANDLERS: Final[Mapping[type, Callable[[AgentState, Any], Effects]]] = (
    MappingProxyType({
        EnvelopeArrived: _handle_envelope,
        UpstreamPacket: _handle_upstream_packet,
        TimerFired: _handle_timer,
        StopRequested: _stop,
    })
)
