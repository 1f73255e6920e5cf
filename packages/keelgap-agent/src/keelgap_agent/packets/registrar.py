"""State of an agent's registrations with the flow directory."""

from typing import Final

from keelgap.packets.directory import NO_DIRECTORY
from keelgap_agent.packets.events import EnvelopeArrived

__all__ = ('Registrar', 'RegistrationStream')

_MILLISECONDS: Final = 1000
#: Boot ids have 32 bits and wrap around after 49 days.
_BOOT_IDS: Final = 0x100000000


class RegistrationStream:
    """The sequence of registrations sent to one directory node."""

    __slots__ = ('started_at', 'end', 'number', 'sent_at')

    def __init__(self, number: int, now: float) -> None:
        """Start before the first registration."""
        #: Higher than the numbers of all earlier streams.
        self.number = number
        self.started_at = now
        self.sent_at = now
        #: Flows registered in this stream so far.
        self.end = 0


class Registrar:
    """State of this agent's registrations with its service's flow directory.

    It includes what balancers have told about the directory and upstream.
    """

    def __init__(self, own_host: str, now: float) -> None:
        """Start without a directory."""
        #: Host of this agent; if empty, it takes part in no directory.
        self.own_host = own_host
        self.started_at = now
        #: Identifies this start of the process, until the ids wrap around.
        self.boot = int(now * _MILLISECONDS) % _BOOT_IDS
        #: The directory nodes of each shard, from the latest notice.
        self.directory = NO_DIRECTORY
        #: Whether a balancer has sent this process a notice.
        self.has_notice = False
        #: Opening packets that wait for the first notice, by flow key; the
        #: latest copy of each.
        self.pending_openings: dict[bytes, EnvelopeArrived] = {}
        #: When a balancer was last asked for a notice.
        self.notice_requested_at = float('-inf')
        #: The stream to each directory node, by host.
        self.streams: dict[str, RegistrationStream] = {}
        #: Number of the latest stream to any node.
        self.stream_number = 0
        #: Identifies the start of the upstream; 0 until a balancer tells it.
        self.upstream_tag = 0
        #: Latest known revision of the upstream's entry in the catalog.
        self.upstream_revision = 0
        #: Whether no upstream ran here when this process started.
        self.predates_upstream = False
        #: Whether this process has seen every flow that the upstream has.
        self.is_complete = False

    def reset_directory(self) -> None:
        """Return to the state before the first notice.

        Opening packets that wait are dropped; their callers retransmit them.
        """
        self.has_notice = False
        self.pending_openings = {}
        self.directory = NO_DIRECTORY
        self.streams.clear()
