"""Whether a balancer with a thin link leaves callers to others.

The routers give each balancer in rotation the same share of a zone's flows.
What a link of 7 Mbit/s gets beside links of 100 Mbit/s is more than it carries
whenever some uploads of 80 KB come together: their packets queue and are lost,
and are repeated after 0.2, 0.4 and 0.8 s.  So where others of the zone have
links of several times its own, a balancer says that it is not ready.

It serves whatever comes to it all the same, and is ready again as soon as
fewer than two such others are known to take callers.  At least half of a
zone's balancers stay in rotation: with fewer the routers use all.
"""

from typing import NamedTuple

from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.places import Place

__all__ = ('Rotation', 'has_thin_link')


def has_thin_link(own: Place, others: list[Place]) -> bool:
    """Return whether the others of a zone should carry its callers."""
    enough = own.link_megabits * defaults.THIN_LINK_FACTOR
    wide = [one for one in others if one.link_megabits >= enough]
    if not own.link_megabits or len(wide) < defaults.FEWEST_WIDE_LINKS:
        return False
    # Those with the thinnest links go first; the host decides among equals.
    rank = (own.link_megabits, own.host)
    before = sum((one.link_megabits, one.host) < rank for one in others)
    return before < (len(others) + 1) // 2


class _Change(NamedTuple):
    """What the others of the zone call for, and since when."""

    yields: bool
    since: float


class Rotation:
    """The decision of one balancer, which does not change at each message."""

    def __init__(self, now: float) -> None:
        """Start in rotation."""
        self.yields = False
        self.wanted = _Change(yields=False, since=now)

    def decide(self, own: Place, others: list[Place], now: float) -> bool:
        """Return whether to stay out of rotation from now on.

        Into rotation at once, since callers may need this balancer; out of
        it only when that has been right for some time, since the routers
        move nearly all flows of the zone each time.
        """
        yields = has_thin_link(own, others)
        if yields != self.wanted.yields:
            self.wanted = _Change(yields, now)
        waited = now - self.wanted.since
        if not yields or waited >= defaults.YIELD_SECONDS:
            self.yields = yields
        return self.yields
