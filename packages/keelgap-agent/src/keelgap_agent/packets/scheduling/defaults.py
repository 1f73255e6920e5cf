"""Default values of request scheduling, and the reasons for them."""

from typing import Final

__all__ = (
    'FULL_PACKET_OCTETS',
    'OVERDUE_RESPONSE_FACTOR',
    'MIN_OVERDUE_SECONDS',
    'STARVED_INTERVAL',
    'MAX_COUNTED_PRIORITY',
    'STARVED_SECONDS',
)

#: Octets of data from which on a caller's packet counts as full.  The packet
#: after a full one may hold the rest of the same request.
FULL_PACKET_OCTETS: Final = 1200

#: A request in flight for this multiple of the mean response time, and at
#: least so many seconds, is overdue and no longer counts against the capacity
#: of its upstream: it may never be answered, and would leave a slot unused.  If
#: it only takes long, one more request waits at the upstream rather than here.
#: While the upstream has sent no response for as long, all requests count: what
#: is sent to an upstream that hangs is lost, and what is queued here may still
#: be answered.
OVERDUE_RESPONSE_FACTOR: Final = 6
MIN_OVERDUE_SECONDS: Final = 0.3

#: A request queued for longer than this is starved, and may go before all
#: others.  Most routes have shorter targets, so its response is usually late,
#: but it gets one.
STARVED_SECONDS: Final = 0.5

#: While requests are starved, one in so many requests sent to the upstream is a
#: starved one.  A lower number serves starved requests sooner, and makes more
#: of the others late.
STARVED_INTERVAL: Final = 32

#: Waiting times are measured by priority up to this number; those of lower
#: priorities are counted under it as well.
MAX_COUNTED_PRIORITY: Final = 3
