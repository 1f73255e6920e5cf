"""An agent that gave an opening back may hold its flow later."""

from typing import Any
from unittest import TestCase, mock

from hypothesis import strategies as st
from hypothesis.stateful import rule

from keelgap_balancer.packets.flow_search import FlowSearch
from tests.fuzzing import run_machine
from tests.packets.building import ACK, BOARD, SYN, FlowName, make_packet
from tests.packets.machine import BALANCERS, PacketMachine
from tests.packets.test_ejection_oracle import EjectingMachine

EXAMPLES = 60
STEPS = 40
FIRST, SECOND = BALANCERS


class GivenBackMachine(PacketMachine):
    """Random faults, and openings that are taken at their second copy."""

    @rule(host=st.sampled_from(BALANCERS))
    def take_after_all(self, host: str) -> None:
        """An agent gives an opening back, and takes a copy from elsewhere.

        The offer to the next agent is lost, and the routers move the flow back
        to the balancer that made it.
        """
        self.deliver_all()
        flow = FlowName('100.64.0.8', self.next_port, BOARD)
        self.next_port += 1
        self.flows[flow.key] = flow
        accepting = {one: one.accepts for one in tuple(self.upstreams.values())}
        for one in accepting:
            one.accepts = False
        self._send(host, make_packet(flow, SYN))
        refusing = self._give_back(host)
        for upstream in accepting:
            upstream.accepts = upstream.row.address.host == refusing
        other = SECOND if host == FIRST else FIRST
        packets = [make_packet(flow, SYN, ack=copy) for copy in (1, 2)]
        packets.append(make_packet(flow, ACK, data=b'GET'))
        for packet in packets:
            if flow.key in self.flows:
                self._send(other, packet)
                self.deliver_all()
        if flow.key in self.flows:
            self._send(host, make_packet(flow, ACK, seq=4, data=b'more'))
            self.deliver_all()
        for upstream, accepts in accepting.items():
            upstream.accepts = accepts

    def _give_back(self, host: str) -> str:
        """Let one agent give an opening back; return it.  Lose the rest."""
        refusing = ''
        while self.in_flight:
            receiver, run = self.in_flight.pop(0)
            if receiver in self.agents and not refusing:
                refusing = receiver
                self._deliver(receiver, run)
            elif receiver == host and refusing:
                self._deliver(receiver, run)
                break
        self.in_flight.clear()
        return refusing


def confuse(search: Any) -> set[str]:
    """Stand in for a search that takes what was given back for denied."""
    return search.denied_by


def ignore(search: Any, hosts: set[str]) -> None:
    """Stand in for the set that such a search does not have."""


class GivenBackOracleTests(TestCase):
    """Random sessions against the oracle."""

    def test_promises_hold_when_copies_are_taken(self) -> None:
        """No session breaks one."""
        run_machine(GivenBackMachine, EXAMPLES, STEPS)

    def test_one_set_of_hosts_for_both_is_found(self) -> None:
        """A fuzzer that cannot fail proves nothing."""
        patch = mock.patch.object(
            FlowSearch, 'declined_by', property(confuse, ignore)
        )
        with patch, self.assertRaisesRegex(AssertionError, 'living flow'):
            run_machine(GivenBackMachine, 400, STEPS, shrink=False)


class GivenBackSessionTests(TestCase):
    """What an agent says of an opening packet is no word on an open flow.

    Each guards against the reset of a living flow that opened at an upstream
    whose agent had given back an earlier copy of its first packet.
    """

    def test_copy_through_another_balancer_is_taken(self) -> None:
        """The first one was full, and the way to the next lost a packet."""
        for host in BALANCERS:
            with self.subTest(host):
                world = GivenBackMachine()
                world.start()
                # Here the flow was reset.
                world.take_after_all(host=host)
                (key,) = world.flows
                self.assertTrue(world._find_holders(key))

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
