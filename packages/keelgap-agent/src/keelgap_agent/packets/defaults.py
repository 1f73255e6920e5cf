"""Default values of the packet agent, each with its reason."""

from typing import Final

__all__ = (
    'ANSWER_WEIGHT',
    'ASK_NOTICE_SECONDS',
    'COLD_WINDOW_SECONDS',
    'COUNT_SECONDS',
    'COVERED_SECONDS',
    'ENDED_SECONDS',
    'EXTRA_SLOTS',
    'FEWEST_PACE_SAMPLES',
    'FIRST_UNSERVED_STATUS',
    'FIRST_PACE_SAMPLES',
    'FIRST_REGISTER_SECONDS',
    'FIRST_SLOTS',
    'FLOW_LIFE_SECONDS',
    'FLOW_SECONDS',
    'HELD_PER_SLOT',
    'MAX_FLOWS',
    'LAG_SECONDS',
    'MAX_HELD_PACKETS',
    'MAX_REGISTERED',
    'MAX_SEEN_REQUESTS',
    'MAX_UNTOLD',
    'MOST_PACE_SAMPLE',
    'OFFER_SECONDS',
    'OUTAGE_SECONDS',
    'PACE_SAMPLES',
    'REGISTERED_SECONDS',
    'REGISTER_SECONDS',
    'RENEW_SECONDS',
    'REPORT_IDLE_SECONDS',
    'REPORT_SECONDS',
    'RESCUE_SECONDS',
    'STOP_SECONDS',
    'SUBSCRIBED_SECONDS',
    'SWEEP_SECONDS',
    'TIMER_SECONDS',
    'WATCH_SECONDS',
)

#: Period of the timer, and shortest pause between reports to a balancer.
TIMER_SECONDS: Final = 0.05
REPORT_SECONDS: Final = 0.05

#: Longest pause between reports, from which balancers tell that it lives.
REPORT_IDLE_SECONDS: Final = 0.25

#: A balancer gets reports for so long after its last greeting, which comes
#: every second.
SUBSCRIBED_SECONDS: Final = 3.0

#: Weight of the latest answer in the mean time to an answer.
ANSWER_WEIGHT: Final = 0.2

#: Answers over which the work of a request is averaged.  Requests of one
#: route differ by as much as their mean, so that the mean of 32 is right within
#: a fifth; an upstream that turns slow is known after as many.
PACE_SAMPLES: Final = 32

#: With fewer answers the upstream's pace is not told: callers would be sent
#: away for a few requests that took long.
FEWEST_PACE_SAMPLES: Final = 16

#: After so many answers one can tell that a request took unusually long.
FIRST_PACE_SAMPLES: Final = 4

#: A request counts as at most so many times the mean: one in thirty that runs
#: for seven times as long would make alike upstreams look unlike.  One that
#: turns five times as slow is known after 26 answers.
MOST_PACE_SAMPLE: Final = 3

#: Answers from this status on show that a request failed or was refused, and
#: not how long one takes that is served.
FIRST_UNSERVED_STATUS: Final = 400

#: Span in which new flows of a cold upstream are counted.  The operators'
#: bound is on any second; a tenth more is for packets that overtake others
#: between this process and its upstream.
COLD_WINDOW_SECONDS: Final = 1.1

#: Pause between sweeps of the flow table.
SWEEP_SECONDS: Final = 1.0

#: An opening packet that the upstream did not answer for so long is
#: forgotten: its sender gives up after 1.4 s.
OFFER_SECONDS: Final = 2.0

#: A flow that both ends closed, or one reset, is kept for late packets.
ENDED_SECONDS: Final = 2.0

#: Flows without a packet for so long are forgotten; if one is open after
#: all, its next packet is passed to the upstream, which knows.
FLOW_SECONDS: Final = 60.0

#: Slots assumed until a balancer says how many the upstream has.
FIRST_SLOTS: Final = 4

#: Requests passed on beyond the slots, so that the upstream finds its next one
#: when it ends one.
EXTRA_SLOTS: Final = 1

#: New flows that may wait here for each slot: a bound of memory, of 46 MB for
#: eight slots full of uploads.  1.5 s of requests of 5 ms fill it; callers who
#: are refused for a shorter queue after an outage are gone before there is
#: room.
HELD_PER_SLOT: Final = 300

#: Opening packets after a pause of this are the first after an outage:
#: callers repeat theirs within 0.8 s.
OUTAGE_SECONDS: Final = 1.0

#: A caller from an outage goes before all others when it may leave within
#: this: the longest answers take about so long.
RESCUE_SECONDS: Final = 0.3

#: Packets kept of a request that waits; callers send no more without an
#: answer.
MAX_HELD_PACKETS: Final = 16

#: Requests of one flow remembered for logs until they are answered.
MAX_SEEN_REQUESTS: Final = 8

#: Flows kept at once; an upstream holds 2,000.  Beyond it new ones are
#: given back.
MAX_FLOWS: Final = 20000

#: Pause between registrations with a directory node, if only empty ones.
REGISTER_SECONDS: Final = 1.0

#: In the agent's first second the pause is this times the number of shards:
#: after an outage nodes start at any moment, and verdicts wait for the
#: registrations that they missed.  At 1,000 upstreams a node gets 1,250 of
#: them a second.
FIRST_REGISTER_SECONDS: Final = 0.1

#: A directory node speaks for an agent for so long after its last
#: registration: one may be lost.
COVERED_SECONDS: Final = 2.5

#: All flows are registered anew after this, so that those that last longer
#: than the directory remembers stay in it.
RENEW_SECONDS: Final = 50.0

#: A directory node forgets a flow after one to two of these.
REGISTERED_SECONDS: Final = 65.0

#: An agent whose registrations have a gap is asked for all flows after this:
#: several datagrams of one list arrive within a few milliseconds.
LAG_SECONDS: Final = 0.15

#: Pause between questions of an agent that no balancer has told anything.
ASK_NOTICE_SECONDS: Final = 0.05

#: New flows that wait for the first notice: those of a second, in which a
#: balancer surely answers.
MAX_UNTOLD: Final = 1000

#: Pause between counts of the agents that a directory node speaks for; it
#: bounds the processor time of lookups, and delays a verdict by as much.
COUNT_SECONDS: Final = 0.05

#: A balancer that asked for whom a directory node speaks is told of changes
#: for so long: it waits for them with its verdicts.
WATCH_SECONDS: Final = 0.5

#: Flows older than this have ended: the platform lets those of 60 s be
#: discarded.
FLOW_LIFE_SECONDS: Final = 75.0

#: Flows kept for other agents; at 200 octets each this is 10 MB of the 64 MB
#: a node may take.  64 agents with 14 new flows a second each make 58,000 in
#: the 65 s of a generation.
MAX_REGISTERED: Final = 50000

#: Longest planned stop; the platform kills after 6 s.
STOP_SECONDS: Final = 4.0
