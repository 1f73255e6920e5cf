"""Readers and the spread of a change, in fleets of up to 370 balancers.

370 are a seventh of the size to design for.  Real decisions (of
keelgap.catalog.readers and keelgap_balancer.packets.gossip) on a paused
clock, without sockets; a message takes no time and some are lost.
Prints one JSON object a fleet.

    python -m experiments.readers_model --seed 1
"""

import argparse
import json
from random import Random
from statistics import mean
from typing import Any

from keelgap.catalog import defaults as catalog_defaults
from keelgap.catalog.readers import ReaderClaim, ReaderElection
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.gossip import (
    GossipMessage,
    decode_gossip,
    encode_gossip,
)
from keelgap_balancer.packets.peers import PeerTable

SIZES = (8, 21, 100, 370)
#: Octets around a message: its envelope's head, UDP and IPv4.
HEADS = 19 + 28
LOSS = 0.01
#: Each joiner knows this many seeds.
SEEDS = 3


class Node:
    """One balancer: what it knows, and what it sent."""

    def __init__(self, host: str, seeds: list[str]) -> None:
        """Start with the seeds only."""
        self.peers = PeerTable(host, seeds)
        self.readers = ReaderElection(host)
        self.revision = 1
        self.octets = 0


class Fleet:
    """Balancers that tell each other every half second, not in step."""

    def __init__(self, count: int, random: Random) -> None:
        """Start all of them."""
        self.random = random
        self.now: float = 0
        hosts = [
            f'10.{number >> 16}.{number >> 8 & 255}.{number & 255}'
            for number in range(count)
        ]
        seeds = random.sample(hosts, min(SEEDS, count))
        self.nodes = {host: Node(host, seeds) for host in hosts}

    def run_round(self) -> None:
        """Let half a second pass."""
        order = list(self.nodes)
        self.random.shuffle(order)
        pause = defaults.GOSSIP_INTERVAL_SECONDS / len(order)
        for host in order:
            self.now += pause
            node = self.nodes[host]
            node.peers.tick(self.now)
            node.readers.decide(self.now, node.peers.last_heard)
            self.tell(node)

    def tell(self, node: Node) -> None:
        """Let one tell those whose turn it is."""
        is_reader = node.readers.is_reader
        receivers = node.peers.select_receivers(is_reader=is_reader)
        for place, host in enumerate(receivers):
            may_probe = node.peers.should_probe(host, place)
            wants_reply = may_probe and node.peers.start_probe(host, self.now)
            self.tell_one(node, host, wants_reply=wants_reply)

    def tell_one(
        self, node: Node, host: str, *, wants_reply: bool = False
    ) -> None:
        """Let one tell another; some messages are lost."""
        gossip = GossipMessage(
            node.revision,
            node.readers.is_reader,
            node.peers.list_recent_peers(),
            node.readers.make_claims(self.now),
            node.peers.incarnation,
            wants_reply,
            node.peers.take_updates(),
        )
        content = encode_gossip(gossip)
        node.octets += len(content) + HEADS
        receiver = self.nodes.get(host)
        if receiver is not None and self.random.random() >= LOSS:
            self.hear(receiver, node.peers.own_host, decode_gossip(content))

    def hear(self, node: Node, sender: str, gossip: GossipMessage) -> None:
        """Let one take a message, and fetch what it lacks."""
        for claim in gossip.claims:
            node.readers.record_claim(claim, self.now)
        if gossip.is_reader:
            node.readers.record_claim(ReaderClaim(sender, 0), self.now)
        else:
            node.readers.record_withdrawal(sender, self.now)
        node.peers.merge(gossip.changes, self.now)
        known = node.peers.record_message(
            sender, gossip.incarnation, gossip.peers, self.now
        )
        if known or gossip.wants_reply:
            self.tell_one(node, sender)
        if gossip.revision > node.revision:
            node.revision = gossip.revision
            # What is in force is told at once.
            self.tell(node)

    def list_readers(self) -> list[str]:
        """Return who reads."""
        return [
            host for host, node in self.nodes.items() if node.readers.is_reader
        ]

    def spread(self) -> float:
        """Let a reader learn of a change; return seconds until all know."""
        began = self.now
        first = self.nodes[self.random.choice(self.list_readers())]
        first.revision += 1
        revision = first.revision
        self.tell(first)
        while any(node.revision < revision for node in self.nodes.values()):
            self.run_round()
        return round(self.now - began, 2)


def measure(count: int, random: Random) -> dict[str, Any]:
    """Return how one fleet behaves."""
    fleet = Fleet(count, random)
    settled = []
    for _ in range(60):
        fleet.run_round()
        settled.append(len(fleet.list_readers()))
    for node in fleet.nodes.values():
        node.octets = 0
    began = fleet.now
    for _ in range(20):
        fleet.run_round()
    seconds = fleet.now - began
    readers = set(fleet.list_readers())
    rates = {
        host: sender.octets / seconds for host, sender in fleet.nodes.items()
    }
    spreads = [fleet.spread() for _ in range(3)]
    for host in fleet.list_readers():
        fleet.nodes.pop(host)
    replaced: float = 0
    while not fleet.list_readers() and replaced < 60:
        fleet.run_round()
        replaced += defaults.GOSSIP_INTERVAL_SECONDS
    return {
        'balancers': count,
        'readers_after_5_15_30_s': [settled[9], settled[29], settled[59]],
        'octets_a_second_of_a_reader': _average(rates, readers),
        'octets_a_second_of_others': _average(rates, set(rates) - readers),
        'seconds_until_all_know': spreads,
        'seconds_without_reader_after_all_died': replaced,
    }


def _average(rates: dict[str, float], hosts: set[str]) -> int:
    return round(mean(rates[host] for host in hosts)) if hosts else 0


def main() -> None:
    """Measure all sizes."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    random = Random(parser.parse_args().seed)
    for count in SIZES:
        row = measure(count, random)
        report = {'readers': catalog_defaults.READER_COUNT, **row}
        print(json.dumps(report), flush=True)


if __name__ == '__main__':
    main()
