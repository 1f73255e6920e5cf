"""Default values for following the store, each with its reason."""

from typing import Final

__all__ = (
    'BEHIND_TOLERANCE_SECONDS',
    'MIN_ENTRY_LIFETIME_SECONDS',
    'ENTRY_RECOVERY_SECONDS',
    'FIRST_PAGE_TIMEOUT_SECONDS',
    'STARTUP_RETRY_MAX_SECONDS',
    'BATCH_PAUSE_SECONDS',
    'MAX_RECENT_CHANGES',
    'PEER_FETCH_SECONDS',
    'MAX_PEER_FETCHES',
    'PEER_FAILURE_SECONDS',
    'MAX_PEERS_AHEAD',
    'PROBE_WAIT_SECONDS',
    'READER_COUNT',
    'CANDIDATE_COUNT',
    'RELAY_ROUND_SECONDS',
    'READER_CHECK_SECONDS',
    'MAX_DECISION_GAP_SECONDS',
    'CLAIM_TTL_SECONDS',
    'READER_STAGGER_SECONDS',
    'RETRY_FIRST_SECONDS',
    'RETRY_MAX_SECONDS',
    'WATCH_WAIT_SECONDS',
)

#: A peer that has been ahead for this time is queried even if the store seems
#: to respond: a watch may be silent for a second before it is aborted.
BEHIND_TOLERANCE_SECONDS: Final = 1.0

#: Minimum time from the first write of an entry to its expiry: upstreams write
#: every 1.2 s and may miss three reports.  Slightly less than that, because
#: clocks differ.
MIN_ENTRY_LIFETIME_SECONDS: Final = 3.0

#: Entries of live upstreams that expired while the store was unavailable are
#: back within about 2 s of its recovery, according to the platform; this adds
#: a margin of a quarter.
ENTRY_RECOVERY_SECONDS: Final = 2.5

#: Before the first catalog no caller is served, so a first page that has not
#: arrived after this time is requested again on another connection, while the
#: earlier requests stay pending.  50 response times of the store.  If more than
#: READER_COUNT processes start, each waits longer: the first one that gets a
#: response informs the others.
FIRST_PAGE_TIMEOUT_SECONDS: Final = 0.2

#: Maximum pause after failed requests before the first catalog.
STARTUP_RETRY_MAX_SECONDS: Final = 0.2

#: Pause before the next watch, so that concurrent changes are read with one
#: request.  Changes, including drains, must be in force within 3 s.
BATCH_PAUSE_SECONDS: Final = 0.3

#: Maximum wait of one watch.  A connection may go silent permanently while its
#: peer still acknowledges octets; only the missing response reveals it.  With
#: the additional second that the store may take, a lost watch is detected
#: after 2 s, and changes must be in force within 3 s.
WATCH_WAIT_SECONDS: Final = 1.0

#: Wait of the first watch after a failed request, short in order to find out
#: quickly whether the store responds at all.
PROBE_WAIT_SECONDS: Final = 0.05

#: Number of processes that read the store for all.  According to the platform
#: two may be cut off at once; a third serves the others until that is detected.
READER_COUNT: Final = 3

#: Number of processes of highest rank that read the store or take over from
#: readers that are lost.  They send to each other twice per second, 8 messages
#: of 112 octets including headers each, which are 1.8 KB/s.
CANDIDATE_COUNT: Final = 9

#: Time after which the claim of a reader expires at candidates, which hear it
#: directly: three messages.
CLAIM_TTL_SECONDS: Final = 1.6

#: Additional time after which a relayed claim expires, for each doubling of the
#: number of processes.
RELAY_ROUND_SECONDS: Final = 0.5

#: Pause between two decisions whether to read.  It adds to the time without a
#: reader after a loss.
READER_CHECK_SECONDS: Final = 0.1

#: A longer time between two decisions means that this process stood still.
MAX_DECISION_GAP_SECONDS: Final = 1.2

#: Delay by which each lower rank waits longer before it starts to read in place
#: of higher ranks that do not; the claim of a new reader arrives within half a
#: second.
READER_STAGGER_SECONDS: Final = 0.6

#: Maximum recent changes kept for followers; a follower that missed more
#: fetches all entries.
MAX_RECENT_CHANGES: Final = 512

#: First pause after a failed request; about ten response times of the store.
RETRY_FIRST_SECONDS: Final = 0.1

#: Maximum pause after failed requests if READER_COUNT processes or fewer try.
#: The recovery of the store should be detected within a second, because expired
#: entries are back within two.  If more processes try, each pauses longer, so
#: that the total rate of requests stays the same.
RETRY_MAX_SECONDS: Final = 0.8

#: Minimum interval between fetches of a later catalog from peers.  If a peer
#: has not answered by then, another one is asked as well.
PEER_FETCH_SECONDS: Final = 0.2

#: Maximum number of peers whose catalogs are awaited at once.
MAX_PEER_FETCHES: Final = 3

#: How long peers are preferred to one from which a fetch failed.
PEER_FAILURE_SECONDS: Final = 2.0

#: Maximum number of peers that are remembered as ahead.
MAX_PEERS_AHEAD: Final = 8
