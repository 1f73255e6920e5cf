"""What agents are told of this balancer's catalog."""

from typing import Final

from keelgap.catalog.models import ServiceLimits
from keelgap.packets.directory import NO_DIRECTORY
from keelgap.packets.envelopes import REPORT_FORMAT, EnvelopeKind
from keelgap.packets.notices import UpstreamNotice, pack_notice
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.effects import PacketEffect
from keelgap_balancer.packets.state import PacketState
from keelgap_balancer.packets.views import AgentView

__all__ = ('make_notice', 'tell_zones')

Effects = tuple[PacketEffect, ...]
_MILLISECONDS: Final = 1000
_NO_LIMITS: Final = ServiceLimits()


def make_notice(state: PacketState, view: AgentView, now: float) -> bytes:
    """Return what an agent should know of its upstream and its service.

    Not which start it is, if this process is behind and another may have taken
    its place: the agent would take the later one for a start that it saw.  A
    young one is told all the same, for many start together with their agents.
    """
    upstream = view.upstream
    is_young = now < view.young_until
    is_sure = is_young or not state.is_behind
    directory = state.directories.get(upstream.service, NO_DIRECTORY)
    services = state.catalog.routes.services
    limits = services.get(upstream.service, _NO_LIMITS)
    warm_up = max(view.warm_at - now, 0)
    return pack_notice(
        UpstreamNotice(
            revision=state.catalog.revision,
            shards=directory.shards,
            upstream_tag=view.seed if is_sure else 0,
            upstream_revision=upstream.revision if is_sure else 0,
            is_young=is_young,
            is_evacuated=state.is_evacuated(view),
            warm_up_ms=round(warm_up * _MILLISECONDS),
            cold_per_second=limits.cold_per_second,
        ),
    )


def tell_zones(
    state: PacketState,
    zones: frozenset[str],
    now: float,
) -> Effects:
    """Tell the agents of some availability zones at once.

    They refuse what balancers offer that have not read of it yet.  In a large
    fleet only the balancers of the same zone tell them: at the size to design
    for each agent hears 124 times of it, and not 2,600 times.
    """
    is_small = len(state.by_host) <= defaults.MAX_GREETED
    return tuple(
        view.send(
            EnvelopeKind.ASK,
            make_notice(state, view, now),
            REPORT_FORMAT,
        )
        for view in state.by_host.values()
        if view.upstream.availability_zone in zones
        and (is_small or state.is_near(view))
    )
