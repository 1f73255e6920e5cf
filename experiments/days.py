"""Play days of our own: two or three troubles at once, drawn by a seed.

The bench's path comes from the variable FLEETBENCH; it is not part of this
repository.  Prints one JSON object.

    FLEETBENCH=... python -m experiments.days --site SITE --seed 1 --count 8
"""

import argparse
import json
import os
import re
import subprocess  # noqa: S404
import tomllib
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from random import Random
from typing import Any

#: Troubles to draw from, each with the fields that vary.
FAULTS: tuple[dict[str, Any], ...] = (
    {'kind': 'srv_slow', 'share': 0.3, 'x': 6.0, 'for_s': 7.0},
    {'kind': 'replace_with_reuse', 'share': 0.3, 'how': ''},
    {'kind': 'replace_with_reuse', 'share': 0.3, 'how': 'drain'},
    {'kind': 'replace_with_reuse', 'share': 0.3, 'how': 'dark'},
    {'kind': 'replace_with_reuse', 'share': 0.3, 'how': 'side'},
    {'kind': 'node_kill', 'share': 0.3},
    {'kind': 'node_kill', 'share': 0.3, 'on': 'side'},
    {'kind': 'node_kill', 'on': 'core', 'count': 1, 'how': 'meet drain'},
    {'kind': 'node_kill', 'share': 0.3, 'how': 'power', 'for_s': 3.0},
    {'kind': 'node_slow', 'share': 0.4, 'x': 5.0, 'for_s': 6.0},
    {'kind': 'node_slow', 'share': 0.4, 'x': 5.0, 'for_s': 6.0, 'on': 'side'},
    {'kind': 'herd_kill', 'share': 0.6},
    {'kind': 'herd_kill', 'share': 0.5, 'on': 'side'},
    {'kind': 'herd_kill', 'how': 'off', 'for_s': 2.0},
    {'kind': 'node_freeze', 'share': 0.4, 'for_s': 3.0},
    {'kind': 'node_freeze', 'share': 0.3, 'for_s': 3.0, 'on': 'side'},
    {'kind': 'clock_step', 'share': 0.5, 'x': 3000.0, 'for_s': 5.0},
    {'kind': 'core_cut', 'count': 2, 'for_s': 6.0},
    {'kind': 'core_cut', 'count': 1, 'for_s': 6.0, 'how': 'one_way'},
    {'kind': 'core_cut', 'count': 1, 'for_s': 6.0, 'how': 'both'},
    {'kind': 'core_cut', 'count': 1, 'for_s': 6.0, 'how': 'lure'},
    {'kind': 'node_cut', 'share': 0.3, 'for_s': 5.0},
    {'kind': 'node_cut', 'share': 0.3, 'for_s': 5.0, 'on': 'side'},
    {'kind': 'node_cut', 'share': 0.3, 'for_s': 6.0, 'how': 'servers'},
    {'kind': 'node_cut', 'share': 0.3, 'for_s': 6.0, 'how': 'all'},
    {'kind': 'lossy', 'x': 0.05, 'for_s': 6.0},
    {'kind': 'platform_down', 'for_s': 6.0, 'how': 'silent'},
    {'kind': 'platform_down', 'for_s': 6.0, 'how': 'busy lapse'},
    {'kind': 'platform_down', 'for_s': 6.0, 'how': 'reset'},
    {'kind': 'platform_down', 'share': 0.5, 'for_s': 8.0, 'how': 'nodes many'},
    {'kind': 'platform_slow', 'x': 80.0, 'for_s': 5.0},
    {'kind': 'platform_lost', 'x': 0.5, 'for_s': 5.0},
    {'kind': 'platform_compact', 'x': 5.0, 'for_s': 8.0, 'how': 'drain'},
    {'kind': 'hup', 'share': 1.0},
    {'kind': 'reset_conns', 'share': 0.5, 'x': 0.5},
    {'kind': 'burst', 'x': 1.8, 'for_s': 4.0},
    {'kind': 'srv_grey', 'share': 0.2, 'for_s': 6.0},
    {'kind': 'srv_cut', 'share': 0.2, 'for_s': 5.0, 'how': 'reborn'},
)
#: What the bench calls the rules that a day may break.
RULES: tuple[str, ...] = (
    'FLOW',
    'ROUTE',
    'MIXED',
    'UNASKED',
    'CONFIG',
    'DRAIN',
    'RECOVER',
    'EVAC',
    'FAILBACK',
)
PLANS: tuple[dict[str, Any], ...] = (
    {'kind': 'release', 'share': 0.5, 'gap_s': 0.8},
    {'kind': 'roll_term', 'share': 1.0, 'gap_s': 1.0},
    {'kind': 'roll_term', 'share': 1.0, 'gap_s': 0.6, 'on': 'side'},
    {'kind': 'roll_term', 'share': 0.5, 'gap_s': 1.0, 'how': 'busy'},
    {'kind': 'scale_in', 'share': 0.2},
    {'kind': 'add_nodes', 'share': 1.0},
    {'kind': 'config_change', 'how': 'route'},
    {'kind': 'config_change', 'how': 'idle'},
    {'kind': 'config_storm', 'for_s': 4.0, 'gap_s': 0.2},
)
#: Troubles of grown sites only; drawn as the site's file lists them.
GROWN_KINDS = frozenset((
    'srv_flap',
    'srv_lying_health',
    'shift',
    'scale_out',
    'big_config',
))
_LAST_START = 26.0


def draw_day(random: Random, site: dict[str, Any], name: str) -> dict[str, Any]:
    """Return a day with the traffic of one of the site's own."""
    model = random.choice([
        day for day in site['day'] if day['slot'] != 'quiet'
    ])
    day = {
        key: model[key]
        for key in ('one', 'zero', 'goal', 'floor_classes', 'floor_zones')
    }
    day['name'] = name
    day['slot'] = 'trouble'
    day['seed'] = random.randrange(10**9)
    day['traffic'] = model['traffic']
    grown = tuple(
        trouble
        for trouble in site['troubles']
        if trouble['kind'] in GROWN_KINDS
    )
    day['faults'] = _place(random, (*FAULTS, *grown), random.choice((2, 3)))
    day['plan'] = _place(random, PLANS, random.choice((1, 2, 3)))
    if random.random() < 0.3:
        day['closing'] = {
            'kind': random.choice(('kill_all', 'power_off_all')),
            'down_s': 1.0,
        }
    return day


def _place(
    random: Random,
    kinds: tuple[dict[str, Any], ...],
    count: int,
) -> list[dict[str, Any]]:
    start = random.uniform(1, _LAST_START)
    return [
        {
            **kind,
            'at': round(min(start + random.uniform(0, 5), _LAST_START), 2),
        }
        for kind in random.sample(kinds, count)
    ]


def write_toml(day: dict[str, Any]) -> str:
    """Return a day in the form of the site files."""
    lines = ['[[day]]']
    lines.extend(f'{key} = {_render(value)}' for key, value in day.items())
    return '\n'.join(lines)


def _render(value: Any) -> str:
    if isinstance(value, dict):
        inner = ', '.join(
            f'{key} = {_render(one)}' for key, one in value.items()
        )
        return f'{{ {inner} }}'
    if isinstance(value, list):
        return f'[{", ".join(map(_render, value))}]'
    return json.dumps(value)


def play(site: Path, day: dict[str, Any], folder: Path) -> dict[str, Any]:
    """Play one day; return its worth and what the bench says is broken."""
    path = folder / f'{day["name"]}.toml'
    path.write_text(write_toml(day), 'utf-8')
    done = subprocess.run(  # noqa: S603
        [
            os.environ['FLEETBENCH'],
            'run',
            str(site),
            str(path),
            '--why',
            'a day of our own with several troubles at once',
        ],
        capture_output=True,
        text=True,
        check=False,
    )
    (folder / f'{day["name"]}.log').write_text(done.stdout + done.stderr)
    worth = re.search(r'^worth ([\d.-]+)', done.stdout, re.MULTILINE)
    return {
        'day': day['name'],
        'worth': float(worth.group(1)) if worth else None,
        'status': done.returncode,
        'broken': re.findall(
            rf'^.*\b(?:{"|".join(RULES)})\b.*$',
            done.stdout,
            re.MULTILINE,
        )[:5],
        'kinds': [
            ' '.join([one['kind'], one.get('on', ''), one.get('how', '')])
            for one in (*day['faults'], *day['plan'])
        ],
    }


def main() -> None:
    """Draw the days, play them and print what came of each."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--site', type=Path, required=True)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--count', type=int, default=8)
    parser.add_argument('--jobs', type=int, default=4)
    parser.add_argument('--folder', type=Path, default=Path('target/days'))
    arguments = parser.parse_args()
    arguments.folder.mkdir(parents=True, exist_ok=True)
    site = tomllib.loads(arguments.site.read_text('utf-8'))
    random = Random(arguments.seed)
    days = [
        draw_day(random, site, f'own-{arguments.seed}-{index}')
        for index in range(arguments.count)
    ]
    with ThreadPoolExecutor(arguments.jobs) as pool:
        played = list(
            pool.map(
                lambda day: play(arguments.site, day, arguments.folder),
                days,
            ),
        )
    print(json.dumps({'seed': arguments.seed, 'days': played}, indent=1))


if __name__ == '__main__':
    main()
