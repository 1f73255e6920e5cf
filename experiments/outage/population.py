"""Who asks for what, when and from where."""

from itertools import count
from random import Random
from typing import Final

from experiments.outage.callers import Caller, CallerPorts
from experiments.outage.scenario import Kind, Scenario
from keelgap.catalog.models import PacketRoute
from tests.packets.building import FlowName

__all__ = ('PRESSER', 'Population')

#: The host that makes more requests than others, where one does.
PRESSER: Final = '100.65.0.1'

_HOSTS_OF_NETWORK: Final = 250
_PORTS: Final = 60000
#: Work varies by this much around its mean, and up to a multiple of it.
_SPREAD: Final = 0.47
_MOST_WORK: Final = 6


class Population:
    """All callers of a run."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        routes: tuple[PacketRoute, ...],
        ports: CallerPorts,
    ) -> None:
        """Draw from a stream of its own: each policy gets the same callers."""
        self.scenario = scenario
        self.random = Random(seed)
        self.routes = routes
        self.ports = ports
        self.numbers = count()
        self.callers: list[Caller] = []
        self.flows: dict[bytes, tuple[FlowName, Caller]] = {}

    def arrive(self) -> None:
        """Let the next caller ask now, and plan the one after it."""
        scenario = self.scenario
        now = self.ports.clock()
        if now >= scenario.seconds:
            return
        self.ports.later(now + self._draw_gap(now), self.arrive)
        shares = [kind.share for kind in scenario.kinds]
        kind = self.random.choices(scenario.kinds, shares)[0]
        work = self._draw_work(kind)
        self.callers.append(Caller(kind, work, self.ports, self._open_flow))

    def _draw_work(self, kind: Kind) -> float:
        factor = self.random.lognormvariate(-_SPREAD * _SPREAD / 2, _SPREAD)
        return kind.work * min(factor, _MOST_WORK)

    def _draw_gap(self, now: float) -> float:
        scenario = self.scenario
        mean_work = sum(kind.share * kind.work for kind in scenario.kinds)
        rate = scenario.load * scenario.agents * scenario.slots / mean_work
        factor, begins, ends = scenario.burst
        if begins <= now < ends:
            rate *= factor
        return self.random.expovariate(rate)

    def _open_flow(self, caller: Caller) -> FlowName:
        route = self.routes[self.scenario.kinds.index(caller.kind)]
        port = next(self.numbers) % _PORTS + 1
        flow = FlowName(self._choose_host(caller), port, route)
        self.flows[flow.key] = (flow, caller)
        return flow

    def _choose_host(self, caller: Caller) -> str:
        """Return the host of a caller, the same for each of its tries."""
        scenario = self.scenario
        draw = Random(caller.asked)
        if scenario.presser and draw.random() < scenario.presser:
            return PRESSER
        number = draw.randrange(scenario.hosts)
        network, host = divmod(number, _HOSTS_OF_NETWORK)
        return f'100.64.{network}.{host + 1}'
