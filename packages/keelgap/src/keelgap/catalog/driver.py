"""Driver of the follower: performs requests to the store and to peers."""

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
    FetchCatalog,
    FollowerEffect,
    ReadFirstPageAgain,
    ReadPage,
    StoreAskedBehind,
    StoreLost,
    StoreRegained,
    WatchChanges,
)
from keelgap.catalog.events import (
    CatchUpRequested,
    FetchEnded,
    FollowerEvent,
    PeerAhead,
    ReaderRoleDecided,
    TimerFired,
)
from keelgap.catalog.follower import reduce, start
from keelgap.catalog.models import Catalog
from keelgap.catalog.peer_clients import PeerClients
from keelgap.catalog.state import FollowerState
from keelgap.runtime.http import HttpResponse
from keelgap.runtime.json_log import MAX_LISTED, JsonLog
from keelgap.runtime.loop import EventLoop
from keelgap.runtime.pages import Page

__all__ = ('CATALOG_PATH', 'CatalogDriver', 'StoreReader')

CATALOG_PATH: Final = '/catalog'
_TIMER_SECONDS: Final = 0.1
#: Peers respond within milliseconds; 60 KB on a 5 Mbit/s link take 0.1 s.
_FETCH_TIMEOUT_SECONDS: Final = 1.0
_OK: Final = 200


class StoreReader(Protocol):
    """Store client of a platform; it reports each result as an event."""

    def read_page(self, after: str) -> None:
        """Request the page of entries after a key.

        An empty key requests the first page.
        """

    def read_first_page_again(self) -> None:
        """Request the first page again; earlier requests stay pending."""

    def watch(self, revision: int, wait_seconds: float) -> None:
        """Request the changes after a revision.

        The store responds at the first change, or after ``wait_seconds``.
        """


class CatalogDriver:
    """Follows the store in one process: runs the reducer and its effects."""

    def __init__(
        self,
        loop: EventLoop,
        lines: JsonLog,
        decoders: Decoders,
        on_catalog: Callable[[Catalog], None],
        on_status_change: Callable[[], None],
        count: Callable[[str], None],
    ) -> None:
        """Initialize with callbacks.

        ``on_catalog`` receives each catalog that comes into force.
        ``on_status_change`` is called when the revision advances and when the
        store is lost or regained.  ``count`` increments the counter of refused
        entries of a reason.
        """
        self.count = count
        self.loop = loop
        self.lines = lines
        self.on_catalog = on_catalog
        self.on_status_change = on_status_change
        #: Number of scheduled requests; a later one replaces a delayed one.
        self.scheduled_calls = 0
        self.builder = CatalogBuilder(decoders, self._report_faults)
        self.state = FollowerState(loop.clock())
        self.store: StoreReader
        self.peer_clients = PeerClients(loop)
        self.handlers = MappingProxyType[type, Callable[[Any], None]]({
            ReadPage: self._schedule_page,
            ReadFirstPageAgain: self._read_first_page_again,
            WatchChanges: self._schedule_watch,
            FetchCatalog: self._fetch_catalog,
            EntriesChanged: self._apply_changes,
            StoreAskedBehind: self._log_asked_behind,
            StoreLost: self._log_store_lost,
            StoreRegained: self._log_store_regained,
        })

    def start(self, store: StoreReader) -> None:
        """Start to read the store; return at once."""
        self.store = store
        self._run_effects(start(self.state))
        self.loop.call_every(_TIMER_SECONDS, self._handle_timer)

    def handle_event(self, event: FollowerEvent) -> None:
        """Apply an event to the follower's state and run its effects."""
        before = (self.state.revision, self.state.failing_since)
        state, effects = reduce(self.state, event)
        self.state = state
        self._run_effects(effects)
        if before != (state.revision, state.failing_since):
            self.on_status_change()

    def catch_up(self) -> None:
        """Read changes of the store now, or fetch them from a peer."""
        self.handle_event(CatchUpRequested(self.loop.clock()))

    def record_peer_revision(self, peer: Address, revision: int) -> None:
        """Handle the revision of a peer; a later catalog may be fetched."""
        if revision > self.state.revision:
            self.handle_event(PeerAhead(self.loop.clock(), peer, revision))

    @property
    def is_answered(self) -> bool:
        """Return whether the latest finished store request succeeded."""
        return self.state.failing_since is None

    def set_reader_role(
        self,
        is_reader: bool,  # noqa: FBT001
        processes: int,
    ) -> None:
        """Start to read the store, or to follow peers that read it.

        ``processes`` is the number of known processes, including this one.
        """
        now = self.loop.clock()
        self.handle_event(ReaderRoleDecided(now, is_reader, processes))

    def make_catalog_page(self, query: str) -> Page:
        """Return the page with the changes after the revision in the query.

        Peers request it; without a usable revision it has all entries.
        """
        after = int(query) if query.isdigit() else 0
        return Page(_OK, CONTENT_TYPE, encode_catalog(self.state, after))

    def _run_effects(self, effects: tuple[FollowerEffect, ...]) -> None:
        for effect in effects:
            self.handlers[type(effect)](effect)

    def _handle_timer(self) -> None:
        self.handle_event(TimerFired(self.loop.clock()))

    def _schedule_page(self, effect: ReadPage) -> None:
        self._schedule_call(
            effect.delay, lambda: self.store.read_page(effect.after)
        )

    def _read_first_page_again(self, effect: ReadFirstPageAgain) -> None:
        self.lines.log_decision(
            'first_page_asked_again',
            waited=round(self.loop.clock() - self.state.answered_at, 3),
        )
        self.store.read_first_page_again()

    def _schedule_watch(self, effect: WatchChanges) -> None:
        # A peer may have sent changes during the pause.
        self._schedule_call(
            effect.delay,
            lambda: self.store.watch(self.state.revision, effect.wait_seconds),
        )

    def _schedule_call(self, delay: float, call: Callable[[], None]) -> None:
        """Run a store request after a delay; a later one replaces it."""
        self.scheduled_calls += 1
        if not delay:
            call()
            return
        number = self.scheduled_calls

        def call_if_latest() -> None:
            if number == self.scheduled_calls:
                call()

        self.loop.call_after(delay, call_if_latest)

    def _fetch_catalog(self, effect: FetchCatalog) -> None:
        """Request the changes that are missing here from a peer."""
        after = self.state.revision if self.state.complete else 0
        pending = self.state.peer_fetches.pending
        self.peer_clients.get(effect.peer, pending).get(
            f'{CATALOG_PATH}?{after}',
            _FETCH_TIMEOUT_SECONDS,
            lambda response: self._handle_peer_response(effect.peer, response),
        )

    def _handle_peer_response(
        self, peer: Address, response: HttpResponse
    ) -> None:
        """Handle the catalog of a peer, or log why the fetch failed."""
        event = self._read_peer_response(peer, response)
        if event is not None:
            self.handle_event(event)
        now = self.loop.clock()
        self.handle_event(FetchEnded(now, peer, failed=event is None))

    def _read_peer_response(
        self, peer: Address, response: HttpResponse
    ) -> FollowerEvent | None:
        """Return the catalog of a peer, or log why there is none."""
        reason = response.failure
        if response.status == _OK:
            try:
                return decode_catalog(self.loop.clock(), response.body)
            except MalformedCatalog as error:
                reason = str(error)
        self.lines.log_decision(
            'fetch_failed',
            peer=peer.host,
            status=response.status,
            reason=reason,
        )
        return None

    def _apply_changes(self, effect: EntriesChanged) -> None:
        """Update and log the catalog, and pass it to the callback."""
        catalog = self.builder.update(
            self.state.entries,
            effect.keys,
            effect.revision,
            effect.latest_change,
            effect.missed,
        )._replace(has_gap=effect.has_gap)
        self.lines.log(
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

    def _log_asked_behind(self, effect: StoreAskedBehind) -> None:
        self.lines.log_decision(
            'store_asked_behind',
            waited=round(effect.waited, 3),
            peers=[peer.host for peer in effect.peers],
            revision=self.state.revision,
        )

    def _log_store_lost(self, effect: StoreLost) -> None:
        self.lines.log(
            'store_lost',
            reason=effect.reason,
            revision=self.state.revision,
        )

    def _log_store_regained(self, effect: StoreRegained) -> None:
        self.lines.log(
            'store_regained',
            after_seconds=round(effect.after_seconds, 3),
            revision=self.state.revision,
        )

    def _report_faults(self, faults: tuple[EntryFault, ...]) -> None:
        """Count every refused entry, but log a single line per update.

        A faulty writer usually writes many invalid entries, and their lines
        must not displace those of decisions on flows.
        """
        for fault in faults:
            reason = fault.error.reason
            self.count(f'entry_refused_{reason}')
        listed = faults[:MAX_LISTED]
        self.lines.log_decision(
            'entries_refused',
            count=len(faults),
            keys=[one.key for one in listed],
            reasons=[one.error.reason for one in listed],
            errors=[str(one.error) for one in listed],
            revision=self.state.revision,
        )
