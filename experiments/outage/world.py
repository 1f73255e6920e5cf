"""Balancers and agents with real reducers between modelled ends."""

from collections import Counter
from functools import partial
from random import Random
from typing import Any, Final, NamedTuple
from zlib import crc32

from experiments.outage.callers import CallerPorts
from experiments.outage.clock import VirtualClock
from experiments.outage.population import Population
from experiments.outage.scenario import Scenario
from experiments.outage.upstreams import COLD_SECONDS, Upstream
from keelgap.addresses import Address
from keelgap.catalog.models import (
    Catalog,
    PacketRoute,
    PacketUpstream,
    RouteSet,
    TrafficShare,
)
from keelgap.packets.envelopes import Envelope
from keelgap_agent.packets import effects as agent_effects
from keelgap_agent.packets import events as agent_events
from keelgap_agent.packets.reducer import reduce as reduce_agent
from keelgap_agent.packets.state import AgentState
from keelgap_balancer.packets import effects as balancer_effects
from keelgap_balancer.packets import events as balancer_events
from keelgap_balancer.packets.reducer import reduce as reduce_balancer
from keelgap_balancer.packets.state import PacketState
from tests.packets.building import FORMAT, make_packet

__all__ = ('World',)

_CALLER_SECONDS: Final = 0.001
_INNER_SECONDS: Final = 0.0007
_BALANCER_TICK: Final = 0.1
_AGENT_TICK: Final = 0.05
_STORE_SECONDS: Final = 0.004
_SERVICE: Final = 'service'
#: Callers pause so long at most before another try.
_MOST_PAUSE: Final = 0.2
_LATE_SECONDS: Final = 1.5
#: How long one upstream takes to be replaced.
_RELEASE_GAP: Final = 0.8


class _Agent(NamedTuple):
    """One start of an agent and the upstream beside it."""

    host: str
    state: AgentState
    upstream: Upstream


class World:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        """Prepare all programs at time 0."""
        self.scenario = scenario
        self.random = Random(seed)
        self.clock = VirtualClock()
        self.later = self.clock.later
        self.revision = 1
        self.balancers: dict[str, PacketState] = {}
        self.agents: dict[str, _Agent] = {}
        self.rows: dict[str, PacketUpstream] = {}
        self.routes = tuple(
            PacketRoute(
                kind.name,
                '198.18.0.1',
                443 + index,
                (TrafficShare(_SERVICE, 1),),
                kind.priority,
                kind.aim,
                kind.timeout,
            )
            for index, kind in enumerate(scenario.kinds)
        )
        ports = CallerPorts(
            self.later,
            lambda: self.now,
            self._send,
            partial(self.random.uniform, _MOST_PAUSE / 2, _MOST_PAUSE),
        )
        self.population = Population(scenario, seed, self.routes, ports)
        self.events: Counter[str] = Counter()
        #: How many agents each opening visited that was given back.
        self.hops: list[int] = []

    def run(self) -> None:
        """Play the scenario to its end, until the last caller is gone."""
        self._start_all(0, (0, 0), COLD_SECONDS)
        self.population.arrive()
        scenario = self.scenario
        if scenario.dark_at is not None:
            self.later(scenario.dark_at, self._go_dark)
        if scenario.release_at is not None:
            self._plan_release(scenario.release_at)
        longest = max(kind.timeout for kind in scenario.kinds)
        self.clock.run(scenario.seconds + longest)

    @property
    def now(self) -> float:
        """Return the time in seconds."""
        return self.clock.now

    # What happens to the programs.

    def _start_all(
        self,
        at: float,
        starts: tuple[float, float],
        warm: float,
    ) -> None:
        """Start all programs at a time, some later than others."""
        scenario = self.scenario
        late = round(scenario.agents * scenario.late_agents) if at else 0
        for number in range(scenario.agents):
            delay = self.random.uniform(*starts)
            if number < late:
                delay += _LATE_SECONDS
            self._plan_agent(number, at + delay, at + delay - warm)
        for number in range(scenario.balancers):
            delay = self.random.uniform(*starts)
            host = f'10.1.0.{number + 1}'
            self.later(at + delay, partial(self._start_balancer, host))

    def _plan_agent(self, number: int, at: float, began: float) -> None:
        host = f'10.0.0.{number + 1}'
        self.later(at, lambda: self._start_agent(host, number, began))

    def _start_agent(self, host: str, number: int, began: float) -> None:
        scenario = self.scenario
        share, factor = scenario.slow
        is_slow = number < round(scenario.agents * share)
        upstream = Upstream(
            scenario.slots,
            began,
            factor if is_slow else 1,
            self.later,
            lambda key, flags, data: self._answer(host, key, flags, data),
            lambda packet: self._run_agent(
                host, agent_events.UpstreamPacket(self.now, packet)
            ),
        )
        former = self.agents.get(host)
        if former is not None:
            former.upstream.stop()
        state = AgentState(
            FORMAT,
            _SERVICE,
            self.now,
            features=scenario.agent_features,
        )
        self.agents[host] = _Agent(host, state, upstream)
        self.later(
            self.now + _AGENT_TICK, lambda: self._tick_agent(host, state)
        )
        self.revision += 1
        warm_up = max(began + COLD_SECONDS - self.now, 0)
        self.rows[host] = PacketUpstream(
            f'{host}-{self.revision}',
            _SERVICE,
            Address(host, 8080),
            'a',
            scenario.slots,
            'active',
            warm_up,
            self.revision,
        )
        self._tell_all()

    def _start_balancer(self, host: str) -> None:
        features = self.scenario.balancer_features
        state = PacketState(FORMAT, 'a', self.now, features)
        self.balancers[host] = state
        self.later(
            self.now + _BALANCER_TICK,
            lambda: self._tick_balancer(host, state),
        )
        read_at = self.now
        if self._is_store_silent():
            read_at = self.scenario.store_back
        read_at += _STORE_SECONDS
        self.later(read_at, lambda: self._learn(host))

    def _is_store_silent(self) -> bool:
        """Return whether the store answers nobody, from the outage on."""
        dark_at = self.scenario.dark_at
        if dark_at is None:
            return False
        return dark_at <= self.now < self.scenario.store_back

    def _go_dark(self) -> None:
        for agent in self.agents.values():
            agent.upstream.stop()
        self.agents = {}
        self.balancers = {}
        self.rows = {}
        back = self.now + self.scenario.dark_for
        self._start_all(back, self.scenario.starts, 0)

    def _plan_release(self, at: float) -> None:
        for number in range(self.scenario.agents):
            start = at + number * _RELEASE_GAP
            self._plan_agent(number, start, start)

    def _tell_all(self) -> None:
        for host in tuple(self.balancers):
            self.later(self.now + _STORE_SECONDS, partial(self._learn, host))

    def _learn(self, host: str) -> None:
        if host not in self.balancers or self._is_store_silent():
            return
        rows = {row.upstream_id: row for row in self.rows.values()}
        routes = RouteSet(1, self.routes, 15)
        catalog = Catalog(self.revision, routes, rows, self.revision)
        self._run_balancer(
            host,
            balancer_events.CatalogChanged(self.now, catalog),
        )

    def _tick_balancer(self, host: str, state: PacketState) -> None:
        if self.balancers.get(host) is not state:
            return
        self._run_balancer(host, balancer_events.TimerFired(self.now))
        self.later(
            self.now + _BALANCER_TICK,
            lambda: self._tick_balancer(host, state),
        )

    def _tick_agent(self, host: str, state: AgentState) -> None:
        agent = self.agents.get(host)
        if agent is None or agent.state is not state:
            return
        self._run_agent(host, agent_events.TimerFired(self.now))
        self.later(
            self.now + _AGENT_TICK, lambda: self._tick_agent(host, state)
        )

    def _send(self, packet: bytes) -> None:
        """Send through the balancer that the routers' hash names."""
        hosts = sorted(self.balancers)
        if not hosts:
            return
        host = hosts[crc32(FORMAT.caller_key(packet)) % len(hosts)]
        self.later(
            self.now + _CALLER_SECONDS,
            lambda: self._run_balancer(
                host, balancer_events.CallerPacket(self.now, packet)
            ),
        )

    # The programs.

    def _run_balancer(self, host: str, event: Any) -> None:
        state = self.balancers.get(host)
        if state is None:
            return
        _, effects = reduce_balancer(state, event)
        for effect in effects:
            if isinstance(effect, balancer_effects.SendToAgent):
                self._post(effect.host, host, effect.envelope, state)
            elif isinstance(effect, balancer_effects.SendReset):
                self._reset(effect.datagram)
            elif isinstance(effect, balancer_effects.SendToBalancers):
                envelope = Envelope(effect.kind, 0, 0, 0, 0, 0, effect.content)
                for other in sorted(self.balancers.keys() - {host}):
                    self._post(other, host, envelope, state)
            elif isinstance(effect, balancer_effects.Decided):
                self.events[effect.name] += 1
                if effect.name == 'reset_no_taker':
                    self.hops.append((effect.fields or {}).get('asked', 0))

    def _run_agent(self, host: str, event: Any) -> None:
        agent = self.agents.get(host)
        if agent is None:
            return
        _, effects = reduce_agent(agent.state, event)
        for effect in effects:
            if isinstance(effect, agent_effects.SendToPeer):
                self._post(effect.host, host, effect.envelope, agent.state)
            elif isinstance(effect, agent_effects.SendToUpstream):
                self._pass(agent, effect.datagram)
            elif isinstance(effect, agent_effects.SendToCaller):
                self._deliver(effect.datagram)
            elif isinstance(effect, agent_effects.Decided):
                self.events[effect.name] += 1

    def _post(
        self,
        receiver: str,
        sender: str,
        envelope: Envelope,
        state: PacketState | AgentState,
    ) -> None:
        if isinstance(state, AgentState):
            stamp = state.make_stamp(self.now)
        else:
            stamp = state.make_stamp()

        def arrive() -> None:
            parts = (self.now, sender, envelope, stamp)
            if receiver in self.balancers:
                arrived = balancer_events.EnvelopeArrived(*parts)
                self._run_balancer(receiver, arrived)
            else:
                self._run_agent(receiver, agent_events.EnvelopeArrived(*parts))

        self.later(self.now + _INNER_SECONDS, arrive)

    def _pass(self, agent: _Agent, datagram: bytes) -> None:
        if not agent.upstream.is_alive:
            return
        known = self.population.flows.get(FORMAT.caller_key(datagram))
        work = known[1].work if known else 0
        upstream = agent.upstream
        # Not from within the agent's own decision.
        self.later(
            self.now,
            lambda: upstream.take(datagram, work, self.now),
        )

    def _answer(self, host: str, key: bytes, flags: int, data: bytes) -> None:
        flow, _ = self.population.flows[key]
        packet = make_packet(flow, flags, back=True, data=data)
        self._run_agent(host, agent_events.UpstreamPacket(self.now, packet))

    def _deliver(self, datagram: bytes) -> None:
        flow, caller = self.population.flows[FORMAT.upstream_key(datagram)]
        has_data = FORMAT.data_length(datagram) > 0
        flags = datagram[26]
        self.later(
            self.now + _CALLER_SECONDS,
            lambda: caller.take(flow, flags, has_data=has_data),
        )

    def _reset(self, datagram: bytes) -> None:
        flow, caller = self.population.flows[FORMAT.caller_key(datagram)]
        self.later(
            self.now + _CALLER_SECONDS,
            lambda: caller.take_reset(flow),
        )
