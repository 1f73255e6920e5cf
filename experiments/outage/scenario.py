"""What a run is asked to bear, and scenarios drawn by a seed."""

from random import Random
from typing import NamedTuple

from keelgap.packets.features import NO_FEATURES, Features

__all__ = ('Kind', 'Scenario', 'draw_scenario')


class Kind(NamedTuple):
    """One kind of request; each opens a flow of its own."""

    name: str
    #: Share of all requests.
    share: float
    #: Mean seconds of work at a warm upstream.
    work: float
    #: Seconds within which an answer is not late.
    aim: float
    #: Seconds after which the caller leaves.
    timeout: float
    #: 0 goes first.
    priority: int


class Scenario(NamedTuple):
    """A deployment, its load and what happens to it; times in seconds."""

    balancers: int
    agents: int
    slots: int
    #: Work that is asked for, as a share of what warm upstreams can do.
    load: float
    kinds: tuple[Kind, ...]
    seconds: float = 9.0
    #: When everything loses power, or None.
    dark_at: float | None = 2.0
    #: How long until machines have power again.
    dark_for: float = 1.4
    #: Programs start so long after that, evenly spread.
    starts: tuple[float, float] = (0.3, 0.6)
    #: When the store answers; before that it is silent.
    store_back: float = 0
    #: Share of the agents that come back 1.5 s later than the others.
    late_agents: float = 0
    #: Factor on the load from one time to another.
    burst: tuple[float, float, float] = (1, 0, 0)
    #: Share of slow upstreams, and the factor on their work.
    slow: tuple[float, float] = (0, 1)
    #: Upstreams are replaced one after the other from this time on, or None.
    release_at: float | None = None
    #: Share of all requests that one host makes.
    presser: float = 0
    #: Hosts that make the others, in equal parts.
    hosts: int = 1000
    #: What balancers decide, and what agents do.
    balancer_features: Features = NO_FEATURES
    agent_features: Features = NO_FEATURES


def draw_scenario(seed: int) -> Scenario:
    """Return a deployment of one service, as different as users have them."""
    random = Random(seed)
    work = 10 ** random.uniform(-2.3, -0.7)
    agents = random.choice((3, 5, 7, 12, 25))
    slots = random.choice((1, 2, 3, 4, 8))
    # Few enough requests to play them in seconds.
    work = max(work, agents * slots / 1500)
    timeout = random.uniform(1.5, 8)
    kinds = (
        Kind('read', 0.8, work, max(4 * work, 0.15), timeout, 2),
        Kind('write', 0.2, 1.3 * work, max(5 * work, 0.2), timeout * 1.2, 1),
    )
    dark_at = random.choice((2.0, 2.0, None))
    return Scenario(
        balancers=random.choice((2, 5, 8)),
        agents=agents,
        slots=slots,
        load=random.uniform(0.3, 1.3 if dark_at is None else 0.7),
        kinds=kinds,
        dark_at=dark_at,
        dark_for=random.uniform(0.3, 2.5),
        store_back=random.choice((0, 0, 4.0)),
        late_agents=random.choice((0, 0, 0.4)),
        burst=random.choice(((1, 0, 0), (1.7, 4, 6))),
        slow=random.choice(((0, 1), (0.2, 5))),
        release_at=random.choice((None, None, 5.0)),
    )
