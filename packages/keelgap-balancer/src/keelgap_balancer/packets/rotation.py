"""Withdrawal of balancers with slow links from the rotation.

The routers give each balancer in rotation the same share of a zone's flows.
Beside links of 100 Mbit/s, a link of 7 Mbit/s gets more than it can carry
whenever several uploads of 80 KB coincide: packets are queued and lost, and
callers retransmit them after 0.2, 0.4 and 0.8 s.  Therefore a balancer reports
that it is not ready if others of the zone have links several times as fast.

It still serves all packets that arrive, and is ready again as soon as fewer
than two such balancers are known to take callers.  At least half of a zone's
balancers stay in rotation: with fewer, the routers would use all of them.
"""

from typing import NamedTuple

from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.balancer_infos import BalancerInfo

__all__ = ('Rotation', 'has_slow_link')


def has_slow_link(own: BalancerInfo, others: list[BalancerInfo]) -> bool:
    """Return whether this balancer should withdraw because of its slow link.

    ``others`` are the other balancers of its availability zone.
    """
    fast_megabits = own.link_megabits * defaults.SLOW_LINK_FACTOR
    fast = [one for one in others if one.link_megabits >= fast_megabits]
    if not own.link_megabits or len(fast) < defaults.MIN_FAST_LINKS:
        return False
    # The slowest links withdraw first; the host decides among equals.
    rank = (own.link_megabits, own.host)
    slower_count = sum((one.link_megabits, one.host) < rank for one in others)
    return slower_count < (len(others) + 1) // 2


class _Target(NamedTuple):
    """Whether the zone's link speeds call for withdrawal, and since when."""

    is_withdrawn: bool
    since: float


class Rotation:
    """Withdrawal of one balancer from rotation, delayed against flapping."""

    def __init__(self, now: float) -> None:
        """Start in rotation."""
        self.is_withdrawn = False
        self.target = _Target(is_withdrawn=False, since=now)

    def update(
        self, own: BalancerInfo, others: list[BalancerInfo], now: float
    ) -> bool:
        """Decide again; return whether to stay out of rotation from now on.

        The balancer returns at once, since callers may need it.  It withdraws
        only after the links have required it for some time, since the
        routers move nearly all flows of the zone with each change.
        """
        is_withdrawn = has_slow_link(own, others)
        if is_withdrawn != self.target.is_withdrawn:
            self.target = _Target(is_withdrawn, now)
        waited = now - self.target.since
        if not is_withdrawn or waited >= defaults.WITHDRAW_DELAY_SECONDS:
            self.is_withdrawn = is_withdrawn
        return self.is_withdrawn
