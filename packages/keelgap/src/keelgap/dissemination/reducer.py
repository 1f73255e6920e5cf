"""The dissemination reducer: ``(state, event) -> (state, effects)``.

The version held under a key never decreases, whatever the service or a peer
sends.  Versions are ordered by revision and then by digest, so that processes
that received different documents of one revision still converge.
"""

from collections.abc import Callable
from types import MappingProxyType
from typing import Any, Final

from keelgap.addresses import Address
from keelgap.control.messages import (
    Announce,
    DocumentDelta,
    DocumentVersion,
    Fetch,
    FullDocument,
)
from keelgap.dissemination import acceptance, defaults
from keelgap.dissemination.documents import (
    UnusableDocument,
    apply_changes,
    load_document,
)
from keelgap.dissemination.effects import (
    Count,
    DisseminationEffect,
    PutInForce,
    Read,
    SendMessage,
)
from keelgap.dissemination.events import (
    DisseminationEvent,
    DocumentRead,
    MessageReceived,
    RevisionSeen,
    TimerFired,
)
from keelgap.dissemination.state import DisseminationState

__all__ = ('reduce',)

Effects = tuple[DisseminationEffect, ...]


def reduce(
    state: DisseminationState,
    event: DisseminationEvent,
) -> tuple[DisseminationState, Effects]:
    """Apply an event; return the state and the effects for the driver."""
    return state, _HANDLERS[type(event)](state, event)


def _handle_message(
    state: DisseminationState,
    event: MessageReceived,
) -> Effects:
    """Handle a message according to its type and record its arrival."""
    state.last_message_at = event.now
    handler = _MESSAGE_HANDLERS[type(event.message)]
    return handler(state, event, event.message)


def _handle_announce(
    state: DisseminationState,
    event: MessageReceived,
    message: Announce,
) -> Effects:
    """Fetch versions that a neighbour announced, and offer it later ones."""
    # A sender that does not tell relies on the elected readers alone.
    read_at = event.now - (message.read_age or 0)
    state.reading_heard_at = max(state.reading_heard_at, read_at)
    effects: list[DisseminationEffect] = []
    for key, held in state.held.items():
        peer_version = message.versions.get(key)
        if peer_version is None:
            continue
        held.highest_heard = max(held.highest_heard, peer_version)
        if peer_version > held.document.version:
            effects.extend(_fetch(state, key, event.sender, event.now))
    if message.wants_reply:
        reply = acceptance.make_announce(state, event.now, wants_reply=False)
        effects.append(SendMessage(event.sender, reply))
        effects.extend(_offer_deltas(state, event.sender, message))
    return tuple(effects)


def _offer_deltas(
    state: DisseminationState,
    peer: Address,
    message: Announce,
) -> Effects:
    """Send the deltas that a peer lacks without a request, if they are short.

    This saves a round trip, and with it a message whose loss would delay the
    recovery.
    """
    effects: list[DisseminationEffect] = []
    for key, peer_version in message.versions.items():
        held = state.held.get(key)
        if held is not None and held.document.version > peer_version:
            deltas = _find_deltas(tuple(held.history), peer_version)
            octets = sum(len(delta.changes) for delta in deltas)
            if octets <= defaults.MAX_PUSHED_DELTA_LENGTH:
                effects.extend(SendMessage(peer, delta) for delta in deltas)
    return tuple(effects)


def _fetch(
    state: DisseminationState,
    key: str,
    peer: Address,
    now: float,
) -> Effects:
    """Request a document from a peer, unless one was requested just before."""
    held = state.held[key]
    if now - held.last_fetch_at < defaults.FETCH_RETRY_SECONDS:
        return ()
    held.last_fetch_at = now
    return (SendMessage(peer, Fetch(key, held.document.version)),)


def _handle_fetch(
    state: DisseminationState,
    event: MessageReceived,
    message: Fetch,
) -> Effects:
    """Send the deltas since the peer's version, or else the document."""
    held = state.held.get(message.key)
    if held is None or held.document.version <= message.have:
        return ()
    deltas = _find_deltas(tuple(held.history), message.have)
    if deltas:
        return tuple(SendMessage(event.sender, delta) for delta in deltas)
    full = FullDocument(message.key, held.document.content)
    return SendMessage(event.sender, full), Count('full_documents_sent')


def _find_deltas(
    history: tuple[DocumentDelta, ...],
    have: DocumentVersion,
) -> tuple[DocumentDelta, ...]:
    """Return the deltas that lead from a version to the latest one.

    Returns none if the history does not reach back to that version.
    """
    for index, delta in enumerate(history):
        if delta.base == have:
            return history[index:]
    return ()


def _handle_full(
    state: DisseminationState,
    event: MessageReceived,
    message: FullDocument,
) -> Effects:
    """Accept or refuse a complete document from a neighbour."""
    if message.key not in state.held:
        return (Count('unknown_key'),)
    state.held[message.key].last_fetch_at = float('-inf')
    try:
        document = load_document(message.content)
    except UnusableDocument as error:
        return (Count(error.code),)
    return acceptance.accept_document(state, message.key, document, event.now)


def _handle_delta(
    state: DisseminationState,
    event: MessageReceived,
    message: DocumentDelta,
) -> Effects:
    """Apply a delta to the held document and accept or refuse the result.

    If the delta starts from another version, the document is fetched.
    """
    held = state.held.get(message.key)
    if held is None:
        return (Count('unknown_key'),)
    held.highest_heard = max(held.highest_heard, message.target)
    if message.target <= held.document.version:
        return ()
    if message.base != held.document.version:
        return _fetch(state, message.key, event.sender, event.now)
    try:
        document = apply_changes(held.document, message.changes)
    except UnusableDocument as error:
        return (Count(error.code),)
    held.last_fetch_at = float('-inf')
    if document.version != message.target:
        return (Count('delta_mismatch'),)
    return acceptance.accept_document(
        state, message.key, document, event.now, message
    )


def _handle_revision(state: DisseminationState, event: RevisionSeen) -> Effects:
    """Fetch the table from a process whose traffic carries a later revision.

    The sender is authenticated, so its revision is a lower bound for the
    latest one, as in the revision gate of "The write succeeded, then the old
    value came back".
    """
    table_key = state.identity.document_keys.table
    held = state.held[table_key]
    if event.revision <= held.document.version.revision:
        return ()
    control = state.control_addresses.get(event.sender)
    if control is None:
        return ()
    fetch = _fetch(state, table_key, control, event.now)
    return (*fetch, Count('revisions_seen_ahead')) if fetch else ()


def _handle_timer(state: DisseminationState, event: TimerFired) -> Effects:
    """Run all periodic work of the dissemination."""
    return (
        *_update_reading(state, event.now),
        *_retry_fetches(state, event.now),
        *_exchange_versions(state, event.now),
        *_complete_joining(state, event.now),
    )


def _update_reading(state: DisseminationState, now: float) -> Effects:
    """Start or stop reading the configuration service.

    An elected reader reads it, and so does a process that is joining, that
    has long received no message, or that stands in for lost readers.
    """
    last_message_at = state.last_message_at
    reference = state.started_at if last_message_at is None else last_message_at
    is_isolated = now - reference >= defaults.PEER_TIMEOUT_SECONDS
    is_joining = not state.joined
    counts = _update_stand_in(state, now)
    is_chosen = state.is_elected_reader or state.stands_in
    wanted = is_chosen or is_isolated or is_joining
    if wanted == state.reading:
        return ()
    state.reading = wanted
    return (*counts, Read(wanted))


def _update_stand_in(state: DisseminationState, now: float) -> Effects:
    """Stand in for the readers if nobody has heard of any for too long.

    The list of instances names lost readers until somebody reads the next one.
    """
    if now - state.last_timer_at > defaults.MAX_TIMER_GAP_SECONDS:
        # This process stood still; announcements wait in its sockets.
        state.reading_heard_at = now
    state.last_timer_at = now
    if state.reading:
        state.reading_heard_at = now
    turn = (state.reader_turn or 0) - 1
    doublings = max(len(state.instances.instances), 1).bit_length()
    limit = (
        defaults.READER_SILENCE_SECONDS
        + doublings * defaults.READER_SILENCE_DOUBLING_SECONDS
        + turn * defaults.READER_STAGGER_SECONDS
    )
    silence = now - state.reading_heard_at
    if state.stands_in or state.is_elected_reader or silence < limit:
        return ()
    state.stands_in = True
    return (Count('stood_in_for_readers'),)


def _exchange_versions(state: DisseminationState, now: float) -> Effects:
    """Announce the held versions to a random neighbour at intervals."""
    if now < state.next_exchange_at or not state.neighbours:
        return ()
    spread = state.random.uniform(*defaults.ANTI_ENTROPY_SPREAD)
    state.next_exchange_at = now + defaults.ANTI_ENTROPY_SECONDS * spread
    peer = state.random.choice(state.neighbours)
    return (
        SendMessage(
            peer, acceptance.make_announce(state, now, wants_reply=True)
        ),
    )


def _retry_fetches(state: DisseminationState, now: float) -> Effects:
    """Ask a random neighbour for announced versions not yet received."""
    effects: list[DisseminationEffect] = []
    for key, held in state.held.items():
        is_behind = held.highest_heard > held.document.version
        if is_behind and state.neighbours:
            peer = state.random.choice(state.neighbours)
            effects.extend(_fetch(state, key, peer, now))
    return tuple(effects)


def _complete_joining(state: DisseminationState, now: float) -> Effects:
    """Complete joining once the highest announced versions are held.

    A joining process puts no document in force before that, unless the join
    timeout has passed.
    """
    table_key = state.identity.document_keys.table
    if state.joined or not state.held[table_key].document.content:
        return ()
    is_timed_out = now - state.started_at >= defaults.JOIN_TIMEOUT_SECONDS
    has_heard_peers = state.last_message_at is not None or not state.neighbours
    is_current = all(
        held.document.version >= held.highest_heard
        for held in state.held.values()
    )
    if not is_timed_out and not (has_heard_peers and is_current):
        return ()
    state.joined = True
    return tuple(
        PutInForce(key, held.document, held.parsed)
        for key, held in state.held.items()
        if held.parsed is not None
    )


_HANDLERS: Final = MappingProxyType[
    type,
    Callable[[DisseminationState, Any], Effects],
]({
    DocumentRead: acceptance.handle_document_read,
    MessageReceived: _handle_message,
    RevisionSeen: _handle_revision,
    TimerFired: _handle_timer,
})

_MESSAGE_HANDLERS: Final = MappingProxyType[
    type,
    Callable[[DisseminationState, MessageReceived, Any], Effects],
]({
    Announce: _handle_announce,
    Fetch: _handle_fetch,
    FullDocument: _handle_full,
    DocumentDelta: _handle_delta,
})
