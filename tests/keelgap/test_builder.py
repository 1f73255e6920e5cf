"""From the store's entries to a catalog."""

from unittest import TestCase

from keelgap.addresses import Address
from keelgap.catalog.builder import CatalogBuilder, Decoders, EntryFault
from keelgap.catalog.exceptions import EntryRefused
from keelgap.catalog.models import (
    Catalog,
    Entry,
    PacketUpstream,
    RouteSet,
    ServiceLimits,
)
from keelgap.catalog.upstream_table import (
    MAX_REFUSED_REPORTS,
    MAX_REMEMBERED_IDS,
    UpstreamTable,
)


class Unreadable(EntryRefused):
    """What the decoders of these tests raise."""

    code = 'unreadable'


def decode_routes(entry: Entry) -> RouteSet:
    """Return routes from ``version service service ...``."""
    version, *services = entry.content.split()
    if not version.isdigit():
        raise Unreadable
    limits = {name.decode(): ServiceLimits() for name in services}
    return RouteSet(int(version), (), 15, limits)


def decode_upstream(key: str, entry: Entry) -> PacketUpstream:
    """Return an upstream from ``service started``."""
    words = entry.content.split()
    if len(words) != 2:
        raise Unreadable(key)
    upstream = make_upstream(key.removeprefix('up/'), int(words[1]))
    return upstream._replace(
        service=words[0].decode(),
        revision=entry.revision,
    )


def make_upstream(upstream_id: str, started: int) -> PacketUpstream:
    """Return one start of an upstream."""
    return PacketUpstream(
        upstream_id,
        'board',
        Address('10.0.0.1', 80),
        'a',
        2,
        'active',
        0,
        started=started,
    )


def decode_evacuation(key: str, entry: Entry) -> str:
    """Return the zone that a key names."""
    zone = key.removeprefix('out/')
    if not zone:
        raise Unreadable(key)
    return zone


class BuilderTestCase(TestCase):
    """A builder over entries that a test writes."""

    def setUp(self) -> None:
        """Start without entries."""
        self.faults: list[EntryFault] = []
        self.entries: dict[str, Entry] = {}
        self.revision = 0
        self.builder = CatalogBuilder(
            Decoders(
                'routes',
                'up/',
                decode_routes,
                decode_upstream,
                'out/',
                decode_evacuation,
            ),
            self.faults.extend,
        )

    def write(self, key: str, content: bytes) -> Catalog:
        """Write an entry; return the catalog."""
        self.revision += 1
        self.entries[key] = Entry(content, self.revision)
        return self.update(key)

    def remove(self, key: str) -> Catalog:
        """Remove an entry; return the catalog."""
        self.revision += 1
        self.entries.pop(key, None)
        return self.update(key)

    def update(self, *keys: str) -> Catalog:
        """Build the catalog anew for these keys."""
        revision = self.revision
        return self.builder.update(self.entries, keys, revision, revision)


class RouteTests(BuilderTestCase):
    """Routes stay in force until later ones can be read."""

    def test_faulty_and_older_routes_leave_the_old_in_force(self) -> None:
        """So does an entry that went."""
        for content, version in ((b'5', 5), (b'x', 5), (b'4', 5), (b'6', 6)):
            catalog = self.write('routes', content)
            self.assertEqual(catalog.routes.version, version)
        catalog = self.remove('routes')
        self.assertEqual(catalog.routes.version, 6)
        self.assertEqual([fault.key for fault in self.faults], ['routes'])


class MissedEntryTests(BuilderTestCase):
    """Upstreams whose entries came and went between two readings."""

    def read(self, **missed: bytes) -> Catalog:
        """Return the catalog after entries came and went."""
        self.revision += 1
        entries = {
            f'up/{name}': Entry(content, self.revision)
            for name, content in missed.items()
        }
        revision = self.revision
        return self.builder.update({}, (), revision, revision, entries)

    def test_they_are_in_one_catalog_only(self) -> None:
        """And never among those that are listed."""
        self.write('routes', b'5 board')
        catalog = self.read(x=b'board 0')
        self.assertEqual([one.upstream_id for one in catalog.missed], ['x'])
        self.assertEqual(catalog.upstreams, {})
        self.assertEqual(self.read().missed, ())

    def test_those_of_unknown_services_name_nobody(self) -> None:
        """No route leads there."""
        self.write('routes', b'5 board')
        self.assertEqual(self.read(x=b'proof 0').missed, ())

    def test_those_that_cannot_be_read_are_reported(self) -> None:
        """As if they were listed."""
        catalog = self.read(x=b'nonsense', y=b'board 0')
        self.assertEqual([one.upstream_id for one in catalog.missed], ['y'])
        self.assertEqual([fault.key for fault in self.faults], ['up/x'])


class UntrustedEntryTests(BuilderTestCase):
    """An entry that cannot be read is as good as absent."""

    def test_what_stood_under_its_key_goes(self) -> None:
        """All other entries hold."""
        self.write('up/1', b'board 0')
        self.write('up/2', b'board 0')
        catalog = self.write('up/1', b'nonsense')
        self.assertEqual(set(catalog.upstreams), {'2'})
        self.assertEqual([fault.key for fault in self.faults], ['up/1'])
        catalog = self.write('up/1', b'board 0')
        self.assertEqual(set(catalog.upstreams), {'1', '2'})

    def test_an_unknown_service_names_no_upstream(self) -> None:
        """Until the operators' table has it."""
        self.write('routes', b'1 board')
        self.write('up/1', b'board 0')
        catalog = self.write('up/2', b'proof 0')
        self.assertEqual(set(catalog.upstreams), {'1'})
        self.write('up/2', b'proof 0')
        reasons = [fault.error.reason for fault in self.faults]
        self.assertEqual(reasons, ['unknown_service'])
        catalog = self.write('routes', b'2 board proof')
        self.assertEqual(set(catalog.upstreams), {'1', '2'})

    def test_a_thousand_faults_are_told_at_once(self) -> None:
        """A thousand entries that cannot be read, and two that can."""
        told: list[int] = []
        self.builder.on_faults = lambda faults: told.append(len(faults))
        for number in range(1000):
            self.entries[f'up/bad-{number}'] = Entry(b'?', 1)
        self.entries['up/1'] = Entry(b'board 0', 1)
        self.entries['up/2'] = Entry(b'board 0', 1)
        catalog = self.update(*self.entries)
        self.assertEqual(set(catalog.upstreams), {'1', '2'})
        self.assertEqual(told, [1000])


class EvacuationTests(BuilderTestCase):
    """Availability zones out of service."""

    def test_marks_come_and_go(self) -> None:
        """Several at once; written again, each keeps its first revision."""
        self.write('out/a', b'{}')
        catalog = self.write('out/b', b'{}')
        self.assertEqual(catalog.evacuated, {'a': 1, 'b': 2})
        catalog = self.write('out/a', b'?')
        self.assertEqual(catalog.evacuated, {'a': 1, 'b': 2})
        catalog = self.remove('out/a')
        self.assertEqual(catalog.evacuated, {'b': 2})

    def test_earlier_catalogs_do_not_change(self) -> None:
        """Each catalog has the marks of its own revision."""
        before = self.write('out/a', b'{}')
        self.remove('out/a')
        self.assertEqual(before.evacuated, {'a': 1})

    def test_a_mark_without_a_zone_is_refused(self) -> None:
        """It empties nothing."""
        catalog = self.write('out/', b'{}')
        self.assertEqual(catalog.evacuated, {})
        self.assertEqual(len(self.faults), 1)


class StartTests(BuilderTestCase):
    """An upstream may start again under its id."""

    def test_a_later_start_takes_the_place_of_the_former(self) -> None:
        """It has another identity."""
        before = self.write('up/1', b'board 100').upstreams['1']
        after = self.write('up/1', b'board 200').upstreams['1']
        self.assertNotEqual(before.identity, after.identity)

    def test_a_late_report_of_a_former_start_changes_nothing(self) -> None:
        """Also after the entry of the later start went."""
        self.write('up/1', b'board 200')
        catalog = self.write('up/1', b'board 100')
        self.assertEqual(catalog.upstreams['1'].started, 200)
        self.assertEqual(self.faults[0].error.reason, 'stale_start')
        self.remove('up/1')
        catalog = self.write('up/1', b'board 100')
        self.assertEqual(catalog.upstreams, {})

    def test_a_start_whose_clock_stepped_back_is_taken(self) -> None:
        """It goes on reporting, which a former start does not."""
        self.write('up/1', b'board 200')
        for _ in range(MAX_REFUSED_REPORTS):
            catalog = self.write('up/1', b'board 100')
            self.assertEqual(catalog.upstreams['1'].started, 200)
        catalog = self.write('up/1', b'board 100')
        self.assertEqual(catalog.upstreams['1'].started, 100)

    def test_the_memory_of_ended_upstreams_is_bounded(self) -> None:
        """The oldest are forgotten first; those with an entry never."""
        table = UpstreamTable()
        table.put(make_upstream('stays', 1))
        for number in range(MAX_REMEMBERED_IDS + 10):
            table.put(make_upstream(str(number), 1))
            table.remove(str(number))
        self.assertEqual(len(table.started), MAX_REMEMBERED_IDS + 1)
        self.assertIn('stays', table.started)
