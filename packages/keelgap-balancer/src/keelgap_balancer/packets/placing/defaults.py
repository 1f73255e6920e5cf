"""Default values of placement by expected answers, each with its reason."""

from typing import Final

__all__ = (
    'ALIKE_PACE',
    'COST_STEP',
    'DRAWN_FAR',
    'DRAWN_NEAR',
    'FAR_MARGIN',
    'FAR_MILLISECONDS',
    'FLOW_SPAN_WEIGHT',
    'FRESH_SECONDS',
    'LEAST_COST',
    'LEAST_PACE',
    'LOAD_COST',
    'LONG_FLOW_SECONDS',
    'MANY_CANDIDATES',
    'MAX_SPANS',
    'ROUNDED_MILLISECONDS',
    'TELL_SECONDS',
    'TRUSTED_SECONDS',
    'WATCHED_FLOWS',
)

#: Upstreams whose work differs from the usual by less than this factor count
#: as alike: means of 16 to 32 answers differ by as much by chance.
ALIKE_PACE: Final = 1.5

#: Upstreams whose work differs by no more than this count as alike, too:
#: reports tell whole milliseconds, and no caller notices one.
ROUNDED_MILLISECONDS: Final = 1

#: Costs that differ by less than this factor count as equal: a request more
#: or less at three slots, which reports are behind by anyhow.
COST_STEP: Final = 1.25

#: Costs below this are equal; none is as low with any slots.
LEAST_COST: Final = 0.001

#: An upstream counts as at most four times as quick as usual.  One that
#: answers sooner yet may do so because it does not do the work; callers
#: would all meet there, and wait in a queue that seems short.
LEAST_PACE: Final = 0.25

#: What it costs to meet an upstream whose slots are all taken, beside the
#: wait that its report shows.  Reports are behind: requests on open flows and
#: from other balancers may take the slot that seemed free, and the caller
#: waits for one of them to end.
LOAD_COST: Final = 1.0

#: How much longer a caller has to wait here, in requests of the usual work,
#: before its flow goes to another availability zone; octets on the way cost,
#: and a difference that is about to pass is not worth them.
FAR_MARGIN: Final = 0.6

#: The way to another availability zone and back.
FAR_MILLISECONDS: Final = 3.0

#: Agents that are greeted report at least so often, and at once when
#: something changes: a report of this age is as good as new.
FRESH_SECONDS: Final = 0.25

#: Beyond that a report counts as much as what is usual when it is so old,
#: about the time that a request takes in a queue.
TRUSTED_SECONDS: Final = 0.25

#: A flow that its caller does not end for so long stays for more requests.
#: One that brings a single request ends with its answer, and routes allow
#: less for that.
LONG_FLOW_SECONDS: Final = 1.0

#: Flows of each route that are watched at a time.
WATCHED_FLOWS: Final = 16

#: Routes of which the share of long flows is kept: a bound of memory, of
#: half a megabyte.  It is learned anew within a second.
MAX_SPANS: Final = 4096

#: Weight of the latest flow in the share of long flows of its route.
FLOW_SPAN_WEIGHT: Final = 0.1

#: With more upstreams of a service a few are drawn for each flow: to compare
#: 64 takes a tenth of a millisecond.
MANY_CANDIDATES: Final = 64

#: Callers wait where all upstreams drawn are slow or have queues.  If a third
#: of them are, all of five are for one caller in 240, all of two for one in
#: nine.
DRAWN_NEAR: Final = 5

#: A caller whose near ones all have queues need not wait for one of them; of
#: two elsewhere, one may have a queue as well.
DRAWN_FAR: Final = 2

#: Shortest pause between lines on flows that went to another zone.
TELL_SECONDS: Final = 1.0
