"""Requests that ran twice when callers retry what got no answer.

Real agent reducers in the tests' world of fakes.  Baseline: the same callers
with a class that is not at_most_once, which is retrying without a ledger.
Prints one JSON object.
"""

from collections import Counter
from random import Random
from typing import Any, Final

import fire
import msgspec

from keelgap_agent.requests.problems import Problem
from tests.agent.fakes import SUBMISSION, Agent, World

_SUBMISSIONS: Final = 2000
_ANSWER_LOST: Final = 0.1
_CRASH: Final = 0.005
_ATTEMPTS: Final = 4


class _Callers:
    """Callers that submit, and retry through a random agent."""

    def __init__(self, seed: int, keyed: bool) -> None:
        self.random = Random(seed)
        self.world = World(3)
        submission = SUBMISSION._replace(at_most_once=keyed)
        self.world.service = self.world.service._replace(
            classes=(submission,),
        )
        self.world.publish()
        self.runs: Counter[str] = Counter()
        self.told: Counter[str] = Counter()
        for agent in self.world.agents:
            agent.open_flow()

    def run(self) -> None:
        """Run all submissions one after the other."""
        for number in range(_SUBMISSIONS):
            issuer = self.random.choice(self.world.agents)
            key = f'{issuer.get_ticket()}.{number}'
            self.told[self._submit(issuer, key)] += 1

    def _submit(self, agent: Agent, key: str) -> str:
        for _ in range(_ATTEMPTS):
            request_id = agent.submit(key)
            self._work()
            self._crash_sometimes(agent)
            answer = agent.answers.get(request_id)
            if answer and self.random.random() >= _ANSWER_LOST:
                return _describe(answer)
            agent = self.random.choice(self.world.agents)
        return 'gave_up'

    def _work(self) -> None:
        for agent in self.world.agents:
            for request_id in tuple(agent.running):
                self.runs[agent.heads[request_id].key or ''] += 1
                agent.finish(request_id)
        self.world.pass_time(0.05)

    def _crash_sometimes(self, agent: Agent) -> None:
        if self.random.random() < _CRASH:
            self.world.restart(agent.index)
            self.world.agents[agent.index].open_flow()


def _describe(answer: Any) -> str:
    if isinstance(answer, Problem):
        return answer.kind.slug
    return 'answered'


def measure(seed: int) -> dict[str, Any]:
    """Return what ran twice, and what callers were told."""
    rows = []
    for name, keyed in (('plain_retry', False), ('keelgap', True)):
        callers = _Callers(seed, keyed)
        callers.run()
        twice = sum(count > 1 for count in callers.runs.values())
        rows.append({
            'policy': name,
            'submissions': _SUBMISSIONS,
            'run_twice': twice,
            'told': dict(callers.told),
        })
    return {'experiment': 'retries', 'seed': seed, 'rows': rows}


def main(seed: int = 1) -> None:
    """Run the experiment."""
    print(msgspec.json.encode(measure(seed)).decode())


if __name__ == '__main__':
    fire.Fire(main)
