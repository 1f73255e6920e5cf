"""Play outages and loads: ``python -m experiments.outage --seed 1``.

Prints one JSON object for each pattern, or for each drawn deployment.
"""

import argparse
import json

from experiments.outage.bound import compute_bound, count_served
from experiments.outage.patterns import PATTERNS
from experiments.outage.scenario import Scenario, draw_scenario
from experiments.outage.world import World


def play(name: str, scenario: Scenario, seed: int) -> dict[str, object]:
    """Return the figures of one run."""
    world = World(scenario, seed)
    world.run()
    served = count_served(world)
    hops = sorted(world.hops)
    return {
        'pattern': name,
        'seed': seed,
        'requests': len(world.population.callers),
        'answered': round(served.answered, 4),
        'bound': round(compute_bound(world), 4),
        'in_time': round(served.in_time, 4),
        'resets': sum(one.resets for one in world.population.callers),
        'refused': world.events['reset_no_taker'],
        'agents_asked_most': hops[-1] if hops else 0,
        'openings_held': world.events['held'],
    }


def main() -> None:
    """Play what the command line asks for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--drawn', type=int, default=0)
    options = parser.parse_args()
    if options.drawn:
        scenarios = [
            (f'drawn-{number}', draw_scenario(number))
            for number in range(options.seed, options.seed + options.drawn)
        ]
    else:
        scenarios = list(PATTERNS.items())
    for name, scenario in scenarios:
        print(json.dumps(play(name, scenario, options.seed)), flush=True)


if __name__ == '__main__':
    main()
