"""Place a new flow: offer its first packet to an agent, or refuse the flow."""

from typing import Final, NamedTuple

from keelgap.catalog.models import PacketRoute
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.admission import (
    Excess,
    find_excess,
    get_queue,
    has_enough_late_declines,
    list_full_hosts,
)
from keelgap_balancer.packets.caller_waits import (
    get_caller_host,
    make_caller_wait,
)
from keelgap_balancer.packets.effects import (
    Decided,
    PacketEffect,
    SendReset,
)
from keelgap_balancer.packets.ejection import (
    choose_envelope_kind,
    choose_trial_upstream,
)
from keelgap_balancer.packets.flow_search import FlowSearch
from keelgap_balancer.packets.latency_placement.recording import (
    record_placement,
)
from keelgap_balancer.packets.parking import park
from keelgap_balancer.packets.placement import choose_agent, choose_service
from keelgap_balancer.packets.refusals import record_refusal
from keelgap_balancer.packets.state import PacketState
from keelgap_balancer.packets.views import AgentView

__all__ = ('OpeningPacket', 'open_flow', 'reoffer_flow')

Effects = tuple[PacketEffect, ...]
_MILLISECONDS: Final = 1000


class OpeningPacket(NamedTuple):
    """An opening packet that is being offered to agents, and its context."""

    key: bytes
    route: PacketRoute
    datagram: bytes
    now: float
    #: How many agents the packet was offered to before.
    hop: int
    #: Milliseconds until the agent that declined last could start the request,
    #: if it declined for lack of time; else 0.
    start_ms: int = 0


def open_flow(
    state: PacketState,
    key: bytes,
    datagram: bytes,
    now: float,
) -> Effects:
    """Offer a new flow to an agent, or reset or park it.

    Copies of its opening packet are offered to the same agent.
    """
    effects = _offer_or_reset(state, key, datagram, now)
    state.caller_waits.record_forwarded(key, now)
    return effects


def _offer_or_reset(
    state: PacketState,
    key: bytes,
    datagram: bytes,
    now: float,
) -> Effects:
    """Offer a new flow to an agent; reset it if its route is unknown.

    The agent chosen for an earlier copy of the packet is preferred.
    """
    route = state.routes.get(state.format.route_key(datagram))
    if route is None:
        fields = {
            'flow': state.format.describe_key(key),
            'version': state.catalog.routes.version,
        }
        return SendReset(datagram), Decided('reset_unknown_route', fields)
    owner = state.owners.get(key)
    opening = OpeningPacket(key, route, datagram, now, 0)
    if owner is not None and _is_choice_valid(state, owner, now):
        return _offer(state, owner, opening)
    if owner is None:
        return _place_unless_over_share(state, opening)
    excluded: tuple[str, ...] = (owner.host,)
    if choose_agent(state, route, key, now, excluded) is None:
        # There is no other agent, and this one may only be restarting.
        excluded = ()
    return _place(state, opening, excluded)


def _place_unless_over_share(
    state: PacketState, opening: OpeningPacket
) -> Effects:
    """Offer a new flow, or reset it if its caller has reached its share.

    Shares apply only with the ``admission`` feature enabled.
    """
    if not state.features.admission:
        return _place(state, opening, ())
    route = opening.route
    excess = find_excess(state, route, opening.key, opening.now)
    if excess is not None and _may_reset(state, opening):
        return _reset_over_share(state, opening, excess)
    host = get_caller_host(opening.key)
    queue = get_queue(route, opening.key)
    state.caller_waits.shares.record_offered(queue, host, opening.now)
    return _place(state, opening, ())


def _may_reset(state: PacketState, opening: OpeningPacket) -> bool:
    """Return whether a flow may be reset, since it is not open elsewhere.

    A copy of the first packet may arrive after another balancer offered the
    flow, while the answer is on its way.
    """
    is_copy = state.format.retransmissions(opening.datagram) > 0
    return not is_copy or state.caller_waits.was_refused(opening.key)


def _reset_over_share(
    state: PacketState,
    opening: OpeningPacket,
    excess: Excess,
) -> Effects:
    """Reset a new flow in favour of callers that received a smaller share."""
    retransmissions = state.format.retransmissions(opening.datagram)
    state.caller_waits.record_opening(opening.key, retransmissions, opening.now)
    fields = {
        'flow': state.format.describe_key(opening.key),
        'route': opening.route.name,
        'priority': opening.route.priority,
        'got': round(excess.recent_flows, 1),
        'level': round(excess.level, 1),
    }
    return (
        SendReset(opening.datagram),
        Decided('reset_over_share', fields),
        *record_refusal(state, opening.route, opening.key, opening.now),
    )


def _is_choice_valid(state: PacketState, owner: AgentView, now: float) -> bool:
    """Return whether the agent chosen for a new flow can still take it."""
    is_there = owner.missing_since is None and not owner.is_unresponsive(now)
    return is_there and not state.is_evacuated(owner)


def _place(
    state: PacketState,
    opening: OpeningPacket,
    excluded: tuple[str, ...],
) -> Effects:
    """Choose an agent for a new flow and offer it the flow.

    If there is none, the flow is refused.  ``excluded`` hosts are left out.
    """
    key = opening.key
    state.latency_placement.cross_zone_costs = None
    agent = _choose_trial(state, opening)
    if agent is None:
        agent = choose_agent(state, opening.route, key, opening.now, excluded)
        agent = agent or _retry_ejected(state, opening)
        if agent is None:
            return _refuse(state, opening)
        if agent in state.ejections.ejected_since:
            # No better upstream is available.  FORCED_ACCEPT_HOP tells this to
            # the agent, which would decline the flow otherwise.
            hop = max(opening.hop, defaults.FORCED_ACCEPT_HOP)
            opening = opening._replace(hop=hop)
    state.owners.put(key, agent)
    agent.flows_since_report += 1
    logged = record_placement(state, agent, opening.route, key, opening.now)
    return (*_offer(state, agent, opening), *logged)


def _choose_trial(
    state: PacketState, opening: OpeningPacket
) -> AgentView | None:
    """Return an ejected upstream to offer the flow as a trial, or None.

    A flow that was already offered is no trial.
    """
    if opening.hop or not state.ejections.awaiting_trial:
        return None
    service = choose_service(opening.route, opening.key)
    return choose_trial_upstream(state, opening.route, service, opening.now)


def _retry_ejected(
    state: PacketState, opening: OpeningPacket
) -> AgentView | None:
    """Return an agent that declined a flow only because it is ejected.

    Each is returned once.  If none is left, None is returned.
    """
    search = state.searches.get(opening.key)
    if search is None or not search.declined_by_ejected:
        return None
    agent = choose_agent(
        state,
        opening.route,
        opening.key,
        opening.now,
        search.declined_by - search.declined_by_ejected,
    )
    if agent is not None:
        search.declined_by_ejected.discard(agent.host)
    return agent


def _refuse(state: PacketState, opening: OpeningPacket) -> Effects:
    """Reset or park a flow that no agent accepts; its request has not run.

    While processes return after an outage, the packet is parked instead: the
    first upstream may be about to start, and the three tries of a caller are
    over within half a second.  Where all upstreams are out of service there
    is nothing to wait for.  An agent may return a packet late, when a copy of
    it has opened the flow elsewhere: the flow is not reset then, and the next
    copy from the caller is offered again.
    """
    key = opening.key
    may_appear = state.may_have_missed_attempts(
        opening.now
    ) and not _is_all_evacuated(
        state,
        opening,
    )
    if not opening.hop and may_appear:
        return park(state, key, opening.datagram, opening.now)
    state.searches.pop(key, None)
    state.owners.forget(key)
    state.latency_placement.flow_durations.forget(key)
    fields = {
        'flow': state.format.describe_key(key),
        'route': opening.route.name,
        'asked': opening.hop,
        'revision': state.catalog.revision,
    }
    if opening.hop and state.caller_waits.may_be_open(key, opening.now):
        return (Decided('no_taker_late', fields),)
    state.caller_waits.record_reset(key, opening.now)
    return SendReset(opening.datagram), Decided('reset_no_taker', fields)


def _is_all_evacuated(state: PacketState, opening: OpeningPacket) -> bool:
    """Return whether all upstreams are in zones that are out of service.

    These are the upstreams of the flow's service.  Returns False for a service
    without upstreams.
    """
    service = choose_service(opening.route, opening.key)
    views = state.agents_by_service.get(service, ())
    return bool(views) and all(map(state.is_evacuated, views))


def _offer(
    state: PacketState,
    agent: AgentView,
    opening: OpeningPacket,
) -> Effects:
    """Return the effect that offers a flow to an agent.

    It carries the remaining time until the route's target, and the estimate of
    the caller's wait.  The opening is recorded, and the agent's answer is
    expected from now on.
    """
    now = opening.now
    agent.expect_answer(now)
    retransmissions = state.format.retransmissions(opening.datagram)
    route = opening.route
    waited = state.caller_waits.record_opening(
        opening.key, retransmissions, now
    )
    remaining_seconds = route.target_seconds - waited.request_seconds
    wait = make_caller_wait(
        route, waited, is_first_try=not state.may_have_missed_attempts(now)
    )
    offer = agent.send(
        choose_envelope_kind(state, agent, route),
        opening.datagram,
        opening.hop,
        route.priority,
        round(remaining_seconds * _MILLISECONDS),
        wait,
    )
    return (offer,)


def reoffer_flow(
    state: PacketState,
    opening: OpeningPacket,
    view: AgentView,
) -> Effects:
    """Offer a flow to another agent after ``view`` declined it.

    With early refusal enabled, it is reset if none can start it in time.
    """
    search = state.searches.setdefault(opening.key, FlowSearch(opening.now))
    search.declined_by.add(view.host)
    if (
        opening.hop <= defaults.FORCED_ACCEPT_HOP
        and view in state.ejections.ejected_since
    ):
        search.declined_by_ejected.add(view.host)
    search.late_declines += bool(opening.start_ms)
    if state.features.admission and opening.start_ms:
        return _place_if_in_time(state, opening, search)
    return _place(state, opening, tuple(search.declined_by))


def _place_if_in_time(
    state: PacketState,
    opening: OpeningPacket,
    search: FlowSearch,
) -> Effects:
    """Offer a flow to another agent, or reset it if none can start it in time.

    It is also reset after MAX_CAPACITY_OFFERS.  A flow that may be open
    elsewhere is not reset, but its packet is dropped.
    """
    key = opening.key
    route = opening.route
    full = list_full_hosts(state, route, key, opening.now)
    excluded = tuple(search.declined_by)
    if has_enough_late_declines(search):
        excluded = tuple(full | search.declined_by)
    agent = choose_agent(state, route, key, opening.now, excluded)
    if agent is not None and opening.hop < defaults.MAX_CAPACITY_OFFERS:
        return _place(state, opening, excluded)
    state.searches.pop(key, None)
    state.owners.forget(key)
    if not _may_reset(state, opening):
        return (Decided('no_room_for_copy'),)
    host = get_caller_host(key)
    queue = get_queue(route, key)
    state.caller_waits.shares.record_refused(queue, host, opening.now)
    fields = {
        'flow': state.format.describe_key(key),
        'route': route.name,
        'priority': route.priority,
        'asked': opening.hop,
        'full': len(full),
        'room_ms': opening.start_ms,
        'milliseconds': round(
            (opening.now - search.started_at) * _MILLISECONDS
        ),
    }
    return (
        SendReset(opening.datagram),
        Decided('reset_no_room', fields),
        *record_refusal(state, route, key, opening.now),
    )
