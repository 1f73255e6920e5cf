"""Stateful fuzzing of a balancer against a simple oracle.

The oracle knows the tables and lists that were published, in the order of
their revisions, and which agents answer.
"""

from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from keelgap.addresses import Address
from keelgap.instances import InstanceList
from keelgap.routing.connection_ids import ConnectionIdCodec, FlowOwner
from keelgap.wire.encapsulation import Envelope, MessageKind
from keelgap_balancer.effects import SendEnvelope
from keelgap_balancer.events import (
    CallerDatagram,
    EnvelopeReceived,
    InstancesChanged,
    TableChanged,
    TimerFired,
)
from keelgap_balancer.reducer import reduce
from keelgap_balancer.state import BalancerState
from tests.balancer.test_forwarding import (
    BOARD,
    CALLER,
    OWN,
    PEER,
    PROOF,
    make_agents,
    make_list,
    make_table,
)

BOARDS = make_agents(5, 1)
agents = st.sampled_from(BOARDS)
subsets = st.sets(agents, min_size=1).map(sorted)


class BalancerMachine(RuleBasedStateMachine):
    """Operators, callers and silent agents around one balancer."""

    def __init__(self) -> None:
        """Start with a table of all boards and one peer."""
        super().__init__()
        self.now = 100.0
        self.codec = ConnectionIdCodec({1: bytes(16)}, 1)
        self.state = BalancerState(OWN, self.codec)
        self.rows: list[Address] = list(BOARDS)
        self.leaving: set[Address] = set()
        self.published = set(BOARDS)
        self.revision = 1
        self.list_revision = 1
        self.silent: set[Address] = set()
        self.feed(TableChanged(self.now, make_table(1, self.rows)))
        self.feed(InstancesChanged(self.now, make_list(1)))

    def feed(self, event: Any) -> tuple[Any, ...]:
        """Reduce an event; agents that are not silent answer."""
        _, effects = reduce(self.state, event)
        for effect in effects:
            asked = isinstance(effect, SendEnvelope)
            if asked and effect.receiver not in {*self.silent, PEER}:
                reply = Envelope(MessageKind.PROBE_REPLY, 0, 1)
                answer = EnvelopeReceived(self.now, effect.receiver, reply)
                reduce(self.state, answer)
        return effects

    @rule(rows=subsets)
    def edit_table(self, rows: list[Address]) -> None:
        """The operators publish a later table."""
        self.revision += 1
        self.rows = rows
        self.feed(TableChanged(self.now, make_table(self.revision, rows)))

    @rule(back=st.integers(1, 3), rows=subsets)
    def show_old_table(self, back: int, rows: list[Address]) -> None:
        """An old table turns up again."""
        old = make_table(max(1, self.revision - back), rows)
        if old.revision < self.revision:
            self.feed(TableChanged(self.now, old))

    @rule(leaving=st.sets(agents, max_size=3).map(sorted))
    def edit_list(self, leaving: list[Address]) -> None:
        """The platform shows who is leaving."""
        self.list_revision += 1
        self.leaving = set(leaving)
        listed: InstanceList = make_list(self.list_revision, tuple(leaving))
        self.feed(InstancesChanged(self.now, listed))

    @rule(agent=agents)
    def silence_or_heal(self, agent: Address) -> None:
        """An agent dies or is cut off, or comes back."""
        self.silent ^= {agent}

    @rule()
    def be_cut_off(self) -> None:
        """The balancer reaches nobody, while packets go on to come."""
        self.silent = set(BOARDS)
        self.now += 2
        for owner in BOARDS:
            self.send(owner, BOARD)
        self.wait(1.5)

    @rule(seconds=st.sampled_from((0.3, 1.5, 12)))
    def wait(self, seconds: float) -> None:
        """Time passes, and the timer fires."""
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            before = self.count_suspects()
            self.feed(TimerFired(self.now))
            after = self.count_suspects()
            # A row may go while its agent is suspect; only growth is bounded.
            bound = max(1, len(self.rows) // 2)
            assert after <= max(before, bound), 'mass ejection'

    def count_suspects(self) -> int:
        """Return how many upstreams of the table are suspect."""
        return sum(map(self.state.health.is_suspect, self.rows))

    @rule(seconds=st.sampled_from((5, 60)))
    def sleep(self, seconds: float) -> None:
        """The process is paused."""
        self.now += seconds

    @rule(owner=agents, service=st.sampled_from((BOARD, PROOF)))
    def send(self, owner: Address, service: int) -> None:
        """A packet of an open flow of the board arrives at some port."""
        issued = self.codec.issue(FlowOwner(owner, BOARD))
        packet = b''.join((b'\x40', issued, bytes(20)))
        event = CallerDatagram(self.now, service, CALLER, packet)
        sent = self.list_sent(self.feed(event))
        if service != BOARD:
            assert not sent, 'a packet reached another service'
            return
        forwards = [
            one for one in sent if one.envelope.kind is not MessageKind.PROBE
        ]
        assert len(forwards) == 1, 'a known flow was dropped'
        receiver = forwards[0].receiver
        by_peer = forwards[0].envelope.via == owner and receiver == PEER
        assert receiver == owner or by_peer, 'a flow reached another owner'

    @rule(made_up=st.binary(min_size=8, max_size=8))
    def open_flow(self, made_up: bytes) -> None:
        """A first datagram arrives."""
        packet = b''.join((b'\xc0\0\0\0\1\x08', made_up, bytes(1200)))
        event = CallerDatagram(self.now, BOARD, CALLER, packet)
        allowed = set(self.rows) - self.leaving
        sent = self.list_sent(self.feed(event))
        if not allowed:
            assert not sent, 'a leaving upstream got a new flow'
            return
        candidates = sent[0].envelope.candidates
        assert set(candidates) <= allowed, 'a leaving upstream is a candidate'
        assert len(candidates) == min(3, len(allowed)), 'too few candidates'

    def list_sent(self, effects: tuple[Any, ...]) -> list[SendEnvelope]:
        """Return the envelopes among effects."""
        return [one for one in effects if isinstance(one, SendEnvelope)]

    @invariant()
    def table_only_rises(self) -> None:
        """Whatever turns up."""
        assert self.state.table.revision == self.revision, 'table reverted'
