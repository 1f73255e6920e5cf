"""Default values of early refusal, and the reasons for them."""

from typing import Final

__all__ = (
    'MIN_RESPONSES',
    'MIN_LOAD_SECONDS',
    'HANDSHAKE_SECONDS',
    'FIRST_TRY_LATE_SHARE',
    'LOAD_WINDOW_SECONDS',
    'MARGIN_SERVICE_TIMES',
    'MAX_HIGHER_PRIORITY_LOAD',
    'HIGHER_PRIORITY_WINDOW_SECONDS',
    'RESPONSE_INTERVAL_WEIGHT',
    'OVERLOAD_SECONDS',
    'REFUSED_WEIGHT',
    'RESCUE_SHARE',
    'RETRY_AGE_MS',
    'LATE_EXCESS_FACTOR',
)

#: Responses of a fully used upstream that are needed before any request is
#: refused.  Fewer say too little about how long requests take.
MIN_RESPONSES: Final = 10

#: Weight of the latest response in the mean response interval.  An upstream
#: that turned slow sends twenty responses in half a second, which is a
#: fraction of the time that callers wait.
RESPONSE_INTERVAL_WEIGHT: Final = 0.05

#: The arrivals of so many seconds predict how many requests of a higher
#: priority will overtake a queued one.
HIGHER_PRIORITY_WINDOW_SECONDS: Final = 1.0

#: If requests of a higher priority use this share of the upstream or more, too
#: little is left to predict a start for the others.
MAX_HIGHER_PRIORITY_LOAD: Final = 0.95

#: The arrivals of so many seconds give the usual load.  A burst of a few
#: seconds changes it little, so late requests can count on the capacity that
#: is free after a burst.
LOAD_WINDOW_SECONDS: Final = 30.0

#: The demand since the start of this process counts as if it had arrived over
#: at least so many seconds.  After an outage all callers return at once, and
#: nobody would be served if they counted as the usual load.
MIN_LOAD_SECONDS: Final = 5.0

#: Late requests are refused only if they exceed the capacity that the usual
#: load leaves by this factor.  After a short burst it is better to serve
#: callers late than to refuse them.
LATE_EXCESS_FACTOR: Final = 6.0

#: Safety margin before the deadline of first tries, in multiples of the
#: service time.  Service times vary, and retries after a refusal may use the
#: margin.
MARGIN_SERVICE_TIMES: Final = 1.5

#: Share of the capacity for late requests that first tries may use.  The
#: remaining share is for callers that were refused before.
FIRST_TRY_LATE_SHARE: Final = 0.5

#: A new flow without its request for so many seconds does not count as queued:
#: a caller that is still there sends the request within a round trip.
HANDSHAKE_SECONDS: Final = 0.25

#: For so many seconds after a refusal, capacity is considered insufficient.
OVERLOAD_SECONDS: Final = 1.0

#: Weight of a refused flow in the load.  It is counted by each agent that was
#: asked; their number is ``MIN_LATE_DECLINES`` of the balancer.
REFUSED_WEIGHT: Final = 1 / 3

#: A request first made at least so many milliseconds ago is a retry after a
#: refusal.  To ask several agents takes a balancer only a few milliseconds,
#: and callers pause for longer before they retry.
RETRY_AGE_MS: Final = 50

#: Share of the responses for late requests whose callers are about to leave,
#: and which go before others.  A larger share would make as many others late.
RESCUE_SHARE: Final = 0.2
