"""Exclusion of ejected upstreams from the placement of new flows.

The agent beside an upstream sees the outcomes of all its requests and decides
on the ejection.  The balancer follows the agents' reports, and limits how many
upstreams of a service are excluded at the same time.
"""

from collections.abc import Container
from typing import Final

from keelgap.catalog.models import PacketRoute
from keelgap.packets.envelopes import EnvelopeKind, LoadReport
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.effects import Decided, PacketEffect
from keelgap_balancer.packets.state import ExclusionDecision, PacketState
from keelgap_balancer.packets.views import AgentView

__all__ = (
    'choose_envelope_kind',
    'choose_trial_upstream',
    'find_excluded',
    'forget_ejections',
    'record_ejection',
)

Effects = tuple[PacketEffect, ...]
_EXCLUDED_EVENT: Final = 'upstream_left_out'
_READMITTED_EVENT: Final = 'upstream_taken_in'


def record_ejection(
    state: PacketState,
    view: AgentView,
    report: LoadReport,
    now: float,
) -> Effects:
    """Record the ejection state in a load report; log it if it changed.

    The state includes whether the upstream waits for a trial flow.
    """
    if not state.features.ejection:
        return ()
    awaiting_trial = state.ejections.awaiting_trial
    if report.wants_trial:
        awaiting_trial.setdefault(view, now)
    else:
        awaiting_trial.pop(view, None)
    if report.is_ejected == (view in state.ejections.ejected_since):
        return ()
    state.ejections.exclusions.clear()
    if report.is_ejected:
        state.ejections.ejected_since[view] = now
    else:
        state.ejections.ejected_since.pop(view)
    return (
        _log_ejection_change(
            state, view, now, is_ejected_now=report.is_ejected
        ),
    )


def forget_ejections(state: PacketState) -> None:
    """Forget the ejections of upstreams that are no longer known."""
    for view in tuple(state.ejections.ejected_since):
        if state.agents.get(view.upstream.identity) is not view:
            state.ejections.ejected_since.pop(view)
            state.ejections.awaiting_trial.pop(view, None)


def find_excluded(
    state: PacketState,
    service: str,
    now: float,
) -> Container[AgentView]:
    """Return the ejected upstreams to exclude, or none if they are too many.

    The others must have at least half of the slots: if most upstreams fail,
    the cause is not in the upstreams, and the others could not take over
    their load.  All upstreams of the service count, whichever agents were
    already asked to take a flow.  Upstreams with an unresponsive agent do not
    count as serving.
    """
    ejected_since = state.ejections.ejected_since
    if not any(view.upstream.service == service for view in ejected_since):
        return ()
    views = state.agents_by_service.get(service, ())
    if len(views) <= defaults.EXCLUSION_CACHE_THRESHOLD:
        return ejected_since if _has_enough_slots(state, views, now) else ()
    known = state.ejections.exclusions.get(service)
    if known is None or not known.is_valid(views, now):
        suffice = _has_enough_slots(state, views, now)
        known = ExclusionDecision(views, now, is_capacity_sufficient=suffice)
        state.ejections.exclusions[service] = known
    return ejected_since if known.is_capacity_sufficient else ()


def choose_trial_upstream(
    state: PacketState,
    route: PacketRoute,
    service: str,
    now: float,
) -> AgentView | None:
    """Return an ejected upstream to which a new flow goes as a trial, if any.

    Trials are flows of idempotent requests; if there are none for a longer
    time, any flow may be one.  Upstreams of other availability zones are left
    to the balancers there, unless those do not send a trial in time.
    """
    for view, since in state.ejections.awaiting_trial.items():
        waited = now - since
        if (
            not _may_send_trial(state, view, now)
            or view.upstream.service != service
        ):
            continue
        if _should_defer_trial(state, view, route, waited):
            continue
        view.last_trial_at = now
        return view
    return None


def choose_envelope_kind(
    state: PacketState,
    view: AgentView,
    route: PacketRoute,
) -> EnvelopeKind:
    """Return TRY to offer a new flow as a trial, and OPEN otherwise.

    A trial goes to an ejected upstream and has idempotent requests.
    """
    if route.is_idempotent and view in state.ejections.ejected_since:
        return EnvelopeKind.TRY
    return EnvelopeKind.OPEN


def _has_enough_slots(
    state: PacketState,
    views: tuple[AgentView, ...],
    now: float,
) -> bool:
    """Return whether the upstreams that are not ejected have enough slots.

    That is MIN_SERVING_SHARE of the slots of all that can take flows.
    """
    all_slots = 0
    ejected_slots = 0
    for view in views:
        if _can_take_flows(state, view, now):
            all_slots += view.upstream.slots
            ejected_slots += view.upstream.slots * (
                view in state.ejections.ejected_since
            )
    return all_slots - ejected_slots >= defaults.MIN_SERVING_SHARE * all_slots


def _may_send_trial(state: PacketState, view: AgentView, now: float) -> bool:
    """Return whether an upstream can take a trial flow and one is due."""
    is_due = now - view.last_trial_at >= defaults.TRIAL_INTERVAL_SECONDS
    return is_due and _can_take_flows(state, view, now)


def _can_take_flows(state: PacketState, view: AgentView, now: float) -> bool:
    """Return whether an upstream can take flows, except for an ejection."""
    return (
        view.accepts_flows()
        and not view.is_unresponsive(now)
        and not state.is_evacuated(view)
    )


def _should_defer_trial(
    state: PacketState,
    view: AgentView,
    route: PacketRoute,
    waited: float,
) -> bool:
    """Return whether to leave the trial of an upstream to a later flow.

    ``waited`` is for how many seconds the upstream has awaited a trial.
    """
    if not route.is_idempotent:
        return waited < defaults.ANY_TRIAL_SECONDS
    return (
        not state.is_same_zone(view) and waited < defaults.REMOTE_TRIAL_SECONDS
    )


def _log_ejection_change(
    state: PacketState,
    view: AgentView,
    now: float,
    *,
    is_ejected_now: bool,
) -> Decided:
    """Return the log line on an upstream that was ejected or readmitted."""
    upstream = view.upstream
    views = [
        one
        for one in state.agents_by_service.get(upstream.service, ())
        if one.accepts_flows() and not state.is_evacuated(one)
    ]
    ejected = [one for one in views if one in state.ejections.ejected_since]
    excluded = find_excluded(state, upstream.service, now)
    fields = {
        'upstream': upstream.upstream_id,
        'service': upstream.service,
        'zone': upstream.availability_zone,
        'ejected': len(ejected),
        'open': len(views),
        'all_in': bool(ejected) and ejected[0] not in excluded,
    }
    return Decided(
        _EXCLUDED_EVENT if is_ejected_now else _READMITTED_EVENT, fields
    )
