"""Default values for dissemination."""

from typing import Final

__all__ = (
    'ANTI_ENTROPY_SECONDS',
    'ANTI_ENTROPY_SPREAD',
    'PEER_TIMEOUT_SECONDS',
    'FETCH_RETRY_SECONDS',
    'MAX_DELTA_HISTORY',
    'JOIN_TIMEOUT_SECONDS',
    'LOCAL_NEIGHBOURS',
    'MAX_PUSHED_DELTA_LENGTH',
    'READER_COUNT',
    'READER_SILENCE_SECONDS',
    'READER_SILENCE_DOUBLING_SECONDS',
    'READER_STAGGER_SECONDS',
    'MAX_TIMER_GAP_SECONDS',
    'REMOTE_NEIGHBOURS',
    'TIMER_SECONDS',
)

#: Readers in each availability zone; with two, one may fail without a gap in
#: reading.
READER_COUNT: Final = 2

#: Neighbours in the own availability zone.  They do not change while the list
#: of instances is unchanged, so that connections stay open.
LOCAL_NEIGHBOURS: Final = 4

#: Neighbours in other availability zones.
REMOTE_NEIGHBOURS: Final = 2

#: A process stands in for the readers if none has been heard of for this time
#: and a further one for each doubling of the number of processes, which tell
#: each other in every exchange.
READER_SILENCE_SECONDS: Final = 4.0
READER_SILENCE_DOUBLING_SECONDS: Final = 0.5

#: Delay by which processes of each later turn wait longer before they stand in.
READER_STAGGER_SECONDS: Final = 2.0

#: A longer time between two timers means that this process stood still.
MAX_TIMER_GAP_SECONDS: Final = 2.0

#: Interval between exchanges of versions with a random neighbour, which
#: recover from lost pushes.
ANTI_ENTROPY_SECONDS: Final = 1.0

#: Bounds of the random factor on that interval, which prevents processes from
#: exchanging versions in step.
ANTI_ENTROPY_SPREAD: Final = (0.7, 1.3)

#: An unanswered fetch may be repeated after this time.
FETCH_RETRY_SECONDS: Final = 0.5

#: Deltas kept for each document, for peers that missed some.
MAX_DELTA_HISTORY: Final = 32

#: Maximum length in octets of the deltas that are sent without a request.
MAX_PUSHED_DELTA_LENGTH: Final = 4096

#: How long a joining process waits for its peers before it puts in force what
#: it holds.
JOIN_TIMEOUT_SECONDS: Final = 1.0

#: A process that received no message from a peer for this time reads the
#: configuration service itself.
PEER_TIMEOUT_SECONDS: Final = 10.0

#: Period of the driver's timer.
TIMER_SECONDS: Final = 0.1
