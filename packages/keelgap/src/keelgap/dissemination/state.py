"""State of dissemination in one process."""

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
    'Checker',
    'DisseminationIdentity',
    'DisseminationState',
    'DocumentNames',
    'Held',
    'Parsed',
    'Refused',
)

#: What a document means to the rest of the process.
Parsed = Table | InstanceList
#: Raises TableRefused for a document that must not come into force.
Checker = Callable[[Document], Parsed]


class DocumentNames(NamedTuple):
    """Names under which processes exchange documents.

    They are the keys of the configuration service.  Processes with other
    names, such as those of another region, do not mix.
    """

    table: str = 'table'
    instances: str = 'instances'


class DisseminationIdentity(NamedTuple):
    """Who this process is; fixed for its life."""

    control: Address
    availability_zone: str
    #: Control addresses to ask before any list of instances is known.
    seeds: tuple[Address, ...] = ()
    names: DocumentNames = DocumentNames()


class Refused(NamedTuple):
    """The last document that was refused, for the read-back."""

    version: DocumentVersion
    now: float
    faults: tuple[Fault, ...]


class Held:
    """What a process holds under one key."""

    def __init__(self) -> None:
        """Start with nothing."""
        self.document: Document = NO_DOCUMENT
        self.parsed: Parsed | None = None
        #: Time at which the document came into force.
        self.since = float('-inf')
        self.refused: Refused | None = None
        #: Deltas that lead to the document, oldest first.
        self.history: deque[DocumentDelta] = deque(maxlen=defaults.HISTORY)
        self.highest_heard = NO_DOCUMENT.version
        self.fetched_at = float('-inf')


class DisseminationState:
    """What the reducer owns; it alone changes it, in place."""

    def __init__(
        self,
        identity: DisseminationIdentity,
        checkers: Mapping[str, Checker],
        random: Random,
        now: float,
    ) -> None:
        """Start with nothing, for the keys that have a checker."""
        self.identity = identity
        self.checkers = checkers
        self.random = random
        self.started = now
        self.held = {key: Held() for key in checkers}
        self.instances: InstanceList = NO_INSTANCES
        self.neighbours: tuple[Address, ...] = identity.seeds
        self.control_by_data: dict[Address, Address] = {}
        self.chosen_reader = False
        self.reading = False
        #: Whether documents come into force, or are held back by a joiner.
        self.joined = False
        self.heard_peer_at: float | None = None
        self.exchange_at = now
