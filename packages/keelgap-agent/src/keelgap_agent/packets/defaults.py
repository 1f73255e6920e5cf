"""Default values of the packet agent, and the reasons for them."""

from typing import Final

__all__ = (
    'ANSWER_TIME_WEIGHT',
    'NOTICE_RETRY_SECONDS',
    'WARM_UP_WINDOW_SECONDS',
    'COVERAGE_UPDATE_SECONDS',
    'COVERAGE_TIMEOUT_SECONDS',
    'ENDED_FLOW_SECONDS',
    'PREFETCH_COUNT',
    'MIN_SERVICE_TIME_SAMPLES',
    'FIRST_ERROR_STATUS',
    'MIN_SAMPLES_TO_CAP',
    'STARTUP_REGISTER_SECONDS',
    'INITIAL_SLOTS',
    'MAX_FLOW_AGE_SECONDS',
    'MAX_ROUTE_SERVICES',
    'ROUTE_SERVICE_SECONDS',
    'IDLE_FLOW_SECONDS',
    'MAX_QUEUED_PER_SLOT',
    'MAX_FLOWS',
    'RESYNC_DELAY_SECONDS',
    'MAX_QUEUED_PACKETS',
    'MAX_REGISTERED_FLOWS',
    'MAX_LOGGED_REQUESTS',
    'MAX_PENDING_OPENINGS',
    'MAX_SAMPLE_RATIO',
    'UNANSWERED_OPENING_SECONDS',
    'OUTAGE_PAUSE_SECONDS',
    'SERVICE_TIME_SAMPLES',
    'REGISTRATION_GENERATION_SECONDS',
    'REGISTER_INTERVAL_SECONDS',
    'STREAM_RENEWAL_SECONDS',
    'MAX_REPORT_INTERVAL_SECONDS',
    'MIN_REPORT_INTERVAL_SECONDS',
    'LAST_CHANCE_SECONDS',
    'SHUTDOWN_TIMEOUT_SECONDS',
    'SUBSCRIPTION_SECONDS',
    'SWEEP_INTERVAL_SECONDS',
    'TIMER_SECONDS',
    'WATCHER_TIMEOUT_SECONDS',
)

#: Interval of the timer, and shortest interval between reports to a balancer.
TIMER_SECONDS: Final = 0.05
MIN_REPORT_INTERVAL_SECONDS: Final = 0.05

#: Longest interval between reports; balancers expect them as a sign of life.
MAX_REPORT_INTERVAL_SECONDS: Final = 0.25

#: How long a balancer gets reports after its last HELLO, which it sends every
#: second.
SUBSCRIPTION_SECONDS: Final = 3.0

#: Weight of the latest answer in the moving average of the time to an answer.
ANSWER_TIME_WEIGHT: Final = 0.2

#: Number of answers over which the service time is averaged.  Within a route
#: the standard deviation is about the mean, so the mean of 32 answers is
#: accurate to a fifth; an upstream that becomes slow is detected after as many.
SERVICE_TIME_SAMPLES: Final = 32

#: The service time is not reported with fewer answers: a few long requests
#: would divert callers from the upstream.
MIN_SERVICE_TIME_SAMPLES: Final = 16

#: Number of answers from which on an unusually long request is recognized.
MIN_SAMPLES_TO_CAP: Final = 4

#: A sample is capped at this multiple of the mean: if one request in thirty
#: takes seven times as long, equal upstreams would seem different.  An upstream
#: that becomes five times as slow is detected after 26 answers.
MAX_SAMPLE_RATIO: Final = 3

#: Answers with this status or above mean that the request failed or was
#: refused, so they say nothing about the service time.
FIRST_ERROR_STATUS: Final = 400

#: Window in which new flows are counted during warm-up.  The operators' limit
#: applies to any second; a tenth is added for packets that overtake others
#: between this process and its upstream.
WARM_UP_WINDOW_SECONDS: Final = 1.1

#: Interval between sweeps of the flow table.
SWEEP_INTERVAL_SECONDS: Final = 1.0

#: A flow whose opening packet the upstream has not answered is removed after
#: this: its caller gives up after 1.4 s.
UNANSWERED_OPENING_SECONDS: Final = 2.0

#: How long a flow that was closed or reset is kept for late packets.
ENDED_FLOW_SECONDS: Final = 2.0

#: Flows are removed after this time without a packet.  If a flow is still open,
#: its next packet is forwarded to the upstream, which decides.
IDLE_FLOW_SECONDS: Final = 60.0

#: Slots assumed until a balancer tells how many the upstream has.
INITIAL_SLOTS: Final = 4

#: Requests forwarded beyond the number of slots, so that the upstream has its
#: next request ready when it finishes one.
PREFETCH_COUNT: Final = 1

#: Maximum number of queued requests per slot of the upstream.  It limits
#: memory, to 46 MB for eight slots if all are uploads.  1.5 s of requests of 5
#: ms each fill the queue.  With a shorter one, callers refused after an outage
#: would be gone before there is capacity for them.
MAX_QUEUED_PER_SLOT: Final = 300

#: Opening packets after a pause of this length are taken for the first after an
#: outage: callers retransmit theirs within 0.8 s.
OUTAGE_PAUSE_SECONDS: Final = 1.0

#: A caller that waited through an outage is served before all others when it
#: may leave within this time, which is about the duration of the longest
#: answers.
LAST_CHANCE_SECONDS: Final = 0.3

#: Packets kept of a queued request; callers send no more without an answer.
MAX_QUEUED_PACKETS: Final = 16

#: Unanswered requests of one flow that are kept for the log.
MAX_LOGGED_REQUESTS: Final = 8

#: Maximum size of the flow table; an upstream has 2,000 flows.  Beyond it
#: new flows are returned to their balancers.
MAX_FLOWS: Final = 20000

#: Interval between registrations with a directory node, even if empty.
REGISTER_INTERVAL_SECONDS: Final = 1.0

#: In the first second of the agent, the interval is this times the number of
#: shards: after an outage nodes start at any moment, and dead flows are reset
#: only after the registrations that they missed.  At 1,000 upstreams, a node
#: gets 1,250 registrations per second.
STARTUP_REGISTER_SECONDS: Final = 0.1

#: A directory node covers an agent for this long after its last registration,
#: so that a single one may be lost.
COVERAGE_TIMEOUT_SECONDS: Final = 2.5

#: All flows are registered again at this interval, so that flows that outlive
#: their entries in the directory stay in it.
STREAM_RENEWAL_SECONDS: Final = 50.0

#: Period of one generation of registered flows; a directory node drops a flow
#: after one to two periods.
REGISTRATION_GENERATION_SECONDS: Final = 65.0

#: A directory node waits this long before it requests all flows of an agent
#: whose registrations have a gap: the datagrams of one list arrive within a few
#: milliseconds.
RESYNC_DELAY_SECONDS: Final = 0.15

#: Interval between requests for the first notice of a balancer.
NOTICE_RETRY_SECONDS: Final = 0.05

#: Maximum number of opening packets that wait for the first notice: as many as
#: arrive in a second, within which a balancer is certain to reply.
MAX_PENDING_OPENINGS: Final = 1000

#: Minimum interval between updates of the agents that a directory node covers.
#: It limits the processor time of lookups, and delays the reset of a dead flow
#: by up to as much.
COVERAGE_UPDATE_SECONDS: Final = 0.05

#: How long after a lookup a balancer is notified of changes of the coverage,
#: which it may need to decide whether a flow is dead.
WATCHER_TIMEOUT_SECONDS: Final = 0.5

#: Flows older than this have ended: the platform allows to discard those of
#: 60 s.
MAX_FLOW_AGE_SECONDS: Final = 75.0

#: How long a service counts as holding flows of a route after a balancer told
#: so: the maximum age of these flows, and some pauses between two messages.
ROUTE_SERVICE_SECONDS: Final = 90.0

#: Maximum number of pairs of a route and such a service.  At 200 octets each
#: this is 0.8 MB.
MAX_ROUTE_SERVICES: Final = 4096

#: Maximum number of flows registered by other agents.  At 200 octets each they
#: take 10 MB of the 64 MB that a node may use.  64 agents with 14 new flows per
#: second each register 58,000 flows in the 65 s of a generation.
MAX_REGISTERED_FLOWS: Final = 50000

#: Longest graceful shutdown; the platform kills the process after 6 s.
SHUTDOWN_TIMEOUT_SECONDS: Final = 4.0
