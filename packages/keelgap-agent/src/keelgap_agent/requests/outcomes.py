"""Outcomes of requests and the answers that the ledger stores."""

from enum import Enum
from typing import NamedTuple

__all__ = ('Outcome', 'OutcomeKind', 'StoredAnswer')


class OutcomeKind(Enum):
    """How a request that the agent started has ended."""

    #: The upstream sent a complete answer.
    ANSWERED = 'answered'
    #: Nothing of the request reached the upstream.
    NOT_SENT = 'not_sent'
    #: The upstream failed; the request may have run.
    BROKEN = 'broken'
    #: The caller cancelled it, and the run was aborted.
    CANCELLED = 'cancelled'


class StoredAnswer(NamedTuple):
    """An upstream's answer, kept to be repeated to later attempts."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    #: None if the body was too long to keep.
    body: bytes | None


class Outcome(NamedTuple):
    """How a request ended, with the answer if there is one."""

    kind: OutcomeKind
    answer: StoredAnswer | None = None
