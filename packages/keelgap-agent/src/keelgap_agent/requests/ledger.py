"""The ledger, which records the state and outcome of keyed requests.

It is valid for one incarnation of the agent, as tickets are.  A full ledger
evicts nothing.  Instead it raises the minimum serial of tickets that may start
a request, so that an answer of "not run" stays true for every refused key.
"""

from collections import deque
from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from keelgap_agent.requests.outcomes import StoredAnswer

__all__ = ('EntryState', 'Ledger', 'LedgerEntry', 'LedgerKey')


class LedgerKey(NamedTuple):
    """Identifier of a request at the agent that issued its ticket."""

    serial: int
    caller: bytes
    suffix: str


class EntryState(Enum):
    """States of a request with an Idempotency-Key."""

    ADMITTED = 'admitted'
    ANSWERED = 'answered'
    #: It was not run and must never run.
    TOMBSTONE = 'tombstone'
    #: The upstream failed while it ran.
    BROKEN = 'broken'


class LedgerEntry:
    """The state and outcome of one request with an Idempotency-Key."""

    __slots__ = ('answer', 'expires_at', 'state', 'waiters')

    def __init__(self, state: EntryState, expires_at: float) -> None:
        """Create an entry that may be removed after it expires."""
        self.state = state
        self.expires_at = expires_at
        self.answer: StoredAnswer | None = None
        #: Ids of later attempts with the same key that wait for the outcome.
        self.waiters: list[int] = []


class Ledger:
    """All requests with keys that one agent process has handled."""

    def __init__(self, capacity: int) -> None:
        """Create an empty ledger with a maximum number of entries."""
        self.capacity = capacity
        self.entries: dict[LedgerKey, LedgerEntry] = {}
        self.expiries: deque[tuple[float, LedgerKey]] = deque()
        self.next_serial = 1
        #: Tickets with a lower serial may not start a request.
        self.min_serial = 0

    @property
    def is_full(self) -> bool:
        """Return whether no entry can be added."""
        return len(self.entries) >= self.capacity

    def allocate_serial(self) -> int:
        """Return an unused serial for a new ticket."""
        serial = self.next_serial
        self.next_serial += 1
        return serial

    def find(self, key: LedgerKey) -> LedgerEntry | None:
        """Return the entry of a key, or None."""
        return self.entries.get(key)

    def admit(self, key: LedgerKey, expires_at: float) -> None:
        """Add an entry for a request that may start."""
        self._add(key, LedgerEntry(EntryState.ADMITTED, expires_at))

    def record_tombstone(self, key: LedgerKey, expires_at: float) -> None:
        """Record that a request was not run and must never run.

        A full ledger revokes all tickets issued so far instead.
        """
        entry = self.entries.get(key)
        if entry:
            entry.state = EntryState.TOMBSTONE
        elif self.is_full:
            self.revoke_issued_tickets()
        else:
            self._add(key, LedgerEntry(EntryState.TOMBSTONE, expires_at))

    def record_outcome(
        self,
        key: LedgerKey,
        state: EntryState,
        answer: StoredAnswer | None,
    ) -> list[int]:
        """Record the outcome of a key's request.

        Returns the ids of the attempts that waited for it.
        """
        entry = self.entries[key]
        entry.state = state
        entry.answer = answer
        return self.pop_waiters(key)

    def pop_waiters(self, key: LedgerKey) -> list[int]:
        """Remove and return the ids of attempts that await a key's outcome."""
        entry = self.entries.get(key)
        if entry is None:
            return []
        waiters = entry.waiters
        entry.waiters = []
        return waiters

    def revoke_issued_tickets(self) -> None:
        """Prevent all tickets issued so far from starting a request."""
        self.min_serial = self.next_serial

    def forget_expired(self, now: float) -> None:
        """Remove expired entries, except those of running requests."""
        for key in list(self._list_expired(now)):
            entry = self.entries[key]
            if entry.state is EntryState.ADMITTED:
                # Still running: check it again on the next call.
                self.expiries.append((now, key))
            else:
                self.entries.pop(key)

    def _list_expired(self, now: float) -> Iterator[LedgerKey]:
        """Remove and yield the keys whose expiry has passed, oldest first."""
        while self.expiries and self.expiries[0][0] <= now:
            yield self.expiries.popleft()[1]

    def _add(self, key: LedgerKey, entry: LedgerEntry) -> None:
        """Add an entry, and its expiry to the list of expiries."""
        self.entries[key] = entry
        self.expiries.append((entry.expires_at, key))
