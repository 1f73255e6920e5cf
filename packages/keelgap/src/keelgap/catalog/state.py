"""State of the follower, and how changes are applied to it."""

from collections import deque

from keelgap.catalog import defaults
from keelgap.catalog.effects import EntriesChanged
from keelgap.catalog.events import EntryChange
from keelgap.catalog.models import Entry
from keelgap.catalog.peer_fetches import PeerFetches

__all__ = ('FollowerState', 'apply_changes', 'replace_entries')


class FollowerState:
    """Entries of the store and progress of reading them; mutable."""

    def __init__(self, now: float) -> None:
        """Initialize without entries."""
        self.entries: dict[str, Entry] = {}
        #: Revision of the store up to which the entries are complete.
        self.revision = 0
        #: Revision of the latest change of the store that is known.
        self.latest_change = 0
        #: Entries of a full read that is in progress.
        self.pages: dict[str, Entry] = {}
        #: Revision of the first page of that read.
        self.first_page_revision: int | None = None
        #: Key after which the next page starts; None while watching.
        self.reading_after: str | None = ''
        #: Whether this process reads the store; otherwise it follows readers.
        self.is_reader = True
        #: Whether no request is pending or scheduled.
        self.is_idle = False
        #: Recent changes, oldest first, for followers.
        self.recent_changes: deque[EntryChange] = deque(
            maxlen=defaults.MAX_RECENT_CHANGES
        )
        #: Revision after which the recent changes are complete.
        self.recent_changes_after = 0
        #: End of the pause between watches, in which changes accumulate.
        self.batching_until = now
        #: Number of consecutive failed requests to the store.
        self.failures = 0
        #: Number of processes that may read the store, as a multiple of
        #: READER_COUNT.  Each multiplies its pauses by this factor, so that the
        #: total rate of requests stays the same.
        self.retry_scale: float = 1
        #: Time of the first of these failures; None if there are none.
        self.failing_since: float | None = None
        #: Time of the latest response of the store.
        self.answered_at = now
        #: Time at which the entries were last known to be complete.
        self.synced_at = now
        #: Whether all entries were ever read, from the store or from a peer.
        self.complete = False
        #: Time of the latest or scheduled request for the first page.
        self.first_page_asked_at = now
        #: Peers that hold a later revision.
        self.peer_fetches = PeerFetches()
        #: Time at which this process, while it followed others, last asked the
        #: store itself.
        self.asked_behind_at = float('-inf')

    @property
    def max_retry_pause(self) -> float:
        """Return the maximum pause before a store retry, in seconds."""
        return defaults.RETRY_MAX_SECONDS * self.retry_scale

    @property
    def reaches_store(self) -> bool:
        """Return whether all entries are known and the store responds."""
        return self.complete and self.failing_since is None


def replace_entries(
    state: FollowerState,
    entries: dict[str, Entry],
    revision: int,
    source: str,
    now: float,
) -> tuple[EntriesChanged, ...]:
    """Replace the entries by those of a full read, but keep later ones.

    A read of an earlier revision is ignored.  Returns EntriesChanged for the
    first read, if entries changed, or if entries may have been written and
    deleted since the previous read, which a full read does not reveal.
    """
    if revision < state.revision:
        return ()
    elapsed = now - state.synced_at
    has_gap = state.complete and elapsed >= defaults.MIN_ENTRY_LIFETIME_SECONDS
    state.synced_at = now
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
    _update_latest_change(state, [held.revision for held in entries.values()])
    state.recent_changes.clear()
    state.recent_changes_after = revision
    is_first = not state.complete
    state.complete = True
    if not changed and not is_first and not has_gap:
        return ()
    return (
        EntriesChanged(
            tuple(changed),
            revision,
            state.latest_change,
            source,
            has_gap=has_gap,
        ),
    )


def apply_changes(
    state: FollowerState,
    changes: tuple[EntryChange, ...],
    revision: int,
    source: str,
) -> tuple[EntriesChanged, ...]:
    """Apply the changes up to a revision, oldest first.

    Returns EntriesChanged if the content of an entry differs now, or if an
    entry was both written and deleted by the changes.
    """
    pending = [change for change in changes if change.revision > state.revision]
    changed = []
    for change in pending:
        _record_change(state, change)
        if _apply_change(state, change):
            changed.append(change.key)
    state.revision = max(state.revision, revision)
    _update_latest_change(state, [one.revision for one in changes])
    missed = _find_missed(pending)
    if not changed and not missed:
        return ()
    return (
        EntriesChanged(
            tuple(changed),
            state.revision,
            state.latest_change,
            source,
            missed,
        ),
    )


def _find_missed(changes: list[EntryChange]) -> dict[str, Entry]:
    """Return the last content of entries that were written, then deleted."""
    written = {one.key: one.entry for one in changes if one.entry is not None}
    latest = {one.key: one for one in changes}
    return {
        key: entry
        for key, entry in written.items()
        if latest[key].entry is None
    }


def _record_change(state: FollowerState, change: EntryChange) -> None:
    """Keep a change for followers; drop the oldest if there are too many."""
    if len(state.recent_changes) == state.recent_changes.maxlen:
        state.recent_changes_after = state.recent_changes[0].revision
    state.recent_changes.append(change)


def _apply_change(state: FollowerState, change: EntryChange) -> bool:
    """Apply a change; return whether the entry's content differs now."""
    held = state.entries.get(change.key)
    if held is not None and held.revision >= change.revision:
        return False
    if change.entry is None:
        return state.entries.pop(change.key, None) is not None
    state.entries[change.key] = change.entry
    return held is None or held.content != change.entry.content


def _update_latest_change(state: FollowerState, revisions: list[int]) -> None:
    """Raise the latest known change to the highest revision."""
    state.latest_change = max(state.latest_change, *revisions, 0)
