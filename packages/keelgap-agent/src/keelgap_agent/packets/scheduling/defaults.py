"""Default values of the order of requests, each with its reason."""

from typing import Final

__all__ = (
    'FULL_PACKET_OCTETS',
    'OVERDUE_ANSWERS',
    'OVERDUE_SECONDS',
    'PASSED_OVER',
    'PRIORITIES_COUNTED',
    'STARVED_SECONDS',
)

#: Octets of data in a full packet of a caller.  After one that full, the next
#: may be the rest of the same request.
FULL_PACKET_OCTETS: Final = 1200

#: A request at work for so many mean times to an answer, and at least so
#: many seconds, no longer counts against the room of its upstream: it may
#: never be answered, and its place stands empty then.  If it is only long,
#: one more request waits at the upstream rather than here.  All
#: count while the upstream has answered nothing for as long: what is passed on
#: to one that hangs is lost, and what waits here may still be answered.
OVERDUE_ANSWERS: Final = 6
OVERDUE_SECONDS: Final = 0.3

#: Whoever waits longer than this may go before all others; most aims are
#: shorter, so what it still gets is an answer that is late, not none.
STARVED_SECONDS: Final = 0.5

#: Of the requests that are passed on while such a one waits, each of this
#: number is one of these.  A lower one serves them sooner, and makes more of
#: the others late.
PASSED_OVER: Final = 32

#: Waits are counted by priority up to this one; lower ones count together.
PRIORITIES_COUNTED: Final = 3
