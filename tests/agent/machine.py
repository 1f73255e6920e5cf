"""Stateful fuzzing of agents against an oracle of the brief's promises.

The oracle knows nothing of ledgers or tickets.  It knows what callers sent
and were told, and what upstreams were given.
"""

from collections import Counter
from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from keelgap_agent.requests.outcomes import OutcomeKind, StoredAnswer
from keelgap_agent.requests.problems import Problem
from tests.agent.fakes import Agent, World

AGENTS = 3
which = st.integers(0, AGENTS - 1)
outcomes = st.sampled_from(
    (
        OutcomeKind.ANSWERED,
        OutcomeKind.ANSWERED,
        OutcomeKind.ANSWERED,
        OutcomeKind.NOT_SENT,
        OutcomeKind.BROKEN,
    ),
)


class Attempt:
    """One attempt of a caller, and what it was told."""

    def __init__(self, agent: Agent, request_id: int, key: str) -> None:
        self.agent = agent
        self.request_id = request_id
        self.key = key
        self.cancelled = False

    @property
    def answer(self) -> Any:
        """Return the final answer, or None."""
        return self.agent.answers.get(self.request_id)


class AgentMachine(RuleBasedStateMachine):
    """Callers, operators and faults around three agents."""

    def __init__(self) -> None:
        """Start a world and the oracle's books."""
        super().__init__()
        self.world = World(AGENTS)
        for agent in self.world.agents:
            agent.open_flow()
        #: Keys with the agent and the incarnation that issued the ticket.
        self.keys: list[tuple[str, int, int]] = []
        self.attempts: list[Attempt] = []
        self.retired: list[Agent] = []
        #: Requests started at each agent when its drain began.
        self.started_before: dict[int, int] = {}
        for index in range(2):
            self.take_ticket(index)

    @rule(index=which)
    def take_ticket(self, index: int) -> None:
        """A caller gets a ticket and makes a key of it."""
        agent = self.world.agents[index]
        if index in self.world.paused or len(self.keys) > 4:
            return
        request_id = agent.request('/.well-known/keelgap/ticket')
        answer = agent.answers.get(request_id)
        if isinstance(answer, str):
            incarnation = agent.state.identity.incarnation
            key = f'{answer}.k{len(self.keys)}'
            self.keys.append((key, index, incarnation))

    @precondition(lambda self: self.keys)
    @rule(index=which, data=st.data(), portable=st.booleans())
    def submit(self, index: int, data: st.DataObject, portable: bool) -> None:
        """A caller submits, or retries, through any agent."""
        agent = self.world.agents[index]
        key, _, _ = data.draw(st.sampled_from(self.keys))
        if index in self.world.paused:
            return
        request_id = agent.submit(key, portable=portable)
        self.attempts.append(Attempt(agent, request_id, key))

    @precondition(lambda self: self.attempts)
    @rule(index=which)
    def retry(self, index: int) -> None:
        """A caller sends its last request again through some agent."""
        agent = self.world.agents[index]
        if index not in self.world.paused:
            key = self.attempts[-1].key
            self.attempts.append(Attempt(agent, agent.submit(key), key))

    @rule(index=which)
    def browse(self, index: int) -> None:
        """Other requests compete for the slots."""
        if index not in self.world.paused:
            self.world.agents[index].request()

    @precondition(lambda self: self.attempts)
    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        """A caller gives an attempt up."""
        attempt = data.draw(st.sampled_from(self.attempts))
        index = attempt.agent.index
        live = attempt.agent is self.world.agents[index]
        if live and index not in self.world.paused and attempt.answer is None:
            attempt.cancelled = True
            attempt.agent.cancel(attempt.request_id)

    @rule(index=which, kind=outcomes)
    def end_run(self, index: int, kind: OutcomeKind) -> None:
        """An upstream ends the oldest of its requests."""
        agent = self.world.agents[index]
        if agent.running and index not in self.world.paused:
            agent.finish(agent.running[0], kind)

    @rule(seconds=st.sampled_from((0.1, 1.1, 6, 11)))
    def wait(self, seconds: float) -> None:
        """Time passes."""
        self.world.pass_time(seconds)

    @rule(index=which)
    def pause_or_wake(self, index: int) -> None:
        """A process stops, or goes on believing old things."""
        if index in self.world.paused:
            self.world.wake(index)
        else:
            self.world.pause(index)

    @rule(index=which)
    def crash(self, index: int) -> None:
        """An agent loses all it knew; its callers' flows break."""
        self.world.paused.discard(index)
        self.world.held_back.pop(index, None)
        self.retired.append(self.world.agents[index])
        self.world.restart(index)
        self.world.agents[index].open_flow()
        self.started_before.pop(index, None)
        if index in self.world.draining:
            self.started_before[index] = 0

    @rule(index=which)
    def drain_or_return(self, index: int) -> None:
        """The operators edit the table."""
        if index in self.world.paused:
            return
        self.world.draining ^= {index}
        self.world.publish()
        self.started_before.pop(index, None)
        if index in self.world.draining:
            started = len(self.world.agents[index].started)
            self.started_before[index] = started

    @rule(first=which, second=which)
    def cut_or_heal(self, first: int, second: int) -> None:
        """The network between two agents parts, or comes back."""
        if first != second:
            self.world.cut ^= {frozenset((first, second))}

    @rule(index=which, room=st.sampled_from((0, 1, 100000)))
    def fill_ledger(self, index: int, room: int) -> None:
        """The ledger has room for so many entries more."""
        ledger = self.world.agents[index].state.ledger
        ledger.capacity = len(ledger.entries) + room

    @invariant()
    def runs_at_most_once(self) -> None:
        """No key is given to upstreams twice."""
        runs = self.count_runs()
        twice = [key for key, count in runs.items() if key and count > 1]
        assert not twice, f'run twice: {twice}'

    @invariant()
    def not_run_is_the_truth(self) -> None:
        """A key that was said not to be run was not, and never is."""
        runs = self.count_runs()
        for attempt in self.attempts:
            answer = attempt.answer
            if isinstance(answer, Problem) and answer.kind.slug == 'not-run':
                assert not runs[attempt.key], f'{attempt.key} was run'

    @invariant()
    def unknown_only_if_the_issuer_is_gone(self) -> None:
        """Its incarnation changed, or it left the list."""
        issuers = {key: (index, inc) for key, index, inc in self.keys}
        for attempt in self.attempts:
            answer = attempt.answer
            if not isinstance(answer, Problem):
                continue
            if answer.kind.slug == 'outcome-unknown':
                index, incarnation = issuers[attempt.key]
                issuer = self.world.agents[index]
                current = issuer.state.identity.incarnation
                assert current != incarnation, 'the issuer is there'

    @invariant()
    def answers_belong_to_their_requests(self) -> None:
        """Whoever asked for a key gets the answer of that key's run."""
        by_answer: dict[bytes, set[str]] = {}
        for agent in (*self.world.agents, *self.retired):
            for request_id in agent.started:
                body = f'run {request_id}'.encode()
                key = agent.heads[request_id].key or ''
                by_answer.setdefault(body, set()).add(key)
        for attempt in self.attempts:
            answer = attempt.answer
            if isinstance(answer, StoredAnswer) and answer.body:
                assert attempt.key in by_answer[answer.body], 'wrong answer'

    @invariant()
    def leaving_upstream_gets_no_new_work(self) -> None:
        """From the table's word on."""
        for index, before in self.started_before.items():
            started = len(self.world.agents[index].started)
            assert started == before, f'agent {index} took new work'

    def teardown(self) -> None:
        """With all faults gone, every caller gets its final answer."""
        self.world.cut.clear()
        for index in tuple(self.world.paused):
            self.world.wake(index)
        for _ in range(40):
            self.world.pass_time(1)
            for agent in self.world.agents:
                for request_id in tuple(agent.running):
                    agent.finish(request_id)
        for attempt in self.attempts:
            live = attempt.agent in self.world.agents
            if live and not attempt.cancelled:
                assert attempt.answer is not None, 'no final answer'
        self.runs_at_most_once()
        self.not_run_is_the_truth()

    def count_runs(self) -> Counter[str]:
        """Return how often each key was given to an upstream."""
        runs: Counter[str] = Counter()
        for agent in (*self.world.agents, *self.retired):
            runs.update(agent.run_keys)
        return runs
