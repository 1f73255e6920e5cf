"""An agent that gave an opening back may hold its flow later."""

from unittest import TestCase

from tests.packets.building import ACK, BOARD, SYN, FlowName, make_packet
from tests.packets.machine import BALANCERS, PacketMachine
from tests.packets.test_ejection_oracle import EjectingMachine

FIRST, SECOND = BALANCERS


class GivenBackSessionTests(TestCase):
    """What an agent says of an opening packet is no word on an open flow.

    Each guards against the reset of a living flow that opened at an upstream
    whose agent had given back an earlier copy of its first packet.
    """

    def test_copy_through_another_balancer_is_taken(self) -> None:
        """The first one was full, and the way to the next lost a packet."""
        world = PacketMachine()
        world.start()
        flow = FlowName('100.64.0.8', 1, BOARD)
        world.flows[flow.key] = flow
        for number in (1, 3):
            world.fill(number, accepts=False)
        world.deliver_all()
        world._send(FIRST, make_packet(flow, SYN))  # noqa: SLF001
        first = int(world.in_flight[0][0].rsplit('.')[-1])
        for _ in ('offered', 'given back'):
            _, run = world.in_flight.pop(0)
            run()
        # The offer to the next agent is lost.
        world.in_flight.clear()
        world.fill(first, accepts=True)
        for copy in (1, 2):
            packet = make_packet(flow, SYN, ack=copy)
            world._send(SECOND, packet)  # noqa: SLF001
            world.deliver_all()
        request = make_packet(flow, ACK, data=b'GET')
        world._send(SECOND, request)  # noqa: SLF001
        world.deliver_all()
        holders = world._find_holders(flow.key)  # noqa: SLF001
        self.assertEqual(holders, [f'10.0.0.{first}'])
        # Here the flow was reset.
        world._send(FIRST, request)  # noqa: SLF001
        world.deliver_all()

    def test_ejected_upstream_takes_what_nobody_else_does(self) -> None:
        """Its agent gave the flow back at first, and is cut off then."""
        world = EjectingMachine()
        world.start()
        world.change_service(number=3)
        world.eject_with_waiting(number=1, service='board')
        world.lapse_unseen(number=1)
        world.open_twice()
        world.change_service(number=2)
        world.cut(number=1)

    def test_the_same_where_hosts_changed_their_services(self) -> None:
        """So that agents of former upstreams are asked as well."""
        world = EjectingMachine()
        world.start()
        world.crash(number=1, reuse=True)
        world.crash(number=2, reuse=True)
        world.open_twice()
        world.learn(host=FIRST)
        world.crash(number=3, reuse=True)
        world.eject_with_waiting(number=1, service='board')
        world.cut(number=2)
