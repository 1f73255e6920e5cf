"""Constants of the packet balancer, each with its reason."""

from typing import Final

from keelgap.catalog import defaults as catalog_defaults
from keelgap.packets import retransmission, trials

__all__ = (
    'ANY_TRIAL_SECONDS',
    'MAX_CAPACITY_OFFERS',
    'MAX_REFUSED_RECEIVERS',
    'REFUSED_INTERVAL_SECONDS',
    'REFUSED_RETRY_SECONDS',
    'MAX_CALLER_TRIES',
    'MIN_LATE_DECLINES',
    'LEVEL_FALL',
    'LEVEL_JUMP',
    'LEVEL_PAUSE_SECONDS',
    'LEVEL_RISE',
    'LEVEL_START',
    'MAX_CALLERS',
    'PRESSURE_SECONDS',
    'SHARE_DECAY_SECONDS',
    'SEARCH_FANOUT',
    'COVERAGE_WAIT_SECONDS',
    'DIRECTORY_TIMEOUT_SECONDS',
    'DRAINED_SECONDS',
    'MIN_FAST_LINKS',
    'REMOTE_POLL_INTERVAL_SECONDS',
    'REMOTE_TRIAL_SECONDS',
    'FLOW_GENERATION_SECONDS',
    'FORCED_ACCEPT_HOP',
    'FORMER_ROUTE_SECONDS',
    'ABANDON_SECONDS',
    'MISSING_ENTRY_SECONDS',
    'GOSSIP_FANOUT',
    'GOSSIP_INTERVAL_SECONDS',
    'POLLS_PER_TICK',
    'POLL_INTERVAL_SECONDS',
    'PROBE_TIMEOUT_SECONDS',
    'INHERIT_INTERVAL_SECONDS',
    'INHERIT_SECONDS',
    'ISOLATED_SECONDS',
    'MAX_CHANGES',
    'RETRANSMIT_FACTOR',
    'MAX_ROUND_GAP_SECONDS',
    'SUSPICION_TIMEOUT_SECONDS',
    'LOOKUP_RETRY_SECONDS',
    'LOOKUP_TIMEOUT_SECONDS',
    'EXCLUSION_CACHE_SECONDS',
    'EXCLUSION_CACHE_THRESHOLD',
    'MAX_ASKED',
    'MAX_FLOWS',
    'MAX_GOSSIP_PEERS',
    'MAX_POLLED_AGENTS',
    'MAX_HOPS',
    'MAX_INHERITING',
    'MAX_OPENINGS',
    'MAX_PARKED',
    'MAX_RELAYED_INFOS',
    'MAX_SEARCHES',
    'MAX_CACHED_UNCOVERED',
    'MIN_NEAR_AGENTS',
    'NOTICE_INTERVAL_SECONDS',
    'ANSWERED_ELSEWHERE_SECONDS',
    'PEER_TIMEOUT_SECONDS',
    'PROBE_FANOUT',
    'QUEUE_LOAD_THRESHOLD',
    'QUEUE_STEP_FACTOR',
    'UNRESPONSIVE_SECONDS',
    'READER_GOSSIP_FANOUT',
    'REMOTE_ZONE_COST',
    'CALLER_SILENCE_SECONDS',
    'RESET_AGE_SECONDS',
    'RESET_AGE_UNCERTAINTY_SECONDS',
    'RETRY_PAUSE_SECONDS',
    'RETRY_WINDOW_SECONDS',
    'MIN_SERVING_SHARE',
    'TRIAL_INTERVAL_SECONDS',
    'ROUTER_REMOVAL_SECONDS',
    'SEARCH_TIMEOUT_SECONDS',
    'SEARCH_STEP_TIMEOUT_SECONDS',
    'SETTLING_SECONDS',
    'MAX_STOP_SECONDS',
    'SLOW_LINK_FACTOR',
    'TIMER_SECONDS',
    'TRANSIT_JITTER_SECONDS',
    'WARM_UP_SLOT_SHARE',
    'UNLISTED_SECONDS',
    'ANNOUNCEMENT_SECONDS',
    'HELD_ROUTES_WAIT_SECONDS',
    'LARGE_FLEET_WAIT_SECONDS',
    'GIVEN_UP_SECONDS',
    'MOVE_TELLERS',
    'MAX_UNSURE_AGENTS',
    'UNANSWERED_SECONDS',
    'UNSURE_QUERIES',
    'UNSURE_SECONDS',
    'MAX_ROUTE_SERVICES',
    'MAX_ROUTE_SERVICE_MESSAGES',
    'ROUTE_SERVICES_INTERVAL_SECONDS',
    'WITHDRAW_DELAY_SECONDS',
    'MAX_STARTUP_REPORTS',
    'MAX_FIRST_REPORTS',
)

#: Interval of the timer.
TIMER_SECONDS: Final = 0.1

#: Owners that are not used for one to two times this long are forgotten and
#: have to be searched for again.
FLOW_GENERATION_SECONDS: Final = 30.0

#: How long open flows of a removed route, or of a former service of a route,
#: are still found.  The platform allows flows older than 60 s to be discarded.
FORMER_ROUTE_SECONDS: Final = 90.0

#: Maximum number of owners that are kept.  At 200 octets each this is 20 MB of
#: the 64 MB that a node may use.
MAX_FLOWS: Final = 100000

#: The transit times of packets of one caller differ by less than this.
TRANSIT_JITTER_SECONDS: Final = 0.05

#: A caller has abandoned an opening that began this long ago.
ABANDON_SECONDS: Final = (
    retransmission.OPEN_TIMEOUT_SECONDS - TRANSIT_JITTER_SECONDS
)

#: How long after an opening was abandoned a new flow from the caller's host is
#: taken for its retry.
RETRY_WINDOW_SECONDS: Final = 1.0

#: Longest pause of a caller between two attempts.  After an outage, callers
#: whose route allows 2.5 s left 0.9 to 1.0 s after the start of their second
#: attempt.
RETRY_PAUSE_SECONDS: Final = 0.2

#: Assumed waiting time of a caller whose open flow is reset.  It retransmits
#: its packet after 0.2 s, 0.6 s and 1.4 s.
RESET_AGE_SECONDS: Final = 0.6

#: How much longer than RESET_AGE_SECONDS that caller may have waited: until
#: its last retransmission.
RESET_AGE_UNCERTAINTY_SECONDS: Final = 0.8

#: Maximum number of openings that are remembered.  10,000 are a
#: flood, or the new flows of one node in a minute at the size to design for.
MAX_OPENINGS: Final = 10000

#: Maximum number of agents that one packet may visit.  A search asks each
#: agent of a service once.
MAX_HOPS: Final = 64

#: Maximum number of concurrent searches.  Further packets of unknown flows are
#: dropped, and are retransmitted by their senders.
MAX_SEARCHES: Final = 10000

#: Timeout for the answer of an agent in a search.  It covers several round
#: trips between availability zones (1.4 ms one way).
SEARCH_STEP_TIMEOUT_SECONDS: Final = 0.05

#: Maximum number of agents that are asked for a flow one after the other.
#: Services with more agents have a directory.
MAX_ASKED: Final = 8

#: Number of agents of a larger service that are asked concurrently if no
#: directory covers them.  This takes seven round trips for 50 agents.
SEARCH_FANOUT: Final = 8

#: Timeout for the answer of a directory node.  On the slowest balancers, with
#: 0.16 of a core, the questions and answers of an outage take up to 0.07 s of
#: processor time each way.
LOOKUP_TIMEOUT_SECONDS: Final = 0.15

#: Pause before the directory is asked again while it does not yet know the
#: flows of some agents.
LOOKUP_RETRY_SECONDS: Final = 0.1

#: Maximum number of cached lists of the agents that directory nodes do not
#: cover.  The lists change with each agent that registers.
MAX_CACHED_UNCOVERED: Final = 64

#: Pause between notices to an agent that a directory does not cover.
NOTICE_INTERVAL_SECONDS: Final = 0.5

#: When all directory nodes have answered but cover few agents, the remaining
#: agents are asked after this pause.  Agents that can be covered register
#: every 0.1 s when they start.
COVERAGE_WAIT_SECONDS: Final = 0.1

#: After this long without an answer of the directory, all agents are asked,
#: one after the other.  Both nodes of a shard may be down.
DIRECTORY_TIMEOUT_SECONDS: Final = 0.45

#: Period after the first catalog in which a caller that is new to this process
#: may have tried before.  Its first attempt ends within one opening timeout,
#: and its second arrives within another.
SETTLING_SECONDS: Final = 2 * retransmission.OPEN_TIMEOUT_SECONDS

#: A search without a result expires after this, and may start anew.
SEARCH_TIMEOUT_SECONDS: Final = 1.0

#: A caller that sent no packet for this long has left.  One that waits for an
#: answer retransmits its packet after 1.6 s at the latest.
CALLER_SILENCE_SECONDS: Final = 1.8

#: Pause between two polls of an agent, which make it continue to send reports.
POLL_INTERVAL_SECONDS: Final = 1.0

#: Pause between two polls of an agent in another availability zone.  Traffic
#: between zones costs, and few flows go there.
REMOTE_POLL_INTERVAL_SECONDS: Final = 2.0

#: With fewer agents than this in the own availability zone, all agents are
#: polled alike.  The others also serve its flows, and their messages show that
#: this balancer is not isolated.
MIN_NEAR_AGENTS: Final = 2

#: With more agents than this, polls are rare, and reports come with the
#: answers to offered flows.  At the size to design for these are 92 a second,
#: or 4 KB/s.
MAX_POLLED_AGENTS: Final = 64

#: Polls in each interval of the timer with more agents than
#: MAX_POLLED_AGENTS.  This makes 10 a second.
POLLS_PER_TICK: Final = 1

#: An agent whose reply is due for this long gets no new flows while there are
#: others.  Reports come at least every 0.25 s, and a caller sends its second
#: copy after 0.6 s.
UNRESPONSIVE_SECONDS: Final = 0.35

#: A balancer without a message from any other process for this long is
#: isolated, and reports that it is not ready.  Each agent sends every 0.25 s.
ISOLATED_SECONDS: Final = 0.8

#: A planned stop ends when no packet of a caller arrived for this long.
DRAINED_SECONDS: Final = 0.7

#: Maximum number of flows of which a packet is kept until the first catalog
#: arrives.  At the size to design for, 200 flows start at one node in two
#: seconds; the remainder is for a flood.  At 1.3 KB each this is 6 MB.
MAX_PARKED: Final = 5000

#: How long an upstream whose entry is missing is still asked for its flows.
MISSING_ENTRY_SECONDS: Final = catalog_defaults.ENTRY_RECOVERY_SECONDS

#: How long an agent is asked for flows of a service for which the catalog does
#: not list its host any longer, or not yet.  Another balancer may offer it
#: flows until it has applied the change; the users' limit for that is this
#: long.
UNLISTED_SECONDS: Final = 18.0

#: Maximum number of pairs of a route and a service that holds flows of it
#: without being listed for it.  At 400 octets each this is 3 MB.
MAX_ROUTE_SERVICES: Final = 8192

#: Maximum messages about such pairs to another balancer at once.  They have
#: 120 pairs each.
MAX_ROUTE_SERVICE_MESSAGES: Final = 8

#: Pause between two messages about such a pair to the agents of the route.
ROUTE_SERVICES_INTERVAL_SECONDS: Final = 5.0

#: Maximum number of agents of other services that are asked for each unknown
#: flow because they restarted beside their upstreams, which may hold flows of
#: any earlier table.  They are asked SEARCH_FANOUT at a time.
MAX_UNSURE_AGENTS: Final = 256

#: In a fleet of more than MAX_POLLED_AGENTS agents, the share of balancers that
#: tell the agents of a route at once of its former services is this number
#: divided by that of the agents.  At the size to design for these are ten.
MOVE_TELLERS: Final = 64

#: Maximum time between a message that names the services of a route and the
#: denial that depends on it.  They are sent one after the other.
ANNOUNCEMENT_SECONDS: Final = 0.5

#: How long after its first catalog a balancer waits for agents of other
#: services to tell the routes that they hold.  It is longer than the planned
#: restart of an agent, which serves until it ends.
HELD_ROUTES_WAIT_SECONDS: Final = 3.0

#: The same in a fleet in which it polls only some agents.  Other balancers poll
#: the rest in this time and pass it on.
LARGE_FLEET_WAIT_SECONDS: Final = 1.5

#: An agent that leaves queries for flows unanswered for this long does not hold
#: up verdicts on flows of routes that do not lead to its service.
UNANSWERED_SECONDS: Final = 10.0

#: An agent that is asked for flows of other services, since it cannot tell what
#: it holds, is passed over when it leaves this many queries unanswered for this
#: long.  Its upstream, on the same host, has stopped then.
UNSURE_QUERIES: Final = 5
UNSURE_SECONDS: Final = 0.5

#: How long such an agent is given up before it is queried again.
GIVEN_UP_SECONDS: Final = 10.0

#: How long after its first catalog a balancer asks the balancers that it hears
#: from for the hosts that they list.  It has heard from all of a small fleet
#: after a few rounds.
INHERIT_SECONDS: Final = 2.5
#: Pause between two such queries to one balancer.
INHERIT_INTERVAL_SECONDS: Final = 1.0

#: Maximum number of balancers that are remembered as having got the answer to
#: such a query.  Each of them is sent one message.
MAX_INHERITING: Final = 64

#: Cost of placing a flow in another availability zone, as a multiple of the
#: slots of an upstream.
REMOTE_ZONE_COST: Final = 2.0

#: Load, as a multiple of the slots of an upstream, above which new flows wait
#: for a long time there.
QUEUE_LOAD_THRESHOLD: Final = 4.0

#: Queues whose lengths differ by less than this factor count as equal.
QUEUE_STEP_FACTOR: Final = 1.5

#: Share of the slots that is counted for an upstream during its warm-up.  Such
#: upstreams take about 1.6 times as long for a request.
WARM_UP_SLOT_SHARE: Final = 0.6

#: Maximum number of reports that an upstream writes in its first seconds: one
#: when it starts and one every 1.2 s while it is cold, for 2 s.  The limit is
#: twice as many.
MAX_STARTUP_REPORTS: Final = 6

#: Maximum number of reports of an upstream whose entry surely never lapsed.  An
#: entry lapses when three reports in a row were missed.
MAX_FIRST_REPORTS: Final = 3

#: Pause between two gossip rounds.
GOSSIP_INTERVAL_SECONDS: Final = 0.5

#: Maximum number of other balancers that a message lists.  In a fleet with at
#: most as many others, each message goes to all of them.
MAX_GOSSIP_PEERS: Final = 8

#: Number of receivers of a change in a larger fleet, chosen in turn.
GOSSIP_FANOUT: Final = 2

#: Number of balancers that are sent a message and probed in each round.
PROBE_FANOUT: Final = 1

#: Number of receivers of a change from a balancer that reads the store, and
#: maximum number of balancers to which it introduces itself in a round.
READER_GOSSIP_FANOUT: Final = 24

#: In a small fleet a balancer that was silent for this long is removed.
PEER_TIMEOUT_SECONDS: Final = 10.0

#: A balancer that has not replied to a probe for this long is suspected.  It is
#: probed twice in this time, since one message in ten may be lost on degraded
#: links.
PROBE_TIMEOUT_SECONDS: Final = 0.95

#: A balancer that did not refute a suspicion for this long is lost.  The
#: suspicion reaches it within a round of 0.5 s, and its answer reaches all
#: others of 370 within two more rounds (experiments.membership_model).
SUSPICION_TIMEOUT_SECONDS: Final = 1.4

#: A longer time between two rounds means that this process was paused.
MAX_ROUND_GAP_SECONDS: Final = 1.2

#: Maximum number of changes of status in one message, which are 144 octets.
MAX_CHANGES: Final = 16

#: A change is sent this many times the binary logarithm of the size of the
#: fleet.  SWIM finds a factor of three sufficient.
RETRANSMIT_FACTOR: Final = 3

#: Maximum number of infos about other balancers in one message.  They are 56
#: octets, besides the own one.
MAX_RELAYED_INFOS: Final = 4

#: A link is slow if others of the zone are this many times as fast.  At loads
#: that those can carry, uploads of callers wait on the slow link.
SLOW_LINK_FACTOR: Final = 4

#: Number of balancers with fast links that must take callers in the zone
#: before one with a slow link withdraws.  One of them may fail at any moment.
MIN_FAST_LINKS: Final = 2

#: A balancer with a slow link withdraws only when the condition for it has
#: held for this long.  One with a fast link is back within two seconds of a
#: restart.
WITHDRAW_DELAY_SECONDS: Final = 2.0

#: An opening packet that is returned later than this does not prove that its
#: flow is not open: a copy may have been answered elsewhere.  It covers
#: several round trips between availability zones, and is shorter than the
#: pauses of callers between copies.
ANSWERED_ELSEWHERE_SECONDS: Final = 0.05

#: Ejected upstreams are excluded while the others have at least this share of
#: the slots of a service.  With a smaller share most requests would wait too
#: long, and a failure of most upstreams has another cause than the upstreams.
MIN_SERVING_SHARE: Final = 0.5

#: With more upstreams of a service than this, it is not computed anew for each
#: flow whether the others have MIN_SERVING_SHARE of the slots.  For 1,000
#: upstreams this takes 0.4 ms.
EXCLUSION_CACHE_THRESHOLD: Final = 64

#: How long it is cached whether the others have MIN_SERVING_SHARE of the
#: slots.  Agents become unresponsive in the meantime; this is a tenth of
#: UNRESPONSIVE_SECONDS.
EXCLUSION_CACHE_SECONDS: Final = 0.035

#: The agent of an ejected upstream accepts a new flow that was offered this
#: many times before.  If no other agent is left, it is offered the flow with
#: this count at once; otherwise callers of a service with few upstreams would
#: be refused by all.
FORCED_ACCEPT_HOP: Final = trials.FORCED_ACCEPT_HOP

#: Pause between trial flows from this balancer to one ejected upstream.  Its
#: agent accepts few at the same time, and each flow that it returns costs the
#: caller a round trip.
TRIAL_INTERVAL_SECONDS: Final = 0.1

#: Balancers of other availability zones send a trial flow after this long,
#: since those near the upstream may get no idempotent request.
REMOTE_TRIAL_SECONDS: Final = 1.0

#: A flow of any request becomes a trial after this long without an idempotent
#: one, but not before agents accept it.
ANY_TRIAL_SECONDS: Final = trials.LAST_RESORT_SECONDS

#: Routers remove a balancer after two failed checks, half a second apart.
#: Another half second is added for packets in transit.
ROUTER_REMOVAL_SECONDS: Final = 1.6

#: Maximum duration of a planned stop.  The platform kills after 6 s.
MAX_STOP_SECONDS: Final = 4.5

#: Number of agents that must decline a new flow for lack of time before the
#: balancer refuses it.  The reports by which they were chosen were up to 50 ms
#: old.
MIN_LATE_DECLINES: Final = 3

#: Time constant for the decay of a caller's recent flows.  One balancer among
#: many sees a few flows of each caller in this time.
SHARE_DECAY_SECONDS: Final = 20.0

#: Maximum number of callers whose requests are counted, which takes 1 MB.
#: Beyond it, the least recently active ones are forgotten; callers that cause
#: the overload are not among them.
MAX_CALLERS: Final = 4096

#: How long equal shares are enforced after a refusal.
PRESSURE_SECONDS: Final = 1.0

#: Factors on the level of equal shares for each flow that is refused below it,
#: and for each that is offered.  The level adapts within about fifty refusals,
#: and settles where one in ten flows below it is refused.
LEVEL_FALL: Final = 0.95
LEVEL_RISE: Final = 1.005
#: Initial level, as a multiple of the mean of the callers' recent flows.  No
#: caller exceeds it by chance alone.
LEVEL_START: Final = 2.0

#: Factor on the level if an upstream has a free slot, and the pause between
#: two such steps, which is the age of reports.  The level grows tenfold within
#: 1.2 s.
LEVEL_JUMP: Final = 1.1
LEVEL_PAUSE_SECONDS: Final = 0.05

#: Maximum number of flows that a caller opens for one request.
MAX_CALLER_TRIES: Final = 3

#: How long a retry is expected from a refused caller: its pause between two
#: attempts and a margin.  A new request of its host in this time is mistaken
#: for the retry.
REFUSED_RETRY_SECONDS: Final = RETRY_PAUSE_SECONDS + 2 * TRANSIT_JITTER_SECONDS

#: Pause between messages about refused callers, which retry some ten
#: milliseconds later at the earliest.
REFUSED_INTERVAL_SECONDS: Final = 0.02

#: Maximum number of balancers to which refused callers are announced, with 50
#: messages a second each.  In a larger fleet, retries that arrive at another
#: balancer count as new.
MAX_REFUSED_RECEIVERS: Final = 64

#: Maximum number of agents that are asked for capacity.  This takes a few tens
#: of milliseconds, in which the caller could have tried again.
MAX_CAPACITY_OFFERS: Final = 10
