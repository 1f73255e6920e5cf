"""Following the store: pages, watches, lapses, peers; never a step back."""

import zlib
from random import Random
from unittest import TestCase

from keelgap.addresses import Address
from keelgap.catalog import defaults, follower
from keelgap.catalog.documents import (
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
    CallFailed,
    CatchUpRequested,
    ChangesRead,
    DeltaReceived,
    EntryChange,
    FetchEnded,
    FollowerEvent,
    HistoryLost,
    PageRead,
    PeerAhead,
    ReaderRoleDecided,
    SnapshotReceived,
    TimerFired,
)
from keelgap.catalog.models import Entry
from keelgap.catalog.state import FollowerState

PEER = Address('10.0.0.2', 8166)
OTHER = Address('10.0.0.3', 8166)
Effects = tuple[FollowerEffect, ...]


def make_entry(revision: int) -> Entry:
    """Return an entry whose content names its revision."""
    return Entry(b'%d' % revision, revision)


def list_missed(effects: Effects) -> dict[str, Entry]:
    """Return the entries that came and went."""
    return {
        key: entry
        for effect in effects
        if isinstance(effect, EntriesChanged)
        for key, entry in effect.missed.items()
    }


class FollowerTests(TestCase):
    """One process and what it hears."""

    def setUp(self) -> None:
        """Start to follow."""
        self.state = FollowerState(0)
        self.assertEqual(follower.start(self.state), (ReadPage(0, ''),))

    def take(self, event: FollowerEvent) -> Effects:
        """Reduce one event."""
        self.state, effects = follower.reduce(self.state, event)
        return effects

    def follow(self, revision: int) -> None:
        """Read all entries, then follow the readers without a call."""
        self.read_all(0, revision, 'a')
        self.take(ReaderRoleDecided(0.1, is_reader=False, processes=9))
        self.take(ChangesRead(0.2, (), revision))

    def read_all(self, now: float, revision: int, *keys: str) -> Effects:
        """Take a full reading in one page."""
        entries = {key: make_entry(revision) for key in keys}
        return self.take(PageRead(now, entries, revision, ''))

    def test_changes_between_pages_are_watched_from_the_first(self) -> None:
        """Pages are no snapshot."""
        first = {'a': make_entry(3)}
        effects = self.take(PageRead(0, first, 5, 'a'))
        self.assertEqual(effects, (ReadPage(0, 'a'),))
        effects = self.take(PageRead(0, {'b': make_entry(9)}, 9, ''))
        self.assertEqual(
            effects[-1],
            WatchChanges(0, 5, defaults.WATCH_WAIT_SECONDS),
        )
        # 'a' went between the pages.
        gone = EntryChange('a', 7, None)
        again = EntryChange('b', 9, make_entry(9))
        effects = self.take(ChangesRead(0, (gone, again), 9))
        self.assertEqual(self.state.entries, {'b': make_entry(9)})
        self.assertIn(EntriesChanged(('a',), 9, 9, 'store'), effects)

    def test_changes_are_gathered_before_the_next_watch(self) -> None:
        """An empty watch is followed by the next at once."""
        self.read_all(0, 5, 'a')
        change = EntryChange('a', 6, make_entry(6))
        watch = self.take(ChangesRead(0, (change,), 6))[-1]
        self.assertEqual(
            watch,
            WatchChanges(
                defaults.BATCH_PAUSE_SECONDS, 6, defaults.WATCH_WAIT_SECONDS
            ),
        )
        watch = self.take(ChangesRead(0, (), 8))[-1]
        self.assertEqual(watch, WatchChanges(0, 8, defaults.WATCH_WAIT_SECONDS))

    def test_pause_for_gathering_ends_when_a_verdict_waits(self) -> None:
        """Once; a call under way is not made again."""
        self.read_all(0, 5, 'a')
        change = EntryChange('a', 6, make_entry(6))
        self.take(ChangesRead(1, (change,), 6))
        self.assertEqual(
            self.take(CatchUpRequested(1.1)),
            (WatchChanges(0, 6, defaults.WATCH_WAIT_SECONDS),),
        )
        self.assertEqual(self.take(CatchUpRequested(1.2)), ())

    def test_changes_that_cannot_be_read_are_read_in_pages(self) -> None:
        """Other writers' entries made an answer longer than is accepted.

        The same watch was asked for ever, and nothing changed any more.
        """
        self.read_all(0, 5, 'a')
        failed = CallFailed(1, 'malformed_answer', is_unreadable=True)
        effects = self.take(failed)
        self.assertEqual(
            effects[-1],
            ReadPage(defaults.RETRY_FIRST_SECONDS, ''),
        )
        self.assertIn('a', self.state.entries)

    def test_failures_are_retried_with_growing_pauses(self) -> None:
        """The loss is told once, and so is the return."""
        self.read_all(0, 5, 'a')
        pauses = []
        for number in range(8):
            effects = self.take(CallFailed(number, 'status_503'))
            lost = StoreLost('status_503') in effects
            self.assertEqual(lost, number == 0)
            watch = effects[-1]
            self.assertIsInstance(watch, WatchChanges)
            pauses.append(watch.delay)  # type: ignore[union-attr]
        self.assertEqual(pauses[0], defaults.RETRY_FIRST_SECONDS)
        self.assertEqual(pauses[-1], defaults.RETRY_MAX_SECONDS)
        effects = self.take(ChangesRead(9, (), 5))
        self.assertIn(StoreRegained(9), effects)

    def test_store_is_probed_before_it_is_waited_for(self) -> None:
        """A watch sent into an outage may be lost, and nobody tells.

        Found on edspa-keelgap-grown trouble-3: watches sent while the store
        was silent hung for 22 s after its return, and CONFIG, DRAIN and FLOW
        broke.
        """
        self.read_all(0, 5, 'a')
        watch = self.take(CallFailed(1, 'timeout'))[-1]
        self.assertEqual(
            watch,
            WatchChanges(
                defaults.RETRY_FIRST_SECONDS,
                5,
                defaults.PROBE_WAIT_SECONDS,
            ),
        )
        watch = self.take(ChangesRead(1.2, (), 5))[-1]
        self.assertEqual(watch, WatchChanges(0, 5, defaults.WATCH_WAIT_SECONDS))

    def test_silent_store_is_asked_again_for_the_first_page(self) -> None:
        """A call sent into the silence is never answered.

        Found on fjordflis-tiles scale-2: the store was back 0.4 s before the
        first reading timed out, and nobody was served meanwhile.
        """
        pause = defaults.FIRST_PAGE_TIMEOUT_SECONDS
        self.assertEqual(self.take(TimerFired(pause / 2)), ())
        again = (ReadFirstPageAgain(),)
        self.assertEqual(self.take(TimerFired(pause)), again)
        self.assertEqual(self.take(TimerFired(1.5 * pause)), ())
        self.assertEqual(self.take(TimerFired(2 * pause)), again)
        self.read_all(3 * pause, 5, 'a')
        self.assertEqual(self.take(TimerFired(9)), ())

    def test_many_processes_ask_a_silent_store_as_often_as_few(self) -> None:
        """The first that is answered tells the others."""
        processes = 4 * defaults.READER_COUNT
        self.take(ReaderRoleDecided(0, is_reader=True, processes=processes))
        pause = 4 * defaults.FIRST_PAGE_TIMEOUT_SECONDS
        self.assertEqual(self.take(TimerFired(pause * 0.9)), ())
        again = (ReadFirstPageAgain(),)
        self.assertEqual(self.take(TimerFired(pause)), again)

    def test_pauses_are_short_until_there_is_a_catalog(self) -> None:
        """Nobody is served before; many processes still call seldom."""
        pauses = []
        for number in range(4):
            reading = self.take(CallFailed(number, 'status_503'))[-1]
            pauses.append(reading.delay)  # type: ignore[union-attr]
        self.assertEqual(pauses[0], defaults.RETRY_FIRST_SECONDS)
        self.assertEqual(pauses[-1], defaults.STARTUP_RETRY_MAX_SECONDS)
        processes = 5 * defaults.READER_COUNT
        self.take(ReaderRoleDecided(5, is_reader=True, processes=processes))
        self.take(CallFailed(5, 'status_503'))
        later = self.take(CallFailed(6, 'status_503'))[-1]
        longest = 5 * defaults.STARTUP_RETRY_MAX_SECONDS
        self.assertEqual(later, ReadPage(longest, ''))
        # The planned reading is not doubled by another.
        self.assertEqual(self.take(TimerFired(6 + longest)), ())

    def test_interrupted_reading_begins_anew(self) -> None:
        """Old pages are not joined to new ones."""
        self.take(PageRead(0, {'a': make_entry(3)}, 5, 'a'))
        effects = self.take(CallFailed(0, 'closed'))
        self.assertEqual(
            effects[-1],
            ReadPage(defaults.RETRY_FIRST_SECONDS, ''),
        )
        self.read_all(1, 8, 'b')
        self.assertEqual(set(self.state.entries), {'b'})

    def test_lost_history_means_a_full_reading(self) -> None:
        """What went in the meantime goes here, too."""
        self.read_all(0, 5, 'a', 'b')
        self.assertEqual(self.take(HistoryLost(1)), (ReadPage(0, ''),))
        effects = self.read_all(1, 9, 'b')
        self.assertEqual(set(self.state.entries), {'b'})
        changed = next(
            effect for effect in effects if isinstance(effect, EntriesChanged)
        )
        self.assertEqual(set(changed.keys), {'a', 'b'})

    def test_older_reading_changes_nothing(self) -> None:
        """A store that tells of the past is not believed."""
        self.read_all(0, 9, 'a')
        self.take(HistoryLost(1))
        self.read_all(1, 7, 'b')
        self.assertEqual(set(self.state.entries), {'a'})
        self.assertEqual(self.state.revision, 9)

    def test_late_change_does_not_bring_back_what_went(self) -> None:
        """A peer's later catalog had removed the key."""
        self.read_all(0, 5, 'a')
        self.take(SnapshotReceived(0, {}, 9))
        change = EntryChange('a', 7, make_entry(7))
        self.take(ChangesRead(0, (change,), 7))
        self.assertEqual(self.state.entries, {})
        self.assertEqual(self.state.revision, 9)

    def test_entry_that_came_and_went_is_told(self) -> None:
        """Its upstream may live, and hold flows that others opened there."""
        self.read_all(0, 5, 'a')
        changes = (
            EntryChange('b', 6, make_entry(6)),
            EntryChange('b', 7, make_entry(7)),
            EntryChange('a', 8, make_entry(8)),
            EntryChange('b', 9, None),
        )
        effects = self.take(ChangesRead(4, changes, 9))
        changed = EntriesChanged(
            ('b', 'b', 'a', 'b'),
            9,
            9,
            'store',
            {'b': make_entry(7)},
        )
        self.assertEqual(effects[0], changed)

    def test_entry_that_came_back_is_not_missed(self) -> None:
        """Nor is one that was read before it went."""
        self.read_all(0, 5, 'a')
        changes = (
            EntryChange('b', 6, make_entry(6)),
            EntryChange('b', 7, None),
            EntryChange('a', 8, None),
            EntryChange('b', 9, make_entry(9)),
        )
        effects = self.take(ChangesRead(4, changes, 9))
        self.assertEqual(list_missed(effects), {})

    def test_peer_is_told_what_came_and_went(self) -> None:
        """It takes the same as a process that reads the store."""
        self.read_all(0, 5, 'a')
        changes = (
            EntryChange('b', 6, make_entry(6)),
            EntryChange('b', 7, make_entry(7)),
            EntryChange('b', 9, None),
        )
        self.take(ChangesRead(4, changes, 9))
        for after, missed in ((5, {'b': make_entry(7)}), (8, {})):
            with self.subTest(after):
                other = FollowerState(0)
                page = PageRead(0, {'a': make_entry(5)}, after, '')
                follower.reduce(other, page)
                told = decode_catalog(4, encode_catalog(self.state, after))
                self.assertIsInstance(told, DeltaReceived)
                _, effects = follower.reduce(other, told)
                self.assertEqual(list_missed(effects), missed)

    def test_reading_without_history_is_told(self) -> None:
        """An entry may have come and gone, if there was time for that."""
        for pause, has_gap in (
            (defaults.MIN_ENTRY_LIFETIME_SECONDS - 0.1, False),
            (defaults.MIN_ENTRY_LIFETIME_SECONDS, True),
        ):
            with self.subTest(pause):
                self.setUp()
                self.read_all(0, 5, 'a')
                self.take(ChangesRead(10, (), 5))
                self.take(HistoryLost(10 + pause))
                effects = self.read_all(10 + pause, 9, 'a')
                gaps = [
                    effect.has_gap
                    for effect in effects
                    if isinstance(effect, EntriesChanged)
                ]
                self.assertEqual(gaps, [has_gap])

    def test_first_reading_has_no_gap(self) -> None:
        """Whoever opened flows before told agents of the store."""
        effects = self.read_all(60, 5, 'a')
        self.assertIn(EntriesChanged(('a',), 5, 5, 'store'), effects)

    def test_peer_is_asked_only_without_the_store(self) -> None:
        """A call to a peer is saved while the store tells the same."""
        self.read_all(0, 5, 'a')
        self.assertEqual(self.take(PeerAhead(0, PEER, 6)), ())
        self.take(CallFailed(0.1, 'timeout'))
        self.assertEqual(
            self.take(PeerAhead(0.2, PEER, 6)),
            (FetchCatalog(PEER),),
        )

    def test_silent_watch_is_not_trusted_for_long(self) -> None:
        """A path that was cut looks like a store without news."""
        self.read_all(0, 5, 'a')
        self.take(PeerAhead(10, PEER, 6))
        before = self.take(
            TimerFired(10 + defaults.BEHIND_TOLERANCE_SECONDS / 2)
        )
        self.assertEqual(before, ())
        after = self.take(TimerFired(10 + defaults.BEHIND_TOLERANCE_SECONDS))
        self.assertEqual(after, (FetchCatalog(PEER),))

    def test_joiner_takes_a_peers_catalog(self) -> None:
        """While the store refuses it."""
        self.take(CallFailed(0, 'status_503'))
        self.assertEqual(
            self.take(PeerAhead(0, PEER, 6)),
            (FetchCatalog(PEER),),
        )
        entries = {'a': make_entry(6)}
        effects = self.take(SnapshotReceived(0.1, entries, 6))
        self.assertEqual(effects, (EntriesChanged(('a',), 6, 6, 'peer'),))
        self.assertTrue(self.state.complete)

    def test_process_that_follows_makes_no_call(self) -> None:
        """The call under way ends, and others tell the news at once."""
        self.read_all(0, 5, 'a')
        self.take(ReaderRoleDecided(0.5, is_reader=False, processes=9))
        change = EntryChange('a', 6, make_entry(6))
        effects = self.take(ChangesRead(1, (change,), 6))
        self.assertEqual(effects, (EntriesChanged(('a',), 6, 6, 'store'),))
        self.assertEqual(
            self.take(PeerAhead(2, PEER, 7)),
            (FetchCatalog(PEER),),
        )
        change = EntryChange('a', 7, make_entry(7))
        effects = self.take(DeltaReceived(2, 6, (change,), 7))
        self.assertEqual(effects, (EntriesChanged(('a',), 7, 7, 'peer'),))

    def test_catalog_under_way_is_not_fetched_again(self) -> None:
        """It may take long; another peer is asked as well, but soon."""
        self.follow(5)
        pause = defaults.PEER_FETCH_SECONDS
        self.assertEqual(
            self.take(PeerAhead(1, PEER, 6)), (FetchCatalog(PEER),)
        )
        self.assertEqual(self.take(PeerAhead(1 + 1.5 * pause, PEER, 6)), ())
        self.assertEqual(
            self.take(PeerAhead(1 + 1.6 * pause, OTHER, 6)),
            (FetchCatalog(OTHER),),
        )
        self.assertEqual(self.take(TimerFired(1 + 3 * pause)), ())

    def test_peer_that_failed_is_asked_after_others(self) -> None:
        """It may be gone, though it was the last to announce."""
        self.follow(5)
        self.take(PeerAhead(1, PEER, 6))
        self.take(FetchEnded(1.3, PEER, failed=True))
        self.take(PeerAhead(1.35, OTHER, 6))
        self.take(FetchEnded(1.4, OTHER, failed=True))
        self.take(PeerAhead(1.45, PEER, 6))
        self.take(FetchEnded(1.5, PEER, failed=True))
        self.assertEqual(
            self.take(PeerAhead(1.75, PEER, 6)), (FetchCatalog(OTHER),)
        )

    def test_follower_asks_the_store_if_no_peer_delivers(self) -> None:
        """Readers may be heard by those that do not reach them."""
        self.follow(5)
        self.take(PeerAhead(1, PEER, 6))
        self.take(FetchEnded(1.9, PEER, failed=True))
        at = 1 + defaults.BEHIND_TOLERANCE_SECONDS
        asked = WatchChanges(0, 5, defaults.PROBE_WAIT_SECONDS)
        effects = self.take(TimerFired(at))
        self.assertIn(asked, effects)
        self.assertIn(
            StoreAskedBehind(at - 1, (PEER,)),
            effects,
        )
        self.assertNotIn(asked, self.take(TimerFired(at + 0.1)))
        change = EntryChange('a', 6, make_entry(6))
        effects = self.take(ChangesRead(at + 0.2, (change,), 6))
        self.assertEqual(effects, (EntriesChanged(('a',), 6, 6, 'store'),))
        self.assertTrue(self.state.is_idle)
        self.assertEqual(self.take(TimerFired(at + 9)), ())

    def test_follower_that_keeps_up_does_not_ask_the_store(self) -> None:
        """Though some peer is ahead all the time."""
        self.follow(5)
        for number in range(30):
            now = 1 + number / 10
            revision = 6 + number
            effects = self.take(PeerAhead(now, PEER, revision + 1))
            change = EntryChange('a', revision, make_entry(revision))
            self.take(DeltaReceived(now, revision - 1, (change,), revision))
            self.take(FetchEnded(now, PEER, failed=False))
            self.take(PeerAhead(now, OTHER, revision))
            self.assertFalse([
                one for one in effects if isinstance(one, WatchChanges)
            ])

    def test_process_that_reads_again_probes_the_store(self) -> None:
        """Its connection may have gone silent meanwhile."""
        self.read_all(0, 5, 'a')
        self.take(ReaderRoleDecided(0, is_reader=False, processes=9))
        self.assertEqual(self.take(CallFailed(0.1, 'timeout')), ())
        self.assertIsNone(self.state.failing_since)
        effects = self.take(ReaderRoleDecided(1, is_reader=True, processes=9))
        self.assertEqual(
            effects,
            (WatchChanges(0, 5, defaults.PROBE_WAIT_SECONDS),),
        )
        self.assertEqual(
            self.take(ReaderRoleDecided(2, is_reader=True, processes=9)),
            (),
        )

    def test_many_that_find_the_store_away_call_as_often_as_few(self) -> None:
        """Each call is priced, refused ones too."""
        self.read_all(0, 5, 'a')
        processes = 5 * defaults.READER_COUNT
        self.take(ReaderRoleDecided(0, is_reader=True, processes=processes))
        for number in range(9):
            watch = self.take(CallFailed(number, 'status_503'))[-1]
        self.assertIsInstance(watch, WatchChanges)
        if isinstance(watch, WatchChanges):
            longest = 5 * defaults.RETRY_MAX_SECONDS
            self.assertEqual(watch.delay, longest)

    def test_delta_that_does_not_join_is_not_taken(self) -> None:
        """Changes between would be missing."""
        self.read_all(0, 5, 'a')
        change = EntryChange('b', 9, make_entry(9))
        self.assertEqual(self.take(DeltaReceived(1, 7, (change,), 9)), ())
        self.assertEqual(self.state.revision, 5)

    def test_documents_bring_any_peer_to_the_same_state(self) -> None:
        """Whether it takes a delta or everything."""
        for seed in range(200):
            with self.subTest(seed):
                _play_documents(Random(seed), self)

    def test_odd_documents_are_refused_by_type(self) -> None:
        """Those that unpack to something else, too."""
        for body in (b'', b'x', zlib.compress(b'[]'), zlib.compress(b'{}')):
            with self.assertRaises(MalformedCatalog):
                decode_catalog(0, body)
        with self.assertRaises(MalformedCatalog):
            decode_catalog(0, zlib.compress(b'{"revision": 1}')[:-3])

    def test_random_histories_end_in_the_stores_state(self) -> None:
        """With lost answers, lost history and peers of any age."""
        for seed in range(300):
            with self.subTest(seed):
                _play(Random(seed), self)


def _play(random: Random, test: TestCase) -> None:
    store: dict[str, Entry] = {}
    log: list[EntryChange] = []
    snapshots = [({}, 0)]
    state = FollowerState(0)
    highest = 0
    for step in range(random.randrange(5, 40)):
        key = random.choice('abc')
        revision = len(log) + 1
        entry = make_entry(revision) if random.randrange(3) else None
        log.append(EntryChange(key, revision, entry))
        store.pop(key, None)
        if entry is not None:
            store[key] = entry
        snapshots.append((dict(store), revision))
        event: FollowerEvent = _choose_event(
            random,
            state,
            snapshots,
            log,
            step,
        )
        state, _ = follower.reduce(state, event)
        test.assertGreaterEqual(state.revision, highest)
        highest = state.revision
    event = PageRead(99, store, len(log), '')
    if state.complete:
        changes = tuple(log[state.revision :])
        event = ChangesRead(99, changes, len(log))
    state, _ = follower.reduce(state, event)
    test.assertEqual(state.entries, store)


def _play_documents(random: Random, test: TestCase) -> None:
    """Let one process follow another that reads a random history."""
    ahead = FollowerState(0)
    follower.reduce(ahead, PageRead(0, {'a': make_entry(1)}, 1, ''))
    behind = FollowerState(0)
    revision = 1
    for _ in range(random.randrange(1, 30)):
        changes = []
        for _ in range(random.randrange(1, 4)):
            revision += 1
            entry = make_entry(revision) if random.randrange(3) else None
            changes.append(EntryChange(random.choice('abc'), revision, entry))
        event: FollowerEvent = ChangesRead(0, tuple(changes), revision)
        if random.randrange(9) == 0:
            entries = {'c': make_entry(revision)}
            event = PageRead(0, entries, revision, '')
        follower.reduce(ahead, event)
        if random.randrange(2):
            after = behind.revision if behind.complete else 0
            body = encode_catalog(ahead, after)
            follower.reduce(behind, decode_catalog(0, body))
            test.assertEqual(behind.entries, ahead.entries)
            test.assertEqual(behind.revision, ahead.revision)


def _choose_event(
    random: Random,
    state: FollowerState,
    snapshots: list[tuple[dict[str, Entry], int]],
    log: list[EntryChange],
    now: float,
) -> FollowerEvent:
    kind = random.randrange(5)
    if kind == 0:
        return CallFailed(now, 'lost')
    if kind == 1:
        return HistoryLost(now)
    if kind == 2:
        entries, revision = random.choice(snapshots)
        return SnapshotReceived(now, entries, revision)
    if state.reading_after is not None:
        entries, revision = snapshots[-1]
        return PageRead(now, entries, revision, '')
    end = random.randrange(state.revision, len(log) + 1)
    return ChangesRead(now, tuple(log[state.revision : end]), end)
