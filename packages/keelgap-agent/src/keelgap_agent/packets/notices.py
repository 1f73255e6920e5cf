"""Take what balancers tell of the upstream, its zone and its service.

Agents read nothing of the store, so all that the operators ask of upstreams
comes with notices; the one of the latest revision counts.
"""

from typing import Final

from keelgap.packets.envelopes import EnvelopeKind
from keelgap.packets.notices import UpstreamNotice, unpack_notice
from keelgap_agent.packets import defaults
from keelgap_agent.packets.effects import AgentEffect, Decided
from keelgap_agent.packets.events import EnvelopeArrived
from keelgap_agent.packets.registration import (
    move,
    note_upstream,
    tell_complete,
)
from keelgap_agent.packets.state import AgentState

__all__ = ('ask_for_notice', 'take_notice')

Effects = tuple[AgentEffect, ...]
_MILLISECONDS: Final = 1000


def take_notice(state: AgentState, event: EnvelopeArrived) -> Effects:
    """Take what a balancer says; raise MalformedEnvelope."""
    state.registrar.is_greeted = True
    if not event.envelope.content:
        return ()
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
    is_later = notice.revision >= state.registrar.directory.revision
    if not notice.shards or not is_later:
        return effects
    return (*effects, *move(state, notice.directory, event.now))


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


def ask_for_notice(state: AgentState, event: EnvelopeArrived) -> Effects:
    """Ask who opens a flow for a notice, if nobody has told yet.

    The next greeting may be a second away.  The answer takes one round trip
    between processes, and the caller needs one to go on: so its flow is in
    the directory when a packet of it reaches another balancer.
    """
    registrar = state.registrar
    waited = event.now - registrar.asked_at
    is_told = registrar.is_greeted or not registrar.own
    if is_told or waited < defaults.LAG_SECONDS:
        return ()
    registrar.asked_at = event.now
    return (state.send(event.sender, EnvelopeKind.ASK, b''),)
