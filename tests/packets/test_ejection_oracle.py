"""Ejections at any moment break no promise."""

import struct
from typing import Any
from unittest import TestCase, mock

from hypothesis import strategies as st
from hypothesis.stateful import initialize, rule

from keelgap.catalog.models import PacketUpstream
from keelgap.packets.envelopes import Envelope, EnvelopeKind
from keelgap.packets.features import Features
from keelgap_agent.packets.events import EnvelopeArrived
from keelgap_agent.packets.outlier_ejection import abandonment, defaults
from keelgap_agent.packets.state import AgentState
from keelgap_balancer.packets.caller_waits import CallerWaits
from tests.fuzzing import run_machine
from tests.packets.building import (
    ACK,
    FORMAT,
    RST,
    SYN,
    FlowName,
    make_packet,
    make_upstream,
)
from tests.packets.machine import BALANCERS, HOSTS, FakeUpstream, PacketMachine

EXAMPLES = 60
STEPS = 40
_TICK = 0.05


def forget_given_up(state: Any, key: bytes, now: float, **told: Any) -> None:
    """Stand in for an agent that passes late packets of a flow it reset."""
    state.forget(key)


def never_open(state: Any, key: bytes, now: float) -> bool:
    """Stand in for a balancer that takes each opening for a fresh one."""
    return False


def reset_any(state: Any, flow: Any, datagram: bytes) -> bool:
    """Stand in for an agent that resets flows of other upstreams."""
    return True


class EjectingMachine(PacketMachine):
    """A world whose agents eject their upstreams now and then."""

    features = Features(ejection=True)

    @initialize()
    def start(self) -> None:
        """Start the whole fleet for the first time, as agents are told."""
        super().start()
        for agent in self.agents.values():
            agent.registrar.is_complete = True

    @rule(number=st.sampled_from(HOSTS))
    def eject(self, number: int) -> None:
        """Let an agent find that its upstream fails."""
        host = f'10.0.0.{number}'
        agent = self.agents[host]
        agent.outcomes.ejection.eject(self.now, is_unresponsive=True)
        agent.outcomes.has_unreported_change = True

    @rule(number=st.sampled_from(HOSTS), service=st.sampled_from(('board',)))
    def eject_with_waiting(self, number: int, service: str) -> None:
        """Let one be ejected while flows wait there."""
        self.open(service=service, host='10.1.0.1', retransmissions=1)
        self.deliver_all()
        self.eject(number)
        waiting = [self.flows[key] for key in sorted(self.flows)]
        for flow in waiting:
            if flow.key in self.accepted:
                self._send('10.1.0.2', make_packet(flow, ACK, data=b'GET'))
        self.deliver_all()

    @rule()
    def open_twice(self) -> None:
        """A flow opens at one upstream, and waits at one that is ejected."""
        flow = FlowName('100.64.0.9', self.next_port, self.routes['board'])
        self.next_port += 1
        self.flows[flow.key] = flow
        request = make_packet(flow, ACK, data=b'GET')
        self._send(BALANCERS[0], make_packet(flow, SYN))
        self.deliver_all()
        if flow.key in self.accepted:
            # Callers say nothing before an upstream has answered.
            self._send(BALANCERS[0], request)
            self.deliver_all()
        others = [
            host
            for host, upstream in self.upstreams.items()
            if upstream.row.service == 'board'
            and flow.key not in upstream.open | upstream.half_open
        ]
        if not others or flow.key not in self.flows:
            return
        self._offer(others[0], EnvelopeKind.OPEN, make_packet(flow, SYN))
        self.agents[others[0]].outcomes.ejection.eject(
            self.now, is_unresponsive=True
        )
        self._offer(others[0], EnvelopeKind.FORWARD, request)
        self.deliver_all()

    @rule(number=st.sampled_from(HOSTS))
    def return_late(self, number: int) -> None:
        """A mute upstream's agent gives a copy of an opening back.

        Meanwhile its flow opened elsewhere, and nobody takes new ones.
        """
        mute = f'10.0.0.{number}'
        if self.upstreams[mute].row.service != 'board':
            return
        self._tick(defaults.STARTUP_GRACE_SECONDS)
        self.mute = mute
        flow = FlowName('100.64.0.10', self.next_port, self.routes['board'])
        self.next_port += 1
        self.flows[flow.key] = flow
        self._prefer(BALANCERS[1], mute, 0, 100)
        self._send(BALANCERS[1], make_packet(flow, SYN, ack=1))
        self.deliver_all()
        self._prefer(BALANCERS[0], mute, 100, 0)
        self._send(BALANCERS[0], make_packet(flow, SYN))
        self.deliver_all()
        self._send(BALANCERS[0], make_packet(flow, ACK, data=b'GET'))
        self.deliver_all()
        listed = dict(self.listed)
        self._drain_but(mute)
        if self._find_holders(flow.key):
            self.opened = flow.key
        self._tick(2 * defaults.OPENING_TIMEOUT_SECONDS)
        self.opened = b''
        self.mute = ''
        self.listed = listed
        self._learn_all()

    @rule(host=st.sampled_from(BALANCERS))
    def repeat_late(self, host: str) -> None:
        """Packets arrive that callers sent before they were told."""
        limit = self.now - defaults.ABANDONED_SECONDS
        for told, flow in getattr(self, 'late', ()):
            if told > limit:
                self._send(host, make_packet(flow, ACK, data=b'GET'))
        self.deliver_all()

    def _tick(self, seconds: float) -> None:
        """Let time pass in steps that agents do not take for a pause."""
        for _ in range(round(seconds / _TICK)):
            self.advance(_TICK)
            self.deliver_all()

    def _prefer(self, host: str, mute: str, own: int, other: int) -> None:
        """Let a balancer count so many new flows at agents."""
        for view in self.balancers[host].agents.values():
            view.flows_since_report = own if view.host == mute else other

    def _drain_but(self, mute: str) -> None:
        """Let all upstreams drain but those on one host."""
        self.listed = {
            name: row
            if row.address.host == mute
            else row._replace(state='draining')
            for name, row in self.listed.items()
        }
        self._learn_all()

    def _learn_all(self) -> None:
        self.revision += 1
        for host in BALANCERS:
            self.learn(host)
        self.deliver_all()

    def _pass(self, host: str, datagram: bytes) -> None:
        """Let a mute upstream leave opening packets without an answer."""
        is_mute = host == getattr(self, 'mute', '')
        if is_mute and datagram[26] & SYN:
            self._check_passed(self.upstreams[host], datagram)
            return
        super()._pass(host, datagram)

    def _check_reset(self, datagram: bytes) -> None:
        key = FORMAT.caller_key(datagram)
        opened = getattr(self, 'opened', b'')
        assert key != opened, 'open elsewhere'  # noqa: S101
        super()._check_reset(datagram)

    def _make_agent(self, service: str, host: str) -> AgentState:
        """Start an agent; no packet lives as long as that takes."""
        told = getattr(self, 'told', set())
        self.told = {(where, key) for where, key in told if where != host}
        return super()._make_agent(service, host)

    def _start(self, number: int, row: PacketUpstream, **kept: bool) -> None:
        """Give each start of an upstream a number of its own."""
        super()._start(number, row, **kept)
        host = make_upstream(number).address.host
        self.upstreams[host].number = 100 * self.generation

    def _send(self, host: str, packet: bytes) -> None:
        """Let callers acknowledge the upstream that answered first."""
        super()._send(host, self._acknowledge(packet))

    def _acknowledge(self, packet: bytes) -> bytes:
        chosen = self._get_chosen().get(FORMAT.caller_key(packet))
        if chosen is None or packet[26] & SYN:
            return packet
        return packet[:22] + struct.pack('<I', chosen) + packet[26:]

    def _offer(self, host: str, kind: EnvelopeKind, packet: bytes) -> None:
        """Send a packet to an agent that its flow was not meant for."""
        tag = self.agents[host].service_tag
        packet = self._acknowledge(packet)
        envelope = Envelope(kind, 0, 3, 0, 0, tag, packet)
        event = EnvelopeArrived(self.now, BALANCERS[1], envelope)
        self._run_agent(host, event)

    def _get_chosen(self) -> dict[bytes, int]:
        if not hasattr(self, 'chosen'):
            self.chosen: dict[bytes, int] = {}
        return self.chosen

    def _check_told(self, host: str, datagram: bytes) -> None:
        """A reset of an agent's own ends a flow that nobody holds."""
        key = FORMAT.upstream_key(datagram)
        if datagram[26] & SYN:
            number = FORMAT.sequence(datagram) + 1
            self._get_chosen().setdefault(key, number)
        if not datagram[26] & RST:
            return
        assert not self._find_holders(key), 'a living flow'  # noqa: S101
        self.told = {*getattr(self, 'told', ()), (host, key)}
        flow = self.flows.pop(key, None)
        if flow is not None:
            told = (self.now, flow)
            self.late = [*getattr(self, 'late', ()), told]

    def _check_passed(self, upstream: FakeUpstream, datagram: bytes) -> None:
        super()._check_passed(upstream, datagram)
        if datagram[26] & SYN:
            return
        held = (upstream.row.address.host, FORMAT.caller_key(datagram))
        told = getattr(self, 'told', set())
        assert held not in told, 'run after a reset'  # noqa: S101


class EjectionOracleTests(TestCase):
    """Random sessions with ejections."""

    def test_promises_hold_under_ejections(self) -> None:
        """No session breaks one."""
        run_machine(EjectingMachine, EXAMPLES, STEPS)

    def test_a_reset_of_another_upstreams_flow_is_found(self) -> None:
        """A fuzzer that cannot fail proves nothing."""
        patch = mock.patch.object(
            abandonment, 'acknowledges_upstream', reset_any
        )
        with patch, self.assertRaises(AssertionError):
            run_machine(EjectingMachine, 400, STEPS, shrink=False)

    def test_a_reset_after_a_late_miss_is_found(self) -> None:
        """The same, for a copy that came back when its flow was open."""
        patch = mock.patch.object(CallerWaits, 'may_be_open', never_open)
        with patch, self.assertRaisesRegex(AssertionError, 'open elsewhere'):
            run_machine(EjectingMachine, 400, STEPS, shrink=False)

    def test_a_late_packet_of_a_flow_given_up_is_found(self) -> None:
        """The same, for requests that run after all."""
        patch = mock.patch.object(abandonment, '_abandon', forget_given_up)
        with patch, self.assertRaisesRegex(AssertionError, 'after a reset'):
            run_machine(EjectingMachine, 400, STEPS, shrink=False)
