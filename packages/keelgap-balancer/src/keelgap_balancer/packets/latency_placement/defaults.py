"""Constants of placement by expected latency, each with its reason."""

from typing import Final

__all__ = (
    'SIMILAR_WORK_FACTOR',
    'COST_STEP_FACTOR',
    'SAMPLED_FAR',
    'SAMPLED_NEAR',
    'CROSS_ZONE_MARGIN',
    'CROSS_ZONE_RTT_MS',
    'LONG_FLOW_SHARE_WEIGHT',
    'REPORT_FRESH_SECONDS',
    'MIN_COST',
    'MIN_WORK_RATIO',
    'FULL_LOAD_COST',
    'LONG_FLOW_SECONDS',
    'SAMPLING_THRESHOLD',
    'MAX_LEARNED_ROUTES',
    'WORK_ROUNDING_MS',
    'LOG_INTERVAL_SECONDS',
    'REPORT_HALF_WEIGHT_SECONDS',
    'MAX_WATCHED_FLOWS',
)

#: Upstreams whose work per request differs from the typical by less than this
#: factor count as equal.  Means of 16 to 32 responses differ as much by
#: chance.
SIMILAR_WORK_FACTOR: Final = 1.5

#: Upstreams whose work per request differs by no more than this count as
#: equal, too.  Reports contain whole milliseconds, and no caller notices one.
WORK_ROUNDING_MS: Final = 1

#: Costs that differ by less than this factor count as equal.  It corresponds
#: to one request at three slots, and reports lag behind by as much.
COST_STEP_FACTOR: Final = 1.25

#: Costs below this count as equal.  No number of slots gives a cost that low.
MIN_COST: Final = 0.001

#: Minimum of the relative work per request: an upstream counts as at most four
#: times as fast as a typical one.  One that responds even faster may do so
#: because it does not do the work; all callers would go there, and wait in a
#: queue that looks short.
MIN_WORK_RATIO: Final = 0.25

#: Additional cost of an upstream whose slots are all busy, besides the wait
#: that its report shows.  Reports lag behind: requests on open flows and from
#: other balancers may take the slot that seemed free, and then the caller
#: waits for one of them to finish.
FULL_LOAD_COST: Final = 1.0

#: How much longer a caller has to wait here, in units of a typical request,
#: before its flow goes to another availability zone.  Traffic between zones
#: costs, and is not worth a difference that is about to disappear.
CROSS_ZONE_MARGIN: Final = 0.6

#: Round-trip time to another availability zone.
CROSS_ZONE_RTT_MS: Final = 3.0

#: Agents that are polled send a report at least this often, and at once on
#: changes.  Up to this age a report has full weight.
REPORT_FRESH_SECONDS: Final = 0.25

#: A report that is older by this much has half its weight; the typical values
#: have the other half.  It is about the time that a request spends in a queue.
REPORT_HALF_WEIGHT_SECONDS: Final = 0.25

#: A flow that its caller does not end for this long is kept open for more
#: requests.  A flow with a single request ends with the response, and routes
#: allow less time for that.
LONG_FLOW_SECONDS: Final = 1.0

#: Maximum number of flows of each route that are watched at the same time.
MAX_WATCHED_FLOWS: Final = 16

#: Maximum number of routes whose share of long flows is kept, which limits the
#: memory to half a megabyte.  The share is learned anew within a second.
MAX_LEARNED_ROUTES: Final = 4096

#: Weight of the latest flow in the share of long flows of its route.
LONG_FLOW_SHARE_WEIGHT: Final = 0.1

#: With more upstreams of a service than this, a few are sampled for each flow.
#: To compare 64 takes a tenth of a millisecond.
SAMPLING_THRESHOLD: Final = 64

#: Number of sampled upstreams of the own availability zone.  Callers wait if
#: all of them are slow or have queues.  If a third of the upstreams are, this
#: happens to one caller in 240 with five, and to one in nine with two.
SAMPLED_NEAR: Final = 5

#: Number of sampled upstreams of other availability zones.  A caller need not
#: wait if all those of its own zone have queues; two are drawn since one of
#: them may have a queue as well.
SAMPLED_FAR: Final = 2

#: Minimum pause between log lines on flows that were placed in another zone.
LOG_INTERVAL_SECONDS: Final = 1.0
