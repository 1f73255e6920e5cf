"""The packet agent's reducer: ``(state, event) -> (state, effects)``."""

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
    """Return the state after an event and what the driver must do."""
    effects = _HANDLERS[type(event)](state, event)
    return state, tell_news(state, effects)


def _take_envelope(state: AgentState, event: EnvelopeArrived) -> Effects:
    state.note_stamp(event.stamp, event.now)
    handler = _ENVELOPE_HANDLERS.get(event.envelope.kind)
    if handler is None:
        return (Decided('drop_unexpected_kind'),)
    try:
        return handler(state, event)
    except MalformedEnvelope as error:
        return (Decided(error.code),)


def _greet(state: AgentState, event: EnvelopeArrived) -> Effects:
    """Report to this balancer at once, and for some seconds."""
    state.balancers.greeted[event.sender] = event.now
    return _answer_ask(state, event)


def _answer_ask(state: AgentState, event: EnvelopeArrived) -> Effects:
    """Take what this balancer says, and report to it once."""
    state.balancers.report_formats[event.sender] = event.envelope.hop
    taken = take_notice(state, event)
    return (make_report_to(state, event.sender), *taken)


def _take_packet(state: AgentState, event: EnvelopeArrived) -> Effects:
    """Pass a packet to the upstream unless it cannot be meant for it."""
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
        taken = _take_unseen(state, key, event)
        if taken is not None:
            return taken
    flow = state.flows[key]
    flow.seen = event.now
    take = _choose_queue(state, key, flow, event)
    if take is not None:
        return take(state, key, event)
    return _pass_packet(state, key, flow, event)


def _choose_queue(
    state: AgentState,
    key: bytes,
    flow: Flow,
    event: EnvelopeArrived,
) -> Callable[[AgentState, bytes, EnvelopeArrived], Effects] | None:
    """Return what takes a packet of a request that waits; else None."""
    waiting = state.held.get(key)
    if waiting is not None:
        return take_more if waiting.is_later else take_waiting
    return hold_later if begins_to_wait(state, flow, event) else None


def _pass_packet(
    state: AgentState,
    key: bytes,
    flow: Flow,
    event: EnvelopeArrived,
) -> Effects:
    """Pass a packet on, and note what it shows."""
    envelope = event.envelope
    datagram = envelope.content
    began = _note_caller_packet(state, key, flow, datagram, event.now)
    passed = state.pass_on(event.sender, envelope)
    # A caller that left may have made room.
    released = release_held(state, event.now) if flow.ended else ()
    owned: Effects = ()
    if envelope.kind == EnvelopeKind.SEARCH:
        if not flow.confirmed:
            flow.asked_by = event.sender
            # Most agents that are asked do not hold the flow; see tell_begun.
            return (passed, *released)
        owned = (state.send(event.sender, EnvelopeKind.OWNED, key),)
    return (passed, *owned, *began, *released)


def _take_unseen(
    state: AgentState,
    key: bytes,
    event: EnvelopeArrived,
) -> Effects | None:
    """Take a packet of no known flow; return None if it may be open.

    The upstream knows best whether it holds a flow that is open.
    """
    envelope = event.envelope
    if key in state.outcomes.given_up:
        return answer_given_up(state, key, event)
    if envelope.kind in OPENING_KINDS:
        take = hold_untold if is_untold(state) else take_opening
        return take(state, key, event)
    if len(state.flows) >= defaults.MAX_FLOWS:
        passed = state.pass_on(event.sender, envelope)
        return passed, Decided('flow_table_full')
    state.flows[key] = Flow(event.now)
    return None


def _note_caller_packet(
    state: AgentState,
    key: bytes,
    flow: Flow,
    datagram: bytes,
    now: float,
) -> Effects:
    if state.format.flags(datagram) & ENDS_FLOW:
        # A caller that left waits for no answer, and upstreams stop then.
        flow.ended = True
        state.cancel_request(flow)
        state.outcomes.ejection.forget(key)
    if state.format.data_length(datagram):
        sequence = state.format.sequence(datagram)
        if state.note_data(flow, sequence, now):
            note_work(state, key, flow, datagram, now)
            return note_request(state, key, flow, datagram, now)
    return ()


def _take_upstream_packet(
    state: AgentState,
    event: UpstreamPacket,
) -> Effects:
    datagram = event.datagram
    flags = state.format.flags(datagram)
    if flags & _BOUNCED:
        return _take_bounce(state, datagram, event.now)
    now = event.now
    key = state.format.upstream_key(datagram)
    if key in state.outcomes.given_up:
        return drop_given_up()
    flow = state.flows.get(key)
    if flow is None:
        # This process is younger than the flow.
        flow = Flow(now)
        if len(state.flows) < defaults.MAX_FLOWS:
            state.flows[key] = flow
    flow.seen = now
    flow.confirmed = True
    note_upstream_packet(state, key, flow, datagram)
    owned = _tell_owned(state, key, flow)
    if not flow.is_registered and key in state.flows:
        owned = (*owned, *register(state, key, flow, now))
    answered = _note_answer(state, key, flow, datagram, now)
    # After the end of the flow is noted: what is passed on is no work.
    settled = end_waiting(state, key, flags, now)
    released = release_held(state, now) if state.held else ()
    return (SendToCaller(datagram), *owned, *answered, *settled, *released)


def _tell_owned(state: AgentState, key: bytes, flow: Flow) -> Effects:
    """Answer the balancer that searched for the flow, if one did."""
    asked_by = flow.asked_by
    if asked_by is None:
        return ()
    flow.asked_by = None
    owned = state.send(asked_by, EnvelopeKind.OWNED, key)
    return (owned, *tell_begun(state, key, flow))


def _note_answer(
    state: AgentState,
    key: bytes,
    flow: Flow,
    datagram: bytes,
    now: float,
) -> Effects:
    answered: Effects = ()
    judged = judge_answer(state, key, flow, datagram, now)
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
    return (*answered, *judged)


def _take_bounce(state: AgentState, datagram: bytes, now: float) -> Effects:
    """Give a packet that the upstream did not take back to its balancer."""
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
    judged = judge_silence(state, now)
    if now - state.swept_at >= defaults.SWEEP_SECONDS:
        state.swept_at = now
        state.directory.expire(now)
        judged = (*judged, *_sweep(state, now))
    return (*judged, *_update(state, now))


def _update(state: AgentState, now: float) -> Effects:
    """Release those who wait, and report what changed."""
    released = release_held(state, now)
    told = (
        *ask_again(state, now),
        *keep_registered(state, now),
        *ask_lagging(state, now),
        *tell_watchers(state, now),
    )
    report = state.make_report()
    waited = now - state.balancers.reported_at
    if (
        report == state.balancers.reported
        and waited < defaults.REPORT_IDLE_SECONDS
    ):
        return (*released, *told, *_report_to_owed(state))
    state.balancers.reported = report
    state.balancers.reported_at = now
    return (*released, *told, *_report_to_all(state, now))


def _report_to_all(state: AgentState, now: float) -> Effects:
    greeted = state.balancers.greeted
    silent = [
        host
        for host, at in greeted.items()
        if now - at > defaults.SUBSCRIBED_SECONDS
    ]
    for gone in silent:
        greeted.pop(gone)
    effects = tuple(make_report_to(state, receiver) for receiver in greeted)
    state.balancers.owed.difference_update(greeted)
    return (*effects, *_report_to_owed(state))


def _report_to_owed(state: AgentState) -> Effects:
    """Answer offers, from which their senders tell that this agent lives.

    In a large fleet balancers greet few agents, and this is all they hear.
    """
    owed = state.balancers.owed
    effects = tuple(
        make_report_to(state, receiver) for receiver in sorted(owed)
    )
    owed.clear()
    return effects


def _sweep(state: AgentState, now: float) -> Effects:
    """Forget flows that ended, never opened, or were long silent."""
    over = [
        key
        for key, flow in state.flows.items()
        if now - flow.seen > _choose_patience(flow)
    ]
    effects: list[AgentEffect] = []
    for key in over:
        effects.extend(
            tell_unanswered(state, key, state.flows[key], 'silent'),
        )
        state.forget(key)
    return tuple(effects)


def _choose_patience(flow: Flow) -> float:
    if flow.ended:
        return defaults.ENDED_SECONDS
    if flow.confirmed:
        return defaults.FLOW_SECONDS
    return defaults.OFFER_SECONDS


def _stop(state: AgentState, event: StopRequested) -> Effects:
    """Take no new flows, and say so at once."""
    state.stopping_since = event.now
    refused = release_untold(state, event.now)
    released = (*refused, *release_all(state, event.now))
    return (*released, *_report_to_all(state, event.now))


_KIND_NAMES: Final = MappingProxyType({
    int(kind): kind.name.lower() for kind in EnvelopeKind
})

_ENVELOPE_HANDLERS: Final[
    Mapping[int, Callable[[AgentState, EnvelopeArrived], Effects]]
] = MappingProxyType({
    int(EnvelopeKind.ASK): _answer_ask,
    int(EnvelopeKind.HELLO): _greet,
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
        EnvelopeArrived: _take_envelope,
        UpstreamPacket: _take_upstream_packet,
        TimerFired: _handle_timer,
        StopRequested: _stop,
    })
)
