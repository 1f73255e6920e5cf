"""The agents keep the promises under random faults, and the fuzzer can fail.

Each deliberate fault replaces one function; the fuzzer must find all of them.
"""

from typing import Any
from unittest import TestCase, mock

from keelgap_agent.requests import admission, keyed
from keelgap_agent.requests import lifecycle as requests
from keelgap_agent.requests.ledger import Ledger
from keelgap_agent.state import AgentState
from tests.agent.machine import AgentMachine
from tests.fuzzing import run_machine

EXAMPLES = 150
STEPS = 40


def forget_incarnation(state: Any, text: str) -> Any:
    """Stand in for a ticket check that ignores restarts."""
    ticket_text, suffix = keyed.split_key(text)
    ticket = state.tickets.decode(ticket_text)
    incarnation = state.identity.incarnation
    return ticket._replace(incarnation=incarnation), suffix


def refuse_without_tombstone(*arguments: Any) -> None:
    """Stand in for a ledger that does not remember refusals."""


def conclude_by_running_again(state: Any, request: Any, reason: str) -> Any:
    """Stand in for a retry of what may have started."""
    return admission.admit(state, request, request.asked_at)


DELIBERATE_FAULTS = {
    'a ledger that forgets': (Ledger, 'find', lambda self, key: None),
    'a refusal without tombstone': (
        Ledger,
        'record_tombstone',
        refuse_without_tombstone,
    ),
    'a full ledger that raises no floor': (
        Ledger,
        'revoke_issued_tickets',
        lambda self: None,
    ),
    'a drain that takes new work': (
        AgentState,
        'is_leaving',
        property(lambda self: False),
    ),
    'a ticket that outlives its incarnation': (
        keyed,
        '_read_key',
        forget_incarnation,
    ),
    'a broken run that is tried again': (
        requests,
        '_conclude_broken',
        conclude_by_running_again,
    ),
    'an issuer that is given up without a word': (
        keyed,
        '_ask_again',
        lambda state, request, now: (),
    ),
}


class OracleTests(TestCase):
    """Random sessions against the oracle."""

    def test_promises_hold_under_random_faults(self) -> None:
        """No session breaks one."""
        run_machine(AgentMachine, EXAMPLES, STEPS)

    def test_every_deliberate_fault_is_found(self) -> None:
        """A fuzzer that cannot fail proves nothing."""
        for name, (owner, attribute, stand_in) in DELIBERATE_FAULTS.items():
            patch = mock.patch.object(owner, attribute, stand_in)
            with self.subTest(name), patch, self.assertRaises(AssertionError):
                run_machine(AgentMachine, 600, STEPS, shrink=False)
