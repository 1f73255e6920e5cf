"""What an agent keeps of its registrations with the flow directory."""

from typing import Final

from keelgap.packets.directory import NO_DIRECTORY
from keelgap_agent.packets.events import EnvelopeArrived

__all__ = ('Registrar', 'Stream')

_MILLISECONDS: Final = 1000
#: Numbers of starts begin anew after so many milliseconds, some weeks.
_BOOTS: Final = 0x100000000


class Stream:
    """Registrations that one directory node is sent."""

    __slots__ = ('began', 'end', 'number', 'sent_at')

    def __init__(self, number: int, now: float) -> None:
        """Start before the first registration."""
        self.number = number
        self.began = now
        self.sent_at = now
        #: Flows registered in this stream so far.
        self.end = 0


class Registrar:
    """What this agent tells the directory of its service."""

    def __init__(self, own: str, now: float) -> None:
        """Start without a directory."""
        #: Host of this agent; without one it takes part in no directory.
        self.own = own
        self.began = now
        #: Stands for this start of the process, for some weeks.
        self.boot = int(now * _MILLISECONDS) % _BOOTS
        self.directory = NO_DIRECTORY
        #: Whether a balancer ever told this process of its directory.
        self.is_greeted = False
        #: Opening packets that wait for that, by key; the latest copy of each.
        self.untold: dict[bytes, EnvelopeArrived] = {}
        #: When a balancer was asked to.
        self.asked_at = float('-inf')
        #: Towards each node, by host.
        self.streams: dict[str, Stream] = {}
        self.stream_number = 0
        #: Stands for the upstream's id; 0 until a balancer tells.
        self.upstream_tag = 0
        self.upstream_revision = 0
        #: Whether no upstream ran here when this process began.
        self.is_older = False
        #: Whether this process has seen each flow that the upstream holds.
        self.is_complete = False

    def forget_directory(self) -> None:
        """Begin as one that no balancer has told anything.

        Callers of flows that wait for that repeat their packets.
        """
        self.is_greeted = False
        self.untold = {}
        self.directory = NO_DIRECTORY
        self.streams.clear()
