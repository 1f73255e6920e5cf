"""Dissemination state of one process."""

from collections import deque
from collections.abc import Callable, Mapping
from random import Random
from typing import NamedTuple

from keelgap.addresses import Address
from keelgap.control.messages import DocumentDelta, DocumentVersion
from keelgap.dissemination import defaults
from keelgap.dissemination.documents import NO_DOCUMENT, Document
from keelgap.exceptions import Fault
from keelgap.instances import NO_INSTANCES, InstanceList
from keelgap.table import Table

__all__ = (
    'DocumentParser',
    'DisseminationIdentity',
    'DisseminationState',
    'DocumentKeys',
    'HeldDocument',
    'ParsedDocument',
    'RefusedDocument',
)

#: The parsed form of a document, which the rest of the process uses.
ParsedDocument = Table | InstanceList
#: Parses a document, or raises TableRefused if it is invalid.
DocumentParser = Callable[[Document], ParsedDocument]


class DocumentKeys(NamedTuple):
    """Keys under which processes exchange documents.

    They are also the keys of the configuration service.  Processes that use
    different keys, such as those of another region, ignore each other's
    documents.
    """

    table: str = 'table'
    instances: str = 'instances'


class DisseminationIdentity(NamedTuple):
    """Identity of this process, constant over its lifetime."""

    control: Address
    availability_zone: str
    #: Control addresses of the peers to contact before a list of instances is
    #: known.
    seeds: tuple[Address, ...] = ()
    document_keys: DocumentKeys = DocumentKeys()


class RefusedDocument(NamedTuple):
    """The last document that was refused, for the status pages."""

    version: DocumentVersion
    now: float
    faults: tuple[Fault, ...]


class HeldDocument:
    """The document that a process holds under one key."""

    def __init__(self) -> None:
        """Start without a document."""
        self.document: Document = NO_DOCUMENT
        self.parsed: ParsedDocument | None = None
        #: Time at which the document came into force.
        self.in_force_since = float('-inf')
        self.refused: RefusedDocument | None = None
        #: Deltas that lead to the current document, oldest first.
        self.history: deque[DocumentDelta] = deque(
            maxlen=defaults.MAX_DELTA_HISTORY
        )
        self.highest_heard = NO_DOCUMENT.version
        self.last_fetch_at = float('-inf')


class DisseminationState:
    """State of the reducer, which alone modifies it, in place."""

    def __init__(
        self,
        identity: DisseminationIdentity,
        parsers: Mapping[str, DocumentParser],
        random: Random,
        now: float,
    ) -> None:
        """Start without documents, with one entry for each parser."""
        self.identity = identity
        self.parsers = parsers
        self.random = random
        self.started_at = now
        self.held = {key: HeldDocument() for key in parsers}
        self.instances: InstanceList = NO_INSTANCES
        self.neighbours: tuple[Address, ...] = identity.seeds
        self.control_addresses: dict[Address, Address] = {}
        #: Number of groups of READER_COUNT processes of the own availability
        #: zone that read before this one; None without a list of instances.
        self.reader_turn: int | None = None
        #: Time at which some process was last known to read the service.
        self.reading_heard_at = now
        #: Whether this process reads because no reader was heard of.  It does
        #: until the next list of instances.
        self.stands_in = False
        self.last_timer_at = now
        self.reading = False
        #: False while a joining process does not put documents in force yet.
        self.joined = False
        self.last_message_at: float | None = None
        self.next_exchange_at = now

    @property
    def is_elected_reader(self) -> bool:
        """Return whether the list of instances makes this process read."""
        return self.reader_turn == 0
