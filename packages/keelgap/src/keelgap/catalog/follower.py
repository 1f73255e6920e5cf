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
    FetchSnapshot,
    FollowerEffect,
    ReadFirstPageAgain,
    ReadPage,
    StoreLost,
    StoreRegained,
    WatchChanges,
)
from keelgap.catalog.events import (
    CallFailed,
    CatchUpWanted,
    ChangesRead,
    DeltaReceived,
    FollowerEvent,
    HistoryLost,
    PageRead,
    PeerAhead,
    ReadingDecided,
    SnapshotReceived,
    TimerFired,
)
from keelgap.catalog.state import FollowerState, apply_all, replace_all

__all__ = ('reduce', 'start')

Effects = tuple[FollowerEffect, ...]


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
    changed = replace_all(state, entries, revision, 'store', event.now)
    return (*regained, *changed, *_watch_on(state, 0))


def _watch_on(state: FollowerState, delay: float) -> Effects:
    """Wait for the next changes, unless others do."""
    if not state.reads:
        state.is_idle = True
        return ()
    return (WatchChanges(delay, state.revision, defaults.WATCH_SECONDS),)


def _rest(state: FollowerState) -> Effects:
    """Make no call until this process is to read again."""
    _end_reading(state)
    state.is_idle = True
    state.failures = 0
    state.failing_since = None
    return ()


def _decide_reading(state: FollowerState, event: ReadingDecided) -> Effects:
    """Begin to read, or to follow; a call under way is still taken."""
    state.reads = event.reads
    state.callers_share = max(event.processes / defaults.READERS, 1)
    if not event.reads or not state.is_idle:
        return ()
    state.is_idle = False
    # Whether the store answers here is not known yet.
    return (WatchChanges(0, state.revision, defaults.PROBE_SECONDS),)


def _end_reading(state: FollowerState) -> None:
    state.pages = {}
    state.first_page_revision = None
    state.reading_after = None


def _take_changes(state: FollowerState, event: ChangesRead) -> Effects:
    regained = _note_answer(state, event.now)
    news = apply_all(state, event.changes, event.revision, 'store')
    state.current_at = event.now
    delay = defaults.GATHER_SECONDS if news else 0
    state.gathers_until = event.now + delay
    return (*regained, *news, *_watch_on(state, delay))


def _take_delta(state: FollowerState, event: DeltaReceived) -> Effects:
    """Take what a peer says has changed, if it joins what is held here."""
    if not event.after <= state.revision < event.revision:
        return ()
    state.current_at = event.now
    return apply_all(state, event.changes, event.revision, 'peer')


def _catch_up(state: FollowerState, event: CatchUpWanted) -> Effects:
    """Cut the pause short in which changes are gathered."""
    if event.now >= state.gathers_until:
        # A call is under way, or others tell what they know.
        return _fetch(state, event.now)
    state.gathers_until = event.now
    return (WatchChanges(0, state.revision, defaults.WATCH_SECONDS),)


def _note_answer(state: FollowerState, now: float) -> Effects:
    since = state.failing_since
    state.failures = 0
    state.failing_since = None
    state.answered_at = now
    if since is None:
        return ()
    return (StoreRegained(now - since),)


def _read_anew(state: FollowerState, event: HistoryLost) -> Effects:
    if state.complete and not state.reads:
        return _rest(state)
    _end_reading(state)
    state.reading_after = ''
    return (*_note_answer(state, event.now), ReadPage(0, ''))


def _retry(state: FollowerState, event: CallFailed) -> Effects:
    lost: Effects = ()
    if state.complete and not state.reads:
        # Others read; whether the store answers here is of no account.
        return _rest(state)
    if state.failing_since is None:
        state.failing_since = event.now
        lost = (StoreLost(event.reason),)
    pause = min(
        defaults.RETRY_FIRST_SECONDS * 2**state.failures,
        _choose_longest_pause(state),
    )
    state.first_page_asked_at = event.now + pause
    state.failures = min(state.failures + 1, _MAX_DOUBLINGS)
    if state.reading_after is None and not event.is_unreadable:
        return (
            *lost,
            WatchChanges(pause, state.revision, defaults.PROBE_SECONDS),
        )
    # Pages of an interrupted reading may be too old to join to new ones.
    _end_reading(state)
    state.reading_after = ''
    return (*lost, ReadPage(pause, ''))


def _choose_longest_pause(state: FollowerState) -> float:
    """Return how long to pause at most; nobody is served without a catalog."""
    if state.complete:
        return state.longest_pause
    return defaults.FIRST_RETRY_MAX_SECONDS * state.callers_share


def _note_peer(state: FollowerState, event: PeerAhead) -> Effects:
    if event.revision <= state.revision:
        return ()
    if state.peer_ahead is None:
        state.behind_since = event.now
    state.peer_ahead = event
    return _fetch(state, event.now)


def _handle_timer(state: FollowerState, event: TimerFired) -> Effects:
    return (*_fetch(state, event.now), *_ask_again(state, event.now))


def _ask_again(state: FollowerState, now: float) -> Effects:
    """Ask for the first page once more while the store is silent.

    A call sent into the silence may never be answered, and the store may be
    back at any moment.
    """
    reads_first_page = not state.complete and not state.reading_after
    waited = now - state.first_page_asked_at
    patience = defaults.FIRST_PAGE_SECONDS * state.callers_share
    if not reads_first_page or waited < patience:
        return ()
    state.first_page_asked_at = now
    return (ReadFirstPageAgain(),)


def _fetch(state: FollowerState, now: float) -> Effects:
    """Take from a peer what the store does not tell us now."""
    ahead = state.peer_ahead
    if ahead is None:
        return ()
    if ahead.revision <= state.revision:
        state.peer_ahead = None
        return ()
    patient = now - state.behind_since < defaults.BEHIND_SECONDS
    if state.reads and state.reaches_store and patient:
        return ()
    if now - state.fetched_at < defaults.PEER_FETCH_SECONDS:
        return ()
    state.fetched_at = now
    return (FetchSnapshot(ahead.peer),)


def _take_snapshot(state: FollowerState, event: SnapshotReceived) -> Effects:
    if event.revision <= state.revision:
        return ()
    return replace_all(
        state,
        event.entries,
        event.revision,
        'peer',
        event.now,
    )


#: Failures after which the pause no longer grows.
_MAX_DOUBLINGS: Final = 6
_HANDLERS: Final[Mapping[type, Callable[[FollowerState, Any], Effects]]] = (
    MappingProxyType({
        PageRead: _take_page,
        ChangesRead: _take_changes,
        HistoryLost: _read_anew,
        CallFailed: _retry,
        CatchUpWanted: _catch_up,
        DeltaReceived: _take_delta,
        ReadingDecided: _decide_reading,
        PeerAhead: _note_peer,
        SnapshotReceived: _take_snapshot,
        TimerFired: _handle_timer,
    })
)
