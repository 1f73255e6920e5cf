"""Datagrams lost while a balancer cannot reach an agent.

Real balancer reducers on a paused clock: three balancers, four agents, one
pair parted for ten seconds.  Baselines: no detours, and no suspicion at all.
Prints one JSON object.
"""

from random import Random
from typing import Any, Final

import fire
import msgspec

from experiments.tables import make_table
from keelgap.addresses import Address
from keelgap.instances import Instance, InstanceList
from keelgap.routing.connection_ids import ConnectionIdCodec, FlowOwner
from keelgap.wire.encapsulation import Envelope, MessageKind
from keelgap_balancer.effects import SendEnvelope
from keelgap_balancer.events import (
    CallerDatagram,
    EnvelopeReceived,
    InstancesChanged,
    TableChanged,
    TimerFired,
)
from keelgap_balancer.reducer import reduce
from keelgap_balancer.state import BalancerState

_CALLER: Final = Address('10.0.0.1', 999)
_AGENTS: Final = 4
_STEP: Final = 0.01
_SECONDS: Final = 20
_PARTED: Final = (5.0, 15.0)
_INITIAL: Final = b'\xc0\0\0\0\1\x08'


class _Model:
    """Balancers, and what arrived at the agents."""

    def __init__(self, seed: int, detours: bool, suspects: bool) -> None:
        self.random = Random(seed)
        self.suspects = suspects
        self.now = 0.0  # noqa: WPS358
        self.codec = ConnectionIdCodec({1: bytes(16)}, 1)
        table = make_table(1, _AGENTS, 4430, None)
        self.agents = [row.agent for row in table.upstreams[1]]
        hosts = [Address(f'10.2.0.{index}', 7001) for index in range(3)]
        listed = tuple(
            Instance(str(host), 'balancer', host, host, 'zone', 'live')
            for host in hosts
            if detours
        )
        self.balancers = {
            host: BalancerState(host, self.codec) for host in hosts
        }
        for state in self.balancers.values():
            reduce(state, TableChanged(0, table))
            reduce(state, InstancesChanged(0, InstanceList(1, listed)))
        self.cut = (hosts[0], self.agents[0])
        self.counts = {'sent': 0, 'lost': 0, 'opened': 0, 'open_lost': 0}

    def run(self) -> None:
        """Send packets of known flows and first datagrams."""
        while self.now < _SECONDS:
            self.now += _STEP
            self._send_known()
            if self.random.random() < 0.2:
                self._send_initial()
            if round(self.now / _STEP) % 10 == 0:
                self._fire_timers()

    def _is_parted(self, balancer: Address, agent: Address) -> bool:
        started, ended = _PARTED
        during = started <= self.now < ended
        return during and (balancer, agent) == self.cut

    def _send_known(self) -> None:
        owner = self.random.choice(self.agents)
        issued = self.codec.issue(FlowOwner(owner, 1))
        packet = b''.join((b'\x40', issued, bytes(20)))
        self.counts['sent'] += 1
        self.counts['lost'] += not self._send(packet)

    def _send_initial(self) -> None:
        made_up = self.random.randbytes(8)
        packet = b''.join((_INITIAL, made_up, bytes(1200)))
        self.counts['opened'] += 1
        self.counts['open_lost'] += not self._send(packet)

    def _send(self, packet: bytes) -> bool:
        balancer = self.random.choice(list(self.balancers))
        event = CallerDatagram(self.now, 1, _CALLER, packet)
        _, effects = reduce(self.balancers[balancer], event)
        return self._deliver(balancer, effects)

    def _deliver(self, balancer: Address, effects: tuple[Any, ...]) -> bool:
        arrived = False
        for effect in effects:
            if isinstance(effect, SendEnvelope):
                arrived = self._arrive(balancer, effect) or arrived
        return arrived

    def _arrive(self, balancer: Address, effect: SendEnvelope) -> bool:
        peer = self.balancers.get(effect.receiver)
        if peer is not None:
            event = EnvelopeReceived(self.now, balancer, effect.envelope)
            _, effects = reduce(peer, event)
            return self._deliver(effect.receiver, effects)
        if self._is_parted(balancer, effect.receiver):
            return False
        reply = Envelope(MessageKind.PROBE_REPLY, 0, 1)
        event = EnvelopeReceived(self.now, effect.receiver, reply)
        reduce(self.balancers[balancer], event)
        return effect.envelope.kind is MessageKind.FORWARD

    def _fire_timers(self) -> None:
        for host, state in self.balancers.items():
            if self.suspects:
                _, effects = reduce(state, TimerFired(self.now))
                self._deliver(host, effects)


def measure(seed: int) -> dict[str, Any]:
    """Return the losses under each policy."""
    rows = []
    for name, detours, suspects in (
        ('no_suspicion', False, False),
        ('no_detours', False, True),
        ('keelgap', True, True),
    ):
        model = _Model(seed, detours, suspects)
        model.run()
        rows.append({'policy': name, **model.counts})
    return {'experiment': 'partition', 'seed': seed, 'rows': rows}


def main(seed: int = 1) -> None:
    """Run the experiment."""
    print(msgspec.json.encode(measure(seed)).decode())


if __name__ == '__main__':
    fire.Fire(main)
