"""Access to the fields of packets, independent of their layout.

The platform's adapter creates the PacketFormat; no other code knows the layout.
"""

from collections.abc import Callable
from enum import IntFlag
from typing import Final, NamedTuple

__all__ = (
    'ENDS_FLOW',
    'FLOW_KEY_LENGTH',
    'ROUTE_KEY_LENGTH',
    'Flags',
    'PacketFormat',
    'get_route_key',
)

#: Octets of a flow key: address and port of the caller, then those of the
#: route.
FLOW_KEY_LENGTH: Final = 12

#: Octets of a route key: address and port of the route.
ROUTE_KEY_LENGTH: Final = 6


class Flags(IntFlag):
    """Flags of a packet; the values do not depend on the layout."""

    SYN = 1
    ACK = 2
    FIN = 4
    RST = 8
    #: The upstream did not accept the packet and returned it unchanged.
    BOUNCED = 16


#: Flags after which the sender of the packet sends no more data.
ENDS_FLOW: Final = int(Flags.FIN | Flags.RST)


def get_route_key(flow_key: bytes) -> bytes:
    """Return the key of the route of a flow."""
    return flow_key[-ROUTE_KEY_LENGTH:]


class PacketFormat(NamedTuple):
    """Functions that read and modify packets of one layout.

    All functions expect a datagram of at least ``header_length`` octets.
    """

    #: Octets of the header.
    header_length: int
    #: Whether the length of the datagram matches its header.
    has_valid_length: Callable[[bytes], bool]
    #: Flow key of a packet from the caller.
    caller_key: Callable[[bytes], bytes]
    #: Flow key of a packet from the upstream.
    upstream_key: Callable[[bytes], bytes]
    #: Route key, the route's address and port, of a packet from the caller.
    route_key: Callable[[bytes], bytes]
    #: Route key for an address and port from the routing table.
    make_route_key: Callable[[str, int], bytes]
    #: Combination of Flags as a plain integer.
    flags: Callable[[bytes], int]
    #: Octets of payload after the header.
    data_length: Callable[[bytes], int]
    #: Sequence number of the first payload octet.
    sequence: Callable[[bytes], int]
    #: How often the caller sent this opening packet before.
    retransmissions: Callable[[bytes], int]
    #: Sequence number of the next octet that the caller expects.
    acknowledged: Callable[[bytes], int]
    #: IPv4 address of the caller in a packet from the upstream.
    destination_host: Callable[[bytes], str]
    #: IPv4 address of the caller in a packet from the caller.
    source_host: Callable[[bytes], str]
    #: The packet with a 32-bit mark, which the upstream returns if it bounces
    #: the packet.
    with_mark: Callable[[bytes, int], bytes]
    #: Mark of a bounced packet.
    mark: Callable[[bytes], int]
    #: A bounced packet without its mark and its BOUNCED flag.
    without_bounce: Callable[[bytes], bytes]
    #: Packet that resets the flow, addressed to the caller of this packet.
    make_reset: Callable[[bytes], bytes]
    #: Id of the request that starts in a packet from the caller, for logs.
    find_request_id: Callable[[bytes], str | None]
    #: Status of the response that starts in a packet from the upstream, or 0.
    read_status: Callable[[bytes], int]
    #: Whether the response that starts in a packet from the upstream states
    #: that the request was not run, for example due to lack of capacity.
    says_not_run: Callable[[bytes], bool]
    #: Flow key as text for logs: ``host:port>host:port``.
    describe_key: Callable[[bytes], str]
