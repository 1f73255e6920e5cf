"""Changes of the store that one balancer has not heard of."""

from unittest import TestCase

from tests.packets.machine import BALANCERS
from tests.packets.test_ejection_oracle import EjectingMachine


class UnheardChangeTests(TestCase):
    """Every message about a new upstream to one balancer is lost."""

    def test_flow_at_an_upstream_nobody_told_of_is_not_reset(self) -> None:
        """The shrunk steps of a random session that failed.

        The other balancer has read of the upstream and opens a flow there, and
        the routers move it at once.
        """
        world = EjectingMachine()
        world.start()
        world.overtake()
        world.crash(number=2, reuse=True)
        world.learn(host=BALANCERS[0])
        world.in_flight.clear()
        # Here the flow is reset.
        world.open_twice()
