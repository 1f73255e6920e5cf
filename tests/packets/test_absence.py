"""An agent beside which nobody is.

The pattern: after a power failure with the store silent, the machines of
upstreams that had left come back with an agent and without an upstream, still
listed by the store.  Of 1,200 requests asked in the four seconds after the
store's return 300 were lost on dead flows, because these agents denied
nothing: a verdict took until their entries had lapsed, 6 s later.
"""

from contextlib import ExitStack
from socket import AF_INET, SOCK_STREAM, socket
from typing import Any
from unittest import TestCase

from keelgap.addresses import Address
from keelgap.packets.envelopes import EnvelopeKind, unpack_report
from keelgap.runtime.loop import EventLoop
from keelgap_agent.packets import defaults
from keelgap_agent.packets.effects import ProbeUpstream, SendToUpstream
from keelgap_agent.packets.events import TimerFired, UpstreamProbed
from keelgap_agent.packets.probing import probe_listener
from keelgap_agent.packets.reducer import reduce
from tests.packets import test_agent
from tests.packets.building import ACK, FlowName, make_packet

FLOW = FlowName('100.64.0.7', 40001)
LOOPBACK = '127.10.0.5'
#: Longer than the rounding of sums of times.
MOMENT = 0.001
OWED = defaults.OWED_SECONDS + MOMENT


class AbsenceTests(test_agent.AgentTestCase):
    """What an agent does while its upstream is silent, gone and back."""

    def search(self, port: int) -> list[Any]:
        """Let a balancer ask for the owner of an open flow."""
        packet = make_packet(FLOW._replace(port=port), ACK, data=b'GET')
        return self.hear(EnvelopeKind.SEARCH, packet)

    def fire(self) -> bool:
        """Let the timer fire; return whether the upstream is probed."""
        event = TimerFired(self.now)
        self.state, effects = reduce(self.state, event)
        return any(isinstance(one, ProbeUpstream) for one in effects)

    def lose_upstream(self) -> list[Any]:
        """Let a search go unanswered, and the probe be refused."""
        self.now += 1
        self.search(1)
        self.now += OWED
        self.assertTrue(self.fire())
        return self.take(UpstreamProbed(self.now, listens=False))

    def test_upstream_that_answers_is_never_probed(self) -> None:
        """A bounce is an answer, too."""
        self.open(1)
        self.serve(1)
        self.now += 1
        self.assertFalse(self.fire())

    def test_packets_of_known_flows_owe_nothing(self) -> None:
        """A caller's acknowledgement has no answer."""
        self.open(1)
        self.serve(1)
        packet = make_packet(FLOW._replace(port=1), ACK)
        self.hear(EnvelopeKind.FORWARD, packet)
        self.now += 1
        self.assertFalse(self.fire())

    def test_flows_are_denied_at_once_once_nobody_listens(self) -> None:
        """New ones and open ones, and the report says so."""
        self.lose_upstream()
        for effects in (self.search(2), self.open(3)):
            kinds = [effect.envelope.kind for effect in effects]
            self.assertEqual(kinds, [EnvelopeKind.MISS])
        self.assertTrue(self.read_report().closed)
        self.assertTrue(self.state.registrar.is_complete)

    def test_silence_of_one_who_listens_denies_nothing(self) -> None:
        """It may be slow; it is probed again only while it owes packets."""
        self.search(1)
        self.now += OWED
        self.assertTrue(self.fire())
        self.take(UpstreamProbed(self.now, listens=True))
        self.assertIsInstance(self.search(2)[0], SendToUpstream)
        self.assertFalse(self.read_report().closed)

    def test_probes_have_pauses(self) -> None:
        """However many flows are asked for."""
        self.search(1)
        self.now += OWED
        self.assertTrue(self.fire())
        self.search(2)
        self.assertFalse(self.fire())
        self.now += defaults.PROBE_SECONDS + MOMENT
        self.assertTrue(self.fire())

    def test_an_answer_during_the_probe_counts_more(self) -> None:
        """The upstream started in between."""
        self.search(1)
        self.now += OWED
        self.fire()
        self.serve(1)
        self.take(UpstreamProbed(self.now, listens=False))
        self.assertFalse(self.state.presence.is_absent)

    def test_the_next_upstream_is_served_again(self) -> None:
        """As soon as a probe finds it, or it sends a packet."""
        self.lose_upstream()
        self.now += defaults.PROBE_SECONDS + MOMENT
        self.assertTrue(self.fire())
        self.take(UpstreamProbed(self.now, listens=True))
        self.assertIsInstance(self.open(2)[0], SendToUpstream)
        self.lose_upstream()
        self.serve(9)
        self.assertFalse(self.state.presence.is_absent)

    def test_requests_that_wait_are_given_back(self) -> None:
        """Their flows died with the upstream."""
        for port in range(1, test_agent.ROOM + 2):
            self.open(port)
            packet = make_packet(FLOW._replace(port=port), ACK, data=b'GET')
            self.hear(EnvelopeKind.FORWARD, packet)
        self.assertEqual(len(self.state.held), 1)
        self.now += OWED
        self.fire()
        (returned,) = self.take(UpstreamProbed(self.now, listens=False))
        self.assertEqual(returned.envelope.kind, EnvelopeKind.MISS)
        self.assertEqual(self.state.busy, 0)
        self.assertEqual(self.state.flows, {})

    def read_report(self) -> Any:
        """Return what the agent reports to a balancer that asks."""
        (reply,) = self.hear(EnvelopeKind.ASK, b'')
        return unpack_report(reply.envelope.content)


class ProbeTests(TestCase):
    """The probe itself, on loopback."""

    def setUp(self) -> None:
        """Start a loop and a port."""
        self.stack = ExitStack()
        self.addCleanup(self.stack.close)
        self.loop = EventLoop(self.stack)
        self.results: list[bool] = []
        self.listener = self.stack.enter_context(socket(AF_INET, SOCK_STREAM))
        self.listener.bind((LOOPBACK, 0))
        self.address = Address(*self.listener.getsockname())

    def probe(self) -> list[bool]:
        """Probe the port; return what was called back."""
        self.loop.call_after(0.2, lambda: None)
        probe_listener(self.loop, self.address, self.results.append)
        for _ in range(3):
            if not self.results:
                self.loop.run_once()
        return self.results

    def test_a_port_with_a_listener(self) -> None:
        """It need not accept anything."""
        self.listener.listen()
        self.assertEqual(self.probe(), [True])

    def test_a_port_without_a_listener(self) -> None:
        """It refuses."""
        self.assertEqual(self.probe(), [False])
