"""The ledger: which keyed requests ran, run, or must never run.

It lives and dies with the agent's incarnation, as do the tickets.  When it is
full it forgets nothing: it raises a floor under which no ticket may start a
request any more, so that "not run" stays true for every refused key.
"""

from collections import deque
from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from keelgap_agent.requests.outcomes import StoredAnswer

__all__ = ('EntryState', 'Ledger', 'LedgerEntry', 'LedgerKey')


class LedgerKey(NamedTuple):
    """What identifies a request at the agent that issued its ticket."""

    serial: int
    caller: bytes
    suffix: str


class EntryState(Enum):
    """What is known of a keyed request."""

    ADMITTED = 'admitted'
    ANSWERED = 'answered'
    #: It was not run and never will be.
    TOMBSTONE = 'tombstone'
    #: The upstream broke off while it ran.
    BROKEN = 'broken'


class LedgerEntry:
    """One keyed request."""

    __slots__ = ('answer', 'expires_at', 'state', 'waiters')

    def __init__(self, state: EntryState, expires_at: float) -> None:
        """Start in a state, to be forgotten at a time."""
        self.state = state
        self.expires_at = expires_at
        self.answer: StoredAnswer | None = None
        #: Later attempts with the same key that wait for the outcome.
        self.waiters: list[int] = []


class Ledger:
    """All keyed requests of one incarnation."""

    def __init__(self, capacity: int) -> None:
        """Start empty, for at most so many entries."""
        self.capacity = capacity
        self.entries: dict[LedgerKey, LedgerEntry] = {}
        self.expiries: deque[tuple[float, LedgerKey]] = deque()
        self.next_serial = 1
        #: Tickets with a lower serial may not start anything.
        self.floor = 0

    @property
    def is_full(self) -> bool:
        """Return whether no entry can be added."""
        return len(self.entries) >= self.capacity

    def take_serial(self) -> int:
        """Return the serial of a new ticket."""
        serial = self.next_serial
        self.next_serial += 1
        return serial

    def find(self, key: LedgerKey) -> LedgerEntry | None:
        """Return the entry of a key, if there is one."""
        return self.entries.get(key)

    def admit(self, key: LedgerKey, expires_at: float) -> None:
        """Record that a request may start."""
        self._add(key, LedgerEntry(EntryState.ADMITTED, expires_at))

    def bury(self, key: LedgerKey, expires_at: float) -> None:
        """Record that a request was not run and must never run."""
        entry = self.entries.get(key)
        if entry:
            entry.state = EntryState.TOMBSTONE
        elif self.is_full:
            self.raise_floor()
        else:
            self._add(key, LedgerEntry(EntryState.TOMBSTONE, expires_at))

    def finish(
        self,
        key: LedgerKey,
        state: EntryState,
        answer: StoredAnswer | None,
    ) -> list[int]:
        """Record the outcome; return the attempts that wait for it."""
        entry = self.entries[key]
        entry.state = state
        entry.answer = answer
        return self.take_waiters(key)

    def take_waiters(self, key: LedgerKey) -> list[int]:
        """Return the attempts that wait for a key, and forget them."""
        entry = self.entries.get(key)
        if entry is None:
            return []
        waiters = entry.waiters
        entry.waiters = []
        return waiters

    def raise_floor(self) -> None:
        """Make every ticket issued so far unable to start a request."""
        self.floor = self.next_serial

    def forget_expired(self, now: float) -> None:
        """Drop the entries whose time has come."""
        for key in list(self._list_expired(now)):
            entry = self.entries[key]
            if entry.state is EntryState.ADMITTED:
                # Still running: keep it for another round.
                self.expiries.append((now, key))
            else:
                self.entries.pop(key)

    def _list_expired(self, now: float) -> Iterator[LedgerKey]:
        while self.expiries and self.expiries[0][0] <= now:
            yield self.expiries.popleft()[1]

    def _add(self, key: LedgerKey, entry: LedgerEntry) -> None:
        self.entries[key] = entry
        self.expiries.append((entry.expires_at, key))
