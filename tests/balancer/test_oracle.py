"""The balancer keeps its promises under random faults."""

from typing import Any
from unittest import TestCase, mock

from keelgap.addresses import Address
from keelgap.routing.connection_ids import FlowOwner
from keelgap_balancer import defaults, forwarding, membership
from tests.balancer.machine import BalancerMachine
from tests.fuzzing import run_machine

EXAMPLES = 80
STEPS = 30


def forward_without_check(state: Any, event: Any, owner: FlowOwner) -> Any:
    """Stand in for routing that does not compare the service."""
    known = owner._replace(service=event.service)
    return forward_to_owner(state, event, known)


def rank_everybody(members: Any, leaving: frozenset[Address]) -> Any:
    """Stand in for a ranking that ignores who is leaving."""
    return rank_members(members, frozenset())


forward_to_owner = forwarding._forward_to_owner  # noqa: WPS437
rank_members = membership._select_eligible  # noqa: WPS437

DELIBERATE_FAULTS = {
    'a packet that reaches another service': (
        forwarding,
        '_forward_to_owner',
        forward_without_check,
    ),
    'a leaving upstream that is ranked': (
        membership,
        '_select_eligible',
        rank_everybody,
    ),
    'suspicion without a bound': (defaults, 'MAX_SUSPECT_SHARE', 1.0),
}


class OracleTests(TestCase):
    """Random sessions against the oracle."""

    def test_promises_hold_under_random_faults(self) -> None:
        """No session breaks one."""
        run_machine(BalancerMachine, EXAMPLES, STEPS)

    def test_every_deliberate_fault_is_found(self) -> None:
        """A fuzzer that cannot fail proves nothing."""
        for name, (owner, attribute, stand_in) in DELIBERATE_FAULTS.items():
            patch = mock.patch.object(owner, attribute, stand_in)
            with self.subTest(name), patch, self.assertRaises(AssertionError):
                run_machine(BalancerMachine, 300, STEPS, shrink=False)
