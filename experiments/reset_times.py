"""How soon callers of dead flows are reset, by what became of the upstream.

Plays a quiet day with one trouble on the users' bench, whose path comes from
the variable FLEETBENCH, and reads the balancers' lines.  Prints one JSON
object.

    FLEETBENCH=... python -m experiments.reset_times --site SITE --seed 1
"""

import argparse
import json
import os
import re
import subprocess  # noqa: S404
import tomllib
from pathlib import Path
from random import Random
from statistics import quantiles
from types import MappingProxyType
from typing import Any

from experiments.days import write_toml

#: When the trouble begins, in seconds from the start of traffic.
AT = 10.0
#: Resets later than this are of other causes.
WINDOW = 8.0
KINDS: MappingProxyType[str, dict[str, Any]] = MappingProxyType({
    'crash, address used again': {
        'kind': 'replace_with_reuse',
        'share': 0.3,
        'how': '',
    },
    'drained exit': {'kind': 'scale_in', 'share': 0.3},
    'machine dark, address used again': {
        'kind': 'replace_with_reuse',
        'share': 0.3,
        'how': 'dark',
    },
    'crash with its machine': {
        'kind': 'replace_with_reuse',
        'share': 0.3,
        'how': 'side',
    },
    'agent restarted': {'kind': 'node_kill', 'share': 0.3, 'on': 'side'},
    'balancers restarted': {'kind': 'node_kill', 'share': 0.5},
    'power failure of all': {'kind': 'power_off_all', 'down_s': 1.0},
})
_LINE = re.compile(r'^\s*(-?[\d.]+) (\S+) (\{.*)$')


def make_day(site: dict[str, Any], name: str, seed: int) -> dict[str, Any]:
    """Return the site's quiet day with one trouble instead of its plan."""
    quiet = next(day for day in site['day'] if day['slot'] == 'quiet')
    day = {
        key: quiet[key]
        for key in ('one', 'zero', 'goal', 'floor_classes', 'floor_zones')
    }
    trouble = KINDS[name]
    day |= {'name': 'resets', 'slot': 'trouble', 'seed': seed}
    day |= {'traffic': quiet['traffic'], 'plan': [], 'faults': []}
    if trouble['kind'] == 'power_off_all':
        day['closing'] = trouble
    else:
        day['faults'] = [{**trouble, 'at': AT}]
    return day


def read_resets(output: str) -> list[dict[str, Any]]:
    """Return the lines that tell of resets, with the bench's time."""
    lines = []
    for text in output.splitlines():
        match = _LINE.match(text)
        if match and '"reset_dead_flow"' in text:
            line = json.loads(match.group(3))
            lines.append({**line, 'at': float(match.group(1))})
    return lines


def measure(site_path: Path, name: str, seed: int) -> dict[str, Any]:
    """Play one day; return when its resets came."""
    site = tomllib.loads(site_path.read_text('utf-8'))
    path = Path('target/resets.toml')
    path.write_text(write_toml(make_day(site, name, seed)), 'utf-8')
    done = subprocess.run(  # noqa: S603
        [
            os.environ['FLEETBENCH'],
            'run',
            str(site_path),
            str(path),
            '--log',
            'front',
            '--why',
            f'time to resets: {name}',
        ],
        capture_output=True,
        text=True,
        check=False,
    )
    began = AT
    closing = re.search(r'^\s*([\d.]+) s to .*closing', done.stdout, re.M)
    if closing:
        began = float(closing.group(1))
    resets = [
        line
        for line in read_resets(done.stderr)
        if 0 <= line['at'] - began < WINDOW
    ]
    after = sorted(line['at'] - began for line in resets)
    searched = sorted(line['milliseconds'] for line in resets)
    row = re.search(r'^resets .*$', done.stdout, re.M)
    return {
        'upstream': name,
        'status': done.returncode,
        'resets': len(resets),
        'seconds_after': _summarize(after),
        'searched_ms': _summarize(searched),
        'row': row.group(0) if row else None,
    }


def _summarize(values: list[float]) -> list[float]:
    """Return the tenth, the median and the ninetieth hundredth."""
    if len(values) < 2:
        return values
    tenths = quantiles(values, n=10)
    return [round(tenths[place], 2) for place in (0, 4, 8)]


def main() -> None:
    """Measure all kinds, one after the other."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--site', type=Path, required=True)
    parser.add_argument('--seed', type=int, default=1)
    arguments = parser.parse_args()
    Path('target').mkdir(exist_ok=True)
    seed = Random(arguments.seed).randrange(10**9)
    rows = [measure(arguments.site, name, seed) for name in KINDS]
    print(json.dumps({'seed': arguments.seed, 'kinds': rows}, indent=1))


if __name__ == '__main__':
    main()
