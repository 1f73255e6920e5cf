"""Encoding of the notices from balancers to agents.

Agents do not read the store; a notice tells an agent about its upstream and
service.  It consists of the revision (8 octets), upstream tag (4), upstream
revision (8), two flags (1 each) whether the upstream started recently and
whether the availability zone is out of service, milliseconds until the
upstream is warm (4) and new flows per second that it accepts until then (4, a
float), all in network byte order.  The hosts of the service's flow directory
follow, by shard.
"""

import struct
from typing import Final, NamedTuple

from keelgap.packets.directory import REPLICAS, FlowDirectory
from keelgap.packets.encoding import pack_hosts, unpack_header, unpack_hosts
from keelgap.packets.exceptions import MalformedEnvelope

__all__ = ('UpstreamNotice', 'pack_notice', 'unpack_notice')

_NOTICE: Final = struct.Struct('!QIQ??If')
_MAX_UINT32: Final = 0xFFFFFFFF


class UpstreamNotice(NamedTuple):
    """What a balancer knows about an agent's upstream and service."""

    #: Revision of the catalog; the later of two notices wins.
    revision: int
    #: Hosts of the directory nodes, by shard; empty if the service needs no
    #: directory.
    shards: tuple[tuple[str, ...], ...] = ()
    #: Tag of the current start of the upstream; 0 if the sender is not sure.
    upstream_tag: int = 0
    #: Revision of the upstream's entry; the later of two notices wins.
    upstream_revision: int = 0
    #: Whether the upstream started recently.
    is_recent_start: bool = False
    #: Whether the operators took the availability zone out of service.
    is_evacuated: bool = False
    #: Milliseconds until the upstream is warm; 0 if it is.
    warm_up_ms: int = 0
    #: New flows per second that the upstream accepts until it is warm; 0 if no
    #: limit is set.
    warm_up_flow_rate: float = 0

    @property
    def directory(self) -> FlowDirectory:
        """Return the directory placement that the notice contains."""
        return FlowDirectory(self.revision, self.shards)


def pack_notice(notice: UpstreamNotice) -> bytes:
    """Encode a notice as the content of HELLO and ASK envelopes."""
    header = _NOTICE.pack(
        notice.revision,
        notice.upstream_tag,
        notice.upstream_revision,
        notice.is_recent_start,
        notice.is_evacuated,
        min(notice.warm_up_ms, _MAX_UINT32),
        notice.warm_up_flow_rate,
    )
    return header + pack_hosts(
        host for nodes in notice.shards for host in nodes
    )


def unpack_notice(content: bytes) -> UpstreamNotice:
    """Decode a notice; raise MalformedEnvelope if invalid."""
    revision, *rest = unpack_header(_NOTICE, content)
    hosts = unpack_hosts(content[_NOTICE.size :])
    if len(hosts) % REPLICAS:
        raise MalformedEnvelope(len(content))
    shards = tuple(
        hosts[start : start + REPLICAS]
        for start in range(0, len(hosts), REPLICAS)
    )
    return UpstreamNotice(revision, shards, *rest)
