"""How long dead flows wait after everything lost its power at once.

Real reducers start one after the other within 0.2 s, and nobody remembers
anything.  Callers repeat the packet of a dead flow; the last copy in their
time comes 1.4 s after the first, and may be the only one that is heard.
"""

from collections.abc import Callable
from typing import Final
from unittest import TestCase

from keelgap_agent.packets import events as agent_events
from keelgap_balancer.packets import events as balancer_events
from tests.packets.building import ACK, BOARD, SYN, FlowName, make_packet
from tests.packets.directory_machine import SmallDirectoryMachine
from tests.packets.machine import BALANCERS

#: Seconds within which all agents start.
STARTING: Final = 0.2
#: Seconds of a step; far more than a message takes.
STEP: Final = 0.01
#: Steps between timers of agents and of balancers, and between catalogs.
AGENT_STEPS: Final = 5
BALANCER_STEPS: Final = 10
CATALOG_STEPS: Final = 10
#: When callers send, in steps after the return of the power.
SENT: Final = (5, 25, 65, 145)
FLOWS: Final = 20
#: A second.
PLAYED: Final = 100
#: Seconds within which a directory hears of its last agent, and denies.
MOMENT: Final = 0.06


class Return(SmallDirectoryMachine):
    """Thirty upstreams and two balancers return, each at its moment."""

    def __init__(self) -> None:
        """Start before the failure."""
        super().__init__()
        self.dark: set[str] = set()
        self.names: dict[bytes, FlowName] = {}
        #: When each flow was reset, in seconds after the power's return.
        self.reset_at: dict[bytes, float] = {}

    def lose_power(self) -> None:
        """Open flows; then everything ends at once."""
        self.start()
        self.deliver_all()
        for port in range(1, FLOWS + 1):
            name = FlowName('100.64.0.7', port, BOARD)
            self.flows[name.key] = name
            for flags in (SYN, ACK):
                packet = make_packet(name, flags, data=b'GET' * (flags == ACK))
                self._send(BALANCERS[port % 2], packet)
                self.deliver_all()
        self.in_flight.clear()
        self.dark = {*self.agents, *BALANCERS}
        self.returned = self.now
        self.names = dict(self.flows)

    def play(self, steps: int) -> None:
        """Let everything start, and callers repeat their packets."""
        for step in range(steps):
            self._start_upstreams(step)
            self._step_balancers(step)
            self._step_agents(step)
            if step in SENT:
                self._repeat(step)
            self.deliver_all()
            self.now = self.returned + (step + 1) * STEP

    def _start_upstreams(self, step: int) -> None:
        each = STARTING / STEP / len(self.hosts)
        for number in self.hosts:
            if round(number * each) == step:
                self.dark.discard(f'10.0.0.{number}')
                self._add_upstream(number, 'board' if number % 2 else 'proof')

    def _step_balancers(self, step: int) -> None:
        for number, host in enumerate(BALANCERS, 1):
            if step == number * CATALOG_STEPS // 2:
                self.dark.discard(host)
                self.restart_balancer(host)
            if host not in self.dark:
                self._run_timers(step, host)

    def _run_timers(self, step: int, host: str) -> None:
        if step % CATALOG_STEPS == 0:
            self.learn(host)
        if step % BALANCER_STEPS == 0:
            self._run_balancer(host, balancer_events.TimerFired(self.now))

    def _step_agents(self, step: int) -> None:
        for number, host in enumerate(sorted(self.agents)):
            is_due = step % AGENT_STEPS == number % AGENT_STEPS
            if is_due and host not in self.dark:
                self._run_agent(host, agent_events.TimerFired(self.now))

    def _repeat(self, step: int) -> None:
        for port, (key, name) in enumerate(self.names.items()):
            host = BALANCERS[(port + step) % 2]
            if key not in self.reset_at and host not in self.dark:
                self._send(host, make_packet(name, ACK, data=b'GET'))

    def _check_reset(self, datagram: bytes) -> None:
        super()._check_reset(datagram)
        for key in self.names.keys() - self.flows.keys():
            self.reset_at.setdefault(key, self.now - self.returned)

    def _deliver(self, receiver: str, run: Callable[[], None]) -> None:
        if receiver not in self.dark:
            super()._deliver(receiver, run)


class ReturnTests(TestCase):
    """After a power failure of everything, with the store at hand."""

    def test_dead_flows_are_reset_soon_after_the_last_agent_is_up(
        self,
    ) -> None:
        """Silence is no denial, so not before; and then without delay."""
        world = Return()
        world.lose_power()
        world.play(PLAYED)
        self.assertEqual(world.reset_at.keys(), world.names.keys())
        latest = max(world.reset_at.values())
        self.assertLess(latest, STARTING + MOMENT)

    def test_dead_flows_are_reset_before_their_callers_last_copies(
        self,
    ) -> None:
        """Where each agent starts after its upstream, and none knows all."""
        world = Return()
        world.agents_start_first = False
        world.lose_power()
        world.play(PLAYED)
        self.assertEqual(world.reset_at.keys(), world.names.keys())
        latest = max(world.reset_at.values())
        self.assertLess(latest, SENT[2] * STEP)
