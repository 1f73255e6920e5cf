"""Addresses, times and settings files of a soak."""

import os
import socket
from contextlib import suppress
from itertools import count as count_from
from typing import Final, NamedTuple

__all__ = (
    'AGENT_INI',
    'BALANCER_INI',
    'CALM_SECONDS',
    'CALLERS',
    'CONFIG_SECONDS',
    'FAULT_SECONDS',
    'FEATURES_INI',
    'LARGE_FLEET',
    'SMALL_FLEET',
    'Fleet',
    'ProgramPlace',
    'SETTLED_SECONDS',
    'make_role_fleet',
    'STORE',
    'find_free_ports',
    'make_places',
)

#: How long faults come, and how long nothing does afterwards.
FAULT_SECONDS: Final = 8.0
CALM_SECONDS: Final = 9.0

#: Promises with a time bound hold after so long without a fault.
SETTLED_SECONDS: Final = 4.0

#: A change of the table is in force, and an upstream that leaves gets no new
#: flow, after this; the bound of both users.
CONFIG_SECONDS: Final = 3.0
#: The same for the fleets of users with more than MAX_SMALL_SITE balancers.
LARGE_CONFIG_SECONDS: Final = 5.0
MAX_SMALL_SITE: Final = 12

#: Runs side by side use different parts of loopback.
_NET: Final = f'127.{20 + os.getpid() % 200}'
_NUMBERS: Final = count_from(10000 + os.getpid() % 100 * 200)
CALLERS: Final = tuple(f'{_NET}.2.{number}' for number in (1, 2, 3))
STORE: Final = f'{_NET}.9.1'

BALANCER_INI: Final = """
[instance]
name = {name}
address = {host}
availability_zone = {zone}
[listen]
callers = {host}:{callers}
peer_port = {peer}
ready = {host}:{ready}
control = {host}:{control}
seeds = {seeds}
[store]
address = {store_host}:{store}
"""
AGENT_INI: Final = """
[instance]
name = {name}
address = {host}
availability_zone = {zone}
[listen]
upstream = {host}:{outbound}
peer_port = {peer}
callers = {host}:{callers}
ready = {host}:{ready}
[upstream]
service = {service}
address = {host}:{app}
first_start = {first_start}
"""
#: Decisions under hard load, which both programs are told to make.
FEATURES_INI: Final = """
[features]
ejection = on
scheduling = on
placement = on
"""

_ZONES: Final = 'abc'


class Fleet(NamedTuple):
    """How many programs run, and how many callers use them."""

    balancers: int
    #: Service and availability zone of each upstream.
    upstreams: tuple[tuple[str, str], ...]
    #: Callers at each of their hosts, with one flow at a time.
    callers: int
    #: Whether datagrams between programs pass a proxy, which takes few of them.
    is_proxied: bool = True
    #: Requests that an upstream says it runs at once.
    slots: int = 4
    #: Shortest and longest work of a request.
    work_seconds: tuple[float, float] = (0.005, 0.05)
    #: Whether agents start before the upstreams beside them.
    starts_agents_first: bool = False
    #: For so long an upstream says that it is still slow.
    warm_up_seconds: float = 0
    #: Within this a change must be in force, and a drain.
    config_seconds: float = CONFIG_SECONDS


SMALL_FLEET: Final = Fleet(
    5,
    (
        ('board', 'a'),
        ('board', 'b'),
        ('board', 'c'),
        ('board', 'a'),
        ('proof', 'b'),
        ('proof', 'c'),
    ),
    8,
)


def _spread(service: str, count: int) -> tuple[tuple[str, str], ...]:
    """Return the upstreams of a service, in all zones by turns."""
    return tuple(
        (service, _ZONES[number % len(_ZONES)]) for number in range(count)
    )


#: Both services have a flow directory.  Five upstreams more than the customer
#: begins with: with more than 64 agents balancers greet few at once.
LARGE_FLEET: Final = Fleet(
    24,
    (*_spread('board', 54), *_spread('proof', 14)),
    100,
    is_proxied=False,
    slots=1,
    work_seconds=(0.02, 0.08),
    starts_agents_first=True,
    warm_up_seconds=2,
)


#: On both sides of each size at which balancers change their ways.
_ROLE_SIZES: Final = (5, 8, 9, 10, 12, 24, 25, 26, 29, 33, 40)


def make_role_fleet(seed: int) -> Fleet:
    """Return a fleet of few upstreams and of a size that the seed chooses."""
    size = _ROLE_SIZES[seed % len(_ROLE_SIZES)]
    is_small = size <= MAX_SMALL_SITE
    return SMALL_FLEET._replace(
        balancers=size,
        is_proxied=is_small,
        config_seconds=CONFIG_SECONDS if is_small else LARGE_CONFIG_SECONDS,
    )


class ProgramPlace(NamedTuple):
    """Where one program runs.

    Behind proxies each program has ports of its own for its peers.  What it
    sends to another host at its own port reaches the proxy, which knows by the
    port who speaks.
    """

    name: str
    host: str
    zone: str
    #: Service of the upstream beside it; empty for a balancer.
    service: str
    peer: int
    control: int
    store: int


def find_free_ports(count: int) -> list[int]:
    """Return ports that are free on loopback now.

    They lie below those that the system gives to outgoing connections, one of
    which could take the port of a program that is being restarted.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = next(_NUMBERS)
        with socket.socket() as probe, suppress(OSError):
            probe.bind(('127.0.0.1', port))
            ports.append(port)
    return ports


def make_places(fleet: Fleet) -> list[ProgramPlace]:
    """Return the places of all programs, balancers first."""
    balancers = _spread('', fleet.balancers)
    rows = [
        (f'balancer-{number}', f'{_NET}.0.{number}', zone, '')
        for number, (_, zone) in enumerate(balancers, start=1)
    ]
    rows += [
        (f'agent-{number}', f'{_NET}.1.{number}', zone, service)
        for number, (service, zone) in enumerate(fleet.upstreams, start=1)
    ]
    ports = find_free_ports(3 * len(rows))
    places = [
        ProgramPlace(*row, *ports[3 * number : 3 * number + 3])
        for number, row in enumerate(rows)
    ]
    if fleet.is_proxied:
        return places
    return [place._replace(peer=ports[0]) for place in places]
