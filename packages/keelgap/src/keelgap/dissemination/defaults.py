"""Default values of dissemination, each with its reason."""

from typing import Final

__all__ = (
    'ANTI_ENTROPY_SECONDS',
    'ANTI_ENTROPY_SPREAD',
    'FALLBACK_SECONDS',
    'FETCH_RETRY_SECONDS',
    'HISTORY',
    'JOIN_SECONDS',
    'LOCAL_NEIGHBOURS',
    'MAX_PUSHED',
    'READER_COUNT',
    'REMOTE_NEIGHBOURS',
    'TIMER_SECONDS',
)

#: Readers in each availability zone: one may fail without a gap.
READER_COUNT: Final = 2

#: Neighbours in the own availability zone.  They are fixed while the list of
#: instances is, so that connections stay open.
LOCAL_NEIGHBOURS: Final = 4

#: Neighbours in other availability zones.
REMOTE_NEIGHBOURS: Final = 2

#: Pause between exchanges of versions with one neighbour, which repair what
#: a lost push left behind.
ANTI_ENTROPY_SECONDS: Final = 1.0

#: Factors between which that pause varies, so that processes spread out.
ANTI_ENTROPY_SPREAD: Final = (0.7, 1.3)

#: A fetch without an answer may be repeated after this time.
FETCH_RETRY_SECONDS: Final = 0.5

#: Deltas kept for each document, to serve those who missed some.
HISTORY: Final = 32

#: Longest delta that is pushed unasked, in octets.
MAX_PUSHED: Final = 4096

#: How long a joiner waits for its peers before it goes by what it has.
JOIN_SECONDS: Final = 1.0

#: A process that heard no peer for this time reads the service itself.
FALLBACK_SECONDS: Final = 10.0

#: Period of the driver's timer.
TIMER_SECONDS: Final = 0.1
