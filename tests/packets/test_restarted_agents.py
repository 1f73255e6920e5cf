"""Agents that restart while their upstream lives on with its flows."""

from typing import Final
from unittest import TestCase

from tests.packets.building import ACK, BOARD, SYN, FlowName, make_packet
from tests.packets.directory_machine import SmallDirectoryMachine
from tests.packets.machine import BALANCERS

FIRST, SECOND = BALANCERS
_WARM_UP: Final = 9.0
_FLOWS: Final = 80


def settle(world: SmallDirectoryMachine, seconds: float) -> None:
    """Let time pass; every message arrives."""
    for _ in range(round(seconds * 2)):
        world.advance(0.5)
        world.deliver_all()


def learn(world: SmallDirectoryMachine) -> None:
    """Let all balancers learn what is listed."""
    for host in BALANCERS:
        world.learn(host)
    world.deliver_all()


class WarmUpTestCase(TestCase):
    """An upstream that starts on host 1, and takes flows."""

    def setUp(self) -> None:
        """Let flows open there in its warm-up."""
        world = SmallDirectoryMachine()
        self.world = world
        world.warm_up = _WARM_UP
        world.start()
        settle(world, 10)
        world.crash(number=1, reuse=False)
        learn(world)
        settle(world, 1)
        for _ in range(_FLOWS):
            world.open('board', FIRST, 0)
            world.deliver_all()
        world._speak_on_all_flows(FIRST)
        settle(world, 1)
        self.nodes = sorted(set(world._list_nodes('board')) - {1})

    def check(self) -> None:
        """Move all flows to a balancer that knows none of them.

        The world fails the test if one is reset whose upstream lives.
        """
        held = [
            key
            for key in self.world.flows
            if self.world._find_holders(key) == ['10.0.0.1']
        ]
        self.assertTrue(held)
        self.world.restart_balancer(FIRST)
        settle(self.world, 1)
        self.world._speak_on_all_flows(FIRST)
        self.world.advance(0.2)
        self.world.deliver_all()
        self.assertLessEqual(set(held), self.world.flows.keys())


class YoungUpstreamTests(WarmUpTestCase):
    """The directory forgets the agent before, and must not be misled.

    Guards flows against an agent that claims to have seen all flows of an
    upstream that is older than itself.
    """

    def test_flow_outlives_its_agent_and_both_directory_nodes(self) -> None:
        """They are restarted in the warm-up."""
        for number in (1, *self.nodes):
            self.world.restart_agent(number=number)
        settle(self.world, 1.5)
        self.check()

    def test_quiet_flow_outlives_a_directory_that_moves_later(self) -> None:
        """The agent restarts in the warm-up; long after it the nodes leave."""
        self.world.restart_agent(number=1)
        for node, pause in zip(self.nodes, (30, 8), strict=True):
            settle(self.world, pause)
            self.world.crash(number=node, reuse=True)
            learn(self.world)
        settle(self.world, 1)
        self.check()


class UntoldAgentTests(TestCase):
    """An agent takes flows before it knows where its directory is.

    Guards flows against directory nodes that still speak for the process that
    was there before.
    """

    def test_flow_outlives_the_balancer_that_opened_it(self) -> None:
        """That is lost before it told the agent anything."""
        world = SmallDirectoryMachine()
        world.start()
        settle(world, 10)
        world.restart_agent(number=1)
        name = self.open_at(world, '10.0.0.1')
        if name is None:
            # No flow is open before the agent knows where to register it.
            self.assertTrue(world.agents['10.0.0.1'].registrar.pending_openings)
            return
        world._send(SECOND, make_packet(name, ACK, data=b'GET'))
        # The world fails the test if the flow is reset.
        world.deliver_all()
        self.assertIn(name.key, world.flows)

    def open_at(
        self,
        world: SmallDirectoryMachine,
        wanted: str,
    ) -> FlowName | None:
        """Open a flow at an upstream; nobody hears its agent meanwhile."""
        for port in range(1, _FLOWS):
            name = FlowName('100.64.0.8', port, BOARD)
            world.flows[name.key] = name
            for packet in (
                make_packet(name, SYN),
                make_packet(name, ACK, data=b'GET'),
            ):
                world._send(FIRST, packet)
                self.deliver_to_agents(world)
            if world._find_holders(name.key) == [wanted]:
                return name
        return None

    def deliver_to_agents(self, world: SmallDirectoryMachine) -> None:
        """Deliver what balancers sent; what agents send them is lost."""
        while world.in_flight:
            receiver, run = world.in_flight.pop(0)
            if receiver not in BALANCERS:
                world._deliver(receiver, run)
