"""Encoding of which services may hold flows of routes that lead elsewhere.

The operators may send the new flows of a route to another service at any time;
its open flows stay where they are.  No table says where that is, but the agents
beside the upstreams know.  An agent tells balancers the routes of the flows
that it holds: flags (1 octet; 1: these are all, 2: no upstream listened when
the agent started), then the route keys (6 each).  Balancers and agents tell
each other which service holds flows of a route without being listed for it:
records of a route key (6) and a service tag (4), all in network byte order.
"""

import struct
from collections.abc import Iterable
from typing import Final, NamedTuple

from keelgap.packets.encoding import split_records, unpack_header
from keelgap.packets.formats import ROUTE_KEY_LENGTH

__all__ = (
    'MAX_HELD_ROUTES',
    'NO_SERVICE_TAG',
    'HeldRoutes',
    'RouteService',
    'pack_held_routes',
    'pack_route_services',
    'unpack_held_routes',
    'unpack_route_services',
)

_FLAGS: Final = struct.Struct('!B')
_COMPLETE_FLAG: Final = 1
_PREDATES_FLAG: Final = 2
_ROW: Final = struct.Struct(f'!{ROUTE_KEY_LENGTH}sI')
#: Maximum route keys in a report, which has 1,170 octets then.
MAX_HELD_ROUTES: Final = 190
#: Maximum records in a datagram, which has 1,220 octets then.
_MAX_ROWS: Final = 120
#: In the record of a route: no further service is known to hold its flows.
NO_SERVICE_TAG: Final = 0


class HeldRoutes(NamedTuple):
    """The routes of the flows that an agent has seen its upstream hold."""

    #: Whether the upstream holds flows of no other route.
    is_complete: bool
    route_keys: tuple[bytes, ...]
    #: Whether no upstream listened when the agent started.  One that was
    #: leaving may have held flows all the same.
    predates_upstream: bool = False


class RouteService(NamedTuple):
    """A service that may hold flows of a route, though not listed for it."""

    route_key: bytes
    service_tag: int


def pack_held_routes(held: HeldRoutes) -> bytes:
    """Encode held routes; beyond MAX_HELD_ROUTES they are incomplete."""
    keys = held.route_keys[:MAX_HELD_ROUTES]
    is_complete = held.is_complete and len(keys) == len(held.route_keys)
    flags = (
        is_complete * _COMPLETE_FLAG | held.predates_upstream * _PREDATES_FLAG
    )
    return _FLAGS.pack(flags) + b''.join(keys)


def unpack_held_routes(content: bytes) -> HeldRoutes:
    """Decode held routes; raise MalformedEnvelope if invalid."""
    flags = unpack_header(_FLAGS, content)[0]
    keys = split_records(content[_FLAGS.size :], ROUTE_KEY_LENGTH)
    return HeldRoutes(
        bool(flags & _COMPLETE_FLAG),
        keys,
        bool(flags & _PREDATES_FLAG),
    )


def pack_route_services(rows: Iterable[RouteService]) -> tuple[bytes, ...]:
    """Encode records as the contents of as many envelopes as they need."""
    packed = [_ROW.pack(*row) for row in rows]
    return tuple(
        b''.join(packed[start : start + _MAX_ROWS])
        for start in range(0, len(packed), _MAX_ROWS)
    )


def unpack_route_services(content: bytes) -> tuple[RouteService, ...]:
    """Decode records; raise MalformedEnvelope if octets are left over."""
    return tuple(
        RouteService._make(_ROW.unpack(record))
        for record in split_records(content, _ROW.size)
    )
