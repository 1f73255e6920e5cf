"""Which upstreams get no new flow because their agents ejected them.

The agent beside an upstream sees all outcomes and decides; this balancer only
takes its word, and bounds how many are left out of a service at once.
"""

from typing import Final

from keelgap.catalog.models import PacketRoute
from keelgap.packets.envelopes import EnvelopeKind, LoadReport
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.effects import Decided, PacketEffect
from keelgap_balancer.packets.state import AgentView, PacketState

__all__ = (
    'choose_kind',
    'choose_trial',
    'forget_ejections',
    'leave_out_ejected',
    'note_ejection',
)

Effects = tuple[PacketEffect, ...]
_OUT: Final = 'upstream_left_out'
_IN: Final = 'upstream_taken_in'


def note_ejection(
    state: PacketState,
    view: AgentView,
    report: LoadReport,
    now: float,
) -> Effects:
    """Take what an agent says of its own upstream."""
    if not state.features.ejection:
        return ()
    wanting = state.ejections.wanting
    if report.wants_trial:
        wanting.setdefault(view, now)
    else:
        wanting.pop(view, None)
    if report.is_ejected == (view in state.ejections.out):
        return ()
    if report.is_ejected:
        state.ejections.out[view] = now
    else:
        state.ejections.out.pop(view)
    return (_tell_change(state, view, is_out=report.is_ejected),)


def forget_ejections(state: PacketState) -> None:
    """Forget what was known of upstreams that are gone for good."""
    for view in tuple(state.ejections.out):
        if state.agents.get(view.upstream.identity) is not view:
            state.ejections.out.pop(view)
            state.ejections.wanting.pop(view, None)


def leave_out_ejected(
    state: PacketState,
    views: list[AgentView],
) -> list[AgentView]:
    """Return the candidates that serve, or all if too few do.

    Those left over must have at least half of the slots: if most upstreams
    fail, the cause is elsewhere, and the others could not do their work.
    """
    if not state.ejections.out:
        return views
    serving = [view for view in views if view not in state.ejections.out]
    least = defaults.SERVING_SHARE * _count_slots(views)
    return serving if _count_slots(serving) >= least else views


def choose_trial(
    state: PacketState,
    route: PacketRoute,
    service: str,
    now: float,
) -> AgentView | None:
    """Return an ejected upstream that a new flow should try, if any wants.

    A flow whose requests may be repeated, or, where none of them came for
    long, any.  Upstreams of other availability zones are left to balancers
    there, unless those have no such flow.
    """
    for view, since in state.ejections.wanting.items():
        waited = now - since
        if not _may_try(state, view, now) or view.upstream.service != service:
            continue
        if _is_patient(state, view, route, waited):
            continue
        view.tried_at = now
        return view
    return None


def choose_kind(
    state: PacketState,
    view: AgentView,
    route: PacketRoute,
) -> EnvelopeKind:
    """Return how a new flow is offered to an agent."""
    if route.is_idempotent and view in state.ejections.out:
        return EnvelopeKind.TRY
    return EnvelopeKind.OPEN


def _may_try(state: PacketState, view: AgentView, now: float) -> bool:
    return (
        now - view.tried_at >= defaults.TRIAL_PAUSE_SECONDS
        and view.is_open()
        and not view.is_quiet(now)
        and not state.is_evacuated(view)
    )


def _is_patient(
    state: PacketState,
    view: AgentView,
    route: PacketRoute,
    waited: float,
) -> bool:
    """Return whether another flow had better try an upstream."""
    if not route.is_idempotent:
        return waited < defaults.ANY_TRIAL_SECONDS
    return not state.is_near(view) and waited < defaults.FAR_TRIAL_SECONDS


def _count_slots(views: list[AgentView]) -> int:
    return sum(view.upstream.slots for view in views)


def _tell_change(
    state: PacketState,
    view: AgentView,
    *,
    is_out: bool,
) -> Decided:
    """Return what is logged of a service whose candidates change."""
    upstream = view.upstream
    views = [
        one
        for one in state.by_service.get(upstream.service, ())
        if one.is_open() and not state.is_evacuated(one)
    ]
    ejected = [one for one in views if one in state.ejections.out]
    fields = {
        'upstream': upstream.upstream_id,
        'service': upstream.service,
        'zone': upstream.availability_zone,
        'ejected': len(ejected),
        'open': len(views),
        'all_in': bool(ejected) and leave_out_ejected(state, views) == views,
    }
    return Decided(_OUT if is_out else _IN, fields)
