"""Upstreams that left while nobody could read of it.

The pattern: a power failure while upstreams are replaced and the store is
silent.  The store lists those that have left as draining until their entries
lapse, 4 s after its return and 6 s after the first catalog; their machines are
gone.  On a day of 30,000 requests 878 failed on dead flows, since two of 115
agents could deny nothing.
"""

from typing import Any

from keelgap.packets.envelopes import EnvelopeKind
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.effects import SendReset, SendToAgent
from keelgap_balancer.packets.events import TimerFired
from keelgap_balancer.packets.state import PacketState
from tests.packets import test_balancer
from tests.packets.building import (
    ACK,
    FORMAT,
    make_catalog,
    make_packet,
    make_upstream,
)

#: Longer than the rounding of sums of times.
MOMENT = 0.01
PACKET = make_packet(test_balancer.FLOW, ACK, data=b'GET')


class LeftTests(test_balancer.BalancerTestCase):
    """Two upstreams of a service; the second says that it leaves."""

    def setUp(self) -> None:
        """Start with an outage behind."""
        super().setUp()
        self.now += 2 * defaults.GONE_SECONDS
        self.list_upstreams('draining')
        self.now += 2 * defaults.GONE_SECONDS
        for host in ('10.0.0.1', '10.0.0.2'):
            self.report(host)
        self.take(TimerFired(self.now))

    def list_upstreams(self, state: str) -> None:
        """Let the store list the first, and the second in a state."""
        rows = [make_upstream(1), make_upstream(2, state=state), self.proof]
        self.change(make_catalog(5, rows))

    def speak(self) -> list[Any]:
        """Let the caller send on a dead flow; the first agent denies it."""
        effects = self.send(ACK, data=b'GET')
        denied = [
            effect
            for one in effects
            if getattr(one, 'host', '') == '10.0.0.1'
            for effect in self.answer(one.host, EnvelopeKind.MISS, PACKET)
        ]
        return [*effects, *denied]

    def is_reset(self) -> bool:
        """Return whether a packet of the dead flow leads to its reset."""
        return any(isinstance(one, SendReset) for one in self.speak())

    def test_a_dead_flow_is_reset_although_one_that_left_is_silent(
        self,
    ) -> None:
        """Once it has been silent for longer than a restart takes."""
        self.assertFalse(self.is_reset())
        self.now += defaults.SEARCH_SECONDS + MOMENT
        self.report('10.0.0.1')
        self.take(TimerFired(self.now))
        self.now += defaults.LEFT_SECONDS
        self.report('10.0.0.1')
        self.assertTrue(self.is_reset())

    def test_the_search_goes_on_by_itself(self) -> None:
        """The caller's next packet may be a second away."""
        self.assertFalse(self.is_reset())
        resets = []
        for _ in range(20):
            self.now += defaults.TIMER_SECONDS
            self.report('10.0.0.1')
            resets += [
                effect
                for effect in self.take(TimerFired(self.now))
                if isinstance(effect, SendReset)
            ]
        self.assertEqual(len(resets), 1)

    def test_those_that_leave_are_asked_at_once(self) -> None:
        """A balancer that begins learns who has left without a flow."""
        self.state = PacketState(FORMAT, 'a', self.now)
        effects = self.change(
            make_catalog(
                9,
                [
                    make_upstream(number, state='draining')
                    for number in range(1, 2 * defaults.MAX_GREETED)
                ],
            ),
        )
        asked = {one.host for one in effects if isinstance(one, SendToAgent)}
        self.assertEqual(len(asked), 2 * defaults.MAX_GREETED - 1)

    def test_an_agent_that_is_restarted_is_waited_for(self) -> None:
        """It holds its flows until it answers otherwise."""
        self.assertFalse(self.is_reset())
        self.now += defaults.LEFT_SECONDS - 2 * MOMENT
        self.report('10.0.0.1')
        self.assertFalse(self.is_reset())
        self.report('10.0.0.2')
        self.now += 2 * MOMENT
        self.assertFalse(self.is_reset())

    def test_silence_of_one_that_stays_is_no_denial(self) -> None:
        """However long; it may be cut off with its flows."""
        self.list_upstreams('active')
        for _ in range(5):
            self.assertFalse(self.is_reset())
            self.now += defaults.LEFT_SECONDS
            self.report('10.0.0.1')
            self.take(TimerFired(self.now))

    def test_who_hears_nobody_gives_no_verdict(self) -> None:
        """A balancer that is cut off hears nobody leave."""
        rows = [make_upstream(2, state='draining'), self.proof]
        self.change(make_catalog(6, rows))
        self.now += 2 * defaults.GONE_SECONDS
        self.take(TimerFired(self.now))
        for _ in range(5):
            self.assertFalse(self.is_reset())
            self.now += defaults.LEFT_SECONDS
            self.take(TimerFired(self.now))
