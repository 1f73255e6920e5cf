"""Effects of the follower, which its driver runs."""

from collections.abc import Mapping
from typing import NamedTuple

from keelgap.addresses import Address
from keelgap.catalog.models import NO_ENTRIES, Entry

__all__ = (
    'EntriesChanged',
    'FetchCatalog',
    'FollowerEffect',
    'ReadFirstPageAgain',
    'ReadPage',
    'StoreAskedBehind',
    'StoreLost',
    'StoreRegained',
    'WatchChanges',
)


class ReadPage(NamedTuple):
    """Request the page of entries after a key from the store."""

    #: Seconds until the request is sent.
    delay: float
    #: Key after which the page starts; empty for the first page.
    after: str


class ReadFirstPageAgain(NamedTuple):
    """Request the first page of entries again from the store.

    Earlier requests stay pending.
    """


class WatchChanges(NamedTuple):
    """Request changes after a revision from the store."""

    #: Seconds until the request is sent.
    delay: float
    revision: int
    #: Maximum time for which the store waits for a first change.
    wait_seconds: float


class FetchCatalog(NamedTuple):
    """Request from a peer the changes that this process lacks.

    The peer sends all entries if it no longer has the changes.
    """

    peer: Address


class EntriesChanged(NamedTuple):
    """Update the catalog: entries were written or deleted."""

    #: Keys of the entries that were written or deleted.
    keys: tuple[str, ...]
    #: Revision of the store up to which all changes are known.
    revision: int
    #: Revision of the latest change of the store that is known.
    latest_change: int
    #: Source of the changes for logs, ``store`` or ``peer``.
    source: str
    #: Last content of entries that were written and deleted meanwhile.
    missed: Mapping[str, Entry] = NO_ENTRIES
    #: Whether more entries may have been written and deleted unnoticed.
    has_gap: bool = False


class StoreAskedBehind(NamedTuple):
    """Log that the store is asked because no peer delivers its catalog."""

    #: Seconds since a peer announced a later revision.
    waited: float
    #: Peers that announced a later one.
    peers: tuple[Address, ...]


class StoreLost(NamedTuple):
    """Log that the store was lost: a request failed after one succeeded."""

    #: Short name of the reason of the failure.
    reason: str


class StoreRegained(NamedTuple):
    """Log that the store is back: a request succeeded after failures."""

    #: Seconds since the first of these failures.
    after_seconds: float


FollowerEffect = (
    ReadPage
    | ReadFirstPageAgain
    | WatchChanges
    | FetchCatalog
    | EntriesChanged
    | StoreAskedBehind
    | StoreLost
    | StoreRegained
)
