"""Take the first packet of a flow to an agent, or refuse it."""

from typing import Final, NamedTuple

from keelgap.catalog.models import PacketRoute
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.admission import (
    Excess,
    find_excess,
    get_queue,
    has_asked_enough,
    list_full,
)
from keelgap_balancer.packets.ages import get_host, make_wait
from keelgap_balancer.packets.effects import (
    Decided,
    PacketEffect,
    SendReset,
)
from keelgap_balancer.packets.ejection import choose_kind, choose_trial
from keelgap_balancer.packets.parking import park
from keelgap_balancer.packets.placement import choose_service, choose_taker
from keelgap_balancer.packets.placing.notes import note_placement
from keelgap_balancer.packets.refusals import note_refusal
from keelgap_balancer.packets.searches import Search
from keelgap_balancer.packets.state import PacketState
from keelgap_balancer.packets.views import AgentView

__all__ = ('Opening', 'open_flow', 'place_elsewhere')

Effects = tuple[PacketEffect, ...]
_MILLISECONDS: Final = 1000


class Opening(NamedTuple):
    """The first packet of a flow, on its way to an agent."""

    key: bytes
    route: PacketRoute
    datagram: bytes
    now: float
    #: How many agents were asked before.
    hop: int
    #: Milliseconds until the agent asked last has room, if it lacks time.
    room_ms: int = 0


def open_flow(
    state: PacketState,
    key: bytes,
    datagram: bytes,
    now: float,
) -> Effects:
    """Offer a new flow to an agent, or a copy of its packet to the same."""
    effects = _open_flow(state, key, datagram, now)
    state.ages.note_passed(key, now)
    return effects


def _open_flow(
    state: PacketState,
    key: bytes,
    datagram: bytes,
    now: float,
) -> Effects:
    route = state.routes.get(state.format.route_key(datagram))
    if route is None:
        fields = {
            'flow': state.format.describe_key(key),
            'version': state.catalog.routes.version,
        }
        return SendReset(datagram), Decided('reset_unknown_route', fields)
    owner = state.owners.get(key)
    opening = Opening(key, route, datagram, now, 0)
    if owner is not None and _keeps_choice(state, owner, now):
        return _offer(state, owner, opening)
    if owner is None:
        return _place_new(state, opening)
    silent: tuple[str, ...] = (owner.host,)
    if choose_taker(state, route, key, now, silent) is None:
        # It may only be starting anew, and nobody else is there to ask.
        silent = ()
    return _place(state, opening, silent)


def _place_new(state: PacketState, opening: Opening) -> Effects:
    """Offer a flow that was not seen before, unless its caller had enough."""
    if not state.features.admission:
        return _place(state, opening, ())
    route = opening.route
    excess = find_excess(state, route, opening.key, opening.now)
    if excess is not None and _may_reset(state, opening):
        return _reset_over_share(state, opening, excess)
    host = get_host(opening.key)
    queue = get_queue(route, opening.key)
    state.ages.shares.note_offered(queue, host, opening.now)
    return _place(state, opening, ())


def _may_reset(state: PacketState, opening: Opening) -> bool:
    """Return whether a flow is surely not open elsewhere.

    A copy of its first packet may come after another balancer offered it, and
    the answer be on its way.
    """
    is_copy = state.format.copies(opening.datagram) > 0
    return not is_copy or state.ages.was_refused(opening.key)


def _reset_over_share(
    state: PacketState,
    opening: Opening,
    excess: Excess,
) -> Effects:
    """Reset a new flow in favour of callers that got less."""
    copies = state.format.copies(opening.datagram)
    state.ages.note_opening(opening.key, copies, opening.now)
    fields = {
        'flow': state.format.describe_key(opening.key),
        'route': opening.route.name,
        'priority': opening.route.priority,
        'got': round(excess.got, 1),
        'level': round(excess.level, 1),
    }
    return (
        SendReset(opening.datagram),
        Decided('reset_over_share', fields),
        *note_refusal(state, opening.route, opening.key, opening.now),
    )


def _keeps_choice(state: PacketState, owner: AgentView, now: float) -> bool:
    """Return whether a copy of an opening packet goes the same way."""
    is_there = owner.gone_since is None and not owner.is_quiet(now)
    return is_there and not state.is_evacuated(owner)


def _place(
    state: PacketState,
    opening: Opening,
    excluded: tuple[str, ...],
) -> Effects:
    key = opening.key
    state.placing.waits = None
    taker = _choose_trial(state, opening)
    if taker is None:
        taker = choose_taker(state, opening.route, key, opening.now, excluded)
        taker = taker or _choose_again(state, opening)
        if taker is None:
            return _refuse(state, opening)
        if taker in state.ejections.out:
            # Nobody better is there, which its agent does not know.
            hop = max(opening.hop, defaults.FORCED_HOP)
            opening = opening._replace(hop=hop)
    state.owners.put(key, taker)
    taker.picks += 1
    told = note_placement(state, taker, opening.route, key, opening.now)
    return (*_offer(state, taker, opening), *told)


def _choose_trial(state: PacketState, opening: Opening) -> AgentView | None:
    """Return an ejected upstream that a flow tries, before any other."""
    if opening.hop or not state.ejections.wanting:
        return None
    service = choose_service(opening.route, opening.key)
    return choose_trial(state, opening.route, service, opening.now)


def _choose_again(state: PacketState, opening: Opening) -> AgentView | None:
    """Return an agent that gave a flow back only as it is ejected."""
    search = state.searches.get(opening.key)
    if search is None or not search.ejected:
        return None
    taker = choose_taker(
        state,
        opening.route,
        opening.key,
        opening.now,
        search.gave_back - search.ejected,
    )
    if taker is not None:
        search.ejected.discard(taker.host)
    return taker


def _refuse(state: PacketState, opening: Opening) -> Effects:
    """Reset a new flow that nobody takes; it has not run.

    While programs return after an outage the first upstream may be a moment
    away; three tries of a caller are over within half a second.  Where all
    upstreams are out of service there is nothing to wait for.  An agent may
    give a flow back late, when a copy of its packet has opened it elsewhere:
    then nothing is told, and the caller's next copy is offered anew.
    """
    key = opening.key
    may_come = state.is_settling(opening.now) and not _is_all_evacuated(
        state,
        opening,
    )
    if not opening.hop and may_come:
        return park(state, key, opening.datagram, opening.now)
    state.searches.pop(key, None)
    state.owners.forget(key)
    state.placing.spans.forget(key)
    fields = {
        'flow': state.format.describe_key(key),
        'route': opening.route.name,
        'asked': opening.hop,
        'revision': state.catalog.revision,
    }
    if opening.hop and state.ages.may_be_open(key, opening.now):
        return (Decided('no_taker_late', fields),)
    state.ages.note_reset(key, opening.now)
    return SendReset(opening.datagram), Decided('reset_no_taker', fields)


def _is_all_evacuated(state: PacketState, opening: Opening) -> bool:
    """Return whether a service has upstreams, all of them out of service."""
    service = choose_service(opening.route, opening.key)
    views = state.by_service.get(service, ())
    return bool(views) and all(map(state.is_evacuated, views))


def _offer(
    state: PacketState,
    taker: AgentView,
    opening: Opening,
) -> Effects:
    now = opening.now
    taker.expect_answer(now)
    copies = state.format.copies(opening.datagram)
    route = opening.route
    waited = state.ages.note_opening(opening.key, copies, now)
    left = route.aim_seconds - waited.on_request
    wait = make_wait(route, waited, is_first_try=not state.is_settling(now))
    offer = taker.send(
        choose_kind(state, taker, route),
        opening.datagram,
        opening.hop,
        route.priority,
        round(left * _MILLISECONDS),
        wait,
    )
    return (offer,)


def place_elsewhere(
    state: PacketState,
    opening: Opening,
    view: AgentView,
) -> Effects:
    """Offer a flow that its first choice did not take to the next."""
    search = state.searches.setdefault(opening.key, Search(opening.now))
    search.gave_back.add(view.host)
    if opening.hop <= defaults.FORCED_HOP and view in state.ejections.out:
        search.ejected.add(view.host)
    search.lacks_time += bool(opening.room_ms)
    if state.features.admission and opening.room_ms:
        return _place_or_refuse(state, opening, search)
    return _place(state, opening, tuple(search.gave_back))


def _place_or_refuse(
    state: PacketState,
    opening: Opening,
    search: Search,
) -> Effects:
    """Offer a flow to another agent, or reset it if none may have room."""
    key = opening.key
    route = opening.route
    full = list_full(state, route, key, opening.now)
    excluded = tuple(search.gave_back)
    if has_asked_enough(search):
        excluded = tuple(full | search.gave_back)
    taker = choose_taker(state, route, key, opening.now, excluded)
    if taker is not None and opening.hop < defaults.MAX_ASKED_FOR_ROOM:
        return _place(state, opening, excluded)
    state.searches.pop(key, None)
    state.owners.forget(key)
    if not _may_reset(state, opening):
        return (Decided('no_room_for_copy'),)
    host = get_host(key)
    queue = get_queue(route, key)
    state.ages.shares.note_refused(queue, host, opening.now)
    fields = {
        'flow': state.format.describe_key(key),
        'route': route.name,
        'priority': route.priority,
        'asked': opening.hop,
        'full': len(full),
        'room_ms': opening.room_ms,
        'milliseconds': round((opening.now - search.started) * _MILLISECONDS),
    }
    return (
        SendReset(opening.datagram),
        Decided('reset_no_room', fields),
        *note_refusal(state, route, key, opening.now),
    )
