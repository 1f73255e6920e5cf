"""Reducer that follows the store: ``(state, event) -> (state, effects)``.

First all entries are read page by page.  Pages are not a consistent snapshot,
so changes are watched starting at the revision of the first page.  The
revision never decreases during the lifetime of a process, whether it comes
from the store or from a peer.
"""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Final

from keelgap.catalog import defaults
from keelgap.catalog.catching_up import (
    fetch_from_peer,
    handle_fetch_end,
    handle_peer_ahead,
)
from keelgap.catalog.effects import (
    FollowerEffect,
    ReadFirstPageAgain,
    ReadPage,
    StoreLost,
    StoreRegained,
    WatchChanges,
)
from keelgap.catalog.events import (
    CallFailed,
    CatchUpRequested,
    ChangesRead,
    DeltaReceived,
    FetchEnded,
    FollowerEvent,
    HistoryLost,
    PageRead,
    PeerAhead,
    ReaderRoleDecided,
    SnapshotReceived,
    TimerFired,
)
from keelgap.catalog.state import FollowerState, apply_changes, replace_entries

__all__ = ('reduce', 'start')

Effects = tuple[FollowerEffect, ...]


def start(state: FollowerState) -> Effects:
    """Return the initial effects, which request the first page of entries."""
    return (ReadPage(0, ''),)


def reduce(
    state: FollowerState,
    event: FollowerEvent,
) -> tuple[FollowerState, Effects]:
    """Return the state after an event, and the effects for the driver."""
    return state, _HANDLERS[type(event)](state, event)


def _handle_page(state: FollowerState, event: PageRead) -> Effects:
    """Request the next page; after the last one replace all entries."""
    regained = _record_response(state, event.now)
    if state.first_page_revision is None:
        state.first_page_revision = event.revision
    state.pages.update(event.entries)
    if event.next_after:
        state.reading_after = event.next_after
        return (*regained, ReadPage(0, event.next_after))
    entries = state.pages
    revision = state.first_page_revision
    _end_reading(state)
    replaced = replace_entries(state, entries, revision, 'store', event.now)
    return (*regained, *replaced, *_continue_watching(state, 0))


def _continue_watching(state: FollowerState, delay: float) -> Effects:
    """Request the next changes after a delay in seconds.

    A process that does not read the store goes idle instead.
    """
    if not state.is_reader:
        state.is_idle = True
        return ()
    return (WatchChanges(delay, state.revision, defaults.WATCH_WAIT_SECONDS),)


def _go_idle(state: FollowerState) -> Effects:
    """Make no requests to the store until this process is a reader again."""
    _end_reading(state)
    state.is_idle = True
    state.failures = 0
    state.failing_since = None
    return ()


def _handle_reader_role(
    state: FollowerState, event: ReaderRoleDecided
) -> Effects:
    """Start to read the store, or to follow processes that read it.

    A pending request still completes.
    """
    state.is_reader = event.is_reader
    state.retry_scale = max(event.processes / defaults.READER_COUNT, 1)
    if not event.is_reader or not state.is_idle:
        return ()
    state.is_idle = False
    # It is not known yet whether the store responds to this process.
    return (WatchChanges(0, state.revision, defaults.PROBE_WAIT_SECONDS),)


def _end_reading(state: FollowerState) -> None:
    """Discard the pages of a full read that ended or was interrupted."""
    state.pages = {}
    state.first_page_revision = None
    state.reading_after = None


def _handle_changes(state: FollowerState, event: ChangesRead) -> Effects:
    """Apply changes from the store and schedule the next watch."""
    regained = _record_response(state, event.now)
    applied = apply_changes(state, event.changes, event.revision, 'store')
    state.synced_at = event.now
    delay = defaults.BATCH_PAUSE_SECONDS if applied else 0
    state.batching_until = event.now + delay
    return (*regained, *applied, *_continue_watching(state, delay))


def _handle_delta(state: FollowerState, event: DeltaReceived) -> Effects:
    """Apply changes from a peer if none are missing before them."""
    if not event.after <= state.revision < event.revision:
        return ()
    state.synced_at = event.now
    return apply_changes(state, event.changes, event.revision, 'peer')


def _handle_catch_up(state: FollowerState, event: CatchUpRequested) -> Effects:
    """End the pause between watches early, or fetch changes from a peer."""
    if event.now >= state.batching_until:
        # A request is pending, or this process follows its peers.
        return fetch_from_peer(state, event.now)
    state.batching_until = event.now
    return (WatchChanges(0, state.revision, defaults.WATCH_WAIT_SECONDS),)


def _record_response(state: FollowerState, now: float) -> Effects:
    """Reset the failures; return StoreRegained if there were any."""
    since = state.failing_since
    state.failures = 0
    state.failing_since = None
    state.answered_at = now
    if since is None:
        return ()
    return (StoreRegained(now - since),)


def _restart_reading(state: FollowerState, event: HistoryLost) -> Effects:
    """Read all entries again, because the store lost the next changes.

    A process that knows all entries and is not a reader goes idle instead,
    unless it asked because peers do not deliver theirs.
    """
    is_behind = bool(state.peer_fetches.revisions)
    if state.complete and not state.is_reader and not is_behind:
        return _go_idle(state)
    _end_reading(state)
    state.reading_after = ''
    return (*_record_response(state, event.now), ReadPage(0, ''))


def _handle_failure(state: FollowerState, event: CallFailed) -> Effects:
    """Retry a failed request after a pause that grows with each failure.

    A process that knows all entries and is not a reader goes idle instead.
    """
    lost: Effects = ()
    if state.complete and not state.is_reader:
        # Others read the store, so this failure has no effect.
        return _go_idle(state)
    if state.failing_since is None:
        state.failing_since = event.now
        lost = (StoreLost(event.reason),)
    pause = min(
        defaults.RETRY_FIRST_SECONDS * 2**state.failures,
        _get_max_pause(state),
    )
    state.first_page_asked_at = event.now + pause
    state.failures = min(state.failures + 1, _MAX_DOUBLINGS)
    if state.reading_after is None and not event.is_unreadable:
        return (
            *lost,
            WatchChanges(pause, state.revision, defaults.PROBE_WAIT_SECONDS),
        )
    # Pages of an interrupted read may be too old to combine with new ones.
    _end_reading(state)
    state.reading_after = ''
    return (*lost, ReadPage(pause, ''))


def _get_max_pause(state: FollowerState) -> float:
    """Return the maximum pause before a retry, in seconds.

    It is shorter before the first catalog, when no caller is served.
    """
    if state.complete:
        return state.max_retry_pause
    return defaults.STARTUP_RETRY_MAX_SECONDS * state.retry_scale


def _handle_timer(state: FollowerState, event: TimerFired) -> Effects:
    return (
        *fetch_from_peer(state, event.now),
        *_retry_first_page(state, event.now),
    )


def _retry_first_page(state: FollowerState, now: float) -> Effects:
    """Request the first page of entries again if the store is silent.

    A request sent while the store is unavailable may never get a response,
    and the store may recover at any moment.
    """
    reads_first_page = not state.complete and not state.reading_after
    waited = now - state.first_page_asked_at
    timeout = defaults.FIRST_PAGE_TIMEOUT_SECONDS * state.retry_scale
    if not reads_first_page or waited < timeout:
        return ()
    state.first_page_asked_at = now
    return (ReadFirstPageAgain(),)


def _handle_snapshot(state: FollowerState, event: SnapshotReceived) -> Effects:
    """Replace all entries by those of a peer if they are later."""
    if event.revision <= state.revision:
        return ()
    return replace_entries(
        state,
        event.entries,
        event.revision,
        'peer',
        event.now,
    )


#: Number of failures after which the pause is no longer doubled.
_MAX_DOUBLINGS: Final = 6
_HANDLERS: Final[Mapping[type, Callable[[FollowerState, Any], Effects]]] = (
    MappingProxyType({
        PageRead: _handle_page,
        ChangesRead: _handle_changes,
        HistoryLost: _restart_reading,
        CallFailed: _handle_failure,
        CatchUpRequested: _handle_catch_up,
        DeltaReceived: _handle_delta,
        ReaderRoleDecided: _handle_reader_role,
        PeerAhead: handle_peer_ahead,
        FetchEnded: handle_fetch_end,
        SnapshotReceived: _handle_snapshot,
        TimerFired: _handle_timer,
    })
)
