"""The flow directory of a large service: agents, nodes and messages."""

from typing import Any
from unittest import TestCase

from keelgap.packets.directory import (
    choose_nodes,
    digest_hosts,
    make_directory,
)
from keelgap.packets.directory_messages import (
    LookupRequest,
    LookupResponse,
    Registration,
    pack_coverage,
    pack_lookup_request,
    pack_lookup_response,
    pack_registration,
    unpack_coverage,
    unpack_lookup_request,
    unpack_lookup_response,
    unpack_registration,
)
from keelgap.packets.envelopes import Envelope, EnvelopeKind
from keelgap.packets.exceptions import MalformedEnvelope
from keelgap.packets.notices import (
    UpstreamNotice,
    pack_notice,
    unpack_notice,
)
from keelgap_agent.packets import defaults as agent_defaults
from keelgap_agent.packets.effects import Decided, SendToPeer, SendToUpstream
from keelgap_agent.packets.events import (
    AgentEvent,
    EnvelopeArrived,
    TimerFired,
    UpstreamPacket,
)
from keelgap_agent.packets.reducer import reduce
from keelgap_agent.packets.state import AgentState
from keelgap_balancer.packets import defaults
from tests.packets.building import (
    ACK,
    FORMAT,
    SYN,
    FlowName,
    make_packet,
)

FLOW = FlowName('100.64.0.7', 40001)
HOSTS = tuple(f'10.0.0.{number}' for number in range(1, 13))
DIRECTORY = make_directory(5, HOSTS, defaults.MAX_ASKED)
NOTICE = UpstreamNotice(
    DIRECTORY.revision,
    DIRECTORY.shards,
    upstream_tag=1,
    upstream_revision=1,
)
NODES = choose_nodes(DIRECTORY, FLOW.key)
FIRST, SECOND = NODES
OWN = next(host for host in HOSTS if host not in NODES)
BALANCER = '10.1.0.1'


class MessageTests(TestCase):
    """What goes over the wire."""

    def test_messages_come_back_as_they_were(self) -> None:
        """Each kind, with and without rows."""
        notice = UpstreamNotice(
            DIRECTORY.revision,
            DIRECTORY.shards,
            7,
            9,
            is_recent_start=True,
            is_evacuated=True,
            warm_up_ms=1500,
            warm_up_flow_rate=2.5,
        )
        self.assertEqual(unpack_notice(pack_notice(notice)), notice)
        question = LookupRequest(3, (FLOW.key,))
        self.assertEqual(
            unpack_lookup_request(pack_lookup_request(question)), question
        )
        registration = Registration(1, 2, 3, 4, 5, True, (FLOW.key,))
        content = pack_registration(registration)
        self.assertEqual(unpack_registration(content), registration)
        other = FLOW._replace(port=2).key
        lookup = LookupResponse(1, ((FLOW.key, HOSTS[:2]), (other, ())))
        self.assertEqual(
            unpack_lookup_response(pack_lookup_response(lookup)), lookup
        )

    def test_long_lists_of_hosts_come_in_parts(self) -> None:
        """A datagram must not be fragmented."""
        hosts = {f'10.0.{high}.{low}' for high in (1, 2) for low in range(200)}
        parts = [unpack_coverage(content) for content in pack_coverage(hosts)]
        self.assertEqual(len(parts), 2)
        self.assertEqual({host for one in parts for host in one.hosts}, hosts)
        self.assertEqual(parts[0].digest, digest_hosts(hosts))

    def test_octets_that_make_no_message_are_refused(self) -> None:
        """They come over a network."""
        readers = (
            unpack_notice,
            unpack_lookup_request,
            unpack_registration,
            unpack_lookup_response,
            unpack_coverage,
        )
        for unpack in readers:
            with self.subTest(unpack), self.assertRaises(MalformedEnvelope):
                unpack(bytes(5))
            with self.subTest(unpack), self.assertRaises(MalformedEnvelope):
                unpack(bytes(63))


class PlaceTests(TestCase):
    """Where a directory lies."""

    def test_small_services_have_none(self) -> None:
        """Their agents are asked themselves."""
        few = HOSTS[: defaults.MAX_ASKED]
        self.assertEqual(make_directory(5, few, defaults.MAX_ASKED).shards, ())

    def test_nodes_of_a_flow_do_not_grow_with_the_service(self) -> None:
        """Its shards do, so that no node has to know all flows."""
        for count, shards in ((10, 1), (129, 2), (1000, 8)):
            hosts = [f'10.0.{one // 250}.{one % 250}' for one in range(count)]
            directory = make_directory(5, hosts, defaults.MAX_ASKED)
            self.assertEqual(len(directory.shards), shards)
            self.assertEqual(len(set(choose_nodes(directory, FLOW.key))), 2)

    def test_another_host_moves_no_more_than_one_node(self) -> None:
        """Each move costs a registration of all flows."""
        later = make_directory(6, (*HOSTS, '10.0.0.99'), defaults.MAX_ASKED)
        kept = set(choose_nodes(later, FLOW.key)) & {FIRST, SECOND}
        self.assertTrue(kept)


class AgentTestCase(TestCase):
    """An agent whose service has a directory on two other hosts."""

    own = OWN

    def setUp(self) -> None:
        """Start anew."""
        self.now: float = 100
        self.state = AgentState(FORMAT, 'board', self.now, self.own)
        #: Lines of what was decided on envelopes.
        self.told: list[Decided] = []

    def take(self, event: AgentEvent) -> list[Any]:
        """Reduce one event."""
        self.state, effects = reduce(self.state, event)
        return list(effects)

    def hear(self, sender: str, kind: EnvelopeKind, content: bytes) -> Any:
        """Let another process send an envelope."""
        tag = self.state.service_tag
        envelope = Envelope(kind, 0, 3, 0, 500, tag, content)
        effects = self.take(EnvelopeArrived(self.now, sender, envelope))
        self.told += [one for one in effects if isinstance(one, Decided)]
        return [one for one in effects if isinstance(one, SendToPeer)]

    def notice(self, **fields: Any) -> list[Registration]:
        """Let a balancer tell of the directory; return what is registered."""
        content = pack_notice(NOTICE._replace(**fields))
        return self.read(self.hear(BALANCER, EnvelopeKind.HELLO, content))

    def open(self, port: int) -> list[Registration]:
        """Open a flow; return what is registered."""
        packet = make_packet(FLOW._replace(port=port), SYN)
        return self.read(self.hear(BALANCER, EnvelopeKind.OPEN, packet))

    def read(self, effects: list[Any]) -> list[Registration]:
        """Return the registrations among effects."""
        return [
            unpack_registration(one.envelope.content)
            for one in effects
            if one.envelope.kind == EnvelopeKind.REGISTER
        ]


class RegistrationTests(AgentTestCase):
    """What an agent tells the directory."""

    def test_flow_is_registered_before_its_first_packet_passes(self) -> None:
        """A caller may go on through another balancer at once."""
        self.notice()
        tag = self.state.service_tag
        packet = make_packet(FLOW, SYN)
        opening = Envelope(EnvelopeKind.OPEN, 0, 3, 0, 500, tag, packet)
        event = EnvelopeArrived(self.now, BALANCER, opening)
        *registered, passed = self.take(event)
        self.assertEqual({one.host for one in registered}, {FIRST, SECOND})
        self.assertIsInstance(passed, SendToUpstream)

    def test_flows_opened_before_the_notice_are_registered(self) -> None:
        """The first greeting after a start may be a second away."""
        packet = make_packet(FLOW, SYN)
        (ask,) = self.hear(BALANCER, EnvelopeKind.OPEN, packet)
        self.assertEqual((ask.host, ask.envelope.kind), (BALANCER, 9))
        self.assertEqual(self.open(FLOW.port + 1), [])
        registered = self.notice()
        self.assertEqual([len(one.keys) for one in registered], [2, 2])

    def test_new_nodes_learn_of_all_flows(self) -> None:
        """Those that stay do as well, since flows change their shard."""
        self.notice()
        self.open(1)
        other = next(host for host in HOSTS if host not in {*NODES, OWN})
        moved = ((FIRST, other),)
        registered = self.notice(revision=6, shards=moved)
        self.assertEqual([len(one.keys) for one in registered], [1, 1])
        self.assertEqual(self.notice(revision=6, shards=moved), [])

    def test_directory_outlasts_long_silence_of_balancers(self) -> None:
        """Found on the users' bench: an open flow was reset.

        The agent had dropped its directory after 15 s without a notice, and
        the nodes went on to speak for it, without its latest flow.
        """
        self.notice()
        self.now += 600
        self.take(TimerFired(self.now))
        self.assertEqual([len(one.keys) for one in self.open(1)], [1, 1])

    def test_reload_of_other_settings_ends_no_registration(self) -> None:
        """The nodes go on to speak for this agent.

        Guards flows that open between a reload and the next notice.
        """
        self.notice()
        self.state.change_service('board', self.now)
        self.assertEqual([len(one.keys) for one in self.open(1)], [1, 1])

    def test_another_service_has_another_directory(self) -> None:
        """New flows wait until a balancer has told of it."""
        self.notice()
        self.state.change_service('proof', self.now)
        self.assertEqual(self.open(1), [])
        self.assertEqual(self.state.flows, {})
        registered = self.notice()
        self.assertEqual([len(one.keys) for one in registered], [1, 1])

    def test_older_notice_changes_nothing(self) -> None:
        """A balancer that was frozen wakes with an old view."""
        self.notice()
        old = ((HOSTS[0], HOSTS[1]),)
        self.assertEqual(self.notice(revision=4, shards=old), [])
        self.assertEqual(set(self.state.registrar.streams), {FIRST, SECOND})

    def test_agent_younger_than_its_upstream_does_not_know_all(self) -> None:
        """Its upstream holds flows that another agent passed on."""
        registration = self.notice(is_recent_start=False)[0]
        self.assertFalse(registration.is_complete)
        self.now += agent_defaults.MAX_FLOW_AGE_SECONDS
        self.take(TimerFired(self.now))
        self.assertTrue(self.state.registrar.is_complete)

    def test_agent_older_than_its_upstream_knows_all(self) -> None:
        """As on a machine that is added: nothing ran when it began."""
        self.state.registrar.predates_upstream = True
        registration = self.notice(is_recent_start=True)[0]
        self.assertTrue(registration.is_complete)

    def test_agent_that_begins_after_its_upstream_does_not_know_all(
        self,
    ) -> None:
        """However short ago it started: another process may have been here."""
        registration = self.notice(is_recent_start=True)[0]
        self.assertFalse(registration.is_complete)

    def test_upstream_that_only_stopped_to_listen_is_no_younger(self) -> None:
        """One that leaves may hold flows though it takes no probe."""
        self.state.registrar.predates_upstream = True
        registration = self.notice(is_recent_start=False)[0]
        self.assertFalse(registration.is_complete)

    def test_lines_tell_why_it_knows_all_flows(self) -> None:
        """And when it was told where to register them."""
        self.now += 0.5
        self.state.registrar.predates_upstream = True
        self.notice(is_recent_start=True)
        reason, told = (one.fields or {} for one in self.told)
        self.assertEqual(reason['reason'], 'older_than_upstream')
        self.assertEqual((reason['age'], told['age']), (0.5, 0.5))
        self.assertTrue(told['is_first'])

    def test_agent_that_knows_all_flows_knows_all_of_the_next_upstream(
        self,
    ) -> None:
        """It is older than both."""
        self.state.registrar.predates_upstream = True
        self.notice(is_recent_start=True)
        self.notice(is_recent_start=False, upstream_tag=2, upstream_revision=2)
        self.assertTrue(self.state.registrar.is_complete)

    def test_name_of_another_upstream_is_no_proof_of_a_start(self) -> None:
        """A balancer that is behind may tell of the former one first."""
        self.notice(is_recent_start=False)
        self.notice(upstream_tag=2, upstream_revision=2)
        self.assertFalse(self.state.registrar.is_complete)

    def test_entry_of_the_former_upstream_comes_late(self) -> None:
        """From a balancer that has not read of the later one."""
        self.notice(is_recent_start=False, upstream_tag=2, upstream_revision=2)
        self.notice(upstream_tag=1, upstream_revision=1)
        self.assertFalse(self.state.registrar.is_complete)

    def test_flow_that_shows_itself_is_registered(self) -> None:
        """After a lone restart of the agent."""
        self.notice()
        packet = make_packet(FLOW, ACK, back=True, data=b'x')
        effects = self.take(UpstreamPacket(self.now, packet))
        peers = [one for one in effects if isinstance(one, SendToPeer)]
        self.assertEqual(len(self.read(peers)), 2)

    def test_silence_is_broken_each_second(self) -> None:
        """Else a lost registration would not show."""
        self.notice()
        self.now += agent_defaults.REGISTER_INTERVAL_SECONDS
        registered = self.read(self.take(TimerFired(self.now)))
        self.assertEqual([one.keys for one in registered], [(), ()])


class NodeTests(AgentTestCase):
    """What an agent that keeps a directory answers."""

    own = FIRST

    def register(self, host: str = OWN, **fields: Any) -> None:
        """Let an agent register a flow, or something else."""
        keys = (FLOW.key,)
        registration = Registration(1, 1, 0, 1, 7, True, keys)
        content = pack_registration(registration._replace(**fields))
        self.hear(host, EnvelopeKind.REGISTER, content)

    def look_up(self, key: bytes = FLOW.key) -> tuple[str, ...]:
        """Return who holds a flow."""
        question = pack_lookup_request(LookupRequest(0, (key,)))
        answers = self.hear(BALANCER, EnvelopeKind.LOOKUP, question)
        lookup = unpack_lookup_response(answers[-1].envelope.content)
        ((found, hosts),) = lookup.rows
        self.assertEqual(found, key)
        return hosts

    def list_covered(self) -> frozenset[str]:
        """Return for whom it speaks."""
        self.now += agent_defaults.COVERAGE_UPDATE_SECONDS
        self.look_up()
        return self.state.directory.covered

    def test_holder_is_named_and_spoken_for(self) -> None:
        """A balancer that does not know for whom is told."""
        self.register()
        self.assertEqual(self.look_up(), (OWN,))
        question = pack_lookup_request(LookupRequest(0, (FLOW.key,)))
        told, found = self.hear(BALANCER, EnvelopeKind.LOOKUP, question)
        coverage = unpack_coverage(told.envelope.content)
        self.assertEqual(coverage.hosts, (OWN,))
        known = pack_lookup_request(LookupRequest(coverage.digest, (FLOW.key,)))
        answers = self.hear(BALANCER, EnvelopeKind.LOOKUP, known)
        self.assertEqual(answers, [found])

    def test_lost_registration_ends_the_coverage(self) -> None:
        """Until the agent has registered all flows anew."""
        self.register(keys=(), end=0)
        self.assertEqual(self.list_covered(), {OWN})
        self.register(sequence=1, end=2)
        self.assertEqual(self.list_covered(), frozenset())
        self.now += agent_defaults.RESYNC_DELAY_SECONDS
        effects = self.take(TimerFired(self.now))
        asked = [one for one in effects if isinstance(one, SendToPeer)]
        self.assertEqual(asked[0].envelope.kind, EnvelopeKind.RESYNC)
        self.register(stream=2)
        self.assertEqual(self.list_covered(), {OWN})

    def test_registrations_may_overtake_each_other(self) -> None:
        """Those of one list leave at the same moment."""
        other = FLOW._replace(port=2).key
        self.register(sequence=1, end=2, keys=(other,))
        self.register(sequence=0, end=2)
        self.assertEqual(self.list_covered(), {OWN})

    def test_silent_agent_is_not_spoken_for(self) -> None:
        """It may be cut off here, and open flows for others."""
        self.register()
        self.now += agent_defaults.COVERAGE_TIMEOUT_SECONDS + 0.1
        self.assertEqual(self.list_covered(), frozenset())
        self.assertEqual(self.look_up(), ())

    def test_agent_that_falls_silent_is_named_while_it_is_covered(self) -> None:
        """To cover it and not to name it would deny a flow that lives.

        Whom a node covers is counted anew after a moment only.
        """
        self.register()
        self.now += agent_defaults.COVERAGE_TIMEOUT_SECONDS
        self.now -= agent_defaults.COVERAGE_UPDATE_SECONDS * 1.2
        self.assertEqual(self.list_covered(), {OWN})
        self.now += agent_defaults.COVERAGE_UPDATE_SECONDS / 2
        self.assertEqual(self.look_up(), (OWN,))
        self.assertEqual(self.state.directory.covered, {OWN})
        self.now += agent_defaults.COVERAGE_UPDATE_SECONDS
        self.assertEqual(self.look_up(), ())
        self.assertEqual(self.state.directory.covered, frozenset())

    def test_frozen_node_does_not_speak_for_what_it_knew(self) -> None:
        """The first event after it wakes may be a question."""
        self.register()
        self.list_covered()
        self.now += 60
        self.look_up()
        self.assertEqual(self.state.directory.covered, frozenset())

    def test_second_agent_of_an_upstream_is_not_believed(self) -> None:
        """The first one passed flows to the same upstream.

        It may say so in good faith: both began in the upstream's first
        seconds.
        """
        self.register()
        self.register(boot=2)
        self.assertEqual(self.list_covered(), frozenset())
        self.register(boot=3, upstream_tag=8)
        self.assertEqual(self.list_covered(), {OWN})

    def test_second_agent_is_doubted_until_its_upstream_is_known(self) -> None:
        """Balancers that are behind do not tell it."""
        self.register()
        self.register(boot=2, upstream_tag=0)
        self.assertEqual(self.list_covered(), frozenset())
        self.register(boot=2, upstream_tag=7, stream=2)
        self.assertEqual(self.list_covered(), frozenset())
        self.register(boot=2, upstream_tag=8, stream=3)
        self.assertEqual(self.list_covered(), {OWN})

    def test_third_agent_is_doubted_if_the_second_never_knew(self) -> None:
        """The first one passed flows to the same upstream."""
        self.register()
        self.register(boot=2, upstream_tag=0)
        self.register(boot=3)
        self.assertEqual(self.list_covered(), frozenset())

    def test_lines_tell_whom_it_speaks_for_and_who_restarted(self) -> None:
        """Afterwards there is nothing else to tell why a flow was denied."""
        self.register()
        question = pack_lookup_request(LookupRequest(0, (FLOW.key,)))
        self.hear(BALANCER, EnvelopeKind.LOOKUP, question)
        self.register(boot=2)
        self.now += agent_defaults.COVERAGE_UPDATE_SECONDS
        self.hear(BALANCER, EnvelopeKind.LOOKUP, question)
        names = [one.name for one in self.told]
        self.assertEqual(
            names,
            ['coverage_changed', 'agent_restarted', 'coverage_changed'],
        )
        first, restarted, last = (one.fields or {} for one in self.told)
        self.assertEqual(first['added_hosts'], [OWN])
        self.assertEqual((restarted['host'], restarted['former_tag']), (OWN, 7))
        self.assertEqual((last['removed_hosts'], last['covered']), ([OWN], 0))

    def test_both_holders_of_a_copied_opening_are_named(self) -> None:
        """Its caller chose one of them, and only that one knows."""
        self.register()
        self.register(host=SECOND)
        self.assertEqual(self.look_up(), (OWN, SECOND))

    def test_own_flows_are_named(self) -> None:
        """Without a message to itself."""
        self.notice()
        self.open(FLOW.port)
        self.assertEqual(self.look_up(), (FIRST,))

    def test_agents_of_another_service_are_not_heard(self) -> None:
        """An address may be used again by another one."""
        registration = Registration(1, 1, 0, 1, 7, True, (FLOW.key,))
        content = pack_registration(registration)
        envelope = Envelope(EnvelopeKind.REGISTER, 0, 0, 0, 0, 1, content)
        self.take(EnvelopeArrived(self.now, OWN, envelope))
        self.assertEqual(self.look_up(), ())

    def test_node_of_another_service_speaks_for_nobody(self) -> None:
        """Hosts of the former one may serve this one, too."""
        self.register()
        self.assertEqual(self.list_covered(), {OWN})
        self.state.change_service('proof', self.now)
        self.assertEqual(self.list_covered(), frozenset())

    def test_waiting_balancer_is_told_of_agents_that_come_in(self) -> None:
        """After an outage its verdicts wait for them."""
        self.look_up()
        self.register()
        self.now += agent_defaults.TIMER_SECONDS
        effects = self.take(TimerFired(self.now))
        (told,) = (one for one in effects if isinstance(one, SendToPeer))
        self.assertEqual(told.host, BALANCER)
        hosts = unpack_coverage(told.envelope.content).hosts
        self.assertEqual(hosts, (OWN,))
