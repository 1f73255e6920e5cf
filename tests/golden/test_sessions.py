"""Eight sessions, event by event; a change of behaviour shows as a diff."""

from unittest import TestCase

from approvaltests import Options, verify
from approvaltests.reporters import PythonNativeReporter

from keelgap.addresses import Address
from keelgap.instances import Instance, InstanceList
from keelgap.routing.connection_ids import ConnectionIdCodec, FlowOwner
from keelgap.table import Table
from keelgap.wire.encapsulation import Envelope, MessageKind
from keelgap_agent import events
from keelgap_agent.requests.outcomes import OutcomeKind
from keelgap_balancer.events import (
    BalancerEvent,
    CallerDatagram,
    EnvelopeReceived,
    InstancesChanged,
    StopRequested,
    TableChanged,
    TimerFired,
)
from keelgap_balancer.reducer import reduce
from keelgap_balancer.state import BalancerState
from keelgap_standins.simulated_network import (
    TABLE_KEY,
    make_table_document,
    start_network,
)
from tests.agent.fakes import World
from tests.balancer.test_forwarding import BOARD, CALLER, PROOF, make_table
from tests.golden.recorder import Recorder


def check(recorder: Recorder) -> None:
    """Compare a session with its golden file."""
    options = Options().with_reporter(PythonNativeReporter())
    verify(
        recorder.get_text(),
        options=options.for_file.with_extension('.jsonl'),
    )


class AgentSessions(TestCase):
    """Sessions of two agents of one service."""

    def setUp(self) -> None:
        """Record every agent of a world."""
        self.world = World()
        self.recorder = Recorder(self.world.now)
        self.first, self.second = self.world.agents
        for agent in self.world.agents:
            agent.recorder = self.recorder
            agent.open_flow(agent.index + 1)

    def submit(self, key: str, **head: object) -> int:
        """Submit through the first agent."""
        return self.first.submit(key, **head)

    def test_table_change_during_an_upload(self) -> None:
        """The row says draining; the upload runs to its end."""
        self.recorder.tell('An upload is open when its row turns to draining.')
        upload = self.first.request('/feed', flow_id=1)
        self.world.draining = {0}
        self.world.publish()
        self.recorder.tell('A new request there finds a place elsewhere.')
        self.first.request(flow_id=1)
        self.second.finish(self.second.running[0])
        self.recorder.tell('The upload ends, and with it the flow.')
        self.world.now += 60
        self.first.finish(upload)
        self.world.pass_time(0.1)
        check(self.recorder)

    def test_issuer_lost(self) -> None:
        """Its ledger died with it, and nobody guesses."""
        key = f'{self.first.get_ticket()}.run'
        self.submit(key, flow_id=1)
        self.recorder.tell('The issuer crashes while the request runs.')
        self.world.restart(0)
        self.world.agents[0].recorder = self.recorder
        self.recorder.tell('The caller retries through another agent.')
        self.second.submit(key, flow_id=2)
        check(self.recorder)

    def test_drain_with_requests_waiting(self) -> None:
        """What waits is passed on, what cannot move is refused for good."""
        self.world.cut.add(frozenset((0, 1)))
        for _ in range(2):
            self.first.request('/page', portable=False)
        key = f'{self.first.get_ticket()}.run'
        self.submit(key, portable=False)
        self.recorder.tell('Two run and one waits; SIGTERM arrives.')
        self.first.feed(events.StopRequested(self.world.now))
        self.recorder.tell('A late copy of the refused request never runs.')
        self.submit(key)
        self.first.finish(self.first.running[0])
        self.first.finish(self.first.running[0])
        self.recorder.tell('The flow ends once its caller had time to know.')
        self.world.pass_time(1.1)
        check(self.recorder)

    def test_overload_by_class(self) -> None:
        """A submission displaces a page; the page is told at once."""
        self.world.cut.add(frozenset((0, 1)))
        key = f'{self.first.get_ticket()}.run'
        for _ in range(5):
            self.first.request('/page', portable=False)
        self.recorder.tell('Two pages run, three wait; the queue is full.')
        self.submit(key, portable=False)
        self.recorder.tell('A slot comes free.')
        self.first.finish(self.first.running[0])
        self.first.finish(self.first.running[0], OutcomeKind.BROKEN)
        check(self.recorder)


class BalancerSessions(TestCase):
    """Sessions of balancers with two board agents."""

    def setUp(self) -> None:
        """Prepare addresses."""
        self.recorder = Recorder(0)
        self.boards = [Address(f'127.0.1.{one}', 7001) for one in (1, 2)]
        self.hosts = [Address(f'127.0.0.{one}', 7001) for one in range(11, 15)]

    def start(self, number: int) -> BalancerState:
        """Start a balancer that holds the table and knows all others."""
        codec = ConnectionIdCodec({1: bytes(16)}, 1)
        state = BalancerState(self.hosts[number], codec)
        table: Table = make_table(1, self.boards)
        listed = tuple(
            Instance(str(host), 'balancer', host, host, 'zone-a', 'live')
            for host in self.hosts
        )
        self.feed(state, TableChanged(0, table))
        self.feed(state, InstancesChanged(0, InstanceList(1, listed)))
        return state

    def feed(self, state: BalancerState, event: BalancerEvent) -> None:
        """Reduce and record an event."""
        _, effects = reduce(state, event)
        who = f'balancer {state.address.host}'
        self.recorder.record(who, event, effects)

    def send(
        self,
        state: BalancerState,
        now: float,
        owner: Address,
        service: int = BOARD,
    ) -> None:
        """Have a packet of an open flow arrive; its id is not recorded."""
        issued = state.codec.issue(FlowOwner(owner, BOARD))
        packet = b''.join((b'\x40', issued, bytes(20)))
        event = CallerDatagram(now, service, CALLER, packet)
        _, effects = reduce(state, event)
        shown = event._replace(payload=b'a packet of an open flow')
        hidden = tuple(
            one._replace(envelope=one.envelope._replace(payload=b''))
            if hasattr(one, 'envelope')
            else one
            for one in effects
        )
        who = f'balancer {state.address.host}'
        self.recorder.record(who, shown, hidden)

    def test_replacement_of_all_balancers(self) -> None:
        """The successors never saw the flow, and route it."""
        first, second = self.start(0), self.start(1)
        self.recorder.tell('An open flow is sprayed over both balancers.')
        self.send(first, 1, self.boards[0])
        self.send(second, 1, self.boards[0])
        self.recorder.tell('Both leave; two others have started.')
        successors = (self.start(2), self.start(3))
        for leaving in (first, second):
            self.feed(leaving, StopRequested(2))
        for successor in successors:
            self.send(successor, 3, self.boards[0])
        check(self.recorder)

    def test_partition_with_detour(self) -> None:
        """A peer delivers, and the owner is probed until it is heard."""
        state, peer = self.start(0), self.start(1)
        owner = self.boards[0]
        self.send(state, 0.5, owner)
        self.recorder.tell('The owner does not answer any more.')
        self.send(state, 2, owner)
        for tenth in range(21, 36):
            self.feed(state, TimerFired(tenth / 10))
        self.recorder.tell('Its packets go through one peer.')
        self.send(state, 3.6, owner)
        detour = Envelope(MessageKind.DETOUR, BOARD, 1, CALLER, owner)
        received = EnvelopeReceived(3.7, state.address, detour)
        self.feed(peer, received)
        self.recorder.tell('The partition heals.')
        reply = Envelope(MessageKind.PROBE_REPLY, 0, 1)
        self.feed(state, EnvelopeReceived(4, owner, reply))
        self.send(state, 4.1, owner)
        check(self.recorder)

    def test_forged_packets(self) -> None:
        """Each is dropped for its own reason."""
        state = self.start(0)
        self.recorder.tell('A packet of the board at the port of the proof.')
        self.send(state, 1, self.boards[0], PROOF)
        self.recorder.tell('An owner that no table ever published.')
        self.send(state, 1, Address('8.8.8.8', 53))
        self.recorder.tell('Noise with and without the form of QUIC.')
        for noise in (b'\x40' * 40, b'\0' * 40, b'\xc0', b'\xff' * 1300):
            self.feed(state, CallerDatagram(1, BOARD, CALLER, noise))
        check(self.recorder)


class DisseminationSessions(TestCase):
    """Sessions of processes that learn the table."""

    def test_joiner_with_the_service_down(self) -> None:
        """It learns from a seed, at the highest version it heard of."""
        net = start_network(3, 3)
        net.put(TABLE_KEY, make_table_document(2))
        net.run(2)
        net.switch_service(is_service_unavailable=True)
        recorder = Recorder(net.now)
        recorder.tell('The service is down; a joiner knows one seed.')
        seed = next(iter(net.processes))
        joiner = Address('10.9.9.9', 7002)
        net.recorders[joiner] = recorder
        net.add(joiner, 'zone-0', (seed,))
        net.run(1.2)
        check(recorder)
