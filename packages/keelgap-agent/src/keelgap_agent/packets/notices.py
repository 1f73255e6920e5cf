"""Handling of notices on the upstream, its availability zone and its service.

Agents do not read the store, so they learn all that the operators configure for
upstreams from the notices of balancers.  The notice with the latest revision
counts.
"""

from typing import Final

from keelgap.packets.notices import UpstreamNotice, unpack_notice
from keelgap_agent.packets.effects import AgentEffect, Decided
from keelgap_agent.packets.events import EnvelopeArrived
from keelgap_agent.packets.pending_openings import release_openings
from keelgap_agent.packets.registration import (
    announce_complete,
    record_upstream,
    update_directory,
)
from keelgap_agent.packets.state import AgentState

__all__ = ('handle_notice',)

Effects = tuple[AgentEffect, ...]
_MILLISECONDS: Final = 1000


def handle_notice(state: AgentState, event: EnvelopeArrived) -> Effects:
    """Apply a notice from a balancer; raise MalformedEnvelope.

    It tells which upstream runs here, its warm-up, whether its availability
    zone is out of service, and the directory nodes of its service.
    """
    if not event.envelope.content:
        # A balancer of an earlier release sends no notice.
        return _record_notice(state, event.now)
    notice = unpack_notice(event.envelope.content)
    if event.envelope.service_tag != state.service_tag:
        # About a former upstream on this host, of another service.
        return _change_zone(state, notice, event.sender)
    tag = state.registrar.upstream_tag
    reason = record_upstream(state, notice)
    if tag and state.registrar.upstream_tag != tag:
        state.reset_outcomes(event.now)
    effects = _change_zone(state, notice, event.sender)
    if reason:
        effects = (*effects, *announce_complete(state, reason, event.now))
    if notice.revision == state.zone_revision:
        # Not from a balancer whose catalog is behind.
        warm_at = event.now + notice.warm_up_ms / _MILLISECONDS
        state.warm_up_limiter.configure(notice.warm_up_flow_rate, warm_at)
    released = _record_notice(state, event.now)
    is_current = notice.revision >= state.registrar.directory.revision
    if not notice.shards or not is_current:
        return (*effects, *released)
    # Flows that waited are registered before their packets are forwarded.
    registered = update_directory(state, notice.directory, event.now)
    return (*effects, *registered, *released)


def _record_notice(state: AgentState, now: float) -> Effects:
    """Record that a notice arrived; admit openings that waited for it."""
    state.registrar.has_notice = True
    return release_openings(state, now)


def _change_zone(
    state: AgentState,
    notice: UpstreamNotice,
    sender: str,
) -> Effects:
    """Record whether the availability zone is out of service; log changes.

    A notice of an earlier revision than the last one is ignored.
    """
    if notice.revision < state.zone_revision:
        return ()
    state.zone_revision = notice.revision
    if notice.is_evacuated == state.is_evacuated:
        return ()
    state.is_evacuated = notice.is_evacuated
    name = 'zone_left' if notice.is_evacuated else 'zone_returned'
    fields = {'revision': notice.revision, 'told_by': sender}
    return (Decided(name, fields),)
