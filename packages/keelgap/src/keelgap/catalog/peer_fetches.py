"""Choice of the peer from which a later catalog is fetched.

A peer that announced a later revision may be gone, or may hear nothing that it
is asked.  So another one is asked if it has not answered soon, while its answer
is still awaited: a long catalog takes time on a slow link.
"""

from typing import Final

from keelgap.addresses import Address
from keelgap.catalog import defaults

__all__ = ('PeerFetches',)

_NEVER: Final = float('-inf')


class PeerFetches:
    """Peers that hold a later catalog, and the fetches that are pending."""

    def __init__(self) -> None:
        """Initialize without any peer."""
        #: Revisions of peers that are ahead, the latest announcement last.
        self.revisions: dict[Address, int] = {}
        #: Peers whose responses are awaited.
        self.pending: set[Address] = set()
        #: Times at which fetches from a peer failed.
        self.failed_at: dict[Address, float] = {}
        #: Time of the latest fetch.
        self.started_at = _NEVER
        #: Time since which a peer is ahead, or of the latest progress.
        self.ahead_since = _NEVER
        #: Revision of this process at its latest progress.
        self.reached = 0

    def record_revision(self, peer: Address, revision: int, now: float) -> None:
        """Record that a peer announced a later revision."""
        if not self.revisions:
            self.ahead_since = now
        self.revisions.pop(peer, None)
        self.revisions[peer] = revision
        if len(self.revisions) > defaults.MAX_PEERS_AHEAD:
            self.revisions.pop(next(iter(self.revisions)))

    def record_end(self, peer: Address, now: float, *, failed: bool) -> None:
        """Record that a fetch ended."""
        self.pending.discard(peer)
        if failed:
            self.failed_at[peer] = now
        else:
            self.failed_at.pop(peer, None)

    def record_progress(self, revision: int, now: float) -> None:
        """Forget the peers that are not ahead of a revision any longer."""
        if revision > self.reached:
            self.reached = revision
            self.ahead_since = now
        reached = [
            peer for peer, held in self.revisions.items() if held <= revision
        ]
        for peer in reached:
            self.revisions.pop(peer)

    def start(self, now: float) -> Address | None:
        """Start a fetch from the best peer, and return the peer.

        Returns None if a peer was asked just before, or if the responses of
        all usable peers are awaited.
        """
        if now - self.started_at < defaults.PEER_FETCH_SECONDS:
            return None
        idle = [peer for peer in self.revisions if peer not in self.pending]
        if not idle or len(self.pending) >= defaults.MAX_PEER_FETCHES:
            return None
        self._forget_failures(now)
        # The latest announcement is the likeliest to come from a live peer.
        idle.reverse()
        peer = min(idle, key=self._get_failure_time)
        self.started_at = now
        self.pending.add(peer)
        return peer

    def list_failed(self, now: float) -> list[str]:
        """Return the hosts from which a fetch failed lately."""
        self._forget_failures(now)
        return [peer.host for peer in self.failed_at]

    def _get_failure_time(self, peer: Address) -> float:
        return self.failed_at.get(peer, _NEVER)

    def _forget_failures(self, now: float) -> None:
        if not self.failed_at:
            return
        limit = now - defaults.PEER_FAILURE_SECONDS
        self.failed_at = {
            peer: at for peer, at in self.failed_at.items() if at >= limit
        }
