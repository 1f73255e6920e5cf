"""Accept or refuse a document as a whole and notify the neighbours."""

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
from keelgap.dissemination.neighbours import (
    choose_neighbours,
    compute_reader_turn,
)
from keelgap.dissemination.state import (
    DisseminationState,
    HeldDocument,
    RefusedDocument,
)
from keelgap.exceptions import Fault, TableRefused
from keelgap.instances import InstanceList

__all__ = ('accept_document', 'make_announce', 'handle_document_read')

Effects = tuple[DisseminationEffect, ...]
_NOT_LATER: Final = 'keelgap.E017'
_AGE_DIGITS: Final = 3


def make_announce(
    state: DisseminationState,
    now: float,
    *,
    wants_reply: bool,
) -> Announce:
    """Return an announcement of the versions that this process holds."""
    versions = {key: held.document.version for key, held in state.held.items()}
    read_age = 0 if state.reading else now - state.reading_heard_at
    return Announce(versions, wants_reply, round(read_age, _AGE_DIGITS))


def handle_document_read(
    state: DisseminationState, event: DocumentRead
) -> Effects:
    """Accept or refuse a document that the configuration service returned."""
    try:
        document = load_document(event.content)
    except UnusableDocument as error:
        return (Count(error.code),)
    held = state.held[event.key]
    if document.version < held.document.version:
        fault = _make_old_fault(document.version, held.document.version)
        return _refuse_document(held, event, document, (fault,))
    return accept_document(state, event.key, document, event.now)


def _make_old_fault(
    version: DocumentVersion,
    in_force: DocumentVersion,
) -> Fault:
    """Return the fault of a document that is older than the one in force.

    It is reported so that operators notice when they did not increase the
    revision, or when the service was restored from an old backup.
    """
    return Fault(
        _NOT_LATER,
        'revision',
        f'{version.revision} is not newer than {in_force.revision}, '
        'which is in force',
        'publish with a higher revision',
    )


def _refuse_document(
    held: HeldDocument,
    event: DocumentRead,
    document: Document,
    faults: tuple[Fault, ...],
) -> Effects:
    """Record the latest refused document with its faults and report it."""
    held.refused = RefusedDocument(document.version, event.now, faults)
    return (ReportRefusal(event.key, held.refused),)


def accept_document(
    state: DisseminationState,
    key: str,
    document: Document,
    now: float,
    delta: DocumentDelta | None = None,
) -> Effects:
    """Accept or refuse a document as a whole; ignore versions not later.

    If the document was built from a received delta, neighbours are sent that
    delta unchanged.
    """
    held = state.held[key]
    if document.version <= held.document.version:
        return ()
    try:
        parsed = state.parsers[key](document)
    except TableRefused as refusal:
        event = DocumentRead(now, key, document.content)
        return _refuse_document(held, event, document, refusal.faults)
    before = held.document
    held.document = document
    held.parsed = parsed
    held.in_force_since = now
    held.highest_heard = max(held.highest_heard, document.version)
    announcements: Effects = ()
    if isinstance(parsed, InstanceList):
        announcements = _apply_instances(state, parsed, now)
    if delta is None and before.content:
        delta = DocumentDelta(
            key,
            before.version,
            document.version,
            compute_changes(before, document),
        )
    notifications = _notify_neighbours(state, key, now, delta)
    if not state.joined:
        return (*announcements, *notifications)
    return (*notifications, PutInForce(key, document, parsed))


def _notify_neighbours(
    state: DisseminationState,
    key: str,
    now: float,
    delta: DocumentDelta | None,
) -> Effects:
    """Send the neighbours the delta if it is short, else the versions."""
    message: Announce | DocumentDelta
    message = make_announce(state, now, wants_reply=False)
    if delta is not None:
        state.held[key].history.append(delta)
        if len(delta.changes) <= defaults.MAX_PUSHED_DELTA_LENGTH:
            message = delta
    return tuple(SendMessage(peer, message) for peer in state.neighbours)


def _apply_instances(
    state: DisseminationState,
    instances: InstanceList,
    now: float,
) -> Effects:
    """Choose neighbours again; a joining process asks them for versions."""
    state.instances = instances
    neighbours = choose_neighbours(state.identity, instances)
    state.neighbours = neighbours or state.identity.seeds
    state.reader_turn = compute_reader_turn(state.identity, instances)
    state.stands_in = False
    # New readers have not been heard of yet.
    state.reading_heard_at = now
    state.control_addresses = {
        instance.data: instance.control for instance in instances.instances
    }
    if state.joined or state.last_message_at is not None:
        return ()
    announce = make_announce(state, now, wants_reply=True)
    return tuple(SendMessage(peer, announce) for peer in state.neighbours)
