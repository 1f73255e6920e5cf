"""Default values of outlier ejection, each with its reason."""

from typing import Final

from keelgap.packets import trials

__all__ = (
    'CEILING',
    'EJECTION_SCORE',
    'ERROR_WEIGHT',
    'FORCED_HOP',
    'GIVEN_UP_SECONDS',
    'GOOD_WEIGHT',
    'GRACE_SECONDS',
    'LAST_RESORT_SECONDS',
    'LONGEST_BAD_WAIT_SECONDS',
    'LONGEST_SILENCE_SECONDS',
    'LONGEST_WAIT_SECONDS',
    'LOST_WEIGHT',
    'MAX_GIVEN_UP',
    'MAX_ROUTES',
    'MAX_TRIALS',
    'ONE_ROUTE_SCORE',
    'OPENING_SILENCE_SECONDS',
    'OTHER_ROUTE_ANSWERS',
    'OTHER_ROUTE_SECONDS',
    'OVERTAKEN_ANSWERS',
    'PAUSE_SECONDS',
    'REFUSED_WEIGHT',
    'REMEMBERED_SECONDS',
    'RETURN_ANSWERS',
    'RETURN_SCORE',
    'SHORTEST_SILENCE_SECONDS',
    'SHORTEST_WAIT_SECONDS',
    'SILENCE_ANSWERS',
    'SLOW_ANSWERS',
    'TRIAL_SECONDS',
)

#: What a lost request proves: the log-likelihood ratio of an upstream that
#: fails two requests in five against one that fails one in fifty, ln(0.4 /
#: 0.02).  Its caller may not repeat it, so it weighs most.
LOST_WEIGHT: Final = 3.0

#: A 5xx answer: the application may be to blame.
ERROR_WEIGHT: Final = 2.0

#: An upstream with free slots that says it has not run a request: its caller
#: loses a try only.
REFUSED_WEIGHT: Final = 1.5

#: What a good answer takes off, by the same ratio: ln(0.98 / 0.6).
GOOD_WEIGHT: Final = 0.5

#: An upstream is ejected from this on: two lost requests without an answer
#: between, three errors, never one.
EJECTION_SCORE: Final = 5.5

#: The score goes no higher, so that what is remembered of a bad time is
#: bounded.
CEILING: Final = 11.0

#: Errors of one route prove no more than this while others are answered well.
ONE_ROUTE_SCORE: Final = 4.0

#: Good answers in a row, and how recent, that show that another route is
#: served: an upstream that fails two requests in five rarely gives as many.
OTHER_ROUTE_ANSWERS: Final = 3
OTHER_ROUTE_SECONDS: Final = 5.0

#: Routes with a score of their own; others share the last one.
MAX_ROUTES: Final = 64

#: A request without an answer is lost after so many usual times to an answer,
#: within these bounds: callers wait two seconds and more, and those who would
#: come next must be spared before that.  The longest holds also until the
#: first answers show what is usual.
SILENCE_ANSWERS: Final = 8
SHORTEST_SILENCE_SECONDS: Final = 0.8
LONGEST_SILENCE_SECONDS: Final = 1.5

#: But never before so many usual times: an upstream at a quarter of its pace
#: is slow, and its callers wait for it longer.
SLOW_ANSWERS: Final = 5

#: Where others are answered, a silent request counts once so many answers
#: more than there were requests before it have come: it was overtaken.
OVERTAKEN_ANSWERS: Final = 4

#: An opening packet is answered at once by the upstream, which shares its
#: machine with this agent; callers repeat it after 0.2 s and leave after
#: 1.4 s, so another upstream can still take them.
OPENING_SILENCE_SECONDS: Final = 0.3

#: The programs of a machine start together, and the upstream may need longer:
#: so soon after the start of this process silent openings prove nothing.
GRACE_SECONDS: Final = 3.0

#: If this process itself did not run for so long, silence proves nothing.
PAUSE_SECONDS: Final = 0.25

#: First and longest wait before an ejected upstream is tried again.
SHORTEST_WAIT_SECONDS: Final = 1.0
LONGEST_WAIT_SECONDS: Final = 8.0

#: Longest wait after a trial that was answered badly, or not opened.  That
#: costs a caller one try of a request that it may repeat, or a part of a
#: second; a request without an answer costs it all its time.
LONGEST_BAD_WAIT_SECONDS: Final = 2.0

#: An upstream that is ejected so soon after its return waits longer.
REMEMBERED_SECONDS: Final = 8.0

#: Requests of a trial at once, at most; it begins with one.
MAX_TRIALS: Final = 4

#: Good answers in a row that end an ejection: three in a hundred upstreams
#: that fail two requests in five give as many.
RETURN_ANSWERS: Final = 7

#: Score after a return: the next lost request ejects again.
RETURN_SCORE: Final = 2.75

#: Where no repeatable request comes for a trial within this, an ordinary one
#: is taken.
LAST_RESORT_SECONDS: Final = trials.LAST_RESORT_SECONDS

#: A request of a trial that has no outcome after so long had a caller that
#: left without a word; or after twice the time in which it would be found
#: silent, if that is longer.
TRIAL_SECONDS: Final = 4.0

#: An opening packet that so many agents gave back is taken: if most
#: upstreams fail, none is ejected.
FORCED_HOP: Final = trials.FORCED_HOP

#: Flows given up that are remembered, 300 octets each, and for how long: no
#: request lasts longer, so callers repeat their packets for no longer.
MAX_GIVEN_UP: Final = 2000
GIVEN_UP_SECONDS: Final = 30.0
