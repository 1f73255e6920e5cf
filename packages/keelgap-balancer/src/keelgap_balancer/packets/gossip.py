"""Which other balancers there are, and what they hold."""

import json
from collections.abc import Iterable
from typing import NamedTuple

from keelgap.exceptions import KeelgapError
from keelgap_balancer.packets import defaults

__all__ = ('Gossip', 'MalformedGossip', 'Peers', 'decode_gossip')


class MalformedGossip(KeelgapError):
    """A message between balancers that cannot be read."""

    code = 'malformed_gossip'


class Gossip(NamedTuple):
    """What one balancer tells another."""

    #: Revision of the store up to which the sender holds everything.
    revision: int
    #: Hosts of other balancers that the sender heard lately.
    peers: tuple[str, ...]


def decode_gossip(content: bytes) -> Gossip:
    """Return a message; raise MalformedGossip."""
    try:
        document = json.loads(content)
        return Gossip(int(document['revision']), tuple(document['peers']))
    except (ValueError, KeyError, TypeError) as error:
        raise MalformedGossip(repr(error)) from error


class Peers:
    """The other balancers that this one knows."""

    def __init__(self, own: str, seeds: Iterable[str]) -> None:
        """Know the seeds, which may be stale."""
        self.own = own
        self.seeds: tuple[str, ...] = ()
        self.change_seeds(seeds)
        #: When each host was last heard.
        self.heard: dict[str, float] = {}
        #: Hosts that others named and that were not heard yet.
        self.named: set[str] = set()
        #: Place of the first receiver of the last round.
        self.turn = 0

    def change_seeds(self, seeds: Iterable[str]) -> None:
        """Know other seeds."""
        self.seeds = tuple(host for host in seeds if host != self.own)

    def note(self, host: str, gossip: Gossip, now: float) -> bool:
        """Record a message; return whether its sender is new or back."""
        is_new = host not in self.heard
        self.heard[host] = now
        others = gossip.peers[: defaults.MAX_GOSSIP_PEERS]
        self.named.update(other for other in others if other != self.own)
        self.named -= self.heard.keys()
        return is_new

    def forget_silent(self, now: float) -> tuple[str, ...]:
        """Forget and return those that were silent for long."""
        silent = tuple(
            host
            for host, heard in self.heard.items()
            if now - heard > defaults.PEER_SECONDS
        )
        for host in silent:
            self.heard.pop(host)
        return silent

    def list_receivers(self) -> list[str]:
        """Return whom to tell now: all, or by turns if there are many."""
        hosts = list(dict.fromkeys((*self.heard, *self.named, *self.seeds)))
        self.named = set()
        if len(hosts) <= defaults.MAX_GOSSIP_PEERS:
            return hosts
        # Others hear of us in the next rounds.
        self.turn = (self.turn + defaults.GOSSIP_AT_ONCE) % len(hosts)
        return (hosts * 2)[self.turn : self.turn + defaults.GOSSIP_AT_ONCE]

    def make_gossip(self, revision: int) -> bytes:
        """Return the message to send."""
        latest = sorted(self.heard, key=self.heard.__getitem__, reverse=True)
        peers = latest[: defaults.MAX_GOSSIP_PEERS]
        return json.dumps({'revision': revision, 'peers': peers}).encode()
