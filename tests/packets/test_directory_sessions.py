"""Random sessions with flow directories that failed, at their shortest."""

from typing import Any
from unittest import TestCase

from tests.packets.directory_machine import DirectoryMachine
from tests.packets.machine import BALANCERS

FIRST = BALANCERS[0]


class Draws:
    """What a random session drew."""

    def __init__(self, *drawn: Any) -> None:
        """Draw these, in turn."""
        self.drawn = list(drawn)

    def draw(self, strategy: Any) -> Any:
        """Return the next."""
        return self.drawn.pop(0)


class DirectorySessionTests(TestCase):
    """Each has the steps as they were drawn."""

    def test_dead_flow_is_reset_although_registrations_get_lost(self) -> None:
        """One in three is lost, and nine agents are covered by one node."""
        world = DirectoryMachine()
        world.start()
        for _ in range(2):
            world.overtake()
        for _ in range(5):
            world.fail_power()
        world.restart_node(data=Draws(106), service='proof')
        key = bytes.fromhex('080040644900010012c6bb01')
        # Here it lives on for 4.8 s.
        world.bury(data=Draws(key), host=FIRST)
