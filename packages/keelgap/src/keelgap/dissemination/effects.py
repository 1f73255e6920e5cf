"""Effects that the dissemination reducer asks its driver for."""

from typing import NamedTuple

from keelgap.addresses import Address
from keelgap.dissemination.documents import Document
from keelgap.dissemination.events import DisseminationMessage
from keelgap.dissemination.state import Parsed, Refused

__all__ = (
    'Count',
    'DisseminationEffect',
    'PutInForce',
    'Read',
    'ReportRefusal',
    'SendMessage',
)


class PutInForce(NamedTuple):
    """A later version of a document is in force from now on."""

    key: str
    document: Document
    parsed: Parsed


class ReportRefusal(NamedTuple):
    """A document was refused whole; what was in force stays."""

    key: str
    refused: Refused


class SendMessage(NamedTuple):
    """Send a message to another process."""

    receiver: Address
    message: DisseminationMessage


class Read(NamedTuple):
    """Start or stop to read the configuration service."""

    wanted: bool


class Count(NamedTuple):
    """Count something that operators watch."""

    name: str


DisseminationEffect = PutInForce | ReportRefusal | SendMessage | Read | Count
