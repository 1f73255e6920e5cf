"""How a request ended, and the answers that are kept."""

from enum import Enum
from typing import NamedTuple

__all__ = ('Outcome', 'OutcomeKind', 'StoredAnswer')


class OutcomeKind(Enum):
    """What the agent knows about a request that it started."""

    #: The upstream answered in whole.
    ANSWERED = 'answered'
    #: Nothing of the request reached the upstream.
    NOT_SENT = 'not_sent'
    #: The upstream broke off; the request may have run.
    BROKEN = 'broken'
    #: The caller gave the request up, and the upstream was told.
    CANCELLED = 'cancelled'


class StoredAnswer(NamedTuple):
    """An upstream's answer as the ledger keeps it."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    #: None if the body was too long to keep.
    body: bytes | None


class Outcome(NamedTuple):
    """The end of a request."""

    kind: OutcomeKind
    answer: StoredAnswer | None = None
