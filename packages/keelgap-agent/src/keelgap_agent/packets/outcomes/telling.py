"""Tell balancers of a change at once."""

from keelgap.packets.envelopes import EnvelopeKind, pack_report
from keelgap_agent.packets.effects import AgentEffect, SendToPeer
from keelgap_agent.packets.state import AgentState

__all__ = ('make_report_to', 'tell_news')

Effects = tuple[AgentEffect, ...]


def make_report_to(state: AgentState, host: str) -> SendToPeer:
    """Return a report in the form that a balancer reads.

    One of an earlier release would take an ejected upstream for one that has
    closed, and never try it.  It is not told, and finds out flow by flow.
    """
    report_format = state.balancers.report_formats.get(host, 0)
    report = state.make_report()
    if not report_format:
        report = report._replace(is_ejected=False, wants_trial=False)
    content = pack_report(report, report_format)
    return state.send(host, EnvelopeKind.REPORT, content)


def tell_news(state: AgentState, effects: Effects) -> Effects:
    """Put reports of a changed judgement before all else that is sent.

    So a balancer that gets a flow back knows the reason already, and offers no
    further one.
    """
    outcomes = state.outcomes
    if not outcomes.has_news and not outcomes.untold:
        return effects
    hosts = outcomes.untold
    if outcomes.has_news:
        hosts = hosts | state.balancers.greeted.keys()
    outcomes.has_news = False
    outcomes.untold = set()
    reports = tuple(make_report_to(state, host) for host in sorted(hosts))
    return (*reports, *effects)
