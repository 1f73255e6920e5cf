"""Flows that were silent for longer than the platform keeps any."""

from typing import Final
from unittest import TestCase

from keelgap_agent.packets import defaults
from tests.packets.building import ACK, make_packet
from tests.packets.machine import BALANCERS, PacketMachine

FIRST, SECOND = BALANCERS
_STEP: Final = 0.5


class ExpiredFlowTests(TestCase):
    """The platform lets flows of 60 s be discarded; the worlds must, too."""

    def test_only_a_flow_silent_for_a_minute_may_be_reset(self) -> None:
        """The oracle of the worlds still fails for all others."""
        for seconds, may_be_reset in ((50, False), (70, True)):
            with self.subTest(seconds):
                world = PacketMachine()
                world.start()
                world.open('board', FIRST, 0)
                world.deliver_all()
                (key,) = world.flows
                packet = make_packet(world.flows[key], ACK, data=b'GET')
                world._send(FIRST, packet)
                world.deliver_all()
                for _ in range(round(seconds / _STEP)):
                    world.advance(_STEP)
                    world.deliver_all()
                world._send(FIRST, packet)
                self.assertEqual(key in world.expired, may_be_reset)

    def test_bound_is_the_platforms(self) -> None:
        """Flows older than 60 s may be discarded."""
        self.assertGreaterEqual(defaults.IDLE_FLOW_SECONDS, 60)
