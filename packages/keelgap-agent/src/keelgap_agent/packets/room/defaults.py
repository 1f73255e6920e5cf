"""Default values of early refusal, each with its reason."""

from typing import Final

__all__ = (
    'FEWEST_ANSWERS',
    'FEWEST_LOAD_SECONDS',
    'HANDSHAKE_SECONDS',
    'LATE_SHARE',
    'LOAD_SECONDS',
    'MARGIN_WORKS',
    'MOST_HIGHER_LOAD',
    'OVERTAKING_SECONDS',
    'PACE_WEIGHT',
    'PRESSED_SECONDS',
    'REFUSED_WEIGHT',
    'RESCUE_SHARE',
    'RETRY_AGE_MS',
    'SURE_FACTOR',
)

#: Answers of an upstream at work all the time that must have been seen before
#: anybody is refused: fewer say too little of how long requests take.
FEWEST_ANSWERS: Final = 10

#: Weight of the latest answer in the pace.  Twenty answers are half a second
#: of an upstream that turned slow, a fraction of what callers wait.
PACE_WEIGHT: Final = 0.05

#: Arrivals of the last second tell how many more urgent ones will overtake.
OVERTAKING_SECONDS: Final = 1.0

#: More urgent ones that take so much of the upstream leave nothing to plan
#: with for the others.
MOST_HIGHER_LOAD: Final = 0.95

#: Arrivals in this span tell the usual load: a burst of a few seconds does
#: not change it much, and room after a burst is what late callers get.
LOAD_SECONDS: Final = 30.0

#: What was asked for since a start counts as if it had come in so many
#: seconds: after an outage all callers return at once, and nobody would be
#: served if they were taken for the usual load.
FEWEST_LOAD_SECONDS: Final = 5.0

#: Late requests are refused only when they exceed the late places that the
#: usual load leaves by this factor: after a short burst callers are better
#: served late than refused.
SURE_FACTOR: Final = 6.0

#: Time kept free ahead of those who ask for the first time, in requests'
#: work.  Work varies, and who comes back after a refusal may use it.
MARGIN_WORKS: Final = 1.5

#: Share of the room for late answers that callers may take who were not
#: refused before.
LATE_SHARE: Final = 0.5

#: A flow without its request for so long does not count as waiting: its
#: caller answers within a round trip if it is there.
HANDSHAKE_SECONDS: Final = 0.25

#: Refusals so long ago still mean that there is too little room.
PRESSED_SECONDS: Final = 1.0

#: What a refusal counts for in the load: a refused flow is counted at each
#: agent that was asked, ``FEWEST_WITHOUT_TIME`` of the balancer.
REFUSED_WEIGHT: Final = 1 / 3

#: Who has asked for so long was refused before: asking several agents takes
#: some milliseconds, and callers pause for longer.
RETRY_AGE_MS: Final = 50

#: Share of the answers that late requests about to leave get before others.
#: More would make as many others late.
RESCUE_SHARE: Final = 0.2
