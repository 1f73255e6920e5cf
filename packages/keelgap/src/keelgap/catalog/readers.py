"""Election of the few processes that read the store.

The load on the store thus does not grow with the number of processes.  Readers
announce themselves by claims; all other processes follow them.  There is no
vote: a process starts to read if it knows fewer than READER_COUNT fresh claims,
and stops if it knows as many of higher rank.  While the views of processes
differ, there may briefly be one reader more, or one of several less.
"""

from collections.abc import Callable, Collection
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from keelgap.catalog import defaults

__all__ = ('ReaderClaim', 'ReaderElection')


class ReaderClaim(NamedTuple):
    """Claim of a host that it reads the store, received or relayed."""

    host: str
    #: Seconds since the host itself sent the claim.
    age: float


def _compute_rank(host: str) -> int:
    """Return the rank of a host; a lower number ranks higher."""
    return xxh3_64_intdigest(host.encode())


class ReaderElection:
    """Readers known to one process, and whether it is a reader itself."""

    def __init__(self, own_host: str) -> None:
        """Initialize as a reader, because no other readers are known yet."""
        self.own_host = own_host
        self.is_reader = True
        #: Time of the latest claim of each other reader.
        self.claim_times: dict[str, float] = {}
        #: Time at which each other process last stated that it does not read.
        self.withdrawal_times: dict[str, float] = {}
        #: Time since which too few readers are known.
        self.shortage_since: float | None = None
        #: Seconds after which a claim expires.
        self.fresh_seconds = defaults.CLAIM_TTL_SECONDS

    def record_claim(self, claim: ReaderClaim, now: float) -> None:
        """Record a claim unless its host sent a later claim or withdrawal."""
        claimed_at = now - claim.age
        if (
            claim.host == self.own_host
            or claimed_at <= self._get_withdrawal_time(claim.host)
        ):
            return
        known = self.claim_times.get(claim.host, claimed_at)
        self.claim_times[claim.host] = max(known, claimed_at)

    def record_withdrawal(self, host: str, now: float) -> None:
        """Record the statement of a host that it does not read the store.

        Others may still relay its earlier claims, which are then ignored.
        """
        self.claim_times.pop(host, None)
        self.withdrawal_times[host] = now

    def list_fresh(self, now: float) -> list[str]:
        """Return the hosts of other readers whose claims have not expired.

        Expired claims and withdrawals are removed.
        """
        limit = now - self.fresh_seconds
        self.claim_times = _drop_expired(self.claim_times, limit)
        self.withdrawal_times = _drop_expired(self.withdrawal_times, limit)
        return list(self.claim_times)

    def make_claims(self, now: float) -> tuple[ReaderClaim, ...]:
        """Return the latest fresh claims of other hosts, for relaying."""
        fresh = self.list_fresh(now)
        fresh.sort(key=self.claim_times.__getitem__, reverse=True)
        return tuple(
            ReaderClaim(host, now - self.claim_times[host])
            for host in fresh[: defaults.READER_COUNT]
        )

    def decide(self, now: float, others: Collection[str]) -> bool:
        """Decide and return whether this process should read the store.

        ``others`` are the hosts of the other known processes.  Known processes
        of higher rank get the chance to start first.  Each delays this process
        by a limited time, in case it has terminated.
        """
        if len(others) > defaults.READER_FANOUT:
            # Most processes learn of readers from relayed claims.
            self.fresh_seconds = defaults.RELAYED_CLAIM_TTL_SECONDS
        else:
            self.fresh_seconds = defaults.CLAIM_TTL_SECONDS
        fresh = self.list_fresh(now)
        ranks_higher = _make_rank_filter(self.own_host)
        shortage = defaults.READER_COUNT - len(fresh)
        if self.is_reader:
            higher_ranked = sum(map(ranks_higher, fresh))
            self.is_reader = higher_ranked < defaults.READER_COUNT
            self.shortage_since = None
        elif shortage <= 0:
            self.shortage_since = None
        else:
            candidates = set(others).difference(fresh)
            turn = sum(map(ranks_higher, candidates)) // shortage
            since = self.shortage_since
            self.shortage_since = now if since is None else since
            waited = now - self.shortage_since
            self.is_reader = waited >= turn * defaults.READER_STAGGER_SECONDS
        return self.is_reader

    def _get_withdrawal_time(self, host: str) -> float:
        return self.withdrawal_times.get(host, float('-inf'))


def _drop_expired(times: dict[str, float], limit: float) -> dict[str, float]:
    """Return the hosts whose times are not before the limit."""
    return {host: time for host, time in times.items() if time >= limit}


def _make_rank_filter(own_host: str) -> Callable[[str], bool]:
    """Return a function that tells whether a host ranks above the own one."""
    limit = _compute_rank(own_host)
    return lambda host: _compute_rank(host) < limit
