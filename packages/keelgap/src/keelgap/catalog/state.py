"""What a process holds of the store's entries, and how changes join it."""

from collections import deque

from keelgap.catalog import defaults
from keelgap.catalog.effects import EntriesChanged
from keelgap.catalog.events import EntryChange, PeerAhead
from keelgap.catalog.models import Entry

__all__ = ('FollowerState', 'apply_all', 'replace_all')


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
        #: Whether this process reads the store, or follows others that do.
        self.reads = True
        #: Whether no call is under way or planned.
        self.is_idle = False
        #: Latest changes by the store, oldest first, for those that follow.
        self.kept: deque[EntryChange] = deque(maxlen=defaults.KEPT_CHANGES)
        #: Revision after which no change is missing among these.
        self.kept_after = 0
        #: When the pause after changes, in which more are gathered, is over.
        self.gathers_until = now
        self.failures = 0
        #: Processes that may call the store, as a multiple of READERS; each
        #: pauses longer by this factor, so that together they call as often.
        self.callers_share: float = 1
        self.failing_since: float | None = None
        #: When the store answered last.
        self.answered_at = now
        #: When the entries were last known to be all that there are.
        self.current_at = now
        #: Whether a full reading, ours or a peer's, was ever taken.
        self.complete = False
        #: When the first page was last asked for, or will be.
        self.first_page_asked_at = now
        self.fetched_at = float('-inf')
        self.peer_ahead: PeerAhead | None = None
        #: When a peer was first heard to hold more than this process.
        self.behind_since = now

    @property
    def longest_pause(self) -> float:
        """Return the longest pause after a failure, in seconds."""
        return defaults.RETRY_MAX_SECONDS * self.callers_share

    @property
    def reaches_store(self) -> bool:
        """Return whether the last call was answered."""
        return self.complete and self.failing_since is None


def replace_all(
    state: FollowerState,
    entries: dict[str, Entry],
    revision: int,
    source: str,
    now: float,
) -> tuple[EntriesChanged, ...]:
    """Take a full reading, but keep what is known to be later.

    It tells nothing of entries that came and went since the last one.
    """
    if revision < state.revision:
        return ()
    passed = now - state.current_at
    has_gap = state.complete and passed >= defaults.ENTRY_LIFE_SECONDS
    state.current_at = now
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
    state.kept.clear()
    state.kept_after = revision
    first = not state.complete
    state.complete = True
    if not changed and not first and not has_gap:
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


def apply_all(
    state: FollowerState,
    changes: tuple[EntryChange, ...],
    revision: int,
    source: str,
) -> tuple[EntriesChanged, ...]:
    """Take changes that lead up to a revision, oldest first."""
    later = [change for change in changes if change.revision > state.revision]
    changed = []
    for change in later:
        _keep(state, change)
        if _apply(state, change):
            changed.append(change.key)
    state.revision = max(state.revision, revision)
    _note_change(state, [one.revision for one in changes])
    missed = _list_missed(later)
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


def _list_missed(changes: list[EntryChange]) -> dict[str, Entry]:
    """Return what was written and went within some changes."""
    written = {one.key: one.entry for one in changes if one.entry is not None}
    latest = {one.key: one for one in changes}
    return {
        key: entry
        for key, entry in written.items()
        if latest[key].entry is None
    }


def _keep(state: FollowerState, change: EntryChange) -> None:
    if len(state.kept) == state.kept.maxlen:
        state.kept_after = state.kept[0].revision
    state.kept.append(change)


def _apply(state: FollowerState, change: EntryChange) -> bool:
    """Take a change; return whether anything is different now."""
    held = state.entries.get(change.key)
    if held is not None and held.revision >= change.revision:
        return False
    if change.entry is None:
        return state.entries.pop(change.key, None) is not None
    state.entries[change.key] = change.entry
    return held is None or held.content != change.entry.content


def _note_change(state: FollowerState, revisions: list[int]) -> None:
    state.latest_change = max(state.latest_change, *revisions, 0)
