"""Placement of the directory that maps flows to the agents holding them.

A balancer that does not know a flow cannot ask every agent of a service with
many upstreams.  A few agents therefore act as directory nodes: every agent
registers with them the flows that it passes to its upstream, and a balancer
asks two nodes, independent of the number of upstreams.

The hash of a flow key selects a shard, and rendezvous hashing over the hosts
in the catalog selects two nodes for each shard.  Hosts are hashed instead of
processes, because hosts outlive processes: after a complete outage each shard
is on the same hosts as before.  All balancers at the same catalog revision
compute the same placement; agents receive it from balancers, and the latest
revision wins.  A wrong or empty directory delays flows but does not break
them: a node reports which agents' registrations it holds completely, and
balancers ask all other agents directly.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from xxhash import xxh3_64_intdigest

__all__ = (
    'REPLICAS',
    'NO_DIRECTORY',
    'FlowDirectory',
    'choose_nodes',
    'digest_hosts',
    'make_directory',
)

#: Nodes per shard, so that one may be unreachable or restarting.
REPLICAS: Final = 2
#: Upstreams per shard.  At the design size each upstream opens 14 flows per
#: second, so a node receives 1,800 registrations per second, which take about
#: a fifth of a core.
UPSTREAMS_PER_SHARD: Final = 128

#: Hosts of the nodes of one shard.
Nodes = tuple[str, ...]


class FlowDirectory(NamedTuple):
    """Hosts on which the flow directory of one service is placed."""

    #: Revision of the catalog from which the placement was computed.
    revision: int
    #: Hosts of the nodes, by shard.
    shards: tuple[Nodes, ...]


#: For a service with few enough agents to ask each of them.
NO_DIRECTORY: Final = FlowDirectory(0, ())


def make_directory(
    revision: int,
    hosts: Iterable[str],
    max_without_directory: int,
) -> FlowDirectory:
    """Choose the directory nodes of a service among the hosts of its agents.

    Services with up to ``max_without_directory`` hosts get NO_DIRECTORY.
    """
    members = tuple(hosts)
    if len(members) <= max_without_directory:
        return NO_DIRECTORY
    count = (len(members) - 1) // UPSTREAMS_PER_SHARD + 1
    shards = tuple(_choose_replicas(members, shard) for shard in range(count))
    return FlowDirectory(revision, shards)


def _choose_replicas(hosts: tuple[str, ...], shard: int) -> Nodes:
    """Return the hosts of a shard's nodes by rendezvous hashing."""
    ranked = sorted(
        hosts, key=lambda host: xxh3_64_intdigest(host.encode(), shard)
    )
    return tuple(ranked[:REPLICAS])


def choose_nodes(directory: FlowDirectory, key: bytes) -> Nodes:
    """Return the hosts of the directory nodes for a flow key.

    There are none if the service has no directory.
    """
    shards = directory.shards
    if not shards:
        return ()
    return shards[xxh3_64_intdigest(key) % len(shards)]


def digest_hosts(hosts: Iterable[str]) -> int:
    """Return a digest of a set of hosts that does not depend on order."""
    digest = 0
    for host in hosts:
        digest ^= xxh3_64_intdigest(host.encode())
    return digest
