"""Starts under one id and zones out of service, under random faults."""

from typing import Any
from unittest import TestCase, mock

from keelgap.catalog.models import PacketUpstream, UpstreamIdentity
from keelgap_agent.packets import notices
from keelgap_balancer.packets.state import PacketState
from tests.fuzzing import run_machine
from tests.packets.starts_machine import (
    StartsDirectoryMachine,
    StartsMachine,
)

EXAMPLES = 60
DIRECTORY_EXAMPLES = 15
STEPS = 40


def know_by_id(upstream: Any) -> UpstreamIdentity:
    """Stand in for a balancer that tells no start from another."""
    return UpstreamIdentity(upstream.upstream_id, 0)


def ignore_zones(state: Any, notice: Any, sender: str) -> Any:
    """Stand in for an agent that leaves its zone to balancers."""
    return ()


def place_anywhere(state: Any, view: Any) -> bool:
    """Stand in for a balancer that leaves zones to agents."""
    return False


DELIBERATE_FAULTS = {
    'an upstream known by its id alone': (
        PacketUpstream,
        'identity',
        property(know_by_id),
    ),
    'an agent that serves in a zone out of service': (
        notices,
        '_change_zone',
        ignore_zones,
    ),
    'a balancer that tells no agent of its zone': (
        PacketState,
        'is_evacuated',
        place_anywhere,
    ),
}


class OracleTests(TestCase):
    """Random sessions against the oracle."""

    def test_promises_hold_under_random_faults(self) -> None:
        """No session breaks one."""
        run_machine(StartsMachine, EXAMPLES, STEPS)

    def test_promises_of_large_services_hold(self) -> None:
        """No session breaks one, with a directory of flows."""
        run_machine(StartsDirectoryMachine, DIRECTORY_EXAMPLES, STEPS)

    def test_every_deliberate_fault_is_found(self) -> None:
        """A fuzzer that cannot fail proves nothing."""
        for name, (owner, attribute, stand_in) in DELIBERATE_FAULTS.items():
            patch = mock.patch.object(owner, attribute, stand_in)
            with self.subTest(name), patch, self.assertRaises(AssertionError):
                run_machine(StartsMachine, 400, STEPS, shrink=False)
