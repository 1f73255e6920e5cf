"""Run the experiments of the paused clock; render tables and plots.

Writes docs/topics/measurements.md and docs/topics/plots/*.svg.
"""

from collections.abc import Sequence
from pathlib import Path
from typing import Any, Final

import fire
import matplotlib as mpl
import matplotlib.pyplot as plt

from experiments import load, partition, retries, spread

_DOCS: Final = Path(__file__).parents[1] / 'docs' / 'topics'
_HEAD: Final = """# Measurements

Made by `make experiments`; the clock is paused and all choices are seeded,
so the same seed gives the same figures.  docs/topics/performance.md has the
figures that depend on the machine.
"""


def make_rows(rows: Sequence[dict[str, Any]]) -> str:
    """Return rows as a Markdown table."""
    names = list(rows[0])
    lines = [names, ['---'] * len(names)]
    lines.extend([str(row[name]) for name in names] for row in rows)
    return '\n'.join(f'| {" | ".join(line)} |' for line in lines)


def plot_load(rows: Sequence[dict[str, Any]], path: Path) -> None:
    """Plot the p99 time of submissions for each policy and scenario."""
    figure, axes = plt.subplots(figsize=(8, 4))
    deployment = rows[0]['deployment']
    chosen = [row for row in rows if row['deployment'] == deployment]
    policies = list(dict.fromkeys(row['policy'] for row in chosen))
    for index, policy in enumerate(policies):
        own = [row for row in chosen if row['policy'] == policy]
        places = [number + index / 4 for number, _ in enumerate(own)]
        heights = [row['p99_submission_s'] for row in own]
        axes.bar(places, heights, 0.24, label=policy)
    labels = [
        f'{row["load"]}, slow {row["slow_upstreams"]}'
        for row in chosen
        if row['policy'] == policies[0]
    ]
    axes.set_xticks([place + 0.25 for place, _ in enumerate(labels)], labels)
    axes.set_ylabel('p99 of submissions, seconds')
    axes.set_xlabel(f'load, slow upstreams ({deployment})')
    axes.legend()
    _save(figure, path)


def plot_spread(rows: Sequence[dict[str, Any]], path: Path) -> None:
    """Plot the longest time to everywhere by fleet size."""
    figure, axes = plt.subplots(figsize=(8, 4))
    for loss in dict.fromkeys(row['loss'] for row in rows):
        own = [row for row in rows if row['loss'] == loss]
        axes.plot(
            [row['processes'] for row in own],
            [row['everywhere_max_s'] for row in own],
            marker='o',
            label=f'loss {loss}',
        )
    axes.set_xscale('log')
    axes.set_xlabel('processes')
    axes.set_ylabel('longest time to everywhere, seconds')
    axes.legend()
    _save(figure, path)


def _save(figure: Any, path: Path) -> None:
    figure.tight_layout()
    figure.savefig(path, metadata={'Date': None})
    plt.close(figure)


def main(seed: int = 1) -> None:
    """Run all and write the pages."""
    mpl.use('svg')
    mpl.rcParams['svg.hashsalt'] = 'keelgap'
    plots = _DOCS / 'plots'
    plots.mkdir(exist_ok=True)
    loads = load.measure(seed)
    spreads = spread.measure(seed)
    plot_load(loads['rows'], plots / 'load.svg')
    plot_spread(spreads['sizes'], plots / 'spread.svg')
    parts = [
        _HEAD,
        f'## Load (`make experiment NAME=load SEED={seed}`)\n',
        '![p99 of submissions](plots/load.svg)\n',
        make_rows(loads['rows']),
        f'\n## Spread (`make experiment NAME=spread SEED={seed}`)\n',
        '![time to everywhere](plots/spread.svg)\n',
        make_rows(spreads['sizes']),
        '\nThe service goes down when one process alone has the change:\n',
        make_rows(spreads['service_down']),
        '\nStale decisions with and without revisions on traffic:\n',
        make_rows(spreads['gate']),
        f'\n## Partition (`make experiment NAME=partition SEED={seed}`)\n',
        'One of three balancers loses one of four agents for 10 of 20 s.\n',
        make_rows(partition.measure(seed)['rows']),
        f'\n## Retries (`make experiment NAME=retries SEED={seed}`)\n',
        'One answer in ten is lost, and an agent crashes now and then.\n',
        make_rows(retries.measure(seed)['rows']),
        '',
    ]
    (_DOCS / 'measurements.md').write_text('\n'.join(parts), 'utf-8')


if __name__ == '__main__':
    fire.Fire(main)
