"""Which few processes read the store, so that its calls do not grow.

Readers tell of themselves; the others follow them.  Nobody votes: a process
reads while it knows of fewer than READERS fresh readers, and stops when so
many that rank before it are fresh.  Views differ for a moment, and then there
is a reader more, or one less among several.
"""

from collections.abc import Callable, Collection
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from keelgap.catalog import defaults

__all__ = ('ReaderClaim', 'Readers')


class ReaderClaim(NamedTuple):
    """That a host reads the store, as told by itself or passed on."""

    host: str
    #: Seconds since the host itself said so.
    age: float


def _rank(host: str) -> int:
    return xxh3_64_intdigest(host.encode())


class Readers:
    """What one process knows of the readers, and whether it is one."""

    def __init__(self, own: str) -> None:
        """Start as a reader: nobody else is known."""
        self.own = own
        self.is_reader = True
        #: When each other reader last said that it reads.
        self.claimed: dict[str, float] = {}
        #: When each other process last said that it does not read.
        self.refused: dict[str, float] = {}
        #: Since when too few were known.
        self.lacking_since: float | None = None
        #: How long a claim counts.
        self.fresh_seconds = defaults.READER_SECONDS

    def note_claim(self, claim: ReaderClaim, now: float) -> None:
        """Take a claim; older news than what is known changes nothing."""
        claimed_at = now - claim.age
        if claim.host == self.own or claimed_at <= self._refused_at(claim.host):
            return
        known = self.claimed.get(claim.host, claimed_at)
        self.claimed[claim.host] = max(known, claimed_at)

    def note_refusal(self, host: str, now: float) -> None:
        """Take that a host does not read, from itself.

        Others may still pass on what it claimed before.
        """
        self.claimed.pop(host, None)
        self.refused[host] = now

    def list_fresh(self, now: float) -> list[str]:
        """Return the other readers that said so lately."""
        limit = now - self.fresh_seconds
        self.claimed = _keep_later(self.claimed, limit)
        self.refused = _keep_later(self.refused, limit)
        return list(self.claimed)

    def make_claims(self, now: float) -> tuple[ReaderClaim, ...]:
        """Return the latest claims, to pass them on."""
        fresh = self.list_fresh(now)
        fresh.sort(key=self.claimed.__getitem__, reverse=True)
        return tuple(
            ReaderClaim(host, now - self.claimed[host])
            for host in fresh[: defaults.READERS]
        )

    def decide(self, now: float, others: Collection[str]) -> bool:
        """Return whether to read from now on.

        The other processes that are known take their turn before this one if
        they rank before it; those that are gone do not hold it up for long.
        """
        if len(others) > defaults.MAX_TOLD_BY_READER:
            # Most hear of readers from others.
            self.fresh_seconds = defaults.PASSED_ON_READER_SECONDS
        else:
            self.fresh_seconds = defaults.READER_SECONDS
        fresh = self.list_fresh(now)
        is_before = _make_filter(self.own)
        lacking = defaults.READERS - len(fresh)
        if self.is_reader:
            before = sum(map(is_before, fresh))
            self.is_reader = before < defaults.READERS
            self.lacking_since = None
        elif lacking <= 0:
            self.lacking_since = None
        else:
            idle = set(others).difference(fresh)
            turn = sum(map(is_before, idle)) // lacking
            since = self.lacking_since
            self.lacking_since = now if since is None else since
            waited = now - self.lacking_since
            self.is_reader = waited >= turn * defaults.READER_TURN_SECONDS
        return self.is_reader

    def _refused_at(self, host: str) -> float:
        return self.refused.get(host, float('-inf'))


def _keep_later(times: dict[str, float], limit: float) -> dict[str, float]:
    return {host: time for host, time in times.items() if time >= limit}


def _make_filter(own: str) -> Callable[[str], bool]:
    limit = _rank(own)
    return lambda host: _rank(host) < limit
