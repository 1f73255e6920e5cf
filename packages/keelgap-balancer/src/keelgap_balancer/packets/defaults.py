"""Default values of packet balancing, each with its reason."""

from typing import Final

from keelgap.catalog import defaults as catalog_defaults
from keelgap.packets import openings, trials

__all__ = (
    'ANY_TRIAL_SECONDS',
    'MAX_ASKED_FOR_ROOM',
    'MAX_REFUSED_TOLD',
    'REFUSED_PAUSE_SECONDS',
    'REFUSED_SECONDS',
    'CALLER_TRIES',
    'FEWEST_WITHOUT_TIME',
    'LEVEL_FALL',
    'LEVEL_JUMP',
    'LEVEL_PAUSE_SECONDS',
    'LEVEL_RISE',
    'LEVEL_START',
    'MAX_CALLERS',
    'PRESSED_SECONDS',
    'SHARE_SECONDS',
    'ASKED_AT_ONCE',
    'COVERAGE_SECONDS',
    'DIRECTORY_SECONDS',
    'DRAINED_SECONDS',
    'FEWEST_WIDE_LINKS',
    'FAR_ASK_SECONDS',
    'FAR_TRIAL_SECONDS',
    'FLOW_GENERATION_SECONDS',
    'FORCED_HOP',
    'FORMER_ROUTE_SECONDS',
    'GIVE_UP_SECONDS',
    'GONE_SECONDS',
    'GOSSIP_AT_ONCE',
    'GOSSIP_SECONDS',
    'GREETINGS_AT_ONCE',
    'HELLO_SECONDS',
    'ANSWER_SECONDS',
    'INHERIT_PAUSE_SECONDS',
    'INHERIT_SECONDS',
    'ISOLATED_SECONDS',
    'MAX_CHANGES',
    'NEWS_FACTOR',
    'PAUSED_SECONDS',
    'SUSPECT_SECONDS',
    'LOOKUP_AGAIN_SECONDS',
    'LOOKUP_SECONDS',
    'LEFT_OUT_SECONDS',
    'MANY_FOR_LEFT_OUT',
    'MAX_ASKED',
    'MAX_FLOWS',
    'MAX_GOSSIP_PEERS',
    'MAX_GREETED',
    'MAX_HOPS',
    'MAX_INHERITING',
    'MAX_OPENINGS',
    'MAX_PARKED',
    'MAX_PLACES',
    'MAX_SEARCHES',
    'MAX_UNSPOKEN',
    'MIN_NEAR_AGENTS',
    'NOTICE_AGAIN_SECONDS',
    'OPENED_SECONDS',
    'PEER_SECONDS',
    'PROBES_AT_ONCE',
    'QUEUE_LOAD',
    'QUEUE_STEP',
    'QUIET_SECONDS',
    'READER_GOSSIP_PEERS',
    'REMOTE_LOAD',
    'REPEAT_SECONDS',
    'RESET_AGE_SECONDS',
    'RESET_DOUBT_SECONDS',
    'RETRY_PAUSE_SECONDS',
    'RETRY_SECONDS',
    'SERVING_SHARE',
    'TRIAL_PAUSE_SECONDS',
    'ROUTERS_SECONDS',
    'SEARCH_SECONDS',
    'SEARCH_STEP_SECONDS',
    'SETTLING_SECONDS',
    'STOP_SECONDS',
    'THIN_LINK_FACTOR',
    'TIMER_SECONDS',
    'TRAVEL_SECONDS',
    'WARM_UP_SLOTS',
    'UNLISTED_SECONDS',
    'YIELD_SECONDS',
    'YOUNG_REPORTS',
)

#: Period of the timer.
TIMER_SECONDS: Final = 0.1

#: Owners not used for one to two of these are forgotten and searched again.
FLOW_GENERATION_SECONDS: Final = 30.0

#: How long open flows of a dropped route are still found; the platform lets
#: flows older than 60 s be discarded.
FORMER_ROUTE_SECONDS: Final = 90.0

#: Owners kept; at 200 octets each this is 20 MB of the 64 MB a node may take.
MAX_FLOWS: Final = 100000

#: Packets of one caller travel for times that differ by less than this.
TRAVEL_SECONDS: Final = 0.05

#: A caller that began so long ago has given its opening up.
GIVE_UP_SECONDS: Final = openings.OPENING_SECONDS - TRAVEL_SECONDS

#: How long after that its next try is taken for one.
RETRY_SECONDS: Final = 1.0

#: Longest pause of a caller between two tries.  After an outage callers whose
#: route allows 2.5 s left 0.9 to 1.0 s after they began their second try.
RETRY_PAUSE_SECONDS: Final = 0.2

#: A caller whose open flow is reset has waited for about so long: it repeats
#: its packet after 0.2 s, 0.6 s and 1.4 s.
RESET_AGE_SECONDS: Final = 0.6

#: By how much longer it may have waited: until its last copy.
RESET_DOUBT_SECONDS: Final = 0.8

#: Openings that are remembered for this; 10,000 are a flood or a minute's
#: worth of new flows of one node at the size to design for.
MAX_OPENINGS: Final = 10000

#: Agents that one packet may visit; a search asks each of a service once.
MAX_HOPS: Final = 64

#: Searches that may go on at once; more packets of unknown flows are dropped
#: and come again, as their senders repeat them.
MAX_SEARCHES: Final = 10000

#: An agent that did not answer a search for so long is passed over.  Several
#: round trips between availability zones (1.4 ms one way).
SEARCH_STEP_SECONDS: Final = 0.05

#: Agents that may be asked for one flow, one after the other.  Services with
#: more have a directory.
MAX_ASKED: Final = 8

#: Agents of a larger service that are asked at once, where no directory speaks
#: for them: seven round trips for 50 of them.
ASKED_AT_ONCE: Final = 8

#: A directory node that did not answer for so long is passed over.  On the
#: slowest balancers, with 0.16 of a core, questions and answers of an outage
#: take up to 0.07 s of processor time each way.
LOOKUP_SECONDS: Final = 0.15

#: The directory is asked again after this, while it does not know yet what
#: some agents hold.
LOOKUP_AGAIN_SECONDS: Final = 0.1

#: Answers that are kept to for whom directory nodes do not speak; they change
#: with each agent that comes in.
MAX_UNSPOKEN: Final = 64

#: Pause between notices to an agent that a directory lacks.
NOTICE_AGAIN_SECONDS: Final = 0.5

#: Where all nodes have answered, and speak for few agents, the others are asked
#: after this: those that can be spoken for register each 0.1 s when they begin.
COVERAGE_SECONDS: Final = 0.1

#: After so long without an answer of the directory all agents are asked, one
#: after the other.  Both nodes of a shard may be dark.
DIRECTORY_SECONDS: Final = 0.45

#: A caller that this process hears for the first time within this after its
#: first catalog may have tried before: its first try is over after one span,
#: the second is heard within another.
SETTLING_SECONDS: Final = 2 * openings.OPENING_SECONDS

#: A search without a result is given up after this and may start anew.
SEARCH_SECONDS: Final = 1.0

#: A caller that waits for an answer repeats its packet after 1.6 s at the
#: latest; one that did not for so long has left.
REPEAT_SECONDS: Final = 1.8

#: Pause between greetings to an agent, which keep its reports coming.
HELLO_SECONDS: Final = 1.0

#: Pause between questions to an agent of another availability zone: octets
#: between zones cost, and few flows go there.
FAR_ASK_SECONDS: Final = 2.0

#: With fewer agents in the own availability zone all are greeted alike: the
#: others serve its flows, too, and tell that this balancer is not cut off.
MIN_NEAR_AGENTS: Final = 2

#: With more agents than this, greetings are few, and reports come with the
#: answers to offers: 92 a second at the size to design for, 4 KB/s.
MAX_GREETED: Final = 64

#: Greetings in each period of the timer beyond that: 10 a second.
GREETINGS_AT_ONCE: Final = 1

#: An agent that owes an answer for so long gets no new flows while others
#: are there.  Reports come every 0.25 s at least, and a caller sends its
#: second copy after 0.6 s.
QUIET_SECONDS: Final = 0.35

#: A balancer that heard no other process for so long is cut off, and says
#: that it is not ready.  Each agent speaks every 0.25 s.
ISOLATED_SECONDS: Final = 0.8

#: A planned stop ends when no caller's packet came for so long.
DRAINED_SECONDS: Final = 0.7

#: Flows of which a packet is kept until a catalog comes: two seconds
#: of new flows of one node at the size to design for are 200; the rest is for
#: a flood.  Of 1.3 KB each this is 6 MB.
MAX_PARKED: Final = 5000

#: How long an upstream whose entry went is still asked for its flows.
GONE_SECONDS: Final = catalog_defaults.ENTRY_RETURN_SECONDS

#: How long an agent is asked for flows of a service for which the catalog does
#: not list its host any more, or not yet.  Another balancer may still offer it
#: flows until the change is in force there, the users' bound for that.
UNLISTED_SECONDS: Final = 18.0

#: A balancer that began asks those that it hears for so long what they list,
#: with such pauses: it has heard all of a small fleet after a few rounds.
INHERIT_SECONDS: Final = 2.5
INHERIT_PAUSE_SECONDS: Final = 1.0

#: Balancers that were told of which is remembered, a message each.
MAX_INHERITING: Final = 64

#: What it costs to place a flow in another availability zone, as a share of
#: an upstream's slots.
REMOTE_LOAD: Final = 2.0

#: Load, as a share of an upstream's slots, from which on new flows wait
#: there for long.
QUEUE_LOAD: Final = 4.0

#: Queues whose lengths differ by less than this factor count as equal.
QUEUE_STEP: Final = 1.5

#: Slots that count of an upstream that is still slow after its start, as a
#: share: such upstreams take about 1.6 times as long.
WARM_UP_SLOTS: Final = 0.6

#: Reports that an upstream makes in its first seconds, at most: one when it
#: starts and one each 1.2 s while it is cold, for 2 s; twice as many.
YOUNG_REPORTS: Final = 6

#: Pause between messages to other balancers.
GOSSIP_SECONDS: Final = 0.5

#: Other balancers named in a message; as many are all told each time.
MAX_GOSSIP_PEERS: Final = 8

#: With more others, so many are told of a change, by turns.
GOSSIP_AT_ONCE: Final = 2

#: In each round so many are told and asked for an answer.
PROBES_AT_ONCE: Final = 1

#: A balancer that reads the store tells so many each time.
READER_GOSSIP_PEERS: Final = catalog_defaults.MAX_TOLD_BY_READER

#: In a small fleet another balancer that was silent for so long is forgotten.
PEER_SECONDS: Final = 10.0

#: A balancer that owes an answer for so long is suspected; it is asked twice
#: in this time, since one message in ten may be lost on harmed links.
ANSWER_SECONDS: Final = 0.95

#: One that did not counter a suspicion for so long is lost.  The suspicion
#: reaches it within a round of 0.5 s, and its answer all others of 370 within
#: two more (experiments.membership_model).
SUSPECT_SECONDS: Final = 1.4

#: Rounds further apart than this mean that this process was paused.
PAUSED_SECONDS: Final = 1.2

#: Changes of beliefs in one message: 144 octets.
MAX_CHANGES: Final = 16

#: A change is passed on so many times the binary logarithm of the fleet's
#: size; SWIM finds three enough.
NEWS_FACTOR: Final = 3

#: Places of other balancers in one message, besides the own: 56 octets.
MAX_PLACES: Final = 4

#: A link counts as thin beside others of the zone that carry so many times as
#: much: callers' uploads wait on it at loads that the others bear.
THIN_LINK_FACTOR: Final = 4

#: So many balancers with wide links must take callers in the zone before one
#: with a thin link leaves them to it: one may be lost at any moment.
FEWEST_WIDE_LINKS: Final = 2

#: A balancer with a thin link leaves the rotation when that has been right
#: for so long.  A wide one that was restarted is back within two seconds.
YIELD_SECONDS: Final = 2.0

#: An opening packet that comes back later than this is no proof that its flow
#: is not open: a copy may have been answered elsewhere.  Several round trips
#: between availability zones, and less than callers wait between copies.
OPENED_SECONDS: Final = 0.05

#: Ejected upstreams are left out while the others have this share of a
#: service's slots.  Beyond it most requests would wait too long, and a cause
#: that most upstreams share is not theirs.
SERVING_SHARE: Final = 0.5

#: With more upstreams of a service that share is not computed anew for each
#: flow: to look over 1,000 takes 0.4 milliseconds.
MANY_FOR_LEFT_OUT: Final = 64

#: It is computed again after this, since agents fall silent meanwhile; a tenth
#: of the time after which they count as silent.
LEFT_OUT_SECONDS: Final = 0.035

#: Agents of ejected upstreams take a new flow that was offered so often.  They
#: are offered one with this count at once where nobody else is left, for
#: callers of a service with fewer upstreams would be refused by all.
FORCED_HOP: Final = trials.FORCED_HOP

#: Pause between flows that this balancer sends to one ejected upstream: its
#: agent takes few at once, and a flow given back costs its caller a way.
TRIAL_PAUSE_SECONDS: Final = 0.1

#: Balancers of other availability zones send one after this: those near the
#: upstream may get no request that can be repeated.
FAR_TRIAL_SECONDS: Final = 1.0

#: Any request is sent after this, where none that can be repeated came; not
#: before agents take it.
ANY_TRIAL_SECONDS: Final = trials.LAST_RESORT_SECONDS

#: Routers take a balancer out after two misses, half a second apart; one more
#: half second for packets on their way.
ROUTERS_SECONDS: Final = 1.6

#: Longest planned stop; the platform kills after 6 s.
STOP_SECONDS: Final = 4.5

#: So many agents must lack time for a new flow before it is refused: the
#: reports that chose them were up to 50 ms old.
FEWEST_WITHOUT_TIME: Final = 3

#: Time constant with which a caller's flows cease to count towards its share:
#: one balancer among many sees a few of each caller's in this time.
SHARE_SECONDS: Final = 20.0

#: Callers whose requests are counted at once, 1 MB.  With more of them those
#: silent for longest are forgotten, and nobody who presses is among them.
MAX_CALLERS: Final = 4096

#: Equal shares are kept for so long after a refusal.
PRESSED_SECONDS: Final = 1.0

#: Factors on the level of equal shares with each flow that is refused below
#: it and with each that is offered.  It finds another level within about fifty
#: refusals, and settles where one in ten below it is refused.
LEVEL_FALL: Final = 0.95
LEVEL_RISE: Final = 1.005
#: The first level, as a multiple of what callers got on the average: nobody
#: is over it by chance alone.
LEVEL_START: Final = 2.0

#: Factor where an upstream has a free slot, and pause between two of these
#: steps: reports are so old.  Ten times as much within 1.2 s.
LEVEL_JUMP: Final = 1.1
LEVEL_PAUSE_SECONDS: Final = 0.05

#: How often a caller opens a flow for one request at most.
CALLER_TRIES: Final = 3

#: For how long a refused caller is expected back: its pause between two tries
#: and a little more.  A new request of its host would be taken for the retry.
REFUSED_SECONDS: Final = RETRY_PAUSE_SECONDS + 2 * TRAVEL_SECONDS

#: Pause between messages about refused callers, who come back no sooner than
#: some ten milliseconds later.
REFUSED_PAUSE_SECONDS: Final = 0.02

#: Balancers that are told of refused callers, 50 messages a second each.  In a
#: larger fleet retries that meet another balancer count as new.
MAX_REFUSED_TOLD: Final = 64

#: So many agents are asked for room at most, a few ten milliseconds in which
#: the caller could have tried again.
MAX_ASKED_FOR_ROOM: Final = 10
