"""Default values of the agent's policies."""

from typing import Final

__all__ = (
    'MAX_STORED_ANSWER_OCTETS',
    'ASK_RETRY_SECONDS',
    'ASK_TIMEOUT_SECONDS',
    'BACKOFF_BASE_SECONDS',
    'BACKOFF_MAX_SECONDS',
    'BODY_WAIT_SECONDS',
    'MAX_HANDOVER_BUDGET',
    'HANDOVER_BUDGET_RATIO',
    'GOAWAY_GRACE_SECONDS',
    'HANDOVER_TTL_SECONDS',
    'HANDSHAKES_BEFORE_RETRY',
    'INITIAL_SERVICE_TIME_SECONDS',
    'MAX_LEDGER_ENTRIES',
    'LEDGER_RETENTION_SECONDS',
    'LINGER_SECONDS',
    'MAX_PORTABLE_BODY_OCTETS',
    'SERVICE_TIME_SMOOTHING',
    'TICKET_LIFETIME_SECONDS',
    'TIMER_SECONDS',
    'UPSTREAM_DOWN_SECONDS',
    'MAX_UPSTREAM_FAILURES',
)

#: Period of the timer that the driver feeds to the reducer.
TIMER_SECONDS: Final = 0.05

#: How long idle flows stay open after GOAWAY, so that requests already in
#: flight are rejected as not processed instead of being lost.
GOAWAY_GRACE_SECONDS: Final = 1.0

#: How long the agent remembers to which agent it handed a handshake over; a
#: handshake that takes longer has been abandoned by its caller (RFC 9000 idles
#: at 30 s).
HANDOVER_TTL_SECONDS: Final = 10.0

#: Handshakes in progress from which on new callers must validate their
#: address with a Retry.
HANDSHAKES_BEFORE_RETRY: Final = 64

#: Lifetime of a ticket.  Callers fetch one ticket per connection, so it must
#: cover the time from the first request to the last retry of that request.
TICKET_LIFETIME_SECONDS: Final = 600

#: Ledger entries are kept for this time after their ticket expires, so that a
#: late retry still gets the stored answer.
LEDGER_RETENTION_SECONDS: Final = 60.0

#: Capacity of the ledger: 120 entries per second for ten minutes, with
#: headroom.
MAX_LEDGER_ENTRIES: Final = 100000

#: Largest response body that the ledger stores.
MAX_STORED_ANSWER_OCTETS: Final = 16384

#: Largest request body that may be passed on to another agent.
MAX_PORTABLE_BODY_OCTETS: Final = 65536

#: How long admission waits for a body of unknown length, so that a short one
#: can be passed on to another agent.
BODY_WAIT_SECONDS: Final = 0.1

#: Interval at which an unanswered ask is repeated to the issuer of a ticket.
ASK_RETRY_SECONDS: Final = 1.0

#: After this time without an answer from the issuer, the caller is told to
#: retry.  It must exceed a pause of 10 seconds at the issuer.
ASK_TIMEOUT_SECONDS: Final = 15.0

#: Ratio of first attempts that may be passed on to another agent.
HANDOVER_BUDGET_RATIO: Final = 0.2

#: Upper bound on the handover budget that accumulates while few requests are
#: passed on.
MAX_HANDOVER_BUDGET: Final = 20.0

#: Initial retry delay that refused callers are given.
BACKOFF_BASE_SECONDS: Final = 0.25

#: Maximum retry delay of the backoff.
BACKOFF_MAX_SECONDS: Final = 8.0

#: Estimated service time until the first request has completed.
INITIAL_SERVICE_TIME_SECONDS: Final = 0.05

#: Weight of the latest sample in the moving average of the service time.
SERVICE_TIME_SMOOTHING: Final = 0.1

#: Consecutive connection failures after which the upstream counts as down.
MAX_UPSTREAM_FAILURES: Final = 3

#: How long an upstream that is down gets no new requests before it is tried
#: again.
UPSTREAM_DOWN_SECONDS: Final = 1.0

#: After its last flow has ended, a stopping agent stays for this time to
#: answer late retries from its ledger.
LINGER_SECONDS: Final = 2.0
