"""Load: keelgap's placement and admission against simpler policies.

Prints one JSON object.  Imbalance is the most busy seconds of an upstream
divided by the mean; goodput is answered requests a second.
"""

from itertools import product
from typing import Any, Final

import fire
import msgspec

from experiments.load_model import LoadModel, Policy, Scenario

__all__ = ('POLICIES', 'run_scenario')

_SECONDS: Final = 20.0
_CANDIDATES: Final = 3
_DEPLOYMENTS: Final = {  # noqa: WPS407
    'marmara_board': (7, 3),
    'cairo_signing': (7, 4),
}
#: Load, and how many upstreams are four times slower.
_LOADS: Final = ((0.7, 0), (0.95, 0), (1.5, 0), (0.7, 1))


def place_by_rendezvous(model: LoadModel, key: bytes) -> list[int]:
    """Baseline: the first of the ranking takes every flow."""
    return model.choose_ranked(key, 1)


def place_by_two_choices(model: LoadModel, key: bytes) -> list[int]:
    """Baseline: the less loaded of two at random, by old reports."""
    indexes = model.random.sample(range(len(model.agents)), 2)
    best = min(indexes, key=lambda index: model.agents[index].reported)
    return [best]


def place_by_candidates(model: LoadModel, key: bytes) -> list[int]:
    """keelgap: the first of three that has a free slot takes the flow."""
    return model.choose_ranked(key, _CANDIDATES)


POLICIES: Final = (
    Policy('rendezvous', place_by_rendezvous, admits=False),
    Policy('two_choices_1s_old', place_by_two_choices, admits=False),
    Policy('keelgap', place_by_candidates, admits=True),
)


def run_scenario(
    scenario: Scenario,
    policy: Policy,
    seed: int,
) -> dict[str, Any]:
    """Run one scenario under one policy and return its figures."""
    model = LoadModel(scenario, policy, seed)
    model.run()
    busy = [agent.busy_seconds for agent in model.agents]
    counts = model.counts
    answered = sum(map(len, model.times.values()))
    requests = counts['requests']
    return {
        'policy': policy.name,
        'requests': requests,
        'refused_share': round(1 - answered / requests, 4),
        'refused_submission_share': round(_share(counts, 'submission'), 4),
        'goodput': round(answered / scenario.seconds, 1),
        'p99_submission_s': _percentile(model.times['submission']),
        'p99_page_s': _percentile(model.times['page']),
        'imbalance': round(max(busy) * len(busy) / sum(busy), 3),
        'flows_passed_on': counts.get('flows_passed_on', 0),
        'requests_passed_on': counts.get('requests_passed_on', 0),
    }


def _share(counts: dict[str, int], name: str) -> float:
    refused = counts.get(f'refused_{name}', 0)
    return refused / max(1, refused + counts.get(f'answered_{name}', 0))


def _percentile(times: list[float]) -> float | None:
    if not times:
        return None
    return round(sorted(times)[int(len(times) * 0.99)], 3)


def main(seed: int = 1) -> None:
    """Run all scenarios under all policies."""
    print(msgspec.json.encode(measure(seed)).decode())


def measure(seed: int) -> dict[str, Any]:
    """Return the figures of all scenarios under all policies."""
    rows = [
        {'deployment': name, 'load': load, 'slow_upstreams': slow}
        | run_scenario(
            Scenario(*_DEPLOYMENTS[name], load, _SECONDS, slow),
            policy,
            seed,
        )
        for name, (load, slow), policy in product(
            _DEPLOYMENTS,
            _LOADS,
            POLICIES,
        )
    ]
    return {'experiment': 'load', 'seed': seed, 'rows': rows}


if __name__ == '__main__':
    fire.Fire(main)
