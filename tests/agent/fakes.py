"""A world of agents around the real reducer: no socket, a paused clock."""

from random import Random
from typing import Any

from keelgap.addresses import Address
from keelgap.instances import Instance, InstanceList
from keelgap.table import Service, Table, TrafficClass, Upstream
from keelgap_agent import effects, events
from keelgap_agent.driver import generate_request_ids
from keelgap_agent.reducer import reduce
from keelgap_agent.requests.outcomes import Outcome, OutcomeKind, StoredAnswer
from keelgap_agent.requests.problems import Problem
from keelgap_agent.requests.tickets import TicketCodec
from keelgap_agent.state import AgentIdentity, AgentState

SUBMISSION = TrafficClass(
    'submission',
    'POST',
    '/runs',
    priority=0,
    at_most_once=True,
    deadline_seconds=10,
)
FEED = TrafficClass('feed', path_prefix='/feed', takes_slot=False)
PAGE = TrafficClass('page', priority=2, deadline_seconds=5)
CALLER = b'caller-a'
TICK = 0.05
TICKET_PATH = '/.well-known/keelgap/ticket'


class World:
    """Agents of one service that can ask one another."""

    def __init__(self, agents: int = 2, **row: Any) -> None:
        """Start agents with a table in force."""
        self.now = 1000.0
        self.row = {'slots': 2, **row}
        self.service = Service(
            'board',
            1,
            4430,
            queue_limit=3,
            classes=(SUBMISSION, FEED, PAGE),
        )
        self.draining: set[int] = set()
        self.unlisted: set[int] = set()
        self.revision = 0
        self.incarnation = 1
        #: Pairs of agents, by index, that cannot talk.
        self.cut: set[frozenset[int]] = set()
        self.paused: set[int] = set()
        self.held_back: dict[int, list[Any]] = {}
        self.agents: list[Agent] = []
        for index in range(agents):
            self.agents.append(Agent(self, index))
        self.publish()

    def publish(self) -> None:
        """Bring the present table and list in force everywhere."""
        self.revision += 1
        rows = tuple(
            Upstream(
                agent.name,
                'board',
                agent.data,
                state='draining' if agent.index in self.draining else 'active',
                **self.row,
            )
            for agent in self.agents
        )
        table = Table(self.revision, '', {1: self.service}, {1: rows})
        listed = tuple(
            Instance(
                agent.name,
                'agent',
                agent.data,
                agent.control,
                'z',
                'live',
            )
            for agent in self.agents
            if agent.index not in self.unlisted
        )
        instances = InstanceList(self.revision, listed)
        for agent in self.agents:
            agent.feed(events.TableChanged(self.now, table))
            agent.feed(events.InstancesChanged(self.now, instances))

    def pass_time(self, seconds: float) -> None:
        """Let all timers fire for some time."""
        for _ in range(round(seconds / TICK)):
            self.now += TICK
            for agent in self.agents:
                agent.feed(events.TimerFired(self.now))

    def pause(self, index: int) -> None:
        """Stop an agent; what it is sent waits."""
        self.paused.add(index)

    def wake(self, index: int) -> None:
        """Let a paused agent work off what waits."""
        self.paused.discard(index)
        for event in self.held_back.pop(index, []):
            self.agents[index].feed(event._replace(now=self.now))

    def restart(self, index: int) -> None:
        """Lose all state of an agent, as a crash does."""
        self.incarnation += 1
        self.agents[index] = Agent(self, index)
        self.publish()

    def find(self, control: Address) -> 'Agent | None':
        """Return the agent at a control address."""
        for agent in self.agents:
            if agent.control == control:
                return agent
        return None


class Agent:
    """One agent: its state, its upstream, and what its callers got."""

    def __init__(self, world: World, index: int) -> None:
        """Start an incarnation."""
        self.world = world
        self.index = index
        self.name = f'board-{index}'
        self.data = Address(f'127.0.0.{21 + index}', 7001)
        self.control = Address(f'127.0.0.{21 + index}', 7002)
        identity = AgentIdentity(
            self.data,
            self.control,
            'board',
            world.incarnation,
            world.now,
        )
        tickets = TicketCodec({1: bytes(32)}, 1)
        self.state = AgentState(identity, tickets, Random(index))
        self.request_ids = generate_request_ids(world.incarnation)
        self.heads: dict[int, events.RequestHead] = {}
        #: Final answers by request: a StoredAnswer, a Problem or a ticket.
        self.answers: dict[int, Any] = {}
        #: Requests that the upstream was given and has not ended.
        self.running: list[int] = []
        self.started: list[int] = []
        #: Keys in the order in which the upstream got them.
        self.run_keys: list[str] = []
        #: Who asked for a request: control address, and its id there.
        self.asks: dict[int, tuple[Address, int]] = {}
        self.emitted: list[Any] = []
        #: Told of every event, in golden sessions.
        self.recorder: Any = None

    def feed(self, event: Any) -> tuple[Any, ...]:
        """Reduce an event and carry out what the fake knows."""
        if self.index in self.world.paused:
            if not isinstance(event, events.TimerFired):
                self.world.held_back.setdefault(self.index, []).append(event)
            return ()
        _, emitted = reduce(self.state, event)
        self.emitted.extend(emitted)
        if self.recorder is not None:
            self.recorder.record(self.name, event, emitted)
        for effect in emitted:
            self.carry_out(effect)
        return emitted

    def open_flow(self, flow_id: int = 1) -> None:
        """Have a flow open."""
        self.feed(events.FlowOpened(self.world.now, flow_id))

    def request(self, path: str = '/page', **head: Any) -> int:
        """Have a caller's request arrive; return its id."""
        request_id = next(self.request_ids)
        values = {
            'method': 'GET',
            'key': None,
            'caller': CALLER,
            'deadline_seconds': None,
            'portable': True,
            **head,
        }
        flow_id = values.pop('flow_id', 1)
        self.heads[request_id] = events.RequestHead(path=path, **values)
        event = events.RequestArrived(
            self.world.now,
            request_id,
            flow_id,
            self.heads[request_id],
        )
        self.feed(event)
        return request_id

    def submit(self, key: str | None, **head: Any) -> int:
        """Have a keyed submission arrive; return its id."""
        return self.request('/runs', method='POST', key=key, **head)

    def get_ticket(self, caller: bytes = CALLER) -> str:
        """Return a ticket of this agent."""
        request_id = self.request(TICKET_PATH, caller=caller)
        ticket: str = self.answers[request_id]
        return ticket

    def finish(
        self,
        request_id: int,
        kind: OutcomeKind = OutcomeKind.ANSWERED,
        status: int = 200,
    ) -> None:
        """Have the upstream end a request."""
        answer = StoredAnswer(status, (), f'run {request_id}'.encode())
        self.running.remove(request_id)
        if kind is OutcomeKind.NOT_SENT:
            # The upstream never saw it.
            self.run_keys.remove(self.heads[request_id].key or '')
        outcome = Outcome(
            kind,
            answer if kind is OutcomeKind.ANSWERED else None,
        )
        if kind is OutcomeKind.ANSWERED:
            self.settle(request_id, answer)
        event = events.RequestFinished(self.world.now, request_id, outcome)
        self.feed(event)

    def cancel(self, request_id: int) -> None:
        """Have the caller give a request up."""
        self.feed(events.RequestCancelled(self.world.now, request_id))

    def carry_out(self, effect: Any) -> None:
        """Do what the driver would do."""
        match effect:
            case effects.StartRequest(request_id):
                self.start(request_id)
            case effects.CancelRun(request_id):
                self.finish(request_id, OutcomeKind.CANCELLED)
            case effects.IssueTicket(request_id, answer):
                self.answers[request_id] = answer
            case effects.AnswerRequest(request_id, answer):
                self.settle(request_id, answer)
            case effects.RefuseRequest(request_id, answer):
                self.settle(request_id, answer)
            case effects.AskPeer():
                self.ask(effect)

    def start(self, request_id: int) -> None:
        """Have the upstream take a request."""
        self.running.append(request_id)
        self.started.append(request_id)
        self.run_keys.append(self.heads[request_id].key or '')

    def settle(self, request_id: int, answer: Any) -> None:
        """Note a final answer, and send it on if a peer asked."""
        if request_id in self.answers:
            raise AssertionError(f'{request_id} answered twice')
        self.answers[request_id] = answer
        asked = self.asks.pop(request_id, None)
        if asked is not None:
            address, asked_id = asked
            asker = self.world.find(address)
            if asker is not None:
                asker.take_answer(self, asked_id, answer)

    def ask(self, effect: effects.AskPeer) -> None:
        """Deliver an ask, unless the network or the peer does not."""
        peer = self.world.find(effect.peer)
        if peer is None or self.is_cut_from(peer):
            return
        asked = (self.control, effect.request_id)
        if asked in peer.asks.values():
            return
        request_id = next(peer.request_ids)
        peer.heads[request_id] = self.heads[effect.request_id]
        peer.asks[request_id] = asked
        peer.feed(
            events.PeerAsked(
                self.world.now,
                request_id,
                peer.heads[request_id],
                effect.run_only,
            ),
        )

    def take_answer(self, peer: 'Agent', request_id: int, answer: Any) -> None:
        """Take the final answer of a peer."""
        if self.is_cut_from(peer):
            return
        problem = answer if isinstance(answer, Problem) else None
        stored = None if problem else answer
        event = events.PeerAnswered(
            self.world.now,
            request_id,
            stored,
            problem,
        )
        self.feed(event)

    def is_cut_from(self, peer: 'Agent') -> bool:
        """Return whether the network parts two agents."""
        return frozenset((self.index, peer.index)) in self.world.cut


def get_kind(answer: Any) -> str:
    """Return a short name of a final answer."""
    if isinstance(answer, Problem):
        return answer.kind.slug
    return 'answered'
