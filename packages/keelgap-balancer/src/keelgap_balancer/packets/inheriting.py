"""Take over from other balancers what hosts served before this one began.

A host may have changed its service just then.  Whoever still lists it for the
former one may open flows there that nobody else would look for.
"""

from typing import Final

from keelgap.packets.envelopes import Envelope, EnvelopeKind
from keelgap.packets.exceptions import MalformedEnvelope
from keelgap.packets.served import (
    MAX_SERVED,
    ServedHost,
    ServedQuestion,
    digest_served,
    pack_question,
    pack_served,
    unpack_question,
    unpack_served,
)
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.effects import (
    Decided,
    PacketEffect,
    SendToAgent,
)
from keelgap_balancer.packets.events import EnvelopeArrived
from keelgap_balancer.packets.state import PacketState
from keelgap_balancer.packets.unlisted import note_service

__all__ = ('answer_asked', 'ask_balancer', 'take_served')

Effects = tuple[PacketEffect, ...]
#: A message between balancers concerns no service.
_NO_TAG: Final = 0


def ask_balancer(state: PacketState, host: str, now: float) -> Effects:
    """Ask another balancer that is heard in the first seconds.

    Again with its later messages, since one may be lost.
    """
    informed_at = state.informed_at
    if informed_at is None or not host:
        return ()
    asked_at = state.holders.asked.get(host, float('-inf'))
    is_late = now - informed_at > defaults.INHERIT_SECONDS
    if is_late or now - asked_at < defaults.INHERIT_PAUSE_SECONDS:
        return ()
    state.holders.asked[host] = now
    question = ServedQuestion(
        state.holders.first_revision,
        digest_served(_list_served(state)),
    )
    return (_send(host, EnvelopeKind.SERVED_ASKED, pack_question(question)),)


def _send(host: str, kind: EnvelopeKind, content: bytes) -> SendToAgent:
    """Return the effect that sends a message to another balancer."""
    return SendToAgent(host, Envelope(kind, 0, 0, 0, 0, _NO_TAG, content))


def _list_served(state: PacketState) -> list[ServedHost]:
    """Return the hosts of the catalog in force, with their services."""
    return [
        ServedHost(view.host, view.service_tag)
        for view in state.by_host.values()
        if view.gone_since is None
    ]


def answer_asked(state: PacketState, event: EnvelopeArrived) -> Effects:
    """Tell a balancer that began later who serves what, as far as it fits.

    Once: it follows all changes from its first catalog on.  In a large fleet
    only what the catalog does not list fits.
    """
    try:
        question = unpack_question(event.envelope.content)
    except MalformedEnvelope as error:
        return (Decided(error.code),)
    told = state.holders.told
    is_told = told.get(event.sender) == question.first_revision
    began_later = state.holders.first_revision < question.first_revision
    if is_told or not state.has_catalog or not began_later:
        return ()
    served = _list_served(state)
    unlisted = [
        ServedHost(view.host, view.service_tag)
        for view in state.holders.unlisted.values()
    ]
    if not unlisted and digest_served(served) == question.digest:
        return ()
    if len(told) >= defaults.MAX_INHERITING:
        told.clear()
    told[event.sender] = question.first_revision
    content = pack_served((*unlisted, *served)[:MAX_SERVED])
    return (_send(event.sender, EnvelopeKind.SERVED_TOLD, content),)


def take_served(state: PacketState, event: EnvelopeArrived) -> Effects:
    """Ask for flows where others offer them, or did lately."""
    try:
        rows = unpack_served(event.envelope.content)
    except MalformedEnvelope as error:
        return (Decided(error.code),)
    told = [
        effect
        for row in rows
        for effect in note_service(state, row.host, row.service_tag, event.now)
    ]
    return tuple(told)
