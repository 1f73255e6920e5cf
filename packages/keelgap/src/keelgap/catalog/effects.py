"""Effects that the follower asks its driver for."""

from collections.abc import Mapping
from typing import NamedTuple

from keelgap.addresses import Address
from keelgap.catalog.models import NO_ENTRIES, Entry

__all__ = (
    'EntriesChanged',
    'FetchSnapshot',
    'FollowerEffect',
    'ReadFirstPageAgain',
    'ReadPage',
    'StoreLost',
    'StoreRegained',
    'WatchChanges',
)


class ReadPage(NamedTuple):
    """Ask the store for the entries behind a key."""

    delay: float
    after: str


class ReadFirstPageAgain(NamedTuple):
    """Ask once more, while earlier calls for the first page still wait."""


class WatchChanges(NamedTuple):
    """Ask the store for what comes after a revision."""

    delay: float
    revision: int
    wait_seconds: float


class FetchSnapshot(NamedTuple):
    """Ask a peer for all that it holds."""

    peer: Address


class EntriesChanged(NamedTuple):
    """These keys have new values, or none, from now on."""

    keys: tuple[str, ...]
    #: Revision of the store up to which all changes are known now.
    revision: int
    #: Revision of the store at the latest of these changes.
    latest_change: int
    #: ``store`` or ``peer``, for logs.
    source: str
    #: Entries that were written and are gone again, at their last revision.
    missed: Mapping[str, Entry] = NO_ENTRIES
    #: Whether entries may have come and gone of which nothing tells.
    has_gap: bool = False


class StoreLost(NamedTuple):
    """The first call failed after some that did not."""

    reason: str


class StoreRegained(NamedTuple):
    """A call succeeded after some that failed."""

    after_seconds: float


FollowerEffect = (
    ReadPage
    | ReadFirstPageAgain
    | WatchChanges
    | FetchSnapshot
    | EntriesChanged
    | StoreLost
    | StoreRegained
)
