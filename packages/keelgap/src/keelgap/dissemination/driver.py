"""The dissemination driver: control channel, document reader and timer."""

import asyncio
from collections.abc import Callable, Mapping
from contextlib import AsyncExitStack
from types import MappingProxyType
from typing import Any

from keelgap.addresses import Address
from keelgap.control.channel import ControlChannel
from keelgap.control.messages import Delivery
from keelgap.dissemination import defaults
from keelgap.dissemination.document_reader import DocumentReader
from keelgap.dissemination.documents import Document
from keelgap.dissemination.effects import (
    Count,
    PutInForce,
    Read,
    ReportRefusal,
    SendMessage,
)
from keelgap.dissemination.events import (
    DisseminationEvent,
    DisseminationMessage,
    DocumentRead,
    MessageReceived,
    RevisionSeen,
    TimerFired,
)
from keelgap.dissemination.reducer import reduce
from keelgap.dissemination.state import (
    DisseminationState,
    DocumentKeys,
    DocumentParser,
    ParsedDocument,
)
from keelgap.instances import InstanceList, InstanceLoader
from keelgap.logs import logger
from keelgap.metrics import SharedMetrics
from keelgap.table import Table, TableLoader

__all__ = ('DisseminationDriver', 'make_parsers')


def make_table_parser() -> DocumentParser:
    """Return a parser of tables that reuses the result of unchanged rows."""
    loader = TableLoader()

    def parse_table(document: Document) -> Table:
        """Return the table of a document, or raise TableRefused."""
        return loader.load(document.decoded, document.version.digest)

    return parse_table


def make_instances_parser() -> DocumentParser:
    """Return a parser of instance lists that reuses unchanged instances."""
    loader = InstanceLoader()

    def parse_instances(document: Document) -> InstanceList:
        """Return the instance list of a document, or raise TableRefused."""
        return loader.load(document.decoded)

    return parse_instances


def make_parsers(document_keys: DocumentKeys) -> Mapping[str, DocumentParser]:
    """Return the parsers of the exchanged documents, by key."""
    return MappingProxyType({
        document_keys.table: make_table_parser(),
        document_keys.instances: make_instances_parser(),
    })


class DisseminationDriver:
    """Run the dissemination reducer in one process."""

    def __init__(
        self,
        state: DisseminationState,
        channel: ControlChannel,
        reader: DocumentReader,
        metrics: SharedMetrics,
        on_change: Callable[[ParsedDocument], None],
    ) -> None:
        """Pass each document that comes into force to on_change."""
        self.state = state
        self.channel = channel
        self.reader = reader
        self.metrics = metrics
        self.on_change = on_change
        self.loop = asyncio.get_running_loop()
        self.watches: list[asyncio.Task[None]] = []
        self.effect_handlers = MappingProxyType[
            type,
            Callable[[Any], None],
        ]({
            PutInForce: self._put_in_force,
            ReportRefusal: self._report_refusal,
            SendMessage: self._send_message,
            Read: self._update_watches,
            Count: self._count,
        })

    def start(self, stack: AsyncExitStack) -> None:
        """Start the timer; closing the stack stops all tasks."""
        timer = asyncio.create_task(self._run_timer())
        stack.callback(timer.cancel)
        stack.callback(self._stop_watches)

    def handle_delivery(self, delivery: Delivery) -> bool:
        """Handle a dissemination message; return False for any other."""
        message = delivery.message
        if not isinstance(message, DisseminationMessage):
            return False
        now = self.loop.time()
        self._dispatch(MessageReceived(now, delivery.sender, message))
        return True

    def handle_revision(self, sender: Address, revision: int) -> None:
        """Handle the table revision carried by the traffic of a process."""
        held = self.state.held[self.state.identity.document_keys.table]
        if revision > held.document.version.revision:
            now = self.loop.time()
            self._dispatch(RevisionSeen(now, sender, revision))

    def handle_document(self, key: str, content: bytes) -> None:
        """Handle a document that the configuration service returned."""
        self._dispatch(DocumentRead(self.loop.time(), key, content))

    async def _run_timer(self) -> None:
        while True:
            self._dispatch(TimerFired(self.loop.time()))
            await asyncio.sleep(defaults.TIMER_SECONDS)

    def _dispatch(self, event: DisseminationEvent) -> None:
        """Apply an event to the state and carry out its effects."""
        state, emitted = reduce(self.state, event)
        self.state = state
        for effect in emitted:
            self.effect_handlers[type(effect)](effect)

    def _put_in_force(self, effect: PutInForce) -> None:
        """Apply an accepted document and record its version."""
        version = effect.document.version
        if effect.key == self.state.identity.document_keys.table:
            self.metrics.table_revision.set(version.revision)
        self.on_change(effect.parsed)
        logger.bind(
            key=effect.key,
            revision=version.revision,
            digest=version.digest,
        ).info('document_in_force')

    def _report_refusal(self, effect: ReportRefusal) -> None:
        """Count and log a refused document with its faults."""
        refused = effect.refused
        self.metrics.events.labels('refused_documents').inc()
        logger.bind(
            key=effect.key,
            revision=refused.version.revision,
            digest=refused.version.digest,
            faults=[str(fault) for fault in refused.faults],
        ).error('document_refused')

    def _send_message(self, effect: SendMessage) -> None:
        self.channel.send(effect.receiver, effect.message)

    def _update_watches(self, effect: Read) -> None:
        """Start or stop watching documents at the configuration service."""
        self._stop_watches()
        if effect.wanted:
            self.watches = [
                asyncio.create_task(self.reader.watch(key))
                for key in self.state.identity.document_keys
            ]

    def _stop_watches(self) -> None:
        for watch in self.watches:
            watch.cancel()
        self.watches = []

    def _count(self, effect: Count) -> None:
        self.metrics.events.labels(effect.name).inc()
