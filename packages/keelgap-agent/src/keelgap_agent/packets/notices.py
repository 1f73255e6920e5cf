"""Take what balancers tell of the upstream, its zone and its service.

Agents read nothing of the store, so all that the operators ask of upstreams
comes with notices; the one of the latest revision counts.
"""

from typing import Final

from keelgap.packets.notices import UpstreamNotice, unpack_notice
from keelgap_agent.packets.effects import AgentEffect, Decided
from keelgap_agent.packets.events import EnvelopeArrived
from keelgap_agent.packets.registration import (
    move,
    note_upstream,
    tell_complete,
)
from keelgap_agent.packets.state import AgentState
from keelgap_agent.packets.untold import release_untold

__all__ = ('take_notice',)

Effects = tuple[AgentEffect, ...]
_MILLISECONDS: Final = 1000


def take_notice(state: AgentState, event: EnvelopeArrived) -> Effects:
    """Take what a balancer says; raise MalformedEnvelope."""
    if not event.envelope.content:
        # Of an earlier release, which tells nothing.
        return _end_untold(state, event.now)
    notice = unpack_notice(event.envelope.content)
    if event.envelope.service_tag != state.service_tag:
        # Of a former upstream of another service on this host.
        return _change_zone(state, notice, event.sender)
    tag = state.registrar.upstream_tag
    reason = note_upstream(state, notice)
    if tag and state.registrar.upstream_tag != tag:
        state.judge_anew(event.now)
    effects = _change_zone(state, notice, event.sender)
    if reason:
        effects = (*effects, *tell_complete(state, reason, event.now))
    if notice.revision == state.zone_revision:
        # Not from a balancer that is behind.
        warm_at = event.now + notice.warm_up_ms / _MILLISECONDS
        state.cold.take(notice.cold_per_second, warm_at)
    released = _end_untold(state, event.now)
    is_later = notice.revision >= state.registrar.directory.revision
    if not notice.shards or not is_later:
        return (*effects, *released)
    # Flows that waited are registered before their packets pass.
    moved = move(state, notice.directory, event.now)
    return (*effects, *moved, *released)


def _end_untold(state: AgentState, now: float) -> Effects:
    """Take the flows that waited for the first notice."""
    state.registrar.is_greeted = True
    return release_untold(state, now)


def _change_zone(
    state: AgentState,
    notice: UpstreamNotice,
    sender: str,
) -> Effects:
    """Take whether the availability zone is out of service."""
    if notice.revision < state.zone_revision:
        return ()
    state.zone_revision = notice.revision
    if notice.is_evacuated == state.is_evacuated:
        return ()
    state.is_evacuated = notice.is_evacuated
    name = 'zone_left' if notice.is_evacuated else 'zone_returned'
    fields = {'revision': notice.revision, 'told_by': sender}
    return (Decided(name, fields),)
