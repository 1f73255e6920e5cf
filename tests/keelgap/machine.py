"""Stateful fuzzing of dissemination against a simple oracle.

The oracle knows which documents were published, and the promises: the table
in force only rises, a bad one never comes into force, and in the end all
agree on the highest that any of them had.
"""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from keelgap.addresses import Address
from keelgap_standins.simulated_network import (
    INSTANCES_KEY,
    TABLE_KEY,
    Process,
    SimulatedNetwork,
    make_instances,
    make_table_document,
    start_network,
)

PROCESSES = 6
BAD_ROW = {
    'name': 'bad',
    'service': 'board',
    'agent': '127.0.0.9:7001',
    'weight': -1,
}
which = st.integers(0, PROCESSES - 1)


class DisseminationMachine(RuleBasedStateMachine):
    """Operators, the platform and faults around a few processes."""

    def __init__(self) -> None:
        """Start a net that agrees on revision 1."""
        super().__init__()
        self.net: SimulatedNetwork = start_network(1, PROCESSES)
        self.revision = 1
        self.bad: set[int] = set()
        self.list_revision = 1
        self.next_host = 100
        self.gone: list[Process] = []

    def pick(self, index: int) -> Address:
        """Return the control address of a running process."""
        controls = list(self.net.processes)
        return controls[index % len(controls)]

    @rule()
    def publish(self) -> None:
        """The operators edit the table."""
        self.revision += 1
        self.net.put(TABLE_KEY, make_table_document(self.revision))

    @rule()
    def publish_bad(self) -> None:
        """The operators make a mistake."""
        self.revision += 1
        self.bad.add(self.revision)
        document = make_table_document(self.revision, upstreams=[BAD_ROW])
        self.net.put(TABLE_KEY, document)

    @rule(back=st.integers(1, 5))
    def restore_old_copy(self, back: int) -> None:
        """The service comes back with an old table."""
        old = max(1, self.revision - back)
        if old not in self.bad:
            self.net.put(TABLE_KEY, make_table_document(old))

    @rule(is_service_unavailable=st.booleans())
    def switch_service(self, is_service_unavailable: bool) -> None:
        """The service goes away, or comes back."""
        self.net.switch_service(is_service_unavailable)

    @rule(index=which)
    def pause_or_wake(self, index: int) -> None:
        """A process stops, or goes on."""
        control = self.pick(index)
        if self.net.processes[control].paused:
            self.net.resume(control)
        else:
            self.net.pause(control)

    @rule(index=which)
    def replace(self, index: int) -> None:
        """A process is killed and another one joins."""
        control = self.pick(index)
        self.gone.append(self.net.processes[control])
        self.net.kill(control)
        self.next_host += 1
        joiner = Address(f'10.1.0.{self.next_host}', 7002)
        self.net.add(joiner, f'zone-{index % 3}', (self.pick(index),))

    @rule()
    def publish_list(self) -> None:
        """The platform's list catches up."""
        self.list_revision += 1
        listed = make_instances(self.net, self.list_revision)
        self.net.put(INSTANCES_KEY, listed)

    @rule(first=which, second=which)
    def cut_or_heal(self, first: int, second: int) -> None:
        """Two processes lose each other, or meet again."""
        pair = frozenset((self.pick(first), self.pick(second)))
        if len(pair) == 2:
            self.net.partitioned_pairs ^= {pair}

    @rule(loss_rate=st.sampled_from((0, 0.3, 0.9)))
    def lose(self, loss_rate: float) -> None:
        """The network loses messages."""
        self.net.loss_rate = loss_rate

    @rule(share=st.sampled_from((0, 0.5)))
    def double(self, share: float) -> None:
        """The network doubles messages, and some come late."""
        self.net.duplicate_rate = share

    @rule(seconds=st.sampled_from((0.05, 0.5, 3, 12)))
    def wait(self, seconds: float) -> None:
        """Time passes."""
        self.net.run(seconds)

    @invariant()
    def table_only_rises(self) -> None:
        """In each process, whatever the service or a peer says."""
        for process in (*self.net.processes.values(), *self.gone):
            versions = [
                (entry.revision, entry.digest)
                for entry in process.applied_versions
                if entry.key == TABLE_KEY
            ]
            assert versions == sorted(set(versions)), 'the table reverted'

    @invariant()
    def bad_table_is_never_in_force(self) -> None:
        """It is refused whole."""
        for process in self.net.processes.values():
            assert process.get_revision() not in self.bad, (
                'a bad table is in force'
            )

    def teardown(self) -> None:
        """With all faults gone, all agree on the highest."""
        net = self.net
        net.partitioned_pairs.clear()
        net.loss_rate = 0
        net.duplicate_rate = 0
        for control, process in net.processes.items():
            if process.paused:
                net.resume(control)
        net.switch_service(is_service_unavailable=False)
        self.publish_list()
        highest = max(one.get_revision() for one in net.processes.values())
        net.run(40)
        revisions = {one.get_revision() for one in net.processes.values()}
        assert len(revisions) == 1, f'no agreement: {revisions}'
        assert revisions >= {highest} or min(revisions) > highest, 'lost'
        self.table_only_rises()
