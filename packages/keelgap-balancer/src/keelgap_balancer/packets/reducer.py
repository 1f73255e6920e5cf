"""The packet balancer's reducer: ``(state, event) -> (state, effects)``."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Final

from keelgap.packets.envelopes import (
    REPORT_FORMAT,
    EnvelopeKind,
    unpack_report,
)
from keelgap.packets.exceptions import MalformedEnvelope
from keelgap.packets.formats import ENDS_FLOW, FLOW_KEY_LENGTH, Flags
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.effects import (
    Decided,
    Observed,
    PacketEffect,
    keep_one_catch_up,
)
from keelgap_balancer.packets.ejection import (
    forget_ejections,
    note_ejection,
)
from keelgap_balancer.packets.events import (
    CallerPacket,
    CatalogChanged,
    EnvelopeArrived,
    PacketEvent,
    StampHeard,
    StoreSeen,
    TimerFired,
)
from keelgap_balancer.packets.forwards import forward
from keelgap_balancer.packets.giving_up import expire_searches
from keelgap_balancer.packets.greeting import greet_agents
from keelgap_balancer.packets.inheriting import (
    answer_asked,
    ask_balancer,
    take_served,
)
from keelgap_balancer.packets.membership import (
    change_catalog,
    forget_former_routes,
    forget_gone,
)
from keelgap_balancer.packets.notices import make_notice
from keelgap_balancer.packets.openings import (
    Opening,
    open_flow,
    place_elsewhere,
)
from keelgap_balancer.packets.parking import park, take_parked
from keelgap_balancer.packets.refusals import take_refused, tell_refused
from keelgap_balancer.packets.search import (
    continue_search,
    pass_over_silent,
    take_covered,
    take_found,
    take_unknown_flow,
)
from keelgap_balancer.packets.searches import Search
from keelgap_balancer.packets.state import PacketState
from keelgap_balancer.packets.unlisted import find_sender, forget_unlisted
from keelgap_balancer.packets.verdicts import serves_route
from keelgap_balancer.packets.views import AgentView
from keelgap_balancer.packets.waiting import (
    look_up_again,
    resume_kept,
    resume_parked,
)

__all__ = ('reduce',)

Effects = tuple[PacketEffect, ...]
_SYN: Final = int(Flags.SYN)


def reduce(
    state: PacketState,
    event: PacketEvent,
) -> tuple[PacketState, Effects]:
    """Return the state after an event and what the driver must do."""
    effects = _HANDLERS[type(event)](state, event)
    return state, keep_one_catch_up(effects)


def _take_caller_packet(state: PacketState, event: CallerPacket) -> Effects:
    datagram = event.datagram
    now = event.now
    state.ages.last_packet = now
    key = state.format.caller_key(datagram)
    if not state.has_catalog:
        return park(state, key, datagram, now)
    return _route_packet(state, key, datagram, now)


def _route_packet(
    state: PacketState,
    key: bytes,
    datagram: bytes,
    now: float,
) -> Effects:
    flags = state.format.flags(datagram)
    if flags & _SYN:
        return open_flow(state, key, datagram, now)
    if flags & ENDS_FLOW:
        state.placing.spans.note_end(key, now)
    state.ages.note_opened(key)
    owner = state.owners.get(key)
    if owner is not None and not _is_lost(owner, now):
        return (forward(state, owner, datagram),)
    state.owners.forget(key)
    route = state.find_route(datagram)
    if route is None:
        return (Decided('drop_unknown_route'),)
    return take_unknown_flow(state, route, key, datagram, now)


def _is_lost(owner: AgentView, now: float) -> bool:
    """Return whether an owner went for good."""
    if owner.has_ended:
        return True
    since = owner.gone_since
    if since is None or now - since < defaults.GONE_SECONDS:
        return False
    return now - owner.last_heard > defaults.GONE_SECONDS


def _forward_again(
    state: PacketState,
    owner: AgentView,
    event: EnvelopeArrived,
) -> Effects:
    """Pass on a packet that another agent denied, but not for ever."""
    hop = event.envelope.hop + 1
    if hop > defaults.MAX_HOPS:
        return (Decided('drop_too_many_hops'),)
    return (forward(state, owner, event.envelope.content, hop),)


def _take_envelope(state: PacketState, event: EnvelopeArrived) -> Effects:
    take = _BALANCER_HANDLERS.get(event.envelope.kind)
    if take is not None:
        return take(state, event)
    view, told = find_sender(state, event)
    if view is None:
        return told
    state.note_stamp(event.stamp)
    taken = _take_known(state, event, view)
    return (*told, *taken, *look_up_again(state, view.host, event.now))


def _take_known(
    state: PacketState,
    event: EnvelopeArrived,
    view: AgentView,
) -> Effects:
    handler = _ENVELOPE_HANDLERS.get(event.envelope.kind)
    if handler is None:
        return (Decided('drop_unexpected_kind'),)
    try:
        return handler(state, event, view)
    except MalformedEnvelope as error:
        return (Decided(error.code),)


def _take_report(
    state: PacketState,
    event: EnvelopeArrived,
    view: AgentView,
) -> Effects:
    report = unpack_report(event.envelope.content)
    if state.by_host.get(view.host) is not view:
        # Of an upstream that gets no new flow from here.
        return ()
    view.report = report
    view.picks = 0
    view.reported_at = event.now
    return note_ejection(state, view, view.report, event.now)


def _greet_agent(
    state: PacketState,
    event: EnvelopeArrived,
    view: AgentView,
) -> Effects:
    """Tell an agent that has just begun what it cannot read itself."""
    notice = make_notice(state, view, event.now)
    return (view.send(EnvelopeKind.ASK, notice, REPORT_FORMAT),)


def _take_found(
    state: PacketState,
    event: EnvelopeArrived,
    view: AgentView,
) -> Effects:
    return take_found(state, event)


def _take_covered(
    state: PacketState,
    event: EnvelopeArrived,
    view: AgentView,
) -> Effects:
    return take_covered(state, event)


def _take_owned(
    state: PacketState,
    event: EnvelopeArrived,
    view: AgentView,
) -> Effects:
    key = event.envelope.content
    if len(key) != FLOW_KEY_LENGTH:
        return (Decided(MalformedEnvelope.code),)
    search = state.searches.pop(key, None)
    state.owners.put(key, view)
    if search is None:
        return ()
    fields = {
        'flow': state.format.describe_key(key),
        'owner': view.upstream.upstream_id,
        'asked': search.questions,
        'listed': state.by_host.get(view.host) is view,
    }
    searched = event.now - search.started
    service = view.upstream.service
    return (
        Decided('found_owner', fields),
        Observed('search_seconds', service, searched),
    )


def _take_miss(
    state: PacketState,
    event: EnvelopeArrived,
    view: AgentView,
) -> Effects:
    """Go on with a packet that an agent gave back."""
    datagram = event.envelope.content
    if not state.format.is_whole(datagram):
        return (Decided(MalformedEnvelope.code),)
    key = state.format.caller_key(datagram)
    route = state.find_route(datagram)
    if route is None:
        return (Decided('drop_unknown_route'),)
    owner = state.owners.get(key)
    if owner is not None and owner.host == view.host:
        # The owner may be an earlier upstream on the same host.
        state.owners.forget(key)
        owner = None
    is_opening = state.format.flags(datagram) & _SYN
    if owner is not None:
        # Another choice stands; a second one would lose the first's answer.
        return () if is_opening else _forward_again(state, owner, event)
    if is_opening:
        hop = event.envelope.hop + 1
        room_ms = event.envelope.left_ms
        opening = Opening(key, route, datagram, event.now, hop, room_ms)
        return place_elsewhere(state, opening, view)
    search = state.searches.setdefault(key, Search(event.now))
    search.missed.add(view.host)
    if not search.questions and serves_route(view, route):
        # The packet that its owner gave back was the question.
        search.questions = 1
    search.may_lack_entries |= event.stamp.may_lack_entries
    if search.pending not in {None, view.host}:
        return ()
    search.pending = None
    return continue_search(state, route, key, datagram, event.now)


def _change_catalog(state: PacketState, event: CatalogChanged) -> Effects:
    effects = change_catalog(state, event.catalog, event.now)
    waiting = take_parked(state, event.now) if state.has_catalog else ()
    routed = tuple(
        effect
        for key, datagram in waiting
        for effect in _route_packet(state, key, datagram, event.now)
    )
    return (
        *effects,
        *greet_agents(state, event.now),
        *resume_parked(state, event.now),
        *resume_kept(state, event.now),
        *routed,
    )


def _note_store(state: PacketState, event: StoreSeen) -> Effects:
    state.confirmed_revision = max(state.confirmed_revision, event.revision)
    state.latest_change = max(state.latest_change, event.latest_change)
    state.reaches_store = event.reaches_store
    return resume_parked(state, event.now)


def _note_balancer(state: PacketState, event: StampHeard) -> Effects:
    state.note_stamp(event.stamp)
    return ask_balancer(state, event.sender, event.now)


def _handle_timer(state: PacketState, event: TimerFired) -> Effects:
    now = event.now
    state.owners.expire(now)
    state.ages.expire(now)
    state.placing.spans.expire(now)
    given_up = expire_searches(state, now)
    forget_gone(state, now)
    forget_unlisted(state, now)
    forget_ejections(state)
    forget_former_routes(state, now)
    waits = state.is_newly_informed(now) or state.is_after_gap(now)
    kept = () if waits else resume_kept(state, now)
    return (
        *tell_refused(state, now),
        *given_up,
        *kept,
        *pass_over_silent(state, now),
        *greet_agents(state, now),
    )


#: Of messages that balancers send each other.
_BALANCER_HANDLERS: Final[
    Mapping[int, Callable[[PacketState, EnvelopeArrived], Effects]]
] = MappingProxyType({
    int(EnvelopeKind.REFUSED): take_refused,
    int(EnvelopeKind.SERVED_ASKED): answer_asked,
    int(EnvelopeKind.SERVED_TOLD): take_served,
})

_ENVELOPE_HANDLERS: Final[
    Mapping[
        int,
        Callable[[PacketState, EnvelopeArrived, AgentView], Effects],
    ]
] = MappingProxyType({
    int(EnvelopeKind.REPORT): _take_report,
    int(EnvelopeKind.OWNED): _take_owned,
    int(EnvelopeKind.MISS): _take_miss,
    int(EnvelopeKind.ASK): _greet_agent,
    int(EnvelopeKind.FOUND): _take_found,
    int(EnvelopeKind.COVERED): _take_covered,
})

_HANDLERS: Final[Mapping[type, Callable[[PacketState, Any], Effects]]] = (
    MappingProxyType({
        CallerPacket: _take_caller_packet,
        EnvelopeArrived: _take_envelope,
        CatalogChanged: _change_catalog,
        StampHeard: _note_balancer,
        StoreSeen: _note_store,
        TimerFired: _handle_timer,
    })
)
