"""Dissemination keeps its promises under random faults."""

from typing import Any
from unittest import TestCase, mock

from keelgap.dissemination import acceptance, reducer
from keelgap.dissemination.effects import PutInForce
from keelgap.table import loader
from tests.fuzzing import run_machine
from tests.keelgap.machine import DisseminationMachine

EXAMPLES = 40
STEPS = 25


def accept_any_version(
    state: Any,
    key: str,
    document: Any,
    now: float,
    delta: Any = None,
) -> tuple[Any, ...]:
    """Stand in for acceptance that does not compare versions."""
    held = state.held[key]
    held.document = document
    held.parsed = state.parsers[key](document)
    return (PutInForce(key, document, held.parsed),)


DELIBERATE_FAULTS = {
    'a revision that may fall': (
        acceptance,
        'accept_document',
        accept_any_version,
    ),
    'a check that finds nothing': (
        loader,
        'check_document',
        lambda document, is_checked: (),
    ),
    'an exchange that never happens': (
        reducer,
        '_exchange_versions',
        lambda state, now: (),
    ),
}


class OracleTests(TestCase):
    """Random sessions against the oracle."""

    def test_promises_hold_under_random_faults(self) -> None:
        """No session breaks one."""
        run_machine(DisseminationMachine, EXAMPLES, STEPS)

    def test_every_deliberate_fault_is_found(self) -> None:
        """A fuzzer that cannot fail proves nothing."""
        for name, (owner, attribute, stand_in) in DELIBERATE_FAULTS.items():
            patch = mock.patch.object(owner, attribute, stand_in)
            with self.subTest(name), patch, self.assertRaises(AssertionError):
                run_machine(DisseminationMachine, 200, STEPS, shrink=False)
