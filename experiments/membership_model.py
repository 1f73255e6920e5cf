"""Who is taken for lost in fleets of balancers, on a paused clock.

Plays the real beliefs (keelgap_balancer.packets.peers) over messages that
take time and get lost, with machines that freeze, are cut off, slow down and
restart.  Prints one JSON object a fleet: how often a living balancer was
lost, how long dead ones stayed known, octets a second of one balancer.

    python -m experiments.membership_model --seed 1
"""

import argparse
import json
from collections.abc import Callable
from random import Random
from typing import Any, Final

from experiments.outage.clock import VirtualClock
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.gossip import (
    GossipMessage,
    decode_gossip,
    encode_gossip,
)
from keelgap_balancer.packets.peers import PeerTable

__all__ = ('MemberFleet', 'measure')

SIZES: Final = (10, 59, 370)
#: Heads of IPv4, UDP and an envelope.
HEADS: Final = 47
#: One way, with the time a slow machine takes for a message.
TRAVEL: Final = (0.001, 0.03)
#: Share of messages that are lost in calm, and on harmed links.
LOSS: Final = 0.001
HARMED_LOSS: Final = 0.1
_SEEDS: Final = 3


class MemberFleet:
    """Balancers that tell each other who lives."""

    def __init__(self, count: int, random: Random) -> None:
        """Start all within 0.3 s."""
        self.random = random
        self.clock = VirtualClock()
        #: Hosts whose links lose HARMED_LOSS of the messages.
        self.harmed: set[str] = set()
        self.hosts = [f'10.{one // 250}.{one % 250}.1' for one in range(count)]
        self.alive: dict[str, PeerTable] = {}
        #: Hosts that run no code now, or reach nobody.
        self.frozen: set[str] = set()
        self.cut: set[str] = set()
        self.octets = 0
        #: When a host was last seen frozen or cut off.
        self.unable_at: dict[str, float] = {}
        #: Pairs of who took a living one for lost, and whom.
        self.wrong: list[tuple[str, str]] = []
        self.starts = 0
        for host in self.hosts:
            at = random.uniform(0, 0.3)
            self.clock.later(at, self._make_start(host))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.clock.now + seconds
        # The clock moves only to calls.
        self.clock.later(end, lambda: None)
        self.clock.run(end)

    def restart(self, host: str, dark: float) -> None:
        """Let a balancer die and begin anew."""
        self.alive.pop(host)
        at = self.clock.now + dark
        self.clock.later(at, self._make_start(host))

    def count_knowing(self, host: str) -> int:
        """Return how many living balancers think that a host lives."""
        return sum(host in peers.last_heard for peers in self.alive.values())

    def count_missing(self) -> int:
        """Return how many pairs of living ones do not know each other."""
        living = len(self.alive)
        known = sum(
            len(peers.last_heard.keys() & self.alive.keys())
            for peers in self.alive.values()
        )
        return living * (living - 1) - known

    def _make_start(self, host: str) -> Callable[[], None]:
        def start() -> None:
            self.starts += 1
            seeds = self.hosts[:_SEEDS]
            peers = PeerTable(host, seeds, incarnation=self.starts)
            self.alive[host] = peers
            self._fire(host, peers)

        return start

    def _fire(self, host: str, peers: PeerTable) -> None:
        if self.alive.get(host) is not peers:
            return
        now = self.clock.now
        if host not in self.frozen:
            lost = peers.tick(now)
            self._note_unable()
            if self._is_able(host):
                self.wrong += [
                    (host, other)
                    for other in lost
                    if other in self.alive and self._is_able(other)
                ]
            receivers = peers.select_receivers(
                is_reader=False,
                is_round=True,
            )
            for place, other in enumerate(receivers):
                may_probe = peers.should_probe(other, place)
                wants_reply = may_probe and peers.start_probe(other, now)
                self._send(host, peers, other, wants_reply=wants_reply)
        pause = defaults.GOSSIP_INTERVAL_SECONDS
        self.clock.later(now + pause, lambda: self._fire(host, peers))

    def _note_unable(self) -> None:
        for host in self.frozen | self.cut:
            self.unable_at[host] = self.clock.now

    def _is_able(self, host: str) -> bool:
        """Return whether a host could answer and hear for a while.

        What it owed before is held against it a little longer.
        """
        unable_at = self.unable_at.get(host, float('-inf'))
        owed = (
            defaults.PROBE_TIMEOUT_SECONDS + defaults.SUSPICION_TIMEOUT_SECONDS
        )
        return self.clock.now - unable_at > owed

    def _send(
        self,
        host: str,
        peers: PeerTable,
        receiver: str,
        *,
        wants_reply: bool = False,
    ) -> None:
        gossip = GossipMessage(
            1,
            is_reader=False,
            peers=peers.list_recent_peers(),
            claims=(),
            incarnation=peers.incarnation,
            wants_reply=wants_reply,
            changes=peers.take_updates(),
        )
        content = encode_gossip(gossip)
        self.octets += len(content) + HEADS
        loss = HARMED_LOSS if {host, receiver} & self.harmed else LOSS
        if self.random.random() < loss or {host, receiver} & self.cut:
            return
        at = self.clock.now + self.random.uniform(*TRAVEL)
        self.clock.later(at, lambda: self._hear(receiver, host, content))

    def _hear(self, host: str, sender: str, content: bytes) -> None:
        peers = self.alive.get(host)
        if peers is None or {host, sender} & self.cut:
            return
        now = self.clock.now
        if host in self.frozen:
            # It waits in the socket.
            self.clock.later(
                now + 0.1, lambda: self._hear(host, sender, content)
            )
            return
        gossip = decode_gossip(content)
        peers.merge(gossip.changes, now)
        is_new = peers.record_message(
            sender, gossip.incarnation, gossip.peers, now
        )
        if is_new or gossip.wants_reply:
            self._send(host, peers, sender)


def _time_loss(fleet: MemberFleet, host: str, most: float) -> float:
    """Return seconds until nobody takes a dead host for living."""
    began = fleet.clock.now
    while fleet.count_knowing(host) and fleet.clock.now - began < most:
        fleet.run(0.1)
    return round(fleet.clock.now - began, 1)


def _die_and_restart(fleet: MemberFleet, random: Random) -> float:
    """Let one die for good, then 40 % restart within a second."""
    dead = fleet.hosts[-1]
    fleet.alive.pop(dead)
    lone = _time_loss(fleet, dead, 20)
    some = len(fleet.hosts) * 2 // 5
    for host in random.sample(sorted(fleet.alive), some):
        fleet.restart(host, random.uniform(0.3, 1.3))
    fleet.run(8)
    return lone


def measure(count: int, random: Random) -> dict[str, Any]:
    """Return how one fleet behaves."""
    fleet = MemberFleet(count, random)
    fleet.run(0.5)
    while fleet.count_missing() and fleet.clock.now < 30:
        fleet.run(0.1)
    settled = round(fleet.clock.now, 1)
    fleet.octets = 0
    began = fleet.clock.now
    fleet.run(40)
    rate = fleet.octets / count / (fleet.clock.now - began)
    calm = len(fleet.wrong)
    few = max(count // 10, 1)
    fleet.harmed = set(random.sample(fleet.hosts, few))
    fleet.run(20)
    fleet.harmed = set()
    lossy = len(fleet.wrong) - calm
    fleet.frozen = {random.choice(fleet.hosts)}
    fleet.run(5)
    fleet.frozen = set()
    fleet.run(3)
    frozen_missing = fleet.count_missing()
    fleet.cut = set(random.sample(fleet.hosts, few))
    fleet.run(5)
    fleet.cut = set()
    fleet.run(6)
    cut_missing = fleet.count_missing()
    before = len(fleet.wrong)
    lone = _die_and_restart(fleet, random)
    return {
        'balancers': count,
        'seconds_until_all_know_all': settled,
        'octets_a_second': round(rate),
        'living_lost_in_40_calm_seconds': calm,
        'living_lost_in_20_seconds_of_harmed_links': lossy,
        'pairs_unknown_3_s_after_a_freeze': frozen_missing,
        'pairs_unknown_6_s_after_cuts': cut_missing,
        'seconds_until_a_dead_one_is_lost': lone,
        'living_lost_in_restarts': len(fleet.wrong) - before,
        'pairs_unknown_after_restarts': fleet.count_missing(),
    }


def main() -> None:
    """Measure all sizes."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    random = Random(parser.parse_args().seed)
    for count in SIZES:
        print(json.dumps(measure(count, random)), flush=True)


if __name__ == '__main__':
    main()
