"""Reports to balancers about changes of the ejection."""

from keelgap.packets.envelopes import (
    ROUTES_REPORT_FORMAT,
    EnvelopeKind,
    pack_report,
)
from keelgap.packets.route_services import pack_held_routes
from keelgap_agent.packets.effects import AgentEffect, SendToPeer
from keelgap_agent.packets.state import AgentState

__all__ = ('make_report_to', 'prepend_reports')

Effects = tuple[AgentEffect, ...]


def make_report_to(
    state: AgentState,
    host: str,
    *,
    with_routes: bool = False,
) -> SendToPeer:
    """Return the effect that sends a load report in a balancer's format.

    A balancer of an earlier release would treat an ejected upstream as closed
    and never send it a trial.  Its reports leave the ejection out, and each
    flow that it offers is refused individually.  The routes of the flows held
    here follow only if asked for, and if the balancer reads them.
    """
    report_format = state.balancers.report_formats.get(host, 0)
    report = state.make_report()
    if not report_format:
        report = report._replace(is_ejected=False, wants_trial=False)
    content = pack_report(report, report_format)
    if with_routes and report_format >= ROUTES_REPORT_FORMAT:
        content += pack_held_routes(state.list_held_routes())
    return state.send(host, EnvelopeKind.REPORT, content)


def prepend_reports(state: AgentState, effects: Effects) -> Effects:
    """Return the effects, preceded by load reports if the ejection changed.

    A balancer to which a flow is returned then already knows the reason, and
    offers no further flows.
    """
    outcomes = state.outcomes
    if not outcomes.has_unreported_change and not outcomes.stale_balancers:
        return effects
    hosts = outcomes.stale_balancers
    if outcomes.has_unreported_change:
        hosts = hosts | state.balancers.subscribers.keys()
    outcomes.has_unreported_change = False
    outcomes.stale_balancers = set()
    reports = tuple(make_report_to(state, host) for host in sorted(hosts))
    return (*reports, *effects)
