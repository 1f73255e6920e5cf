"""How a process that is behind gets a later catalog from its peers.

Part of the reducer of ``follower``.
"""

from keelgap.catalog import defaults
from keelgap.catalog.effects import (
    FetchCatalog,
    FollowerEffect,
    StoreAskedBehind,
    WatchChanges,
)
from keelgap.catalog.events import FetchEnded, PeerAhead
from keelgap.catalog.state import FollowerState

__all__ = ('fetch_from_peer', 'handle_fetch_end', 'handle_peer_ahead')

Effects = tuple[FollowerEffect, ...]


def handle_peer_ahead(state: FollowerState, event: PeerAhead) -> Effects:
    """Record a peer that holds a later revision of the catalog.

    Its catalog is fetched now unless the store may still deliver that revision
    or a peer was asked shortly before.
    """
    if event.revision <= state.revision:
        return ()
    state.peer_fetches.record_revision(event.peer, event.revision, event.now)
    return fetch_from_peer(state, event.now)


def fetch_from_peer(state: FollowerState, now: float) -> Effects:
    """Fetch a later catalog from a peer if the store does not deliver it.

    The store is asked if no peer delivers it, either.
    """
    fetches = state.peer_fetches
    fetches.record_progress(state.revision, now)
    if not fetches.revisions:
        return ()
    waited = now - fetches.ahead_since
    is_late = waited >= defaults.BEHIND_TOLERANCE_SECONDS
    if state.is_reader and state.reaches_store and not is_late:
        return ()
    asked = _ask_store(state, now, waited) if is_late else ()
    peer = fetches.start(now)
    return asked if peer is None else (*asked, FetchCatalog(peer))


def _ask_store(state: FollowerState, now: float, waited: float) -> Effects:
    """Ask the store once for what peers have announced and do not deliver.

    Readers may be heard by processes that do not reach them.
    """
    since_asked = now - state.asked_behind_at
    is_too_early = since_asked < defaults.BEHIND_TOLERANCE_SECONDS
    if not state.is_idle or is_too_early:
        return ()
    state.asked_behind_at = now
    state.is_idle = False
    return (
        StoreAskedBehind(waited, tuple(state.peer_fetches.revisions)),
        WatchChanges(0, state.revision, defaults.PROBE_WAIT_SECONDS),
    )


def handle_fetch_end(state: FollowerState, event: FetchEnded) -> Effects:
    """Ask another peer if a fetch failed."""
    state.peer_fetches.record_end(event.peer, event.now, failed=event.failed)
    return fetch_from_peer(state, event.now)
