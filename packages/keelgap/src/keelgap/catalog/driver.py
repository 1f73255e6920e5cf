"""The driver of the follower: calls to the store and to peers."""

from collections.abc import Callable
from types import MappingProxyType
from typing import Any, Final, Protocol

from keelgap.addresses import Address
from keelgap.catalog.builder import CatalogBuilder, Decoders, EntryFault
from keelgap.catalog.documents import (
    CONTENT_TYPE,
    MalformedCatalog,
    decode_catalog,
    encode_catalog,
)
from keelgap.catalog.effects import (
    EntriesChanged,
    FetchSnapshot,
    FollowerEffect,
    ReadFirstPageAgain,
    ReadPage,
    StoreLost,
    StoreRegained,
    WatchChanges,
)
from keelgap.catalog.events import (
    CatchUpWanted,
    FollowerEvent,
    PeerAhead,
    ReadingDecided,
    TimerFired,
)
from keelgap.catalog.follower import reduce, start
from keelgap.catalog.models import Catalog
from keelgap.catalog.state import FollowerState
from keelgap.runtime.http import HttpAnswer, HttpClient
from keelgap.runtime.lines import MAX_NAMED, LogLines
from keelgap.runtime.loop import EventLoop
from keelgap.runtime.pages import Page

__all__ = ('CATALOG_PATH', 'CatalogDriver', 'StoreReader')

CATALOG_PATH: Final = '/catalog'
_TIMER_SECONDS: Final = 0.1
#: Peers answer within milliseconds; 60 KB on a link of 5 Mbit/s take 0.1 s.
_FETCH_TIMEOUT_SECONDS: Final = 1.0
_OK: Final = 200


class StoreReader(Protocol):
    """What a platform's store client offers; each call ends in an event."""

    def read_page(self, after: str) -> None:
        """Read entries behind a key."""

    def read_first_page_again(self) -> None:
        """Read the first page while earlier calls for it still wait."""

    def watch(self, revision: int, wait_seconds: float) -> None:
        """Wait for changes after a revision."""


class CatalogDriver:
    """Run the follower in one process."""

    def __init__(
        self,
        loop: EventLoop,
        lines: LogLines,
        decoders: Decoders,
        on_catalog: Callable[[Catalog], None],
        on_answer: Callable[[], None],
        count: Callable[[str], None],
    ) -> None:
        """Hand each catalog that comes into force to on_catalog.

        Call on_answer when the store answered without news, and when it was
        lost; count refused entries by reason.
        """
        self.count = count
        self.loop = loop
        self.lines = lines
        self.on_catalog = on_catalog
        self.on_answer = on_answer
        #: Calls planned so far; a call planned later replaces a delayed one.
        self.planned = 0
        self.builder = CatalogBuilder(decoders, self._report_faults)
        self.state = FollowerState(loop.clock())
        self.store: StoreReader
        self.peer_client: HttpClient | None = None
        self.handlers = MappingProxyType[type, Callable[[Any], None]]({
            ReadPage: self._read_page,
            ReadFirstPageAgain: self._read_first_page_again,
            WatchChanges: self._watch,
            FetchSnapshot: self._fetch,
            EntriesChanged: self._change,
            StoreLost: self._lose_store,
            StoreRegained: self._regain_store,
        })

    def start(self, store: StoreReader) -> None:
        """Begin to read the store."""
        self.store = store
        self._carry_out(start(self.state))
        self.loop.call_every(_TIMER_SECONDS, self._tick)

    def take(self, event: FollowerEvent) -> None:
        """Reduce an event and carry out the effects."""
        before = (self.state.revision, self.state.failing_since)
        state, effects = reduce(self.state, event)
        self.state = state
        self._carry_out(effects)
        if before != (state.revision, state.failing_since):
            self.on_answer()

    def catch_up(self) -> None:
        """Read without a pause what has changed."""
        self.take(CatchUpWanted(self.loop.clock()))

    def note_peer(self, peer: Address, revision: int) -> None:
        """Take the revision that a peer holds."""
        if revision > self.state.revision:
            self.take(PeerAhead(self.loop.clock(), peer, revision))

    @property
    def is_answered(self) -> bool:
        """Return whether the store answered the latest call."""
        return self.state.failing_since is None

    def decide_reading(
        self,
        reads: bool,  # noqa: FBT001
        processes: int,
    ) -> None:
        """Read the store from now on, or follow peers that do."""
        now = self.loop.clock()
        self.take(ReadingDecided(now, reads, processes))

    def make_catalog_page(self, query: str) -> Page:
        """Return for a peer what changed after the revision it names."""
        after = int(query) if query.isdigit() else 0
        return Page(_OK, CONTENT_TYPE, encode_catalog(self.state, after))

    def _carry_out(self, effects: tuple[FollowerEffect, ...]) -> None:
        for effect in effects:
            self.handlers[type(effect)](effect)

    def _tick(self) -> None:
        self.take(TimerFired(self.loop.clock()))

    def _read_page(self, effect: ReadPage) -> None:
        self._later(effect.delay, lambda: self.store.read_page(effect.after))

    def _read_first_page_again(self, effect: ReadFirstPageAgain) -> None:
        self.lines.decide(
            'first_page_asked_again',
            waited=round(self.loop.clock() - self.state.answered_at, 3),
        )
        self.store.read_first_page_again()

    def _watch(self, effect: WatchChanges) -> None:
        # Changes may have come from a peer during the pause.
        self._later(
            effect.delay,
            lambda: self.store.watch(self.state.revision, effect.wait_seconds),
        )

    def _later(self, delay: float, call: Callable[[], None]) -> None:
        self.planned += 1
        if not delay:
            call()
            return
        number = self.planned

        def call_if_still_planned() -> None:
            if number == self.planned:
                call()

        self.loop.call_after(delay, call_if_still_planned)

    def _fetch(self, effect: FetchSnapshot) -> None:
        client = self.peer_client
        if client is None or client.address != effect.peer:
            if client is not None:
                client.close()
            client = HttpClient(self.loop, effect.peer)
            self.peer_client = client
        after = self.state.revision if self.state.complete else 0
        client.get(
            f'{CATALOG_PATH}?{after}',
            _FETCH_TIMEOUT_SECONDS,
            self._take_catalog,
        )

    def _take_catalog(self, answer: HttpAnswer) -> None:
        reason = answer.failure
        if answer.status == _OK:
            try:
                event = decode_catalog(self.loop.clock(), answer.body)
            except MalformedCatalog as error:
                reason = str(error)
            else:
                self.take(event)
                return
        self.lines.decide(
            'fetch_failed',
            status=answer.status,
            reason=reason,
        )

    def _change(self, effect: EntriesChanged) -> None:
        catalog = self.builder.update(
            self.state.entries,
            effect.keys,
            effect.revision,
            effect.latest_change,
            effect.missed,
        )._replace(has_gap=effect.has_gap)
        self.lines.tell(
            'catalog_in_force',
            revision=effect.revision,
            version=catalog.routes.version,
            upstreams=len(catalog.upstreams),
            changed=len(effect.keys),
            missed=len(effect.missed),
            has_gap=effect.has_gap,
            source=effect.source,
        )
        self.on_catalog(catalog)

    def _lose_store(self, effect: StoreLost) -> None:
        self.lines.tell(
            'store_lost',
            reason=effect.reason,
            revision=self.state.revision,
        )

    def _regain_store(self, effect: StoreRegained) -> None:
        self.lines.tell(
            'store_regained',
            after_seconds=round(effect.after_seconds, 3),
            revision=self.state.revision,
        )

    def _report_faults(self, faults: tuple[EntryFault, ...]) -> None:
        """Count every fault, and log one line a change.

        Whoever writes entries that cannot be read writes many of them, and
        the lines of decisions on flows must not be dropped for that.
        """
        for fault in faults:
            reason = fault.error.reason
            self.count(f'entry_refused_{reason}')
        named = faults[:MAX_NAMED]
        self.lines.decide(
            'entries_refused',
            count=len(faults),
            keys=[one.key for one in named],
            reasons=[one.error.reason for one in named],
            errors=[str(one.error) for one in named],
            revision=self.state.revision,
        )
