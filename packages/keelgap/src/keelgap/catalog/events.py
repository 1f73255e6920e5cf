"""Events of the follower; ``now`` is a monotonic time in seconds."""

from typing import NamedTuple

from keelgap.addresses import Address
from keelgap.catalog.models import Entry

__all__ = (
    'CallFailed',
    'CatchUpRequested',
    'ChangesRead',
    'DeltaReceived',
    'EntryChange',
    'FetchEnded',
    'FollowerEvent',
    'HistoryLost',
    'PageRead',
    'PeerAhead',
    'ReaderRoleDecided',
    'SnapshotReceived',
    'TimerFired',
)


class PageRead(NamedTuple):
    """The store returned a page of entries, ordered by key."""

    now: float
    entries: dict[str, Entry]
    #: Revision of the store when it created the page.
    revision: int
    #: Key after which the next page starts; empty on the last page.
    next_after: str


class EntryChange(NamedTuple):
    """A write or deletion of an entry in the store."""

    key: str
    #: Revision of the store after the change.
    revision: int
    #: None if the entry was deleted.
    entry: Entry | None


class ChangesRead(NamedTuple):
    """A watch of the store returned changes, oldest first.

    There are none if the watch timed out.
    """

    now: float
    changes: tuple[EntryChange, ...]
    #: Revision of the store up to which the changes are complete.
    revision: int


class HistoryLost(NamedTuple):
    """The store no longer has the changes after the requested revision."""

    now: float


class CallFailed(NamedTuple):
    """A request to the store failed, timed out or got a bad response."""

    now: float
    #: Short name of the reason, for logs and metrics.
    reason: str
    #: Whether there was a response that could not be decoded; the store would
    #: respond to the same request in the same way.
    is_unreadable: bool = False


class CatchUpRequested(NamedTuple):
    """The search for a flow waits for the latest changes of the store."""

    now: float


class PeerAhead(NamedTuple):
    """A peer announced that it holds a later revision of the store."""

    now: float
    #: Address from which the catalog of the peer can be fetched.
    peer: Address
    revision: int


class FetchEnded(NamedTuple):
    """A peer sent its catalog, or the fetch failed or timed out."""

    now: float
    peer: Address
    #: Whether no usable catalog arrived.
    failed: bool


class SnapshotReceived(NamedTuple):
    """A peer sent all entries of the store that it knows."""

    now: float
    entries: dict[str, Entry]
    #: Revision of the store up to which the entries are complete.
    revision: int


class DeltaReceived(NamedTuple):
    """A peer sent the changes of the store after a revision, oldest first."""

    now: float
    #: Revision after which the changes are complete.
    after: int
    changes: tuple[EntryChange, ...]
    #: Revision up to which the changes are complete.
    revision: int


class ReaderRoleDecided(NamedTuple):
    """The reader election decided whether this process reads the store."""

    now: float
    is_reader: bool
    #: Number of known processes, including this one.
    processes: int


class TimerFired(NamedTuple):
    """The periodic timer of the driver fired."""

    now: float


FollowerEvent = (
    PageRead
    | ChangesRead
    | HistoryLost
    | CallFailed
    | CatchUpRequested
    | DeltaReceived
    | PeerAhead
    | FetchEnded
    | ReaderRoleDecided
    | SnapshotReceived
    | TimerFired
)
