"""What the programs read in a packet, whatever its layout.

A platform's adapter makes a PacketFormat; nothing else knows the layout.
"""

from collections.abc import Callable
from enum import IntFlag
from typing import Final, NamedTuple

__all__ = (
    'ENDS_FLOW',
    'FLOW_KEY_LENGTH',
    'Flags',
    'PacketFormat',
)

#: Octets of a flow key: address and port of the caller, then of the route.
FLOW_KEY_LENGTH: Final = 12


class Flags(IntFlag):
    """The flags of a packet, in our own order."""

    SYN = 1
    ACK = 2
    FIN = 4
    RST = 8
    #: The upstream did not take this packet and gave it back unchanged.
    BOUNCED = 16


#: After one of these the sender of the packet has nothing more to say.
ENDS_FLOW: Final = int(Flags.FIN | Flags.RST)


class PacketFormat(NamedTuple):
    """How to read and mark packets of one layout.

    All functions take a whole datagram of at least header_length octets.
    """

    header_length: int
    #: Whether the datagram has exactly the length that its header says.
    is_whole: Callable[[bytes], bool]
    #: Flow key of a packet that the caller sent.
    caller_key: Callable[[bytes], bytes]
    #: Flow key of a packet that the upstream sent.
    upstream_key: Callable[[bytes], bytes]
    #: Route key: address and port of the route in a caller's packet.
    route_key: Callable[[bytes], bytes]
    #: Route key of an address and a port, as tables name them.
    make_route_key: Callable[[str, int], bytes]
    #: A combination of Flags, as a plain integer.
    flags: Callable[[bytes], int]
    #: Octets of data behind the header.
    data_length: Callable[[bytes], int]
    #: Number of the first octet of data among all that its sender sends.
    sequence: Callable[[bytes], int]
    #: How often the caller has sent this opening packet before.
    copies: Callable[[bytes], int]
    #: Number of the next octet that a caller expects of its upstream.
    acknowledged: Callable[[bytes], int]
    #: IPv4 address of the caller in a packet that the upstream sent.
    destination_host: Callable[[bytes], str]
    #: IPv4 address of the caller in a packet that the caller sent.
    source_host: Callable[[bytes], str]
    #: The packet with a 32-bit mark that comes back with a bounce.
    with_mark: Callable[[bytes, int], bytes]
    #: The mark of a bounced packet.
    mark: Callable[[bytes], int]
    #: A bounced packet as its sender wrote it.
    without_bounce: Callable[[bytes], bytes]
    #: A reset of the flow for the caller who sent this packet.
    make_reset: Callable[[bytes], bytes]
    #: Id of the request that begins in a caller's packet, for logs only.
    find_request_id: Callable[[bytes], str | None]
    #: Status of the answer that begins in an upstream's packet, or 0.
    read_status: Callable[[bytes], int]
    #: Whether the answer that begins in an upstream's packet says that the
    #: request was not run, for instance for want of room.
    says_not_run: Callable[[bytes], bool]
    #: A flow key as text for logs: ``host:port>host:port``.
    describe_key: Callable[[bytes], str]
