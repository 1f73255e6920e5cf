"""What balancers tell an agent of its upstream and its service.

Agents read nothing of the store.  A notice has revision (8 octets), upstream
tag (4), upstream revision (8), flags (1) whether the upstream started a moment
ago and whether the availability zone is out of service, milliseconds until the
upstream is warm (4) and new flows that it bears a second until then (4, a
float), all in network order; then the hosts of the service's flow directory,
by shard.
"""

import struct
from typing import Final, NamedTuple

from keelgap.packets.directory import COPIES, FlowDirectory
from keelgap.packets.exceptions import MalformedEnvelope
from keelgap.packets.octets import pack_hosts, unpack_head, unpack_hosts

__all__ = ('UpstreamNotice', 'pack_notice', 'unpack_notice')

_NOTICE: Final = struct.Struct('!QIQ??If')
_LONGEST_MS: Final = 0xFFFFFFFF


class UpstreamNotice(NamedTuple):
    """What a balancer's catalog says of the upstream beside an agent."""

    #: Revision of the catalog; the later of two notices counts.
    revision: int
    #: Hosts of the agents that keep each shard of the service's directory;
    #: none where the service needs no directory.
    shards: tuple[tuple[str, ...], ...] = ()
    #: Stands for this start of the upstream; 0 if the sender is not sure.
    upstream_tag: int = 0
    #: Revision of that upstream's entry; the later of two notices counts.
    upstream_revision: int = 0
    #: Whether the upstream started a moment ago.
    is_young: bool = False
    #: Whether the operators took the availability zone out of service.
    is_evacuated: bool = False
    #: Milliseconds until the upstream is warm; 0 if it is.
    warm_up_ms: int = 0
    #: New flows a second that it bears until then; 0 if none are stated.
    cold_per_second: float = 0

    @property
    def directory(self) -> FlowDirectory:
        """Return the directory of the service."""
        return FlowDirectory(self.revision, self.shards)


def pack_notice(notice: UpstreamNotice) -> bytes:
    """Return the octets of a notice."""
    head = _NOTICE.pack(
        notice.revision,
        notice.upstream_tag,
        notice.upstream_revision,
        notice.is_young,
        notice.is_evacuated,
        min(notice.warm_up_ms, _LONGEST_MS),
        notice.cold_per_second,
    )
    return head + pack_hosts(host for nodes in notice.shards for host in nodes)


def unpack_notice(content: bytes) -> UpstreamNotice:
    """Return a notice; raise MalformedEnvelope."""
    revision, *rest = unpack_head(_NOTICE, content)
    hosts = unpack_hosts(content[_NOTICE.size :])
    if len(hosts) % COPIES:
        raise MalformedEnvelope(len(content))
    shards = tuple(
        hosts[start : start + COPIES] for start in range(0, len(hosts), COPIES)
    )
    return UpstreamNotice(revision, shards, *rest)
