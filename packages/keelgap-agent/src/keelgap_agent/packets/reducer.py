"""The reducer of the packet agent: ``(state, event) -> (state, effects)``."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Final

from keelgap.packets.envelopes import (
    OPENING_KINDS,
    EnvelopeKind,
)
from keelgap.packets.exceptions import MalformedEnvelope
from keelgap.packets.formats import ENDS_FLOW, Flags
from keelgap_agent.packets import defaults
from keelgap_agent.packets.admission import (
    release_all,
    release_held,
    take_opening,
    take_waiting,
)
from keelgap_agent.packets.directory import (
    answer_lookup,
    ask_lagging,
    take_registration,
    tell_watchers,
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
from keelgap_agent.packets.notices import take_notice
from keelgap_agent.packets.outcomes.giving_up import (
    answer_given_up,
    drop_given_up,
)
from keelgap_agent.packets.outcomes.judging import (
    judge_answer,
    judge_silence,
    note_upstream_packet,
    note_work,
)
from keelgap_agent.packets.outcomes.telling import make_report_to, tell_news
from keelgap_agent.packets.registration import (
    keep_registered,
    register,
    resync,
)
from keelgap_agent.packets.request_log import (
    note_request,
    tell_answer,
    tell_begun,
    tell_unanswered,
)
from keelgap_agent.packets.scheduling.later import (
    begins_to_wait,
    end_waiting,
    hold_later,
    settle_bounce,
    take_more,
)
from keelgap_agent.packets.state import AgentState
from keelgap_agent.packets.untold import (
    ask_again,
    hold_untold,
    is_untold,
    release_untold,
)

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
    return state, tell_news(state, effects)


def _handle_envelope(state: AgentState, event: EnvelopeArrived) -> Effects:
    state.note_stamp(event.stamp, event.now)
    handler = _ENVELOPE_HANDLERS.get(event.envelope.kind)
    if handler is None:
        return (Decided('drop_unexpected_kind'),)
    try:
        return handler(state, event)
    except MalformedEnvelope as error:
        return (Decided(error.code),)


def _subscribe(state: AgentState, event: EnvelopeArrived) -> Effects:
    """Subscribe a balancer to load reports and send the first one."""
    state.balancers.greeted[event.sender] = event.now
    return _answer_ask(state, event)


def _answer_ask(state: AgentState, event: EnvelopeArrived) -> Effects:
    """Handle the notice of a balancer and send it one load report."""
    state.balancers.report_formats[event.sender] = event.envelope.hop
    handled = take_notice(state, event)
    return (make_report_to(state, event.sender), *handled)


def _take_packet(state: AgentState, event: EnvelopeArrived) -> Effects:
    """Forward a packet to the upstream, or queue it.

    A packet of another service goes back to its balancer.
    """
    envelope = event.envelope
    datagram = envelope.content
    if not state.format.is_whole(datagram):
        return (Decided(MalformedEnvelope.code),)
    if envelope.service_tag != state.service_tag:
        return (
            state.give_back(event.sender, envelope),
            Decided('miss_other_service'),
        )
    key = state.format.caller_key(datagram)
    if key not in state.flows:
        handled = _handle_unknown_flow(state, key, event)
        if handled is not None:
            return handled
    flow = state.flows[key]
    flow.seen = event.now
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
    """Return the handler of a packet whose request waits; else None."""
    waiting = state.held.get(key)
    if waiting is not None:
        return take_more if waiting.is_later else take_waiting
    return hold_later if begins_to_wait(state, flow, event) else None


def _forward_packet(
    state: AgentState,
    key: bytes,
    flow: Flow,
    event: EnvelopeArrived,
) -> Effects:
    """Forward a packet to the upstream and record what it contains."""
    envelope = event.envelope
    datagram = envelope.content
    started = _record_caller_packet(state, key, flow, datagram, event.now)
    forwarded = state.pass_on(event.sender, envelope)
    # A caller that ended its flow may have freed a slot.
    released = release_held(state, event.now) if flow.ended else ()
    owned: Effects = ()
    if envelope.kind == EnvelopeKind.SEARCH:
        if not flow.confirmed:
            flow.asked_by = event.sender
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
    """Handle a packet of an unknown flow; return None if it may be open.

    The agent does not decide whether the upstream has an open flow: such a
    packet is forwarded, and the upstream bounces it if it does not.
    """
    envelope = event.envelope
    if key in state.outcomes.given_up:
        return answer_given_up(state, key, event)
    if envelope.kind in OPENING_KINDS:
        handler = hold_untold if is_untold(state) else take_opening
        return handler(state, key, event)
    if len(state.flows) >= defaults.MAX_FLOWS:
        forwarded = state.pass_on(event.sender, envelope)
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
    if state.format.flags(datagram) & ENDS_FLOW:
        # The caller no longer waits for an answer, and upstreams stop the work
        # on a request whose flow has ended.
        flow.ended = True
        state.cancel_request(flow)
        state.outcomes.ejection.forget(key)
    if state.format.data_length(datagram):
        sequence = state.format.sequence(datagram)
        if state.note_data(flow, sequence, now):
            note_work(state, key, flow, datagram, now)
            return note_request(state, key, flow, datagram, now)
    return ()


def _handle_upstream_packet(
    state: AgentState,
    event: UpstreamPacket,
) -> Effects:
    datagram = event.datagram
    flags = state.format.flags(datagram)
    if flags & _BOUNCED:
        return _return_bounced_packet(state, datagram, event.now)
    now = event.now
    key = state.format.upstream_key(datagram)
    if key in state.outcomes.given_up:
        return drop_given_up()
    flow = state.flows.get(key)
    if flow is None:
        # The flow was opened before this process started.
        flow = Flow(now)
        if len(state.flows) < defaults.MAX_FLOWS:
            state.flows[key] = flow
    flow.seen = now
    flow.confirmed = True
    note_upstream_packet(state, key, flow, datagram)
    owned = _answer_search(state, key, flow)
    if not flow.is_registered and key in state.flows:
        owned = (*owned, *register(state, key, flow, now))
    answered = _record_answer(state, key, flow, datagram, now)
    # Must follow the end of the flow: data forwarded on an ended flow does not
    # count as work.
    settled = end_waiting(state, key, flags, now)
    released = release_held(state, now) if state.held else ()
    return (SendToCaller(datagram), *owned, *answered, *settled, *released)


def _answer_search(state: AgentState, key: bytes, flow: Flow) -> Effects:
    """Tell the balancer that searched for the flow that it is owned here."""
    asked_by = flow.asked_by
    if asked_by is None:
        return ()
    flow.asked_by = None
    owned = state.send(asked_by, EnvelopeKind.OWNED, key)
    return (owned, *tell_begun(state, key, flow))


def _record_answer(
    state: AgentState,
    key: bytes,
    flow: Flow,
    datagram: bytes,
    now: float,
) -> Effects:
    answered: Effects = ()
    classified = judge_answer(state, key, flow, datagram, now)
    flags = state.format.flags(datagram)
    if state.format.data_length(datagram):
        state.note_work(flow, datagram, now)
        state.end_request(flow, now)
        answered = tell_answer(state, key, flow, datagram, now)
    if flags & ENDS_FLOW:
        flow.ended = True
        state.end_request(flow, now)
        if flags & _RST:
            answered = (*answered, *tell_unanswered(state, key, flow, 'reset'))
    return (*answered, *classified)


def _return_bounced_packet(
    state: AgentState, datagram: bytes, now: float
) -> Effects:
    """Return a bounced packet to the balancer that sent it."""
    host, hop, kind = state.balancers.read_mark(state.format.mark(datagram))
    packet = state.format.without_bounce(datagram)
    key = state.format.caller_key(packet)
    if key in state.outcomes.given_up:
        return drop_given_up()
    lost = settle_bounce(state, key, packet, now)
    state.forget(key)
    if host is None:
        dropped = Decided('drop_bounce_unknown_mark')
        return (dropped, *lost, *release_held(state, now))
    bounced = Decided(f'bounced_{_KIND_NAMES.get(kind, "unknown")}')
    if kind in OPENING_KINDS:
        fields = {
            'flow': state.format.describe_key(key),
            'hop': hop,
            'busy': state.busy,
            'flows': len(state.flows),
        }
        bounced = bounced._replace(fields=fields)
    miss = state.send(host, EnvelopeKind.MISS, packet, hop)
    return (miss, bounced, *lost, *release_held(state, now))


def _handle_timer(state: AgentState, event: TimerFired) -> Effects:
    now = event.now
    effects = judge_silence(state, now)
    if now - state.swept_at >= defaults.SWEEP_SECONDS:
        state.swept_at = now
        state.directory.expire(now)
        effects = (*effects, *_sweep(state, now))
    return (*effects, *_release_and_report(state, now))


def _release_and_report(state: AgentState, now: float) -> Effects:
    """Release queued requests and report changes."""
    released = release_held(state, now)
    directory_effects = (
        *ask_again(state, now),
        *keep_registered(state, now),
        *ask_lagging(state, now),
        *tell_watchers(state, now),
    )
    report = state.make_report()
    unreported_seconds = now - state.balancers.reported_at
    if (
        report == state.balancers.reported
        and unreported_seconds < defaults.REPORT_IDLE_SECONDS
    ):
        return (*released, *directory_effects, *_send_due_reports(state))
    state.balancers.reported = report
    state.balancers.reported_at = now
    return (*released, *directory_effects, *_send_all_reports(state, now))


def _send_all_reports(state: AgentState, now: float) -> Effects:
    subscribers = state.balancers.greeted
    expired = [
        host
        for host, subscribed_at in subscribers.items()
        if now - subscribed_at > defaults.SUBSCRIBED_SECONDS
    ]
    for gone in expired:
        subscribers.pop(gone)
    effects = tuple(make_report_to(state, receiver) for receiver in subscribers)
    state.balancers.owed.difference_update(subscribers)
    return (*effects, *_send_due_reports(state))


def _send_due_reports(state: AgentState) -> Effects:
    """Send a report to each balancer that offered a flow.

    It shows them that this agent is alive.  In a large fleet a balancer
    subscribes to few agents only, and hears nothing else from the others.
    """
    due = state.balancers.owed
    effects = tuple(make_report_to(state, receiver) for receiver in sorted(due))
    due.clear()
    return effects


def _sweep(state: AgentState, now: float) -> Effects:
    """Remove flows that ended, never opened or were idle for too long."""
    expired = [
        key
        for key, flow in state.flows.items()
        if now - flow.seen > _choose_idle_timeout(flow)
    ]
    effects: list[AgentEffect] = []
    for key in expired:
        effects.extend(
            tell_unanswered(state, key, state.flows[key], 'silent'),
        )
        state.forget(key)
    return tuple(effects)


def _choose_idle_timeout(flow: Flow) -> float:
    if flow.ended:
        return defaults.ENDED_SECONDS
    if flow.confirmed:
        return defaults.FLOW_SECONDS
    return defaults.OFFER_SECONDS


def _stop(state: AgentState, event: StopRequested) -> Effects:
    """Stop taking new flows, and report so at once."""
    state.stopping_since = event.now
    refused = release_untold(state, event.now)
    released = (*refused, *release_all(state, event.now))
    return (*released, *_send_all_reports(state, event.now))


_KIND_NAMES: Final = MappingProxyType({
    int(kind): kind.name.lower() for kind in EnvelopeKind
})

_ENVELOPE_HANDLERS: Final[
    Mapping[int, Callable[[AgentState, EnvelopeArrived], Effects]]
] = MappingProxyType({
    int(EnvelopeKind.ASK): _answer_ask,
    int(EnvelopeKind.HELLO): _subscribe,
    int(EnvelopeKind.FORWARD): _take_packet,
    int(EnvelopeKind.OPEN): _take_packet,
    int(EnvelopeKind.TRY): _take_packet,
    int(EnvelopeKind.SEARCH): _take_packet,
    int(EnvelopeKind.REGISTER): take_registration,
    int(EnvelopeKind.RESYNC): resync,
    int(EnvelopeKind.LOOKUP): answer_lookup,
})

_HANDLERS: Final[Mapping[type, Callable[[AgentState, Any], Effects]]] = (
    MappingProxyType({
        EnvelopeArrived: _handle_envelope,
        UpstreamPacket: _handle_upstream_packet,
        TimerFired: _handle_timer,
        StopRequested: _stop,
    })
)
