"""Programs by the role that they play, as their logs and the books tell."""

import json
from collections import Counter
from collections.abc import Iterator

from tests.soak.world import Program, World

__all__ = ('find_directory_nodes', 'find_owners', 'find_readers')


def _read_events(program: Program) -> Iterator[str]:
    """Return the names of the events since the latest start."""
    names: list[str] = []
    for line in program.log.read_text('utf-8', 'replace').splitlines():
        try:
            name = json.loads(line)['event']
        except (ValueError, KeyError, TypeError):
            continue
        names = [name] if name == 'started' else [*names, name]
    return reversed(names)


def find_readers(world: World) -> list[Program]:
    """Return the running balancers that read the store.

    Each reads from its start on.
    """
    roles = {'reading_store', 'following_readers', 'started'}
    return [
        program
        for program in world.programs
        if not program.place.service
        and program.process is not None
        and next(filter(roles.__contains__, _read_events(program)), '')
        != 'following_readers'
    ]


def find_directory_nodes(world: World) -> list[Program]:
    """Return the agents that keep a part of a flow directory."""
    return [
        program
        for program in world.programs
        if program.place.service and 'coverage_changed' in _read_events(program)
    ]


def find_owners(world: World) -> list[Program]:
    """Return the agents whose upstreams hold most open flows, most first."""
    held = Counter(world.truth.open_flows.values())
    counts = {
        upstream.place.name: held[upstream.upstream_id]
        for upstream in world.upstreams
    }
    agents = [one for one in world.programs if one.place.service]
    return sorted(agents, key=lambda one: -counts.get(one.place.name, 0))
