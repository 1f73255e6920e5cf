"""Verdicts on dead flows in the seconds after an outage of everything.

Callers repeat a packet 0.2 s, 0.6 s, 1.4 s and 3 s after the first: one who
hears of a dead flow only with the next packet may have left by then.
"""

from typing import Any

from keelgap.packets.directory import digest_hosts, make_directory
from keelgap.packets.directory_messages import (
    LookupResponse,
    pack_coverage,
    pack_lookup_response,
)
from keelgap.packets.envelopes import (
    NO_STAMP,
    CallerWait,
    EnvelopeKind,
    Stamp,
)
from keelgap.packets.retransmission import OPEN_TIMEOUT_SECONDS
from keelgap_agent.packets import defaults as agent_defaults
from keelgap_agent.packets.events import TimerFired as AgentTimerFired
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.effects import Decided, RefreshCatalog, SendReset
from keelgap_balancer.packets.events import (
    PacketEvent,
    PeerStampReceived,
    StorePolled,
    TimerFired,
)
from keelgap_balancer.packets.state import PacketState
from tests.packets.building import (
    ACK,
    FORMAT,
    SYN,
    make_catalog,
    make_packet,
    make_upstream,
)
from tests.packets.machine import PacketMachine
from tests.packets.test_after_outage import WaitTestCase
from tests.packets.test_balancer import FLOW, BalancerTestCase
from tests.packets.test_directory import (
    FIRST,
    HOSTS,
    NODES,
    OWN,
    SECOND,
    AgentTestCase,
)
from tests.packets.test_directory_search import SearchTestCase

RESET = SendReset(make_packet(FLOW, ACK))


class KeptVerdictTests(SearchTestCase):
    """A balancer that began while entries of living upstreams may lack."""

    def setUp(self) -> None:
        """Begin anew; agents remember that the store was missed."""
        super().setUp()
        self.state = PacketState(FORMAT, 'a', self.now)
        self.change(make_catalog(5, self.boards))
        self.stamp = Stamp(5, may_lack_entries=True)

    def wait(self, seconds: float) -> list[Any]:
        """Let time pass; return what the timer leads to."""
        self.now += seconds
        return self.take(TimerFired(self.now))

    def test_verdict_comes_with_the_end_of_the_wait(self) -> None:
        """And not with the caller's next packet, up to 1.6 s later."""
        self.deny()
        self.check_no_reset(self.wait(1.4))
        self.send(ACK)
        self.check_no_reset(self.wait(defaults.MISSING_ENTRY_SECONDS - 1.5))
        self.assertIn(RESET, self.wait(0.1))

    def test_upstream_whose_entry_came_back_is_asked_at_once(self) -> None:
        """It holds the flow; the others denied it and are not asked again."""
        self.deny()
        returned = make_upstream(50)
        effects = self.change(make_catalog(6, [*self.boards, returned]))
        asked = [
            one.host
            for one in effects
            if getattr(one, 'envelope', None)
            and one.envelope.kind == EnvelopeKind.SEARCH
        ]
        self.assertEqual(asked, [returned.address.host])
        self.answer(asked[0], EnvelopeKind.OWNED, FLOW.key)
        self.check_no_reset(self.wait(defaults.MISSING_ENTRY_SECONDS))

    def test_agents_are_not_asked_while_the_search_waits(self) -> None:
        """Hundreds of searches wait at once, and nothing has changed."""
        self.deny()
        self.assertEqual(self.list_kinds(self.send(ACK)), [])
        kinds = self.list_kinds(self.wait(defaults.LOOKUP_RETRY_SECONDS))
        self.assertNotIn(EnvelopeKind.LOOKUP, kinds)
        self.assertNotIn(EnvelopeKind.SEARCH, kinds)

    def test_callers_that_left_are_forgotten(self) -> None:
        """One that waits repeats its packet within 1.6 s."""
        self.deny()
        self.wait(defaults.CALLER_SILENCE_SECONDS + 0.1)
        self.assertEqual(self.state.searches, {})

    def test_one_line_tells_of_the_wait(self) -> None:
        """Catalogs change several times a second after an outage."""
        self.deny()
        names: list[str] = []
        for revision in range(6, 9):
            effects = self.change(make_catalog(revision, self.boards))
            names.extend(
                one.name for one in effects if isinstance(one, Decided)
            )
        self.assertNotIn('no_verdict_without_entries', names)
        self.assertIn(FLOW.key, self.state.searches)

    def test_verdict_after_the_wait_needs_what_was_heard_meanwhile(
        self,
    ) -> None:
        """An entry that came back may be the latest change."""
        self.deny()
        self.wait(1.4)
        self.send(ACK)
        self.take(StorePolled(self.now, 5, 7, reaches_store=True))
        self.check_no_reset(self.wait(defaults.MISSING_ENTRY_SECONDS - 1.4))
        returned = make_upstream(50)
        effects = self.change(make_catalog(7, [*self.boards, returned]))
        self.check_no_reset(effects)


class OnlyUpstreamTests(BalancerTestCase):
    """A service with one upstream, which started again."""

    def setUp(self) -> None:
        """Open a flow at the only upstream of the board."""
        super().setUp()
        self.change(make_catalog(2, [self.boards[0], self.proof]))
        self.now += 2 * defaults.MISSING_ENTRY_SECONDS
        self.take(TimerFired(self.now))
        self.send(SYN)

    def test_denial_of_the_owner_is_enough(self) -> None:
        """Nobody else is there to ask.

        Found by the stateful test: such a flow was reset only with the
        caller's next packet.
        """
        packet = make_packet(FLOW, ACK)
        effects = self.answer('10.0.0.1', EnvelopeKind.MISS, packet)
        self.assertEqual(effects, [RESET])

    def test_denial_of_another_service_is_not(self) -> None:
        """Entries of the flow's own service may have lapsed."""
        self.state = PacketState(FORMAT, 'a', self.now)
        self.change(make_catalog(3, [self.proof]))
        packet = make_packet(FLOW, ACK)
        effects = self.answer('10.0.0.9', EnvelopeKind.MISS, packet)
        self.assertEqual(effects, [])


class EarlyRegistrationTests(AgentTestCase):
    """Agents and directory nodes that start within the same second."""

    def test_directory_hears_at_once_that_an_agent_knows_all_flows(
        self,
    ) -> None:
        """The entry of its upstream's former start came first.

        After an outage of everything: verdicts of all balancers
        waited for the next registration, a second later.
        """
        self.state.registrar.predates_upstream = True
        self.notice()
        registered = self.notice(
            upstream_tag=2,
            upstream_revision=2,
            is_recent_start=True,
        )
        told = [one.is_complete for one in registered]
        self.assertEqual(told, [True, True])

    def test_node_that_began_later_hears_within_a_moment(self) -> None:
        """The first registration came before its socket was open."""
        self.state.registrar.predates_upstream = True
        self.notice(is_recent_start=True)
        self.now += 1.1 * agent_defaults.STARTUP_REGISTER_SECONDS
        registered = self.read(self.take(AgentTimerFired(self.now)))
        told = [one.is_complete for one in registered]
        self.assertEqual(told, [True, True])

    def test_registrations_are_few_after_the_first_second(self) -> None:
        """One a second shows that none was lost."""
        self.state.registrar.predates_upstream = True
        self.notice(is_recent_start=True)
        self.now += agent_defaults.REGISTER_INTERVAL_SECONDS
        self.take(AgentTimerFired(self.now))
        self.now += 2 * agent_defaults.STARTUP_REGISTER_SECONDS
        self.assertEqual(self.read(self.take(AgentTimerFired(self.now))), [])

    def test_renewed_stream_is_no_first_second(self) -> None:
        """Nodes that run for long have missed nothing."""
        self.state.registrar.predates_upstream = True
        self.notice(is_recent_start=True)
        self.now += agent_defaults.STREAM_RENEWAL_SECONDS
        renewed = self.read(self.take(AgentTimerFired(self.now)))
        self.assertEqual(len(renewed), 2)
        self.now += 2 * agent_defaults.STARTUP_REGISTER_SECONDS
        self.assertEqual(self.read(self.take(AgentTimerFired(self.now))), [])

    def test_changed_directory_is_no_first_second(self) -> None:
        """Each change of the shards begins all streams anew."""
        self.state.registrar.predates_upstream = True
        self.notice(is_recent_start=True)
        self.now += agent_defaults.REGISTER_INTERVAL_SECONDS
        other = next(host for host in HOSTS if host not in {*NODES, OWN})
        moved = ((FIRST, other),)
        self.assertEqual(len(self.notice(revision=6, shards=moved)), 2)
        self.now += 2 * agent_defaults.STARTUP_REGISTER_SECONDS
        self.assertEqual(self.read(self.take(AgentTimerFired(self.now))), [])

    def test_large_directories_get_no_more_at_once(self) -> None:
        """With eight shards a thousand agents tell sixteen nodes each."""
        hosts = [f'10.0.{one // 250}.{one % 250}' for one in range(1000)]
        shards = make_directory(7, hosts, defaults.MAX_ASKED).shards
        self.notice(is_recent_start=True, revision=7, shards=shards)
        self.now += 4 * agent_defaults.STARTUP_REGISTER_SECONDS
        self.assertEqual(self.read(self.take(AgentTimerFired(self.now))), [])


class NeededRevisionTests(SearchTestCase):
    """Upstreams that started together change their entries for seconds."""

    def setUp(self) -> None:
        """Keep the names of all lines."""
        self.told: list[str] = []
        super().setUp()

    def take(self, event: PacketEvent) -> list[Any]:
        """Reduce one event."""
        effects = super().take(event)
        self.told.extend(
            one.name for one in effects if isinstance(one, Decided)
        )
        return effects

    def ask_anew(self) -> list[Any]:
        """Let both nodes deny the flow again; return what follows."""
        effects: list[Any] = []
        for _ in range(2):
            search = self.state.searches[FLOW.key]
            for host in tuple(search.pending_lookups):
                effects.extend(self.find(host))
        return effects

    def wait_for_catalog(self) -> None:
        """Let all deny the flow, who know of a change not in force here."""
        self.stamp = Stamp(9, may_lack_entries=False)
        self.assertEqual(self.deny(), [RefreshCatalog()])

    def check_owner_is_found(self) -> None:
        """The flow's upstream is in no catalog before the one of 12."""
        self.change(make_catalog(9, self.boards))
        effects = self.ask_anew()
        self.check_no_reset(effects)
        self.assertIn(RefreshCatalog(), effects)
        returned = make_upstream(50)
        effects = self.change(make_catalog(12, [*self.boards, returned]))
        host = returned.address.host
        node = min(self.state.searches[FLOW.key].pending_lookups)
        effects.extend(self.find(node, host))
        self.check_no_reset(effects)
        self.answer(host, EnvelopeKind.OWNED, FLOW.key)
        self.assertNotIn(FLOW.key, self.state.searches)

    def test_change_that_gossip_tells_after_the_denials_counts(self) -> None:
        """What was written before them may be heard after them."""
        self.wait_for_catalog()
        later = Stamp(12, may_lack_entries=False)
        self.take(PeerStampReceived(self.now, later))
        self.check_owner_is_found()

    def test_change_that_the_store_tells_after_the_denials_counts(
        self,
    ) -> None:
        """The revision of a catalog may be older than the store's."""
        self.wait_for_catalog()
        self.take(StorePolled(self.now, 5, 12, reaches_store=True))
        self.check_owner_is_found()

    def test_change_that_a_late_denial_tells_counts(self) -> None:
        """Envelopes state what their senders have heard."""
        self.wait_for_catalog()
        self.stamp = Stamp(12, may_lack_entries=False)
        self.check_owner_is_found()

    def test_named_stranger_in_a_later_catalog_counts(self) -> None:
        """Its node may start anew meanwhile and deny the flow."""
        self.wait_for_catalog()
        self.change(make_catalog(9, self.boards))
        self.stamp = Stamp(12, may_lack_entries=False)
        node = min(self.state.searches[FLOW.key].pending_lookups)
        self.find(node, '10.0.0.50')
        self.take(StorePolled(self.now, 9, 12, reaches_store=True))
        self.change(make_catalog(10, self.boards))
        self.check_no_reset(self.ask_anew())

    def test_living_flow_outlives_a_catalog_that_lacks_its_upstream(
        self,
    ) -> None:
        """Three real programs: the gossip is slower than the denials."""
        world = PacketMachine()
        world.start()
        world.overtake()
        key = next(reversed(world.flows))
        self.assertIn(key, world.upstreams['10.0.0.6'].open)

    def test_one_line_tells_of_a_flow_that_waits(self) -> None:
        """Catalogs may come many times a second, and lack a change each."""
        self.wait_for_catalog()
        for revision in (9, 10, 11):
            later = Stamp(revision + 1, may_lack_entries=False)
            self.take(PeerStampReceived(self.now, later))
            self.change(make_catalog(revision, self.boards))
            self.assertIn(RefreshCatalog(), self.ask_anew())
        self.assertEqual(self.told.count('verdict_waits_for_catalog'), 1)

    def test_search_of_a_caller_that_left_ends_although_catalogs_come(
        self,
    ) -> None:
        """Each catalog lets it ask anew, for a second."""
        self.wait_for_catalog()
        for revision in range(9, 14):
            self.change(make_catalog(revision, self.boards))
            later = Stamp(revision + 1, may_lack_entries=False)
            self.take(PeerStampReceived(self.now, later))
            self.ask_anew()
            self.now += defaults.CALLER_SILENCE_SECONDS / 4
        self.change(make_catalog(14, self.boards))
        self.take(TimerFired(self.now))
        self.assertNotIn(FLOW.key, self.state.searches)

    def test_node_that_speaks_is_not_asked_by_searches_that_wait(self) -> None:
        """Their catalog lets them ask it."""
        self.wait_for_catalog()
        search = self.state.searches[FLOW.key]
        search.answer_digests.pop(FIRST)
        node = self.state.directory_nodes[FIRST]
        node.lookup_sent_at = self.now
        node.was_lookup_repeated = False
        self.now += defaults.SEARCH_STEP_TIMEOUT_SECONDS
        self.report(FIRST)
        self.assertEqual(search.pending_lookups, set())

    def test_many_searches_read_the_store_once(self) -> None:
        """After an outage thousands wait for one catalog."""
        self.stamp = Stamp(20, may_lack_entries=False)
        flows = [FLOW._replace(port=port) for port in range(1, 30)]
        for flow in flows:
            self.send(ACK, flow)
        rows = tuple((flow.key, ()) for flow in flows)
        content = pack_lookup_response(
            LookupResponse(digest_hosts(self.covered), rows)
        )
        waits: list[int] = []
        for node in (FIRST, SECOND):
            for part in pack_coverage(self.covered):
                self.answer(node, EnvelopeKind.COVERED, part)
            effects = self.answer(node, EnvelopeKind.FOUND, content)
            waits.append(effects.count(RefreshCatalog()))
        self.assertEqual(waits, [0, 1])
        searches = self.state.searches.values()
        parked = sum(one.is_suspended for one in searches)
        self.assertEqual(parked, len(flows))

    def test_search_that_waits_for_a_catalog_is_not_begun_anew(self) -> None:
        """Its verdict is due with the catalog, not with the next packet."""
        self.stamp = Stamp(9, may_lack_entries=False)
        self.deny()
        self.now += defaults.SEARCH_TIMEOUT_SECONDS + 0.1
        self.take(TimerFired(self.now))
        self.stamp = NO_STAMP
        kinds = self.list_kinds(self.change(make_catalog(9, self.boards)))
        self.assertIn(EnvelopeKind.LOOKUP, kinds)


class ResetCallerTests(WaitTestCase):
    """How long a caller still waits whose dead flow was reset."""

    def retry(self, searched: float = 0) -> CallerWait:
        """Reset a flow after a search; return what is told of its retry."""
        self.now = defaults.SETTLING_SECONDS
        self.state.caller_waits.record_reset(FLOW.key, self.now, searched)
        return self.wait(FLOW.port + 1)

    def test_packet_that_was_reset_may_have_been_the_last_copy(self) -> None:
        """Such a caller leaves first of all who return from an outage.

        Half of the callers who left their upstream's queue after an outage
        did so within 0.75 s of the reset.
        """
        wait = self.retry()
        oldest = 1000 * OPEN_TIMEOUT_SECONDS
        self.assertEqual(wait.min_remaining_ms, round(2500 - oldest))
        self.assertEqual(wait.max_remaining_ms, 1900)

    def test_time_of_the_search_counts(self) -> None:
        """The caller may have waited for it, and leaves first then."""
        wait = self.retry(searched=0.5)
        oldest = 1000 * (OPEN_TIMEOUT_SECONDS + 0.5)
        self.assertEqual(wait, CallerWait(600, 1900, round(2500 - oldest)))

    def test_long_search_refuses_nobody(self) -> None:
        """Who has just sent an opening packet waits for its answer.

        An agent drops the opening when the caller's patience is over; with a
        search longer than the route's timeout it would do so at once.
        """
        wait = self.retry(searched=2.6)
        self.assertEqual((wait.age_ms, wait.max_remaining_ms), (600, 1900))
        self.assertLess(wait.min_remaining_ms, 0)

    def test_reset_of_an_opening_of_known_age_leaves_no_doubt(self) -> None:
        """All its copies were seen."""
        self.now = defaults.SETTLING_SECONDS
        self.wait(FLOW.port)
        self.now += 0.5
        self.state.caller_waits.record_reset(FLOW.key, self.now)
        wait = self.wait(FLOW.port + 1)
        self.assertEqual(wait, CallerWait(500, 2000, 2000))
