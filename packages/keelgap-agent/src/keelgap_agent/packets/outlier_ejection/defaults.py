"""Default values of outlier ejection, and the reasons for them."""

from typing import Final

from keelgap.packets import trials

__all__ = (
    'MAX_SCORE',
    'EJECTION_SCORE',
    'ERROR_WEIGHT',
    'FORCED_ACCEPT_HOP',
    'ABANDONED_SECONDS',
    'SUCCESS_WEIGHT',
    'STARTUP_GRACE_SECONDS',
    'LAST_RESORT_SECONDS',
    'MAX_ERROR_WAIT_SECONDS',
    'MAX_RESPONSE_TIMEOUT_SECONDS',
    'MAX_WAIT_SECONDS',
    'LOST_WEIGHT',
    'MAX_ABANDONED',
    'MAX_ROUTES',
    'MAX_TRIALS',
    'MAX_SINGLE_ROUTE_SCORE',
    'OPENING_TIMEOUT_SECONDS',
    'SERVED_ROUTE_RESPONSES',
    'SERVED_ROUTE_SECONDS',
    'OVERTAKING_RESPONSES',
    'PROCESS_PAUSE_SECONDS',
    'REFUSED_WEIGHT',
    'RELAPSE_SECONDS',
    'RETURN_RESPONSES',
    'RETURN_SCORE',
    'MIN_RESPONSE_TIMEOUT_SECONDS',
    'MIN_WAIT_SECONDS',
    'RESPONSE_TIMEOUT_FACTOR',
    'SLOW_RESPONSE_FACTOR',
    'TRIAL_TIMEOUT_SECONDS',
)

#: Weight of a lost request: the log-likelihood ratio of an upstream that fails
#: two requests in five against one that fails one in fifty, ln(0.4 / 0.02).
#: A lost request weighs most, since its caller may not be able to repeat it.
LOST_WEIGHT: Final = 3.0

#: Weight of a 5xx response; lower, since the application may be the cause.
ERROR_WEIGHT: Final = 2.0

#: Weight of a refusal by an upstream with free slots; lowest, since the
#: request was not run and its caller loses no more than one try.
REFUSED_WEIGHT: Final = 1.5

#: Subtracted for a good response, by the same ratio: ln(0.98 / 0.6).
SUCCESS_WEIGHT: Final = 0.5

#: An upstream is ejected at this score: after two lost requests without a
#: response in between, or three errors, but never after a single failure.
EJECTION_SCORE: Final = 5.5

#: Upper bound of each sum, which limits how long a bad period has an effect.
MAX_SCORE: Final = 11.0

#: Upper bound of one route's errors while another route is served.
MAX_SINGLE_ROUTE_SCORE: Final = 4.0

#: A route counts as served after so many consecutive good responses, of which
#: the latest is at most so many seconds old.  An upstream that fails two
#: requests in five rarely gives as many.
SERVED_ROUTE_RESPONSES: Final = 3
SERVED_ROUTE_SECONDS: Final = 5.0

#: Number of routes with a score of their own; all others share the last one.
MAX_ROUTES: Final = 64

#: A request without a response counts as lost after this multiple of the mean
#: response time, within these bounds in seconds.  Callers wait for two seconds
#: or more, and an unresponsive upstream must be ejected earlier to spare the
#: next ones.  The upper bound also applies until the first response shows the
#: usual time.
RESPONSE_TIMEOUT_FACTOR: Final = 8
MIN_RESPONSE_TIMEOUT_SECONDS: Final = 0.8
MAX_RESPONSE_TIMEOUT_SECONDS: Final = 1.5

#: A request never counts as lost before this multiple of the mean response
#: time, which may raise the upper bound: an upstream at a quarter of its usual
#: speed is only slow, and its callers wait for longer.
SLOW_RESPONSE_FACTOR: Final = 5

#: If the upstream still responds to other requests, a late request counts as
#: silent only when it was overtaken: when so many more responses arrived than
#: twice the number of requests that were in flight before it.
OVERTAKING_RESPONSES: Final = 4

#: Seconds after which an opening packet without a reply counts as a failure.
#: The upstream runs on the same instance as this agent and replies at once.
#: Callers repeat the packet after 0.2 s and give up after 1.4 s, so another
#: upstream can still accept them.
OPENING_TIMEOUT_SECONDS: Final = 0.3

#: For so many seconds after the start of this process, opening packets without
#: a reply prove nothing: the processes of an instance start together, and the
#: upstream may take longer.
STARTUP_GRACE_SECONDS: Final = 3.0

#: After a pause of this process of so many seconds, missing responses prove
#: nothing.
PROCESS_PAUSE_SECONDS: Final = 0.25

#: Seconds before an ejected upstream gets a trial: the first time, and at
#: most.  The wait doubles with each failure.
MIN_WAIT_SECONDS: Final = 1.0
MAX_WAIT_SECONDS: Final = 8.0

#: Upper bound of the wait after a trial that got an error or was not opened.
#: Such a trial costs its caller one try of a request that it may repeat, or a
#: fraction of a second; a request without a response costs all of its time.
MAX_ERROR_WAIT_SECONDS: Final = 2.0

#: An upstream that is ejected again within so many seconds after its return
#: waits longer than the last time.
RELAPSE_SECONDS: Final = 8.0

#: Upper bound of concurrent trials.  It starts at one, and grows by one with
#: each good response.
MAX_TRIALS: Final = 4

#: Consecutive good responses that end an ejection.  Of upstreams that fail two
#: requests in five, three in a hundred give as many.
RETURN_RESPONSES: Final = 7

#: Score after a return, from which a single lost request ejects again.
RETURN_SCORE: Final = 2.75

#: If no request that may be repeated arrives for a trial within this time, any
#: request is used.
LAST_RESORT_SECONDS: Final = trials.LAST_RESORT_SECONDS

#: A trial without an outcome is dropped after so many seconds, or after twice
#: the response timeout if that is longer: its caller has left without closing
#: the flow.
TRIAL_TIMEOUT_SECONDS: Final = 4.0

#: An opening packet that so many agents have returned is accepted: if most
#: upstreams fail, none of them is left out.
FORCED_ACCEPT_HOP: Final = trials.FORCED_ACCEPT_HOP

#: Upper bound of abandoned flows that are remembered, at 300 octets each, and
#: the seconds for which they are.  No request lasts longer, so callers repeat
#: their packets for no longer.
MAX_ABANDONED: Final = 2000
ABANDONED_SECONDS: Final = 30.0
