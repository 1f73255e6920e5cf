"""Entries that lapse before a balancer ever read them."""

from unittest import TestCase

from tests.packets.building import ACK, make_packet
from tests.packets.machine import BALANCERS, PacketMachine


class LapseOfUnseenUpstreamTests(TestCase):
    """A balancer is behind when an upstream starts and its entry lapses."""

    def test_flow_of_an_unseen_upstream_is_not_reset(self) -> None:
        """Found by random sessions with ejections, which it does not need.

        The other balancer read of the upstream and opened flows there.
        """
        behind, other = BALANCERS
        world = PacketMachine()
        world.start()
        world.move(number=5)
        world.crash(number=1, reuse=True)
        world.wait_for_entries(number=1, retransmissions=1)
        world.crash(number=1, reuse=True)
        world.change_service(number=3)
        for _ in range(2):
            world.open(service='board', host=behind, retransmissions=1)
            world.deliver_all()
        for key in sorted(world.flows.keys() & world.accepted):
            packet = make_packet(world.flows[key], ACK, data=b'GET')
            world._send(other, packet)  # noqa: SLF001
        world.deliver_all()
        # Here the flow was reset.
        world.lapse(number=1)
