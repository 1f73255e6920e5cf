"""The patterns of load that the policies answer.

The deployment is of the size of the smallest that users run: seven upstreams
of two slots, 30 to 39 ms a request, timeouts of 2.5 and 3 s, and a load of
just under half of what warm upstreams can do.
"""

from types import MappingProxyType
from typing import Final

from experiments.outage.scenario import Kind, Scenario

__all__ = ('PATTERNS',)

_KINDS: Final = (
    Kind('read', 0.78, 0.03, 0.15, 2.5, 2),
    Kind('write', 0.22, 0.039, 0.2, 3.0, 1),
)
_SMALL: Final = Scenario(
    balancers=5,
    agents=7,
    slots=2,
    load=0.47,
    kinds=_KINDS,
)

#: By name.
PATTERNS: Final = MappingProxyType({
    # Machines dark for 1.4 s, programs 0.3 to 0.6 s later.
    'power_failure': _SMALL,
    # The store answers only 0.5 s after the balancers have started.
    'store_silent_at_return': _SMALL._replace(
        load=0.5, dark_for=1.6, store_back=4.4
    ),
    # Three of seven agents come back 1.5 s after the others.
    'late_agents': _SMALL._replace(late_agents=0.43, load=0.35),
    # 1.7 times the load for two seconds, without an outage.
    'burst': _SMALL._replace(dark_at=None, burst=(1.7, 3, 5)),
    # More for two seconds than can be done; the queue drains slowly.
    'burst_beyond_capacity': _SMALL._replace(
        dark_at=None, load=0.9, burst=(1.7, 3, 5)
    ),
    # Two of seven upstreams take five times as long.
    'slow_upstreams': _SMALL._replace(dark_at=None, slow=(0.28, 5)),
    # Each upstream is replaced in turn, every 0.8 s.
    'release_under_load': _SMALL._replace(dark_at=None, release_at=1),
    # More is asked for than can be done, for good.
    'lasting_overload': _SMALL._replace(dark_at=None, load=1.3),
})
