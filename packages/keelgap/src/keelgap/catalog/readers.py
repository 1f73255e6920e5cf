"""Election of the few processes that read the store.

The load on the store thus does not grow with the number of processes.  Readers
announce themselves by claims; all other processes follow them.  There is no
vote: a process starts to read if it knows too few fresh claims, and stops if it
knows READER_COUNT of higher rank.  While the views of processes differ, there
may briefly be one reader more, or one of several less.

The processes of highest rank are the candidates.  Readers and candidates send
to each other in every round, whatever the size of the fleet.  A candidate thus
notices within CLAIM_TTL_SECONDS that a reader is lost, and does not wait for
another candidate that is lost, too.  All other processes learn of readers from
relayed claims.  They start only if no claim is fresh any longer, because then
all candidates are lost as well.
"""

import heapq
from collections.abc import Collection
from functools import lru_cache
from math import log2
from typing import Final, NamedTuple

from xxhash import xxh3_64_intdigest

from keelgap.catalog import defaults

__all__ = (
    'ReaderClaim',
    'ReaderElection',
    'compute_rank',
    'compute_relayed_ttl',
)

_NEVER: Final = float('-inf')
_MAX_CACHED_RANKS: Final = 8192


class ReaderClaim(NamedTuple):
    """Claim of a host that it reads the store, received or relayed."""

    host: str
    #: Seconds since the host itself sent the claim.
    age: float


@lru_cache(_MAX_CACHED_RANKS)
def compute_rank(host: str) -> int:
    """Return the rank of a host; a lower number ranks higher."""
    return xxh3_64_intdigest(host.encode())


def compute_relayed_ttl(processes: int) -> float:
    """Return the seconds after which relayed claims expire.

    The time in which a claim reaches all processes grows with the logarithm of
    their number.
    """
    doublings = log2(max(processes / defaults.CANDIDATE_COUNT, 1))
    return defaults.CLAIM_TTL_SECONDS + doublings * defaults.RELAY_ROUND_SECONDS


class ReaderElection:
    """Readers known to one process, and whether it is a reader itself."""

    def __init__(self, own_host: str) -> None:
        """Initialize as a reader, because no other readers are known yet."""
        self.own_host = own_host
        self.is_reader = True
        #: Time of the latest claim of each other reader.
        self.claim_times: dict[str, float] = {}
        #: Time before which claims of a host are void: when it last stated
        #: that it does not read, or was found lost.
        self.void_times: dict[str, float] = {}
        #: Time of the latest message of each host that sent one directly.
        self.heard_times: dict[str, float] = {}
        #: Processes of highest rank, highest first; includes this one if it is
        #: among them.
        self.candidates: tuple[str, ...] = (own_host,)
        #: Number of known processes that rank above this one.
        self.higher_ranked = 0
        #: Seconds after which claims expire that are relayed to all.
        self.relayed_ttl = defaults.CLAIM_TTL_SECONDS
        #: Time since which too few readers are known.
        self.shortage_since: float | None = None
        self.decided_at = _NEVER
        #: Time at which this process last went on after it stood still.
        self.resumed_at = _NEVER

    @property
    def is_candidate(self) -> bool:
        """Return whether few enough processes rank above this one."""
        return self.higher_ranked < defaults.CANDIDATE_COUNT

    def change_fleet(self, others: Collection[str]) -> None:
        """Choose the candidates anew from the other known processes."""
        limit = compute_rank(self.own_host)
        self.higher_ranked = sum(compute_rank(host) < limit for host in others)
        self.candidates = tuple(
            heapq.nsmallest(
                defaults.CANDIDATE_COUNT,
                (self.own_host, *others),
                key=compute_rank,
            )
        )
        self.relayed_ttl = compute_relayed_ttl(len(others) + 1)

    def record_message(
        self,
        host: str,
        now: float,
        *,
        is_reader: bool,
    ) -> None:
        """Record whether a host, in a message of its own, claims to read.

        Others may still relay earlier claims of one that does not, which are
        then ignored.
        """
        self.heard_times[host] = now
        if is_reader:
            self.record_claim(ReaderClaim(host, 0), now)
        else:
            self._void_claims(host, now)

    def record_claim(self, claim: ReaderClaim, now: float) -> None:
        """Record a claim unless a later statement made it void."""
        claimed_at = now - claim.age
        if claim.host == self.own_host or claimed_at <= self.void_times.get(
            claim.host, _NEVER
        ):
            return
        known = self.claim_times.get(claim.host, claimed_at)
        self.claim_times[claim.host] = max(known, claimed_at)

    def record_loss(self, host: str, now: float) -> None:
        """Record that failure detection found a host lost.

        Its next claim, if it is alive after all, counts again.
        """
        self.heard_times.pop(host, None)
        self._void_claims(host, now)

    def list_fresh(self, now: float) -> list[str]:
        """Return the hosts of other readers whose claims have not expired.

        Candidates and readers hear readers directly, so claims expire sooner
        for them.
        """
        return self._list_claimed(now - self._claim_ttl)

    def make_claims(self, now: float) -> tuple[ReaderClaim, ...]:
        """Return the latest claims of other hosts, for relaying."""
        fresh = self._list_claimed(now - self.relayed_ttl)
        fresh.sort(key=self.claim_times.__getitem__, reverse=True)
        return tuple(
            ReaderClaim(host, now - self.claim_times[host])
            for host in fresh[: defaults.READER_COUNT]
        )

    def list_receivers(self, now: float) -> tuple[str, ...]:
        """Return the hosts to which this process sends in every round.

        A reader or candidate sends to the candidates, and to readers that rank
        below them, which thereby learn that they are not needed.
        """
        if not self.is_reader and not self.is_candidate:
            return ()
        readers = self._list_claimed(now - defaults.CLAIM_TTL_SECONDS)
        receivers = dict.fromkeys((*self.candidates, *readers))
        receivers.pop(self.own_host, None)
        return tuple(receivers)

    def decide(self, now: float) -> bool:
        """Decide and return whether this process should read the store."""
        self._expire(now)
        if now - self.decided_at > defaults.MAX_DECISION_GAP_SECONDS:
            # This process stood still; claims may be waiting in its socket.
            self.resumed_at = now
        self.decided_at = now
        if self.is_reader:
            self.shortage_since = None
            self.is_reader = not self._is_surplus(now)
            return self.is_reader
        wait = self._compute_wait(now)
        if wait is None or self._is_resuming(now):
            self.shortage_since = None
            return False
        if self.shortage_since is None:
            self.shortage_since = now
        self.is_reader = now - self.shortage_since >= wait
        return self.is_reader

    @property
    def _claim_ttl(self) -> float:
        """Return the seconds after which claims expire for this process."""
        if self.is_reader or self.is_candidate:
            return defaults.CLAIM_TTL_SECONDS
        return self.relayed_ttl

    def _is_resuming(self, now: float) -> bool:
        """Return whether this process stood still until just before."""
        return now - self.resumed_at < defaults.READER_STAGGER_SECONDS

    def _is_surplus(self, now: float) -> bool:
        """Return whether enough readers rank above this one."""
        limit = compute_rank(self.own_host)
        higher = [
            host for host in self.list_fresh(now) if compute_rank(host) < limit
        ]
        return len(higher) >= defaults.READER_COUNT

    def _compute_wait(self, now: float) -> float | None:
        """Return how long this process lets others start to read first.

        The result is in seconds, or None if it knows enough readers.
        """
        fresh = self.list_fresh(now)
        if not self.is_candidate:
            # Nobody among the candidates reads, or else a claim would be
            # known.  The next in rank start first.
            later = self.higher_ranked - defaults.CANDIDATE_COUNT
            turn = later // defaults.READER_COUNT + 1
            return None if fresh else turn * defaults.READER_STAGGER_SECONDS
        shortage = defaults.READER_COUNT - len(fresh)
        if shortage <= 0:
            return None
        limit = now - defaults.CLAIM_TTL_SECONDS
        before = [
            host
            for host in self.candidates[: self.higher_ranked]
            if host not in fresh and self.heard_times.get(host, _NEVER) >= limit
        ]
        return len(before) // shortage * defaults.READER_STAGGER_SECONDS

    def _list_claimed(self, since: float) -> list[str]:
        """Return the hosts whose latest claim is not before a time."""
        return [
            host
            for host, claimed_at in self.claim_times.items()
            if claimed_at >= since
        ]

    def _void_claims(self, host: str, now: float) -> None:
        self.claim_times.pop(host, None)
        self.void_times[host] = now

    def _expire(self, now: float) -> None:
        """Remove times that no longer count."""
        limit = now - self.relayed_ttl
        for times in (self.claim_times, self.void_times, self.heard_times):
            expired = [host for host, at in times.items() if at < limit]
            for host in expired:
                times.pop(host)
