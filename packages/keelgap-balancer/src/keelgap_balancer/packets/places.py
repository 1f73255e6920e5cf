"""Where other balancers are, and how much they can carry.

Each balancer tells its availability zone and its link with its messages, and
passes on a few times what it hears of others, so that those of a zone know
each other within some rounds of half a second.
"""

from collections.abc import Container, Iterable
from typing import NamedTuple

from keelgap.packets.envelopes import compute_service_tag
from keelgap_balancer.packets import defaults

__all__ = ('Place', 'Places')


class Place(NamedTuple):
    """What a balancer says of itself."""

    host: str
    #: Counts up whenever it says something else.
    version: int
    #: Stands for its availability zone.
    zone_tag: int
    #: Megabits a second of its link; 0 while it takes no callers.
    link_megabits: int


class Places:
    """The places that one balancer knows."""

    def __init__(self, own: str, availability_zone: str, version: int) -> None:
        """Start before this balancer takes callers."""
        tag = compute_service_tag(availability_zone)
        self.own = Place(own, version, tag, 0)
        self.known: dict[str, Place] = {}
        #: How often to pass on what was heard, by host.
        self.left: dict[str, int] = {}

    def change_own(self, link_megabits: int) -> bool:
        """Say another link; return whether it is another."""
        own = self.own
        if own.link_megabits == link_megabits:
            return False
        self.own = own._replace(
            version=own.version + 1,
            link_megabits=link_megabits,
        )
        return True

    def take(self, places: Iterable[Place]) -> None:
        """Take what a message says; older news change nothing."""
        for place in places:
            known = self.known.get(place.host)
            is_new = known is None or place.version > known.version
            if is_new and place.host != self.own.host:
                self.known[place.host] = place
                rounds = (len(self.known) + 1).bit_length()
                self.left[place.host] = rounds * defaults.NEWS_FACTOR

    def make_rows(self) -> tuple[Place, ...]:
        """Return what one message says: the own place and the latest news."""
        ranked = sorted(self.left, key=self.left.__getitem__, reverse=True)
        told = ranked[: defaults.MAX_PLACES]
        for heard in told:
            self.left[heard] -= 1
            if not self.left[heard]:
                self.left.pop(heard)
        return (self.own, *map(self.known.__getitem__, told))

    def list_in_zone(self, alive: Container[str]) -> list[Place]:
        """Return the others of the own zone that live."""
        return [
            place
            for place in self.known.values()
            if place.zone_tag == self.own.zone_tag and place.host in alive
        ]

    def forget(self, hosts: Iterable[str]) -> None:
        """Forget balancers that are lost; they tell anew when they return."""
        for lost in hosts:
            self.known.pop(lost, None)
            self.left.pop(lost, None)
