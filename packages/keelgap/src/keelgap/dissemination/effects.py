"""Effects that the dissemination reducer requests from its driver."""

from typing import NamedTuple

from keelgap.addresses import Address
from keelgap.dissemination.documents import Document
from keelgap.dissemination.events import DisseminationMessage
from keelgap.dissemination.state import ParsedDocument, RefusedDocument

__all__ = (
    'Count',
    'DisseminationEffect',
    'PutInForce',
    'Read',
    'ReportRefusal',
    'SendMessage',
)


class PutInForce(NamedTuple):
    """Make a later version of a document the one that the process uses."""

    key: str
    document: Document
    parsed: ParsedDocument


class ReportRefusal(NamedTuple):
    """Report a refused document; the version in force is unchanged."""

    key: str
    refused: RefusedDocument


class SendMessage(NamedTuple):
    """Send a message to another process."""

    receiver: Address
    message: DisseminationMessage


class Read(NamedTuple):
    """Start or stop reading the configuration service."""

    wanted: bool


class Count(NamedTuple):
    """Increment the event counter of the given name."""

    name: str


DisseminationEffect = PutInForce | ReportRefusal | SendMessage | Read | Count
