"""Accept a document or refuse it, whole; and tell the neighbours."""

from typing import Final

from keelgap.control.messages import (
    Announce,
    DocumentDelta,
    DocumentVersion,
)
from keelgap.dissemination import defaults
from keelgap.dissemination.documents import (
    Document,
    UnusableDocument,
    compute_changes,
    load_document,
)
from keelgap.dissemination.effects import (
    Count,
    DisseminationEffect,
    PutInForce,
    ReportRefusal,
    SendMessage,
)
from keelgap.dissemination.events import DocumentRead
from keelgap.dissemination.neighbours import choose_neighbours, is_reader
from keelgap.dissemination.state import DisseminationState, Held, Refused
from keelgap.exceptions import Fault, TableRefused
from keelgap.instances import InstanceList

__all__ = ('accept_document', 'make_announce', 'take_read')

Effects = tuple[DisseminationEffect, ...]
_NOT_LATER: Final = 'keelgap.E017'


def make_announce(
    state: DisseminationState,
    *,
    wants_reply: bool,
) -> Announce:
    """Return the versions that this process holds."""
    versions = {key: held.document.version for key, held in state.held.items()}
    return Announce(versions, wants_reply)


def take_read(state: DisseminationState, event: DocumentRead) -> Effects:
    """Take what the configuration service returned."""
    try:
        document = load_document(event.content)
    except UnusableDocument as error:
        return (Count(error.code),)
    held = state.held[event.key]
    if document.version < held.document.version:
        fault = _make_old_fault(document.version, held.document.version)
        return _refuse(held, event, document, (fault,))
    return accept_document(state, event.key, document, event.now)


def _make_old_fault(
    version: DocumentVersion,
    in_force: DocumentVersion,
) -> Fault:
    """Return why a document of the service is not taken: it is not later.

    Operators who forgot to raise the revision must find out, and so must
    those whose service was restored from an old copy.
    """
    return Fault(
        _NOT_LATER,
        'revision',
        f'{version.revision} is not later than {in_force.revision}, '
        'which is in force',
        'publish with a higher revision',
    )


def _refuse(
    held: Held,
    event: DocumentRead,
    document: Document,
    faults: tuple[Fault, ...],
) -> Effects:
    held.refused = Refused(document.version, event.now, faults)
    return (ReportRefusal(event.key, held.refused),)


def accept_document(
    state: DisseminationState,
    key: str,
    document: Document,
    now: float,
    delta: DocumentDelta | None = None,
) -> Effects:
    """Accept a document whole or refuse it whole; never go back.

    The delta that led to it, if there was one, is passed on as it is.
    """
    held = state.held[key]
    if document.version <= held.document.version:
        return ()
    try:
        parsed = state.checkers[key](document)
    except TableRefused as refusal:
        event = DocumentRead(now, key, document.content)
        return _refuse(held, event, document, refusal.faults)
    before = held.document
    held.document = document
    held.parsed = parsed
    held.since = now
    held.highest_heard = max(held.highest_heard, document.version)
    greetings: Effects = ()
    if isinstance(parsed, InstanceList):
        greetings = _take_instances(state, parsed)
    if delta is None and before.content:
        delta = DocumentDelta(
            key,
            before.version,
            document.version,
            compute_changes(before, document),
        )
    pushes = _push(state, key, delta)
    if not state.joined:
        return (*greetings, *pushes)
    return (*pushes, PutInForce(key, document, parsed))


def _push(
    state: DisseminationState,
    key: str,
    delta: DocumentDelta | None,
) -> Effects:
    """Tell the neighbours: by a delta if it is short, else by version."""
    message: Announce | DocumentDelta
    message = make_announce(state, wants_reply=False)
    if delta is not None:
        state.held[key].history.append(delta)
        if len(delta.changes) <= defaults.MAX_PUSHED:
            message = delta
    return tuple(SendMessage(peer, message) for peer in state.neighbours)


def _take_instances(
    state: DisseminationState,
    instances: InstanceList,
) -> Effects:
    """Choose neighbours anew; a joiner asks all of them what they hold."""
    state.instances = instances
    neighbours = choose_neighbours(state.identity, instances)
    state.neighbours = neighbours or state.identity.seeds
    state.chosen_reader = is_reader(state.identity, instances)
    state.control_by_data = {
        one.data: one.control for one in instances.instances
    }
    if state.joined or state.heard_peer_at is not None:
        return ()
    greeting = make_announce(state, wants_reply=True)
    return tuple(SendMessage(peer, greeting) for peer in state.neighbours)
