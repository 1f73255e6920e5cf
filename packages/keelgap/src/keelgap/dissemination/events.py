"""Events of the dissemination reducer; ``now`` is the time in seconds."""

from typing import NamedTuple

from keelgap.addresses import Address
from keelgap.control.messages import (
    Announce,
    DocumentDelta,
    Fetch,
    FullDocument,
)
from keelgap.events import TimerFired

__all__ = (
    'DisseminationEvent',
    'DisseminationMessage',
    'DocumentRead',
    'MessageReceived',
    'RevisionSeen',
    'TimerFired',
)

DisseminationMessage = Announce | Fetch | FullDocument | DocumentDelta


class DocumentRead(NamedTuple):
    """The configuration service returned a document."""

    now: float
    key: str
    content: bytes


class MessageReceived(NamedTuple):
    """A neighbour sent a message."""

    now: float
    sender: Address
    message: DisseminationMessage


class RevisionSeen(NamedTuple):
    """The data traffic of another process carried a table revision."""

    now: float
    #: Data address of that process.
    sender: Address
    revision: int


DisseminationEvent = DocumentRead | MessageReceived | RevisionSeen | TimerFired
