"""Entries that come and go between two readings, under random faults."""

from typing import Any
from unittest import TestCase, mock

from hypothesis import strategies as st
from hypothesis.stateful import rule

from keelgap_balancer.packets import catalog_changes, defaults
from tests.fuzzing import run_machine
from tests.packets.machine import BALANCERS, LATER_HOSTS, PacketMachine

EXAMPLES = 60
STEPS = 40
BEHIND, OTHER = BALANCERS


def take_no_missed(state: Any, upstream: Any, now: float) -> None:
    """Stand in for a balancer that reads only what is listed now."""


class LapsingMachine(PacketMachine):
    """A world in which one balancer does not read for some seconds."""

    @rule(number=st.sampled_from(LATER_HOSTS))
    def lapse_unread(self, number: int) -> None:
        """An upstream starts, takes flows and lapses while one is behind.

        It lives, and the routers move its flows to that balancer.  No
        balancer has read of its host before.
        """
        self.deliver_all()
        others = [one for one in self.upstreams.values() if one.accepts]
        self.reads_late = BEHIND
        self._add_upstream(number, 'board')
        self.learn(OTHER)
        for other in others:
            other.accepts = False
        self.open('board', OTHER, 0)
        self.deliver_all()
        self._speak_on_all_flows(OTHER)
        for other in others:
            other.accepts = True
        row = self._take_from_list(number)
        self.reads_late = ''
        for host in BALANCERS:
            self.learn(host)
        self._speak_on_all_flows(BEHIND)
        self._put_on_list(row)

    @rule(number=st.sampled_from(LATER_HOSTS))
    def leave(self, number: int) -> None:
        """One of the later upstreams goes for good."""
        host = f'10.0.0.{number}'
        if host not in self.upstreams:
            return
        row = self._take_from_list(number)
        self.upstreams.pop(host)
        self.agents.pop(host)
        self.listed.pop(row.upstream_id, None)
        for balancer in BALANCERS:
            self.learn(balancer)
        for _ in range(4):
            self.advance(defaults.MISSING_ENTRY_SECONDS)
            self.deliver_all()


class LapseOracleTests(TestCase):
    """Random sessions against the oracle."""

    def test_promises_hold_when_entries_lapse_unread(self) -> None:
        """No session breaks one."""
        run_machine(LapsingMachine, EXAMPLES, STEPS)

    def test_a_balancer_without_history_is_found(self) -> None:
        """A fuzzer that cannot fail proves nothing."""
        patch = mock.patch.object(
            catalog_changes, '_add_missed', take_no_missed
        )
        with patch, self.assertRaisesRegex(AssertionError, 'living flow'):
            run_machine(LapsingMachine, 400, STEPS, shrink=False)
