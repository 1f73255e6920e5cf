"""Events of the follower; ``now`` is in seconds of one clock."""

from typing import NamedTuple

from keelgap.addresses import Address
from keelgap.catalog.models import Entry

__all__ = (
    'CallFailed',
    'CatchUpWanted',
    'ChangesRead',
    'DeltaReceived',
    'EntryChange',
    'FollowerEvent',
    'HistoryLost',
    'PageRead',
    'PeerAhead',
    'ReadingDecided',
    'SnapshotReceived',
    'TimerFired',
)


class PageRead(NamedTuple):
    """One page of all entries, in the order of their keys."""

    now: float
    entries: dict[str, Entry]
    #: Revision of the store when it made the page.
    revision: int
    #: Key after which the next page begins; empty if this is the last.
    next_after: str


class EntryChange(NamedTuple):
    """A written entry, or one that is gone."""

    key: str
    revision: int
    #: None if the entry is gone.
    entry: Entry | None


class ChangesRead(NamedTuple):
    """What a watch returned, oldest first; none if its wait was over."""

    now: float
    changes: tuple[EntryChange, ...]
    revision: int


class HistoryLost(NamedTuple):
    """The store no longer knows what came after our revision."""

    now: float


class CallFailed(NamedTuple):
    """A call brought nothing: refused, cut, silent or malformed."""

    now: float
    #: Short name of the cause for logs and metrics.
    reason: str
    #: Whether there was an answer that cannot be read; asked the same again,
    #: the store would answer the same.
    is_unreadable: bool = False


class CatchUpWanted(NamedTuple):
    """A decision waits for changes that others know of already."""

    now: float


class PeerAhead(NamedTuple):
    """A peer told that it holds a later revision."""

    now: float
    peer: Address
    revision: int


class SnapshotReceived(NamedTuple):
    """A peer sent all that it holds."""

    now: float
    entries: dict[str, Entry]
    revision: int


class DeltaReceived(NamedTuple):
    """A peer sent what changed after a revision, oldest first."""

    now: float
    #: Revision after which these are all changes.
    after: int
    changes: tuple[EntryChange, ...]
    revision: int


class ReadingDecided(NamedTuple):
    """This process should read the store, or follow those that do."""

    now: float
    reads: bool
    #: Processes that are known, this one included.
    processes: int


class TimerFired(NamedTuple):
    """The periodic timer fired."""

    now: float


FollowerEvent = (
    PageRead
    | ChangesRead
    | HistoryLost
    | CallFailed
    | CatchUpWanted
    | DeltaReceived
    | PeerAhead
    | ReadingDecided
    | SnapshotReceived
    | TimerFired
)
