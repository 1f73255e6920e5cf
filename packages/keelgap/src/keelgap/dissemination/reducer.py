"""The dissemination reducer: ``(state, event) -> (state, effects)``.

The version in force under a key only rises, whatever the service or a peer
says: versions are ordered by revision and then by digest, so that processes
that got different documents of one revision still agree in the end.
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
    """Return the state after an event and what the driver must do."""
    return state, _HANDLERS[type(event)](state, event)


def _take_message(
    state: DisseminationState,
    event: MessageReceived,
) -> Effects:
    state.heard_peer_at = event.now
    handler = _MESSAGE_HANDLERS[type(event.message)]
    return handler(state, event, event.message)


def _take_announce(
    state: DisseminationState,
    event: MessageReceived,
    message: Announce,
) -> Effects:
    effects: list[DisseminationEffect] = []
    for key, held in state.held.items():
        theirs = message.versions.get(key)
        if theirs is None:
            continue
        held.highest_heard = max(held.highest_heard, theirs)
        if theirs > held.document.version:
            effects.extend(_fetch(state, key, event.sender, event.now))
    if message.wants_reply:
        reply = acceptance.make_announce(state, wants_reply=False)
        effects.append(SendMessage(event.sender, reply))
        effects.extend(_offer_deltas(state, event.sender, message))
    return tuple(effects)


def _offer_deltas(
    state: DisseminationState,
    peer: Address,
    message: Announce,
) -> Effects:
    """Send what a peer lacks at once, if it is short.

    That saves a round trip, and a lost message less can delay the repair.
    """
    effects: list[DisseminationEffect] = []
    for key, theirs in message.versions.items():
        held = state.held.get(key)
        if held is not None and held.document.version > theirs:
            deltas = _find_deltas(tuple(held.history), theirs)
            octets = sum(len(delta.changes) for delta in deltas)
            if octets <= defaults.MAX_PUSHED:
                effects.extend(SendMessage(peer, delta) for delta in deltas)
    return tuple(effects)


def _fetch(
    state: DisseminationState,
    key: str,
    peer: Address,
    now: float,
) -> Effects:
    held = state.held[key]
    if now - held.fetched_at < defaults.FETCH_RETRY_SECONDS:
        return ()
    held.fetched_at = now
    return (SendMessage(peer, Fetch(key, held.document.version)),)


def _take_fetch(
    state: DisseminationState,
    event: MessageReceived,
    message: Fetch,
) -> Effects:
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
    for index, delta in enumerate(history):
        if delta.base == have:
            return history[index:]
    return ()


def _take_full(
    state: DisseminationState,
    event: MessageReceived,
    message: FullDocument,
) -> Effects:
    if message.key not in state.held:
        return (Count('unknown_key'),)
    state.held[message.key].fetched_at = float('-inf')
    try:
        document = load_document(message.content)
    except UnusableDocument as error:
        return (Count(error.code),)
    return acceptance.accept_document(state, message.key, document, event.now)


def _take_delta(
    state: DisseminationState,
    event: MessageReceived,
    message: DocumentDelta,
) -> Effects:
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
    held.fetched_at = float('-inf')
    if document.version != message.target:
        return (Count('delta_mismatch'),)
    return acceptance.accept_document(
        state, message.key, document, event.now, message
    )


def _take_revision(state: DisseminationState, event: RevisionSeen) -> Effects:
    """Pull the table from whoever shows in its traffic that it is ahead.

    It is a minimum revision that a trusted sender vouches for, as in the
    revision gate of "The write succeeded, then the old value came back".
    """
    name = state.identity.names.table
    held = state.held[name]
    if event.revision <= held.document.version.revision:
        return ()
    control = state.control_by_data.get(event.sender)
    if control is None:
        return ()
    fetch = _fetch(state, name, control, event.now)
    return (*fetch, Count('revisions_seen_ahead')) if fetch else ()


def _handle_timer(state: DisseminationState, event: TimerFired) -> Effects:
    return (
        *_choose_reading(state, event.now),
        *_fetch_again(state, event.now),
        *_exchange(state, event.now),
        *_join(state, event.now),
    )


def _choose_reading(state: DisseminationState, now: float) -> Effects:
    heard = state.heard_peer_at
    last = state.started if heard is None else heard
    alone = now - last >= defaults.FALLBACK_SECONDS
    newcomer = not state.joined
    wanted = state.chosen_reader or alone or newcomer
    if wanted == state.reading:
        return ()
    state.reading = wanted
    return (Read(wanted),)


def _exchange(state: DisseminationState, now: float) -> Effects:
    if now < state.exchange_at or not state.neighbours:
        return ()
    spread = state.random.uniform(*defaults.ANTI_ENTROPY_SPREAD)
    state.exchange_at = now + defaults.ANTI_ENTROPY_SECONDS * spread
    peer = state.random.choice(state.neighbours)
    return (
        SendMessage(peer, acceptance.make_announce(state, wants_reply=True)),
    )


def _fetch_again(state: DisseminationState, now: float) -> Effects:
    """Ask some neighbour for what was heard of and has not come yet."""
    effects: list[DisseminationEffect] = []
    for key, held in state.held.items():
        behind = held.highest_heard > held.document.version
        if behind and state.neighbours:
            peer = state.random.choice(state.neighbours)
            effects.extend(_fetch(state, key, peer, now))
    return tuple(effects)


def _join(state: DisseminationState, now: float) -> Effects:
    """Let a joiner work once it holds the highest version it heard of."""
    name = state.identity.names.table
    if state.joined or not state.held[name].document.content:
        return ()
    waited = now - state.started >= defaults.JOIN_SECONDS
    asked = state.heard_peer_at is not None or not state.neighbours
    current = all(
        held.document.version >= held.highest_heard
        for held in state.held.values()
    )
    if not waited and not (asked and current):
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
    DocumentRead: acceptance.take_read,
    MessageReceived: _take_message,
    RevisionSeen: _take_revision,
    TimerFired: _handle_timer,
})

_MESSAGE_HANDLERS: Final = MappingProxyType[
    type,
    Callable[[DisseminationState, MessageReceived, Any], Effects],
]({
    Announce: _take_announce,
    Fetch: _take_fetch,
    FullDocument: _take_full,
    DocumentDelta: _take_delta,
})
