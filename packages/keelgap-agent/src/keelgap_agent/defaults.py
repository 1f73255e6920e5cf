"""Default values of the agent's policies, each with its reason."""

from typing import Final

__all__ = (
    'ANSWER_KEPT_OCTETS',
    'ASK_RETRY_SECONDS',
    'ASK_TIMEOUT_SECONDS',
    'BACKOFF_BASE_SECONDS',
    'BACKOFF_MAX_SECONDS',
    'BODY_WAIT_SECONDS',
    'BUDGET_CAP',
    'BUDGET_SHARE',
    'GOAWAY_SECONDS',
    'HANDOVER_MEMORY_SECONDS',
    'HANDSHAKES_BEFORE_RETRY',
    'INITIAL_SERVICE_SECONDS',
    'LEDGER_ENTRIES',
    'LEDGER_RETENTION_SECONDS',
    'LINGER_SECONDS',
    'PORTABLE_OCTETS',
    'SERVICE_TIME_SMOOTHING',
    'TICKET_SECONDS',
    'TIMER_SECONDS',
    'UPSTREAM_DOWN_SECONDS',
    'UPSTREAM_FAILURES',
)

#: Period of the driver's timer.
TIMER_SECONDS: Final = 0.05

#: How long idle flows stay open after GOAWAY, so that requests which were on
#: their way are told that they were not processed.
GOAWAY_SECONDS: Final = 1.0

#: How long a choice to pass a handshake on is remembered; a handshake that
#: takes longer has been given up by its caller (RFC 9000 idles at 30 s).
HANDOVER_MEMORY_SECONDS: Final = 10.0

#: Handshakes in progress above which callers must validate their address.
HANDSHAKES_BEFORE_RETRY: Final = 64

#: A ticket is asked for once a connection, so it must outlive the time from
#: the first request on it to the last retry of that request.
TICKET_SECONDS: Final = 600

#: Ledger entries outlive their tickets by this time, so that a retry that
#: comes late still gets the stored answer.
LEDGER_RETENTION_SECONDS: Final = 60.0

#: Bound on ledger entries; at 120 a second for ten minutes with room.
LEDGER_ENTRIES: Final = 100000

#: Longest answer body that the ledger keeps.
ANSWER_KEPT_OCTETS: Final = 16384

#: Longest request body that may go to another agent.
PORTABLE_OCTETS: Final = 65536

#: How long a body of unknown length is awaited, in case it is short.
BODY_WAIT_SECONDS: Final = 0.1

#: An issuer that did not answer is asked again after this time.
ASK_RETRY_SECONDS: Final = 1.0

#: After this time without an answer the caller is told to ask again.  A
#: pause of 10 seconds at the issuer must fit.
ASK_TIMEOUT_SECONDS: Final = 15.0

#: Share of first attempts that may be passed on to another agent.
BUDGET_SHARE: Final = 0.2

#: Most hand-overs that a quiet time saves up.
BUDGET_CAP: Final = 20.0

#: First pause that refused callers are told to keep.
BACKOFF_BASE_SECONDS: Final = 0.25

#: Longest pause that refused callers are told to keep.
BACKOFF_MAX_SECONDS: Final = 8.0

#: Expected service time before the first request has ended.
INITIAL_SERVICE_SECONDS: Final = 0.05

#: Weight of the newest service time in the moving average.
SERVICE_TIME_SMOOTHING: Final = 0.1

#: Connection failures in a row after which an upstream counts as down.
UPSTREAM_FAILURES: Final = 3

#: How long a down upstream gets no new work before one request tries it.
UPSTREAM_DOWN_SECONDS: Final = 1.0

#: A leaving agent answers retries from its ledger for this time after its
#: last flow ended.
LINGER_SECONDS: Final = 2.0
