"""The balancer's decisions: owner, candidates, suspects, detours."""

from typing import Any
from unittest import TestCase

from keelgap.addresses import Address
from keelgap.instances import Instance, InstanceList
from keelgap.routing.connection_ids import ConnectionIdCodec, FlowOwner
from keelgap.table import Service, Table, Upstream
from keelgap.wire.encapsulation import Envelope, MessageKind
from keelgap_balancer.effects import (
    CloseService,
    OpenService,
    SendEnvelope,
)
from keelgap_balancer.events import (
    BalancerEvent,
    CallerDatagram,
    EnvelopeReceived,
    InstancesChanged,
    TableChanged,
    TimerFired,
)
from keelgap_balancer.reducer import reduce
from keelgap_balancer.state import BalancerState
from tests.effects import typed

OWN = Address('127.0.0.11', 7001)
PEER = Address('127.0.0.12', 7001)
CALLER = Address('10.0.0.1', 999)
BOARD = 1
PROOF = 2
INITIAL = b'\xc0\0\0\0\1\x08' + b'dcid-abc' + bytes(1200)


def make_agents(count: int, subnet: int) -> list[Address]:
    """Return the data addresses of some agents."""
    return [
        Address(f'127.0.{subnet}.{index + 1}', 7001) for index in range(count)
    ]


def make_table(revision: int, boards: list[Address], **row: Any) -> Table:
    """Return a table of a board and a proof service."""
    upstreams = {
        BOARD: tuple(
            Upstream(f'b{index}', 'board', agent, **row)
            for index, agent in enumerate(boards)
        ),
        PROOF: (Upstream('p', 'proof', Address('127.0.9.1', 7001)),),
    }
    services = {
        BOARD: Service('board', BOARD, 4430),
        PROOF: Service('proof', PROOF, 4431),
    }
    return Table(revision, '', services, upstreams)


def make_list(revision: int, leaving: tuple[Address, ...] = ()) -> InstanceList:
    """Return a list with one peer balancer and some leaving agents."""
    peer = Instance('peer', 'balancer', PEER, PEER, 'zone-a', 'live')
    agents = (
        Instance(str(agent), 'agent', agent, agent, 'zone-a', 'leaving')
        for agent in leaving
    )
    return InstanceList(revision, (peer, *agents))


class BalancerTestCase(TestCase):
    """A balancer with four board agents, driven by events."""

    def setUp(self) -> None:
        """Put a table in force."""
        self.codec = ConnectionIdCodec({1: bytes(16)}, 1)
        self.state = BalancerState(OWN, self.codec)
        self.boards = make_agents(4, 1)
        self.now = 100.0
        self.opened = self.feed(
            TableChanged(self.now, make_table(1, self.boards)),
        )
        self.feed(InstancesChanged(self.now, make_list(1)))

    def feed(self, event: BalancerEvent) -> tuple[Any, ...]:
        """Reduce an event and return its effects."""
        self.state, effects = reduce(self.state, event)
        return effects

    def send(self, payload: bytes, service: int = BOARD) -> tuple[Any, ...]:
        """Have a caller's datagram arrive."""
        return self.feed(CallerDatagram(self.now, service, CALLER, payload))

    def assert_drop(self, effects: tuple[Any, ...], reason: str) -> None:
        """Check that a datagram was dropped for one reason."""
        self.assertEqual(typed(effects), [('Drop', reason)])

    def make_packet(self, owner: Address, service: int = BOARD) -> bytes:
        """Return a short-header packet of a flow."""
        connection_id = self.codec.issue(FlowOwner(owner, service))
        return b''.join((b'\x40', connection_id, bytes(40)))

    def pass_time(self, seconds: float) -> list[Any]:
        """Let the timer fire every 0.1 s; return all effects."""
        effects: list[Any] = []
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            effects.extend(self.feed(TimerFired(self.now)))
        return effects

    def hear(self, agent: Address) -> None:
        """Have an agent say that it is there."""
        envelope = Envelope(MessageKind.PROBE_REPLY, 0, 1)
        self.feed(EnvelopeReceived(self.now, agent, envelope))

    def silence(self, first: Address) -> None:
        """Have an agent stay silent on an Initial until it is suspect."""
        self.state.health.expect_answer(first, self.now)
        self.pass_time(1.2)


class RoutingTests(BalancerTestCase):
    """Packets reach their owner, and no other service."""

    def test_services_are_opened_and_closed_with_the_table(self) -> None:
        """Only what changed is touched."""
        ports = [effect.service.port for effect in self.opened]
        self.assertEqual(ports, [4430, 4431])
        self.assertTrue(all(isinstance(e, OpenService) for e in self.opened))
        table = make_table(2, self.boards)
        smaller = table._replace(services={BOARD: table.services[BOARD]})
        effects = self.feed(TableChanged(self.now, smaller))
        self.assertEqual([type(one) for one in effects], [CloseService])

    def test_known_flow_reaches_its_owner(self) -> None:
        """The connection id alone tells the owner."""
        for agent in self.boards:
            effect = self.send(self.make_packet(agent))[0]
            self.assertEqual(effect.receiver, agent)
            self.assertEqual(effect.envelope.candidates, ())

    def test_packet_of_another_service_is_dropped(self) -> None:
        """A packet for the board never reaches the proof service."""
        packet = self.make_packet(self.boards[0], BOARD)
        self.assert_drop(self.send(packet, PROOF), 'foreign_service')

    def test_owner_that_was_never_published_is_dropped(self) -> None:
        """Even under the right key."""
        packet = self.make_packet(Address('8.8.8.8', 53))
        self.assert_drop(self.send(packet), 'unknown_owner')

    def test_forged_and_malformed_packets_are_dropped(self) -> None:
        """Each is counted by its type."""
        forged = b''.join((b'\x40', bytes(60)))
        self.assert_drop(self.send(forged), 'forged_connection_id')
        self.assert_drop(self.send(b'\0' * 60), 'malformed')

    def test_flow_outlives_its_row(self) -> None:
        """An upstream that is taken out keeps its open flows."""
        self.now += 10 * 86400
        self.feed(TableChanged(self.now, make_table(2, self.boards[1:])))
        effect = self.send(self.make_packet(self.boards[0]))[0]
        self.assertEqual(effect.receiver, self.boards[0])

    def test_joiner_knows_owners_from_the_list(self) -> None:
        """A balancer that never saw the row still serves its flows."""
        gone = Address('127.0.1.77', 7001)
        self.feed(InstancesChanged(self.now, make_list(2, (gone,))))
        effect = self.send(self.make_packet(gone))[0]
        self.assertEqual(effect.receiver, gone)

    def test_older_table_is_ignored(self) -> None:
        """The table in force never reverts."""
        self.feed(TableChanged(self.now, make_table(5, self.boards)))
        self.feed(TableChanged(self.now, make_table(4, self.boards[:1])))
        self.assertEqual(self.state.table.revision, 5)

    def test_answer_returns_from_the_port_of_its_service(self) -> None:
        """An unknown service has no port."""
        envelope = Envelope(
            MessageKind.RETURN,
            BOARD,
            1,
            CALLER,
            payload=b'x',
        )
        event = EnvelopeReceived(self.now, self.boards[0], envelope)
        self.assertEqual(
            typed(self.feed(event)),
            [('SendToCaller', BOARD, CALLER, b'x')],
        )
        stray = event._replace(envelope=envelope._replace(service=9))
        self.assert_drop(self.feed(stray), 'foreign_service')


class NewFlowTests(BalancerTestCase):
    """Initial packets are ranked the same everywhere."""

    def get_candidates(self) -> tuple[Address, ...]:
        """Return the candidates for one Initial."""
        effect = self.send(INITIAL)[0]
        candidates: tuple[Address, ...] = effect.envelope.candidates
        return candidates

    def test_two_balancers_rank_alike(self) -> None:
        """Both datagrams of a long ClientHello reach the same agent."""
        other = BalancerState(PEER, self.codec)
        reduce(other, TableChanged(0, make_table(1, self.boards)))
        _, effects = reduce(other, CallerDatagram(0, BOARD, CALLER, INITIAL))
        candidates = effects[0].envelope.candidates
        self.assertEqual(candidates, self.get_candidates())
        self.assertEqual(len(candidates), 3)

    def test_leaving_upstreams_get_no_new_flow(self) -> None:
        """By row state or by the platform's list."""
        first, second = self.get_candidates()[:2]
        self.feed(InstancesChanged(self.now, make_list(2, (first,))))
        self.assertNotIn(first, self.get_candidates())
        rest = [one for one in self.boards if one not in {first, second}]
        self.feed(TableChanged(self.now, make_table(2, rest)))
        self.assertEqual(set(self.get_candidates()), set(rest))

    def test_service_without_taker_drops(self) -> None:
        """There is nobody to decide."""
        table = make_table(2, self.boards, state='draining')
        self.feed(TableChanged(self.now, table))
        self.assert_drop(self.send(INITIAL), 'no_upstream')

    def test_silent_agent_is_suspect_within_about_a_second(self) -> None:
        """The next Initial goes to the next candidate first."""
        first, second = self.get_candidates()[:2]
        self.assertIn(('Count', 'suspected'), typed(self.pass_time(1.2)))
        candidates = self.get_candidates()
        self.assertEqual(candidates[0], second)
        self.assertEqual(candidates[-1:] == (first,), False)

    def test_answer_clears_suspicion(self) -> None:
        """Any authentic message counts."""
        first = self.get_candidates()[0]
        self.pass_time(1.2)
        self.hear(first)
        self.assertEqual(self.get_candidates()[0], first)

    def test_no_mass_ejection(self) -> None:
        """At most half of a service is suspect at once."""
        for agent in self.boards:
            self.state.health.expect_answer(agent, self.now)
        self.pass_time(5)
        suspects = [
            agent
            for agent in self.boards
            if self.state.health.is_suspect(agent)
        ]
        self.assertEqual(len(suspects), 2)

    def test_only_upstream_is_asked_through_a_peer(self) -> None:
        """A service of one upstream has a way around a cut, too."""
        only = self.boards[:1]
        self.feed(TableChanged(self.now, make_table(2, only)))
        self.get_candidates()
        self.pass_time(1.2)
        detour = self.send(INITIAL)[0]
        self.assertEqual(detour.receiver, PEER)
        self.assertEqual(detour.envelope.candidates, tuple(only))

    def test_own_pause_is_not_taken_for_silence(self) -> None:
        """A balancer that slept 10 s suspects nobody when it wakes."""
        self.pass_time(0.1)
        self.get_candidates()
        self.now += 10
        effects = self.feed(TimerFired(self.now))
        self.assertEqual(effects, ())

    def test_suspects_are_probed_with_backoff(self) -> None:
        """Probes get rarer, up to a bound."""
        self.silence(self.boards[0])
        probes = [
            effect
            for effect in self.pass_time(30)
            if isinstance(effect, SendEnvelope)
        ]
        kinds = {effect.envelope.kind for effect in probes}
        self.assertEqual(kinds, {MessageKind.PROBE})
        self.assertLess(len(probes), 10)
        self.assertGreater(len(probes), 3)


class DetourTests(BalancerTestCase):
    """A peer delivers what this balancer cannot."""

    def test_packet_for_a_suspect_owner_goes_through_one_peer(self) -> None:
        """It is counted."""
        owner = self.boards[0]
        self.silence(owner)
        forward, counted = self.send(self.make_packet(owner))
        self.assertEqual(forward.receiver, PEER)
        self.assertEqual(forward.envelope.kind, MessageKind.DETOUR)
        self.assertEqual(forward.envelope.via, owner)
        self.assertEqual(typed([counted]), [('Count', 'detours')])

    def test_peers_take_turns(self) -> None:
        """One that is cut off, too, does not swallow a flow for ever."""
        owner = self.boards[0]
        others = tuple(
            Instance(str(host), 'balancer', host, host, 'zone-a', 'live')
            for host in make_agents(3, 7)
        )
        self.feed(InstancesChanged(self.now, InstanceList(2, others)))
        self.silence(owner)
        receivers = set()
        for _ in range(30):
            self.now += 1
            receivers.add(self.send(self.make_packet(owner))[0].receiver)
        self.assertEqual(receivers, {other.data for other in others})

    def test_peer_delivers_and_never_detours_again(self) -> None:
        """Even if it suspects the owner, too: no loop."""
        owner = self.boards[0]
        self.silence(owner)
        envelope = Envelope(
            MessageKind.DETOUR,
            BOARD,
            1,
            CALLER,
            owner,
            payload=b'x',
        )
        effects = self.feed(EnvelopeReceived(self.now, PEER, envelope))
        self.assertEqual(effects[0].receiver, owner)
        self.assertEqual(effects[0].envelope.kind, MessageKind.FORWARD)
        self.assertEqual(typed(effects[1:]), [('Count', 'detours_delivered')])

    def test_detour_to_an_address_that_was_never_published_is_dropped(
        self,
    ) -> None:
        """A peer cannot make this balancer send anywhere."""
        envelope = Envelope(
            MessageKind.DETOUR,
            BOARD,
            1,
            CALLER,
            Address('8.8.8.8', 53),
        )
        effects = self.feed(EnvelopeReceived(self.now, PEER, envelope))
        self.assert_drop(effects, 'unknown_owner')

    def test_known_flow_of_a_quiet_agent_leads_to_a_probe(self) -> None:
        """Answers may return elsewhere, so silence needs a question first."""
        owner = self.boards[0]
        packet = self.make_packet(owner)
        self.send(packet)
        self.now += 2
        _, probe = self.send(packet)
        self.assertEqual(probe.envelope.kind, MessageKind.PROBE)
        self.assertEqual(len(self.send(packet)), 1)
        self.pass_time(1.2)
        self.assertTrue(self.state.health.is_suspect(owner))
