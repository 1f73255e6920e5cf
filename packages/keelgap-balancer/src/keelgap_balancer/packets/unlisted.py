"""Agents that may serve a service for which the catalog does not list them.

Addresses are used again, and balancers learn of that at different times.  One
that is behind may open flows at an upstream that no balancer has read of yet,
on a host that the catalog in force here lists for another service.  Three
things tell of such an agent: its host was listed for the service a moment ago,
its own envelopes name the service, or other balancers still list it so.
"""

from collections.abc import Mapping

from keelgap.catalog.models import PacketRoute
from keelgap.packets.envelopes import compute_service_tag
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.effects import Decided, PacketEffect
from keelgap_balancer.packets.events import EnvelopeArrived
from keelgap_balancer.packets.state import PacketState
from keelgap_balancer.packets.views import AgentView

__all__ = (
    'find_agent',
    'find_sender',
    'forget_unlisted',
    'list_unlisted',
    'note_displaced',
    'note_service',
)

Effects = tuple[PacketEffect, ...]


def list_unlisted(state: PacketState, route: PacketRoute) -> list[AgentView]:
    """Return the unlisted agents of all services of a route."""
    if not state.holders.unlisted:
        return []
    services = {share.service for share in route.shares}
    return [
        view
        for view in state.holders.unlisted.values()
        if view.upstream.service in services
    ]


def find_agent(
    state: PacketState,
    route: PacketRoute,
    host: str,
) -> AgentView | None:
    """Return the agent on a host that may hold flows of a route."""
    services = {share.service for share in route.shares}
    listed = state.by_host.get(host)
    if listed is not None and listed.upstream.service in services:
        return listed
    unlisted = (
        state.holders.unlisted.get((host, service)) for service in services
    )
    return next(filter(None, unlisted), None)


def note_displaced(
    state: PacketState,
    before: Mapping[str, AgentView],
    now: float,
) -> None:
    """Keep the agents on hosts that the catalog lists for another service now.

    ``before`` has the agents by host as they were until now.
    """
    for view in (*before.values(), *state.agents.values()):
        listed = state.by_host.get(view.host)
        if listed is None or listed.service_tag == view.service_tag:
            continue
        _keep(state, view, now)
    relisted = [
        (host, service)
        for host, service in state.holders.unlisted
        if host in state.by_host
        and state.by_host[host].upstream.service == service
    ]
    for place in relisted:
        state.holders.unlisted.pop(place)


def _keep(state: PacketState, view: AgentView, now: float) -> AgentView:
    """Return a view of an agent without an entry, not of one start."""
    place = (view.host, view.upstream.service)
    kept = state.holders.unlisted.get(place)
    if kept is None:
        kept = AgentView(view.upstream, now)
        state.holders.unlisted[place] = kept
        state.holders.unspoken.clear()
    kept.gone_since = now
    return kept


def find_sender(
    state: PacketState,
    event: EnvelopeArrived,
) -> tuple[AgentView | None, Effects]:
    """Return the agent that sent an envelope, and what to log of it.

    The service that it names counts, not the one that the catalog lists.
    """
    tag = event.envelope.service_tag
    told = note_service(state, event.sender, tag, event.now)
    listed = state.by_host.get(event.sender)
    views = [
        view
        for view in (listed, *state.holders.unlisted.values())
        if view is not None and view.host == event.sender
    ]
    if not views:
        return None, (Decided('drop_unknown_sender'),)
    for answering in views:
        answering.waiting_since = None
    if listed is not None:
        listed.note_heard(event.now)
    named = (view for view in views if view.service_tag == tag)
    sender = next(named, views[0])
    sender.note_heard(event.now)
    return sender, told


def note_service(
    state: PacketState,
    host: str,
    tag: int,
    now: float,
) -> Effects:
    """Keep a host for a service for which the catalog does not list it.

    Only where a route leads to the service, and the catalog lists the host.
    """
    listed = state.by_host.get(host)
    if listed is None or listed.service_tag == tag:
        return ()
    service = _find_service(state, tag)
    if service is None:
        return ()
    was_known = (host, service) in state.holders.unlisted
    row = listed.upstream._replace(service=service)
    _keep(state, AgentView(row, now), now)
    if was_known:
        return ()
    fields = {
        'host': host,
        'serves': service,
        'listed_for': listed.upstream.service,
        'revision': state.confirmed_revision,
    }
    return (Decided('agent_of_unlisted_service', fields),)


def _find_service(state: PacketState, tag: int) -> str | None:
    """Return the service that a tag stands for, if a route leads there."""
    services = (
        share.service
        for route in state.routes.values()
        for share in route.shares
    )
    return next(
        (one for one in services if compute_service_tag(one) == tag),
        None,
    )


def forget_unlisted(state: PacketState, now: float) -> None:
    """Forget agents that nothing has told of for long enough."""
    old = [
        place
        for place, view in state.holders.unlisted.items()
        if now - max(view.gone_since or 0, view.last_heard)
        > defaults.UNLISTED_SECONDS
    ]
    for place in old:
        state.holders.unlisted.pop(place)
    if old:
        state.holders.unspoken.clear()
