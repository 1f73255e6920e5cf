"""A model of one service under load, on a paused clock.

The agents are the real reducers; callers, network and upstreams are drawn
from a seeded generator.  Placement and admission are functions, so that the
project's simpler policies serve as baselines.
"""

import heapq
from collections.abc import Callable
from itertools import count
from random import Random
from typing import Any, Final, NamedTuple

from keelgap.addresses import Address
from keelgap.instances import Instance, InstanceList
from keelgap.routing.rendezvous import WeightedSeed, rank_members
from keelgap.table import Service, Table, TrafficClass, Upstream
from keelgap_agent import effects, events
from keelgap_agent.reducer import reduce
from keelgap_agent.requests.outcomes import Outcome, OutcomeKind, StoredAnswer
from keelgap_agent.requests.problems import Problem
from keelgap_agent.requests.tickets import TicketCodec
from keelgap_agent.state import AgentIdentity, AgentState

__all__ = ('LoadModel', 'Policy', 'Scenario')

_ONE_WAY: Final = 0.0015
_TICK: Final = 0.05
_REQUESTS_A_FLOW: Final = 5
_THINK_SECONDS: Final = 0.1
_SERVICE_SECONDS: Final = 0.05
_SLOW_FACTOR: Final = 4
_REPORT_SECONDS: Final = 1.0
_IMPORTANT_SHARE: Final = 0.3
_ANSWER: Final = StoredAnswer(200, (), b'')


class Scenario(NamedTuple):
    """What a run is asked to bear."""

    agents: int
    slots: int
    #: Offered work divided by the work that all slots can do.
    load: float
    seconds: float
    slow_agents: int = 0


class Policy(NamedTuple):
    """How flows are placed and requests admitted."""

    name: str
    #: Returns the agents that are asked in turn, or one that must take it.
    place: 'Callable[[LoadModel, bytes], list[int]]'
    #: Whether agents pass flows and requests on, and know classes.
    admits: bool


class _Call(NamedTuple):
    when: float
    number: int
    act: Callable[[], None]


class _Tracked:
    """A request of a caller, until its final answer."""

    def __init__(self, flow: '_Flow', path: str, now: float) -> None:
        self.flow = flow
        self.path = path
        self.sent = now


class _Flow:
    """A caller's flow at an agent."""

    def __init__(self, flow_id: int, agent: int) -> None:
        self.flow_id = flow_id
        self.agent = agent
        self.left = _REQUESTS_A_FLOW


class _Agent:
    """An agent and the upstream beside it."""

    def __init__(self, state: AgentState, slow: bool) -> None:
        self.state = state
        self.speed = _SLOW_FACTOR if slow else 1
        self.busy_seconds = 0.0  # noqa: WPS358
        self.reported = 0
        self.requests: dict[int, _Tracked] = {}
        #: Who asked for a request that another agent passed on.
        self.askers: dict[int, tuple[int, int]] = {}
        self.heads: dict[int, events.RequestHead] = {}


class LoadModel:
    """One run."""

    def __init__(self, scenario: Scenario, policy: Policy, seed: int) -> None:
        """Prepare agents with a table in force."""
        self.scenario = scenario
        self.policy = policy
        self.random = Random(seed)
        #: A stream of its own, so that all policies get the same flows.
        self.arrivals = Random(seed)
        self.now = 0.0  # noqa: WPS358
        self.calls: list[_Call] = []
        self.numbers = count()
        self.ids = count(1)
        self.agents = [
            self._make_agent(index) for index in range(scenario.agents)
        ]
        self.counts: dict[str, int] = {}
        self.times: dict[str, list[float]] = {'submission': [], 'page': []}
        self._publish()

    def run(self) -> None:
        """Run the scenario to its end, and let what runs finish."""
        for index, _ in enumerate(self.agents):
            self._later(_TICK * self.random.random(), self._tick, index)
        self._later(0, self._report)
        self._later(0, self._arrive)
        while self.calls:
            call = heapq.heappop(self.calls)
            self.now = call.when
            call.act()

    def bump(self, name: str) -> None:
        """Count something."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def choose_ranked(self, key: bytes, how_many: int) -> list[int]:
        """Return agents by rendezvous hashing, best first."""
        members = (
            (WeightedSeed(index + 1, 1), index)
            for index in range(len(self.agents))
        )
        return rank_members(key, members, how_many)

    def _make_agent(self, index: int) -> _Agent:
        address = Address(f'10.0.0.{index + 1}', 7001)
        control = Address(f'10.0.0.{index + 1}', 7002)
        identity = AgentIdentity(address, control, 'service', 1, 0)
        tickets = TicketCodec({1: bytes(32)}, 1)
        random = Random(self.random.getrandbits(32))
        state = AgentState(identity, tickets, random)
        return _Agent(state, index < self.scenario.slow_agents)

    def _publish(self) -> None:
        important = 0 if self.policy.admits else 1
        classes = (
            TrafficClass('submission', 'POST', '/', important, False, 2),
            TrafficClass('page', 'GET', '/', 1, False, 2),
        )
        service = Service('service', 1, 4430, classes=classes)
        rows = tuple(
            Upstream(
                str(index),
                'service',
                agent.state.identity.data,
                slots=self.scenario.slots,
            )
            for index, agent in enumerate(self.agents)
        )
        table = Table(1, '', {1: service}, {1: rows})
        listed = tuple(
            Instance(
                str(index),
                'agent',
                agent.state.identity.data,
                agent.state.identity.control,
                'zone',
                'live',
            )
            for index, agent in enumerate(self.agents)
        )
        instances = InstanceList(1, listed)
        for index, _ in enumerate(self.agents):
            self._feed(index, events.TableChanged(0, table))
            self._feed(index, events.InstancesChanged(0, instances))

    def _later(
        self,
        seconds: float,
        act: Callable[..., None],
        *arguments: Any,
    ) -> None:
        call = _Call(
            self.now + seconds,
            next(self.numbers),
            lambda: act(*arguments),
        )
        heapq.heappush(self.calls, call)

    def _tick(self, index: int) -> None:
        agent = self.agents[index]
        self._feed(index, events.TimerFired(self.now))
        active = self.now < self.scenario.seconds or agent.state.requests
        if active:
            self._later(_TICK, self._tick, index)

    def _report(self) -> None:
        for agent in self.agents:
            agent.reported = agent.state.busy + len(agent.state.queue)
        if self.now < self.scenario.seconds:
            self._later(_REPORT_SECONDS, self._report)

    def _arrive(self) -> None:
        slots = self.scenario.agents * self.scenario.slots
        work = _REQUESTS_A_FLOW * _SERVICE_SECONDS
        rate = self.scenario.load * slots / work
        if self.now < self.scenario.seconds:
            self._later(self.arrivals.expovariate(rate), self._arrive)
            self._open_flow()

    def _open_flow(self) -> None:
        key = self.arrivals.randbytes(8)
        candidates = self.policy.place(self, key)
        self.bump('flows')
        self._offer(key, candidates, 0)

    def _offer(self, key: bytes, candidates: list[int], turn: int) -> None:
        index = candidates[turn]
        addresses = tuple(
            self.agents[one].state.identity.data for one in candidates
        )
        event = events.FlowOffered(self.now, key, 1, addresses, turn, 0)
        decided = self._feed(index, event)[0]
        if isinstance(decided, effects.PassFlow):
            self.bump('flows_passed_on')
            self._later(_ONE_WAY, self._offer, key, candidates, decided.turn)
            return
        flow = _Flow(next(self.ids), index)
        self._feed(index, events.FlowOpened(self.now, flow.flow_id))
        self._send_next(flow)

    def _send_next(self, flow: _Flow) -> None:
        if not flow.left:
            event = events.FlowClosed(self.now, flow.flow_id)
            self._feed(flow.agent, event)
            return
        flow.left -= 1
        important = self.random.random() < _IMPORTANT_SHARE
        method = 'POST' if important else 'GET'
        agent = self.agents[flow.agent]
        request_id = next(self.ids)
        tracked = _Tracked(
            flow, 'submission' if important else 'page', self.now
        )
        agent.requests[request_id] = tracked
        portable = self.policy.admits
        head = events.RequestHead(method, '/', None, b'', None, portable)
        agent.heads[request_id] = head
        self.bump('requests')
        arrived = events.RequestArrived(
            self.now,
            request_id,
            flow.flow_id,
            head,
        )
        self._feed(flow.agent, arrived)

    def _feed(self, index: int, event: events.AgentEvent) -> tuple[Any, ...]:
        _, emitted = reduce(self.agents[index].state, event)
        for effect in emitted:
            self._carry_out(index, effect)
        return emitted

    def _carry_out(self, index: int, effect: Any) -> None:
        match effect:
            case effects.StartRequest(request_id):
                self._start(index, request_id)
            case effects.AnswerRequest(request_id, answer):
                self._answer(index, request_id, answer)
            case effects.RefuseRequest(request_id, problem):
                self._answer(index, request_id, problem)
            case effects.AskPeer():
                self._ask(index, effect)

    def _start(self, index: int, request_id: int) -> None:
        agent = self.agents[index]
        seconds = self.random.expovariate(1 / _SERVICE_SECONDS) * agent.speed
        agent.busy_seconds += seconds
        self._later(seconds, self._finish, index, request_id)

    def _finish(self, index: int, request_id: int) -> None:
        self._answer(index, request_id, _ANSWER)
        outcome = Outcome(OutcomeKind.ANSWERED, _ANSWER)
        event = events.RequestFinished(self.now, request_id, outcome)
        self._feed(index, event)

    def _ask(self, index: int, effect: effects.AskPeer) -> None:
        self.bump('requests_passed_on')
        peer = next(
            number
            for number, agent in enumerate(self.agents)
            if agent.state.identity.control == effect.peer
        )
        self._later(_ONE_WAY, self._take_ask, peer, index, effect.request_id)

    def _take_ask(self, index: int, asker: int, asked_id: int) -> None:
        agent = self.agents[index]
        request_id = next(self.ids)
        agent.askers[request_id] = (asker, asked_id)
        head = self.agents[asker].heads[asked_id]
        agent.heads[request_id] = head
        event = events.PeerAsked(self.now, request_id, head, run_only=True)
        self._feed(index, event)

    def _answer(self, index: int, request_id: int, answer: Any) -> None:
        agent = self.agents[index]
        asked = agent.askers.pop(request_id, None)
        if asked is not None:
            self._later(_ONE_WAY, self._return, *asked, answer)
            return
        tracked = agent.requests.pop(request_id, None)
        if tracked is not None:
            self._note(tracked, answer)

    def _return(self, index: int, request_id: int, answer: Any) -> None:
        problem = answer if isinstance(answer, Problem) else None
        stored = None if problem else answer
        event = events.PeerAnswered(self.now, request_id, stored, problem)
        self._feed(index, event)

    def _note(self, tracked: _Tracked, answer: Any) -> None:
        if isinstance(answer, Problem):
            self.bump(f'refused_{tracked.path}')
        else:
            self.bump(f'answered_{tracked.path}')
            self.times[tracked.path].append(self.now - tracked.sent)
        think = self.random.expovariate(1 / _THINK_SECONDS)
        self._later(think, self._send_next, tracked.flow)
