"""Flows of large services keep their promises under random faults."""

from typing import Any
from unittest import TestCase, mock

from keelgap_agent.packets import notices, registration
from keelgap_balancer.packets import dead_flows
from tests.fuzzing import run_machine
from tests.packets.directory_machine import (
    DirectoryMachine,
    SmallDirectoryMachine,
)

EXAMPLES = 30
STEPS = 30


def speak_for_all(*parts: Any) -> Any:
    """Stand in for a balancer that takes a node to speak for everybody."""
    return () if parts[2] else list_unspoken(*parts)


def begin_without_flows(state: Any, node: str, now: float) -> Any:
    """Stand in for an agent that tells a new node of later flows only."""
    flows, state.flows = state.flows, {}
    effects = begin_stream(state, node, now)
    state.flows = flows
    return effects


def claim_completeness(state: Any, notice: Any) -> str:
    """Stand in for an agent that says it knows all flows, however young."""
    record_upstream(state, notice)
    was_complete = state.registrar.is_complete
    state.registrar.is_complete = True
    return '' if was_complete else 'claimed'


record_upstream = registration.record_upstream
list_unspoken = dead_flows._list_uncovered  # noqa: WPS437
begin_stream = registration._begin_stream  # noqa: WPS437

DELIBERATE_FAULTS = {
    'a node that speaks for everybody': (
        dead_flows,
        '_list_uncovered',
        speak_for_all,
    ),
    'a new node without the earlier flows': (
        registration,
        '_begin_stream',
        begin_without_flows,
    ),
    'a young agent that claims to know all flows': (
        notices,
        'record_upstream',
        claim_completeness,
    ),
}


class DirectoryOracleTests(TestCase):
    """Random sessions of 120 upstreams against the oracle."""

    def test_promises_hold_under_random_faults(self) -> None:
        """No session breaks one."""
        run_machine(DirectoryMachine, EXAMPLES, STEPS, shrink=False)

    def test_every_deliberate_fault_is_found(self) -> None:
        """A fuzzer that cannot fail proves nothing."""
        for name, (owner, attribute, stand_in) in DELIBERATE_FAULTS.items():
            patch = mock.patch.object(owner, attribute, stand_in)
            with self.subTest(name), patch, self.assertRaises(AssertionError):
                run_machine(SmallDirectoryMachine, 600, STEPS, shrink=False)
