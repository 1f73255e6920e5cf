"""Problem types for callers (RFC 9457), documented in docs/ref/problems.md."""

import math
from http import HTTPStatus
from typing import Final, NamedTuple, TypedDict

import msgspec

__all__ = (
    'ANSWER_NOT_KEPT',
    'LEDGER_FULL',
    'MALFORMED_KEY',
    'NOT_RUN',
    'OUTCOME_PENDING',
    'OUTCOME_UNKNOWN',
    'PROBLEM_TYPES',
    'TICKET_EXPIRED',
    'TICKET_REFUSED',
    'TICKET_REQUIRED',
    'UPSTREAM_FAILED',
    'Problem',
    'ProblemType',
    'encode_problem',
)

_BASE_URL: Final = 'https://keelgap.example/problems/'


class ProblemType(NamedTuple):
    """One type of problem; its slug is part of the public interface."""

    slug: str
    status: int
    title: str
    #: Whether neither this attempt nor any attempt with its key was run.
    not_run: bool

    @property
    def is_temporary(self) -> bool:
        """Return whether a later attempt may succeed."""
        return self.status == HTTPStatus.SERVICE_UNAVAILABLE


class Problem(NamedTuple):
    """A problem with one request."""

    kind: ProblemType
    #: Reason, also used as a label of metrics.
    reason: str
    #: Seconds to wait before a retry; None if retrying is of no use.
    retry_after: float | None = None


class _ProblemDocument(TypedDict):
    """The JSON body of a problem response."""

    type: str
    title: str
    status: int
    reason: str
    not_run: bool


NOT_RUN: Final = ProblemType(
    'not-run',
    HTTPStatus.SERVICE_UNAVAILABLE,
    'The request was not run and will not be.',
    not_run=True,
)
OUTCOME_UNKNOWN: Final = ProblemType(
    'outcome-unknown',
    HTTPStatus.INTERNAL_SERVER_ERROR,
    'The request may have run; its outcome cannot be known any more.',
    not_run=False,
)
OUTCOME_PENDING: Final = ProblemType(
    'outcome-pending',
    HTTPStatus.SERVICE_UNAVAILABLE,
    'The outcome is not known yet; ask again with the same key.',
    not_run=False,
)
UPSTREAM_FAILED: Final = ProblemType(
    'upstream-failed',
    HTTPStatus.BAD_GATEWAY,
    'The upstream broke off after the request had been sent to it.',
    not_run=False,
)
ANSWER_NOT_KEPT: Final = ProblemType(
    'answer-not-kept',
    HTTPStatus.CONFLICT,
    'The request ran once; its answer was too long to keep.',
    not_run=False,
)
TICKET_REQUIRED: Final = ProblemType(
    'ticket-required',
    HTTPStatus.PRECONDITION_REQUIRED,
    'GET /.well-known/keelgap/ticket and put the ticket before your key.',
    not_run=True,
)
TICKET_REFUSED: Final = ProblemType(
    'ticket-refused',
    HTTPStatus.FORBIDDEN,
    'The ticket is forged, or of another service or caller.',
    not_run=True,
)
TICKET_EXPIRED: Final = ProblemType(
    'ticket-expired',
    HTTPStatus.CONFLICT,
    'The ticket has expired; this attempt was not run.',
    not_run=False,
)
LEDGER_FULL: Final = ProblemType(
    'ledger-full',
    HTTPStatus.SERVICE_UNAVAILABLE,
    'No ticket can be issued now.',
    not_run=True,
)
MALFORMED_KEY: Final = ProblemType(
    'malformed-key',
    HTTPStatus.BAD_REQUEST,
    'Idempotency-Key must be a ticket, a dot and 1 to 64 characters.',
    not_run=True,
)

#: All problem types, as documented in docs/ref/problems.md.
PROBLEM_TYPES: Final = (
    NOT_RUN,
    OUTCOME_UNKNOWN,
    OUTCOME_PENDING,
    UPSTREAM_FAILED,
    ANSWER_NOT_KEPT,
    TICKET_REQUIRED,
    TICKET_REFUSED,
    TICKET_EXPIRED,
    LEDGER_FULL,
    MALFORMED_KEY,
)


def encode_problem(
    problem: Problem,
) -> tuple[list[tuple[bytes, bytes]], bytes]:
    """Return the headers and the body of a problem response."""
    kind = problem.kind
    body = msgspec.json.encode(
        _ProblemDocument(
            type=f'{_BASE_URL}{kind.slug}',
            title=kind.title,
            status=int(kind.status),
            reason=problem.reason,
            not_run=kind.not_run,
        ),
    )
    headers = [(b'content-type', b'application/problem+json')]
    if problem.retry_after is not None:
        seconds = max(1, math.ceil(problem.retry_after))
        headers.append((b'retry-after', str(seconds).encode()))
    return headers, body
