"""Availability zones and link bandwidths of the balancers.

Each balancer sends its own availability zone and link bandwidth with its
gossip messages, and relays those of others a few times.  The balancers of a
zone thus know each other within a few rounds of half a second.
"""

from collections.abc import Container, Iterable
from typing import NamedTuple

from keelgap.packets.envelopes import compute_service_tag
from keelgap_balancer.packets import defaults

__all__ = ('BalancerInfo', 'BalancerInfoTable')


class BalancerInfo(NamedTuple):
    """Availability zone and link bandwidth that a balancer announces."""

    host: str
    #: Increased with each change of the other fields.
    version: int
    #: Tag of its availability zone.
    zone_tag: int
    #: Bandwidth of its link in Mbit/s; 0 while it takes no callers.
    link_megabits: int


class BalancerInfoTable:
    """Zones and links of one balancer and of the others it knows."""

    def __init__(self, own: str, availability_zone: str, version: int) -> None:
        """Start as a balancer that takes no callers yet."""
        tag = compute_service_tag(availability_zone)
        self.own = BalancerInfo(own, version, tag, 0)
        #: Latest infos of the other balancers, by host.
        self.known: dict[str, BalancerInfo] = {}
        #: How often the latest info of each host is still to be relayed.
        self.remaining_sends: dict[str, int] = {}

    def update_own_link(self, link_megabits: int) -> bool:
        """Set the bandwidth of the own link; return whether it changed."""
        own = self.own
        if own.link_megabits == link_megabits:
            return False
        self.own = own._replace(
            version=own.version + 1,
            link_megabits=link_megabits,
        )
        return True

    def merge(self, infos: Iterable[BalancerInfo]) -> None:
        """Store infos of other balancers that are newer than the known ones.

        A new info is scheduled to be relayed.
        """
        for balancer in infos:
            known = self.known.get(balancer.host)
            is_new = known is None or balancer.version > known.version
            if is_new and balancer.host != self.own.host:
                self.known[balancer.host] = balancer
                rounds = (len(self.known) + 1).bit_length()
                self.remaining_sends[balancer.host] = (
                    rounds * defaults.RETRANSMIT_FACTOR
                )

    def take_updates(self) -> tuple[BalancerInfo, ...]:
        """Return the own info and those of others to relay in one message.

        The number of relays left for each of them is decremented.
        """
        ranked = sorted(
            self.remaining_sends,
            key=self.remaining_sends.__getitem__,
            reverse=True,
        )
        relayed = ranked[: defaults.MAX_RELAYED_INFOS]
        for relayed_host in relayed:
            self.remaining_sends[relayed_host] -= 1
            if not self.remaining_sends[relayed_host]:
                self.remaining_sends.pop(relayed_host)
        return (self.own, *map(self.known.__getitem__, relayed))

    def list_in_zone(self, alive: Container[str]) -> list[BalancerInfo]:
        """Return the other balancers of the own zone that are alive."""
        return [
            balancer
            for balancer in self.known.values()
            if balancer.zone_tag == self.own.zone_tag and balancer.host in alive
        ]

    def forget(self, hosts: Iterable[str]) -> None:
        """Forget lost balancers; they announce themselves when they return."""
        for lost_host in hosts:
            self.known.pop(lost_host, None)
            self.remaining_sends.pop(lost_host, None)
