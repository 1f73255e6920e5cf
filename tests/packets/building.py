"""Packets, catalogs and small helpers for tests of packet flows."""

import struct
from collections.abc import Iterable
from typing import NamedTuple

from keelgap.addresses import Address
from keelgap.catalog.models import (
    Catalog,
    PacketRoute,
    PacketUpstream,
    RouteSet,
    TrafficShare,
)
from keelgap_platform.layout import make_packet_format

__all__ = (
    'ACK',
    'BOARD',
    'BOUNCED',
    'FIN',
    'FORMAT',
    'PROOF',
    'RST',
    'SYN',
    'FlowName',
    'make_catalog',
    'make_packet',
    'make_upstream',
)

FORMAT = make_packet_format()
#: Flags as they are on the wire.
SYN, ACK, FIN, RST, BOUNCED = 2, 128, 4, 64, 1
BOARD = PacketRoute('r-board', '198.18.0.1', 443, (TrafficShare('board', 1),))
PROOF = PacketRoute('r-proof', '198.18.0.2', 443, (TrafficShare('proof', 1),))
_HEAD = struct.Struct('<HH4sH4s4sIIB3s4s')


class FlowName(NamedTuple):
    """The two ends of a flow."""

    caller: str
    port: int
    route: PacketRoute = BOARD

    @property
    def key(self) -> bytes:
        """Return the flow's key."""
        return FORMAT.caller_key(make_packet(self, ACK))


def _pack_host(host: str) -> bytes:
    return bytes(int(part) for part in reversed(host.split('.')))


def make_packet(
    flow: FlowName,
    flags: int,
    *,
    seq: int = 1,
    ack: int = 0,
    data: bytes = b'',
    back: bool = False,
) -> bytes:
    """Return a packet of the caller, or of the upstream if it goes back."""
    caller = (_pack_host(flow.caller), flow.port)
    route = (_pack_host(flow.route.host), flow.route.port)
    source, target = (route, caller) if back else (caller, route)
    head = _HEAD.pack(
        len(data),
        target[1],
        source[0],
        source[1],
        target[0],
        bytes(4),
        seq,
        ack,
        flags,
        bytes(3),
        b'sum!',
    )
    return head + data


def make_upstream(
    number: int,
    service: str = 'board',
    *,
    availability_zone: str = 'a',
    state: str = 'active',
    generation: int = 0,
) -> PacketUpstream:
    """Return an upstream on a host of its own."""
    return PacketUpstream(
        f'{service}-{number}-{generation}',
        service,
        Address(f'10.0.0.{number}', 8080),
        availability_zone,
        3,
        'draining' if state == 'draining' else 'active',
        0,
    )


def make_catalog(
    revision: int,
    upstreams: Iterable[PacketUpstream],
    routes: tuple[PacketRoute, ...] = (BOARD, PROOF),
    *,
    evacuated: Iterable[str] = (),
) -> Catalog:
    """Return a catalog; the version of its routes is its revision."""
    return Catalog(
        revision,
        RouteSet(revision, routes, 15),
        {upstream.upstream_id: upstream for upstream in upstreams},
        revision,
        dict.fromkeys(evacuated, revision),
    )
