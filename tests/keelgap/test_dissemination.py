"""The table in force: it spreads, it only rises, it survives faults."""

from unittest import TestCase

import msgspec

from keelgap.addresses import Address
from keelgap.dissemination.defaults import READER_COUNT
from keelgap.dissemination.state import DocumentKeys
from keelgap_standins.simulated_network import (
    INSTANCES_KEY,
    TABLE_KEY,
    SimulatedNetwork,
    make_instances,
    make_table_document,
    start_network,
)

SEED = 7
#: A change is in force everywhere within this.
MAX_PROPAGATION_SECONDS = 18


def kill_readers(net: SimulatedNetwork) -> None:
    """Kill all processes that read the service."""
    readers = [
        control
        for control, process in net.processes.items()
        if process.state.reading
    ]
    for control in readers:
        net.kill(control)


class SpreadTests(TestCase):
    """Changes reach every process."""

    def check_monotone(self, net: SimulatedNetwork) -> None:
        """No process ever went back to an earlier version."""
        for process in net.processes.values():
            versions = [
                (entry.revision, entry.digest)
                for entry in process.applied_versions
                if entry.key == TABLE_KEY
            ]
            self.assertEqual(versions, sorted(set(versions)))

    def test_change_is_in_force_everywhere_within_a_second(self) -> None:
        """Readers push it on; nobody else reads."""
        net = start_network(SEED, 30)
        net.put(TABLE_KEY, make_table_document(2))
        spent = net.run_until(lambda: not net.count_outdated(2), 20)
        self.assertLess(spent, 1)
        reading = sum(one.state.reading for one in net.processes.values())
        self.assertEqual(reading, 3 * READER_COUNT)
        self.check_monotone(net)

    def test_change_is_in_force_after_all_readers_are_killed(self) -> None:
        """Guards against processes that wait for readers that are gone."""
        for processes, zones in ((6, 1), (30, 3), (120, 3)):
            net = start_network(SEED, processes, zones)
            kill_readers(net)
            self.check_change_in_time(net)
            net.run(5)
            reading = sum(one.state.reading for one in net.processes.values())
            self.assertLessEqual(reading, 2 * zones * READER_COUNT)

    def test_those_that_read_instead_are_killed_as_well(self) -> None:
        """The next ones stand in for them, and no list comes meanwhile."""
        net = start_network(SEED, 30)
        kill_readers(net)
        net.run_until(
            lambda: any(one.state.reading for one in net.processes.values()),
            60,
        )
        kill_readers(net)
        self.check_change_in_time(net)

    def check_change_in_time(self, net: SimulatedNetwork) -> None:
        """Publish a change, and check that it is in force in time."""
        net.put(TABLE_KEY, make_table_document(2))
        spent = net.run_until(lambda: not net.count_outdated(2), 60)
        self.assertLess(spent, MAX_PROPAGATION_SECONDS)

    def test_loss_is_repaired(self) -> None:
        """Exchanges with neighbours repair what 30 % loss left behind."""
        net = start_network(SEED, 30, loss_rate=0.3)
        net.put(TABLE_KEY, make_table_document(2))
        spent = net.run_until(lambda: not net.count_outdated(2), 60)
        self.assertLess(spent, 18)
        self.check_monotone(net)

    def test_service_restored_from_an_old_copy_reverts_nothing(self) -> None:
        """Revision 2 stays in force when the service shows 1 again."""
        net = start_network(SEED, 6)
        net.put(TABLE_KEY, make_table_document(2))
        net.run(2)
        net.put(TABLE_KEY, make_table_document(1))
        net.run(5)
        self.assertEqual(net.count_outdated(2), 0)
        self.check_monotone(net)
        refused = [
            one.state.held[TABLE_KEY].refused
            for one in net.processes.values()
            if one.state.reading
        ]
        faults = {one.faults[0].fault_id for one in refused if one}
        self.assertEqual(faults, {'keelgap.E017'})

    def test_bad_table_is_refused_whole_and_the_last_good_one_stays(
        self,
    ) -> None:
        """Readers keep the refusal for the read-back; it does not spread."""
        net = start_network(SEED, 6)
        net.put(TABLE_KEY, make_table_document(2, upstreams=[{'name': 1}]))
        net.run(3)
        refused = [
            one.state.held[TABLE_KEY].refused
            for one in net.processes.values()
            if one.state.reading
        ]
        self.assertTrue(all(refused))
        revisions = {one.get_revision() for one in net.processes.values()}
        self.assertEqual(revisions, {1})
        net.put(TABLE_KEY, make_table_document(3))
        net.run(3)
        self.assertEqual(net.count_outdated(3), 0)

    def test_one_process_ahead_pulls_all_while_the_service_is_down(
        self,
    ) -> None:
        """All converge on the highest version among them."""
        net = start_network(SEED, 12)
        net.switch_service(True)
        ahead = next(iter(net.processes))
        joiner = Address('10.9.9.9', 7002)
        net.add(joiner, 'zone-0', seeds=(ahead,))
        net.partitioned_pairs = {
            frozenset((ahead, other))
            for other in net.processes
            if other not in {ahead, joiner}
        }
        net.values[TABLE_KEY] = b''
        state = net.processes[ahead].state
        self.feed(net, ahead, 5)
        self.assertEqual(state.held[TABLE_KEY].document.version.revision, 5)
        net.run(2)
        net.partitioned_pairs = set()
        net.run(6)
        self.assertEqual(net.count_outdated(5), 0)
        self.check_monotone(net)

    def feed(
        self, net: SimulatedNetwork, control: Address, revision: int
    ) -> None:
        """Have one process alone read a table."""
        is_service_unavailable = net.is_service_unavailable
        net.is_service_unavailable = False
        net.values[TABLE_KEY] = _encode(make_table_document(revision))
        net._read(control, net.processes[control], TABLE_KEY)  # noqa: WPS437
        net.run(0.01)
        net.is_service_unavailable = is_service_unavailable

    def test_joiner_starts_at_the_highest_it_heard(self) -> None:
        """A stale service is not believed when peers know better."""
        net = start_network(SEED, 9)
        net.put(TABLE_KEY, make_table_document(4))
        net.run(3)
        net.values[TABLE_KEY] = _encode(make_table_document(2))
        joiner = net.add(Address('10.9.9.9', 7002), 'zone-1')
        net.run(4)
        self.assertEqual(joiner.applied_versions[0].revision, 4)
        self.check_monotone(net)

    def test_joiner_learns_from_seeds_while_the_service_is_down(self) -> None:
        """The service is not needed by a joiner that knows a peer."""
        net = start_network(SEED, 6)
        net.switch_service(True)
        seed = next(iter(net.processes))
        joiner = net.add(Address('10.9.9.9', 7002), 'zone-1', (seed,))
        net.run(4)
        self.assertEqual(joiner.get_revision(), 1)
        self.assertEqual(joiner.get_revision(INSTANCES_KEY), 1)

    def test_paused_process_wakes_and_catches_up(self) -> None:
        """What it believed is not spread over what is newer."""
        net = start_network(SEED, 9)
        sleeper = next(iter(net.processes))
        net.pause(sleeper)
        for revision in range(2, 40):
            net.put(TABLE_KEY, make_table_document(revision))
            net.run(0.3)
        net.resume(sleeper)
        net.run(5)
        self.assertEqual(net.count_outdated(39), 0)
        self.check_monotone(net)

    def test_two_documents_of_one_revision_converge(self) -> None:
        """Operators' race: the digest decides, the same one everywhere."""
        net = start_network(SEED, 9)
        first, second = list(net.processes)[:2]
        for control, port in ((first, 4430), (second, 4499)):
            row = {'name': 'board', 'number': 1, 'port': port}
            document = make_table_document(2, services=[row])
            net.values[TABLE_KEY] = _encode(document)
            net._read(  # noqa: WPS437
                control,
                net.processes[control],
                TABLE_KEY,
            )
        net.run(5)
        digests = {
            one.state.held[TABLE_KEY].document.version
            for one in net.processes.values()
        }
        self.assertEqual(len(digests), 1)
        self.check_monotone(net)

    def test_regions_do_not_mix(self) -> None:
        """A seed of another region is asked in vain, and does no harm."""
        net = start_network(SEED, 6)
        stranger = net.add(
            Address('10.8.8.8', 7002),
            'zone-9',
            tuple(net.processes)[:2],
            DocumentKeys('table.east', 'instances.east'),
        )
        net.run(5)
        self.assertEqual(stranger.applied_versions, [])
        net.put('table.east', make_table_document(77))
        net.run(5)
        self.assertEqual(stranger.get_revision('table.east'), 77)
        others = set(net.processes.values()) - {stranger}
        self.assertEqual({one.get_revision() for one in others}, {1})

    def test_dead_readers_are_replaced_by_list_or_by_silence(self) -> None:
        """With its readers dead a fleet still learns of changes."""
        net = start_network(SEED, 9)
        kill_readers(net)
        net.put(INSTANCES_KEY, make_instances(net, 2))
        net.put(TABLE_KEY, make_table_document(2))
        spent = net.run_until(lambda: not net.count_outdated(2), 60)
        self.assertLess(spent, 18)


def _encode(document: dict[str, object]) -> bytes:
    return msgspec.json.encode(document)
