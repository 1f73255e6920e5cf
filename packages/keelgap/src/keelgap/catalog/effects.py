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
    'StoreLost',
    'StoreRegained',
    'WatchChanges',
)


class ReadPage(NamedTuple):
    """Request the page of entries after a key from the store."""

    delay: float
    after: str


class ReadFirstPageAgain(NamedTuple):
    """Request the first page again while earlier requests are pending."""


class WatchChanges(NamedTuple):
    """Request changes after a revision from the store."""

    delay: float
    revision: int
    wait_seconds: float


class FetchCatalog(NamedTuple):
    """Request later changes, or all entries, from a peer."""

    peer: Address


class EntriesChanged(NamedTuple):
    """Update the catalog: entries were written or deleted."""

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


class StoreLost(NamedTuple):
    """Log that the store was lost: a request failed after one succeeded."""

    reason: str


class StoreRegained(NamedTuple):
    """Log that the store is back: a request succeeded after failures."""

    after_seconds: float


FollowerEffect = (
    ReadPage
    | ReadFirstPageAgain
    | WatchChanges
    | FetchCatalog
    | EntriesChanged
    | StoreLost
    | StoreRegained
)
