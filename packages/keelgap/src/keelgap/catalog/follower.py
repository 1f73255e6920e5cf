"""Follow the store: ``(state, event) -> (state, effects)``.

A full reading comes first, page by page; pages are no snapshot, so changes
are watched from the revision of the first page on.  Revisions never step
back within the life of a process, whoever tells of them.
"""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Final

from keelgap.catalog import defaults
from keelgap.catalog.effects import (
    EntriesChanged,
    FetchSnapshot,
    FollowerEffect,
    ReadPage,
    StoreLost,
    StoreRegained,
    WatchChanges,
)
from keelgap.catalog.events import (
    CallFailed,
    CatchUpWanted,
    ChangesRead,
    EntryChange,
    FollowerEvent,
    HistoryLost,
    PageRead,
    PeerAhead,
    SnapshotReceived,
    TimerFired,
)
from keelgap.catalog.models import Entry

__all__ = ('FollowerState', 'reduce', 'start')

Effects = tuple[FollowerEffect, ...]


class FollowerState:
    """What a process holds of the store's entries; changed in place."""

    def __init__(self, now: float) -> None:
        """Start with nothing."""
        self.entries: dict[str, Entry] = {}
        #: The store's revision up to which the entries are complete.
        self.revision = 0
        #: The store's revision at the latest change that is known here.
        self.latest_change = 0
        #: Entries of a full reading that is not complete yet.
        self.pages: dict[str, Entry] = {}
        #: Revision of the first page of that reading.
        self.first_page_revision: int | None = None
        #: Key after which the next page begins, or None while watching.
        self.reading_after: str | None = ''
        #: When the pause after changes, in which more are gathered, is over.
        self.gathers_until = now
        self.failures = 0
        self.failing_since: float | None = None
        #: When the store answered last.
        self.answered_at = now
        #: Whether a full reading, ours or a peer's, was ever taken.
        self.complete = False
        self.fetched_at = float('-inf')
        self.peer_ahead: PeerAhead | None = None
        #: When a peer was first heard to hold more than this process.
        self.behind_since = now
        self.started = now

    @property
    def reaches_store(self) -> bool:
        """Return whether the last call was answered."""
        return self.complete and self.failing_since is None


def start(state: FollowerState) -> Effects:
    """Return the first call."""
    return (ReadPage(0, ''),)


def reduce(
    state: FollowerState,
    event: FollowerEvent,
) -> tuple[FollowerState, Effects]:
    """Return the state after an event and what the driver must do."""
    return state, _HANDLERS[type(event)](state, event)


def _take_page(state: FollowerState, event: PageRead) -> Effects:
    regained = _note_answer(state, event.now)
    if state.first_page_revision is None:
        state.first_page_revision = event.revision
    state.pages.update(event.entries)
    if event.next_after:
        state.reading_after = event.next_after
        return (*regained, ReadPage(0, event.next_after))
    entries = state.pages
    revision = state.first_page_revision
    _end_reading(state)
    changed = _replace_all(state, entries, revision, 'store')
    watch = WatchChanges(0, state.revision, defaults.WATCH_SECONDS)
    return (*regained, *changed, watch)


def _end_reading(state: FollowerState) -> None:
    state.pages = {}
    state.first_page_revision = None
    state.reading_after = None


def _replace_all(
    state: FollowerState,
    entries: dict[str, Entry],
    revision: int,
    source: str,
) -> Effects:
    """Take a full reading, but keep what is known to be later."""
    if revision < state.revision:
        return ()
    changed = []
    for key, entry in entries.items():
        held = state.entries.get(key)
        if held is None or entry.revision > held.revision:
            state.entries[key] = entry
            changed.append(key)
    for key in state.entries.keys() - entries.keys():
        if state.entries[key].revision <= revision:
            state.entries.pop(key)
            changed.append(key)
    state.revision = revision
    _note_change(state, [held.revision for held in entries.values()])
    first = not state.complete
    state.complete = True
    if not changed and not first:
        return ()
    return (
        EntriesChanged(
            tuple(changed),
            revision,
            state.latest_change,
            source,
        ),
    )


def _take_changes(state: FollowerState, event: ChangesRead) -> Effects:
    regained = _note_answer(state, event.now)
    changed = [
        change.key
        for change in event.changes
        if change.revision > state.revision and _apply(state, change)
    ]
    state.revision = max(state.revision, event.revision)
    _note_change(state, [change.revision for change in event.changes])
    delay = defaults.GATHER_SECONDS if changed else 0
    state.gathers_until = event.now + delay
    watch = WatchChanges(delay, state.revision, defaults.WATCH_SECONDS)
    if not changed:
        return (*regained, watch)
    news = EntriesChanged(
        tuple(changed),
        state.revision,
        state.latest_change,
        'store',
    )
    return (*regained, news, watch)


def _note_change(state: FollowerState, revisions: list[int]) -> None:
    state.latest_change = max(state.latest_change, *revisions, 0)


def _catch_up(state: FollowerState, event: CatchUpWanted) -> Effects:
    """Cut the pause short in which changes are gathered."""
    if event.now >= state.gathers_until:
        # A call is under way, or waits for the store to come back.
        return ()
    state.gathers_until = event.now
    return (WatchChanges(0, state.revision, defaults.WATCH_SECONDS),)


def _apply(state: FollowerState, change: EntryChange) -> bool:
    """Take a change; return whether anything is different now."""
    held = state.entries.get(change.key)
    if held is not None and held.revision >= change.revision:
        return False
    if change.entry is None:
        return state.entries.pop(change.key, None) is not None
    state.entries[change.key] = change.entry
    return held is None or held.content != change.entry.content


def _note_answer(state: FollowerState, now: float) -> Effects:
    since = state.failing_since
    state.failures = 0
    state.failing_since = None
    state.answered_at = now
    if since is None:
        return ()
    return (StoreRegained(now - since),)


def _read_anew(state: FollowerState, event: HistoryLost) -> Effects:
    _end_reading(state)
    state.reading_after = ''
    return (*_note_answer(state, event.now), ReadPage(0, ''))


def _retry(state: FollowerState, event: CallFailed) -> Effects:
    lost: Effects = ()
    if state.failing_since is None:
        state.failing_since = event.now
        lost = (StoreLost(event.reason),)
    pause = min(
        defaults.RETRY_FIRST_SECONDS * 2**state.failures,
        defaults.RETRY_MAX_SECONDS,
    )
    state.failures = min(state.failures + 1, _MAX_DOUBLINGS)
    if state.reading_after is None:
        return (
            *lost,
            WatchChanges(pause, state.revision, defaults.PROBE_SECONDS),
        )
    # Pages of an interrupted reading may be too old to join to new ones.
    _end_reading(state)
    state.reading_after = ''
    return (*lost, ReadPage(pause, ''))


def _note_peer(state: FollowerState, event: PeerAhead) -> Effects:
    if event.revision <= state.revision:
        return ()
    if state.peer_ahead is None:
        state.behind_since = event.now
    state.peer_ahead = event
    return _fetch(state, event.now)


def _handle_timer(state: FollowerState, event: TimerFired) -> Effects:
    return _fetch(state, event.now)


def _fetch(state: FollowerState, now: float) -> Effects:
    """Take from a peer what the store does not tell us now."""
    ahead = state.peer_ahead
    if ahead is None:
        return ()
    if ahead.revision <= state.revision:
        state.peer_ahead = None
        return ()
    patient = now - state.behind_since < defaults.BEHIND_SECONDS
    if state.reaches_store and patient:
        return ()
    if now - state.fetched_at < defaults.PEER_FETCH_SECONDS:
        return ()
    state.fetched_at = now
    return (FetchSnapshot(ahead.peer),)


def _take_snapshot(state: FollowerState, event: SnapshotReceived) -> Effects:
    if event.revision <= state.revision:
        return ()
    return _replace_all(state, event.entries, event.revision, 'peer')


#: Failures after which the pause no longer grows.
_MAX_DOUBLINGS: Final = 6
_HANDLERS: Final[Mapping[type, Callable[[FollowerState, Any], Effects]]] = (
    MappingProxyType({
        PageRead: _take_page,
        ChangesRead: _take_changes,
        HistoryLost: _read_anew,
        CallFailed: _retry,
        CatchUpWanted: _catch_up,
        PeerAhead: _note_peer,
        SnapshotReceived: _take_snapshot,
        TimerFired: _handle_timer,
    })
)
