"""What it costs to find who holds a flow, by upstreams of its service.

Plays the real reducers of one balancer and all agents of a service; messages
arrive in order and at once.  First the routers move flows to a balancer that
does not know them, then everything starts anew and the flows are dead.
Prints one JSON object a size: messages between processes and processor time
for each flow, octets of a registration and of an entry in memory.

    python -m experiments.directory_model --seed 1
"""

import argparse
import json
import sys
from collections import Counter, deque
from random import Random
from time import process_time
from typing import Any, Final

from keelgap.packets.envelopes import HEADER_LENGTH, Envelope, EnvelopeKind
from keelgap_agent.packets import effects as agent_effects
from keelgap_agent.packets import events as agent_events
from keelgap_agent.packets.reducer import reduce as reduce_agent
from keelgap_agent.packets.state import AgentState
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets import effects as balancer_effects
from keelgap_balancer.packets import events as balancer_events
from keelgap_balancer.packets.reducer import reduce as reduce_balancer
from keelgap_balancer.packets.state import PacketState
from tests.packets.building import (
    ACK,
    BOUNCED,
    FORMAT,
    SYN,
    FlowName,
    make_catalog,
    make_packet,
    make_upstream,
)

__all__ = ('Service', 'measure')

SIZES: Final = (10, 100, 1000)
FLOWS: Final = 300
BALANCER: Final = '10.1.0.1'
WARM_UP: Final = 2.0
_PLACES: Final = 250


class Service:
    """One service behind one balancer."""

    #: Whether agents start before the upstreams beside them.
    agents_start_first = True

    def __init__(self, count: int) -> None:
        """Start a fleet for the first time."""
        self.now = 10.0
        self.count = count
        self.generation = 0
        #: Messages between processes, by kind.
        self.messages: Counter[int] = Counter()
        self.resets = 0
        #: Flows that each upstream holds, by host.
        self.held: dict[str, set[bytes]] = {}
        self.waiting: deque[tuple[str, str, Envelope]] = deque()
        self.balancer_seconds: float = 0
        self.start_all()

    def start_all(self) -> None:
        """Let everything start anew, without flows."""
        self.generation += 1
        rows = [
            make_upstream(number, generation=self.generation)._replace(
                address=_make_address(number),
                warm_up_seconds=WARM_UP,
                revision=self.generation,
            )
            for number in range(self.count)
        ]
        self.agents = {
            row.address.host: AgentState(
                FORMAT, 'board', self.now, row.address.host
            )
            for row in rows
        }
        for agent in self.agents.values():
            agent.registrar.predates_upstream = self.agents_start_first
        self.held = {host: set() for host in self.agents}
        self.catalog = make_catalog(self.generation, rows)
        self.move_flows()

    def move_flows(self) -> None:
        """Let the routers move all flows to a balancer that knows none."""
        self.state = PacketState(FORMAT, 'a', self.now)
        self.run_balancer(
            balancer_events.CatalogChanged(self.now, self.catalog),
        )

    def let_pass(self, seconds: float) -> None:
        """Let timers fire."""
        for _ in range(round(seconds / defaults.TIMER_SECONDS)):
            self.now += defaults.TIMER_SECONDS
            self.run_balancer(balancer_events.TimerFired(self.now))
            for host in self.agents:
                self.run_agent(host, agent_events.TimerFired(self.now))
            self.deliver()

    def send(self, packets: list[bytes]) -> None:
        """Let packets of callers arrive together."""
        for packet in packets:
            self.run_balancer(balancer_events.CallerPacket(self.now, packet))
        self.deliver()

    def deliver(self) -> None:
        """Deliver all messages between processes."""
        while self.waiting:
            receiver, sender, envelope = self.waiting.popleft()
            self.messages[envelope.kind] += 1
            if receiver == BALANCER:
                arrived = balancer_events.EnvelopeArrived(
                    self.now, sender, envelope
                )
                self.run_balancer(arrived)
            else:
                self.run_agent(
                    receiver,
                    agent_events.EnvelopeArrived(self.now, sender, envelope),
                )

    def run_balancer(self, event: Any) -> None:
        """Reduce an event of the balancer."""
        began = process_time()
        _, effects = reduce_balancer(self.state, event)
        self.balancer_seconds += process_time() - began
        for effect in effects:
            if isinstance(effect, balancer_effects.SendToAgent):
                self.waiting.append((effect.host, BALANCER, effect.envelope))
            elif isinstance(effect, balancer_effects.SendReset):
                self.resets += 1

    def run_agent(self, host: str, event: Any) -> None:
        """Reduce an event of an agent, and let its upstream answer."""
        _, effects = reduce_agent(self.agents[host], event)
        for effect in effects:
            if isinstance(effect, agent_effects.SendToPeer):
                self.waiting.append((effect.host, host, effect.envelope))
            elif isinstance(effect, agent_effects.SendToUpstream):
                answer = self._answer(host, effect.datagram)
                self.run_agent(
                    host,
                    agent_events.UpstreamPacket(self.now, answer),
                )

    def _answer(self, host: str, datagram: bytes) -> bytes:
        key = FORMAT.caller_key(datagram)
        if datagram[26] & SYN:
            self.held[host].add(key)
        elif key not in self.held[host]:
            octets = bytearray(datagram)
            octets[26] |= BOUNCED
            return bytes(octets)
        caller = '.'.join(str(octet) for octet in reversed(key[:4]))
        name = FlowName(caller, int.from_bytes(key[4:6], 'little'))
        return make_packet(name, SYN | ACK, back=True)


def _make_address(number: int) -> Any:
    address = make_upstream(1).address
    host = f'10.0.{number // _PLACES}.{number % _PLACES + 1}'
    return address._replace(host=host)


def _count_questions(service: Service) -> int:
    """Return the messages that asked who holds flows, and the answers."""
    kinds = (
        EnvelopeKind.LOOKUP,
        EnvelopeKind.FOUND,
        EnvelopeKind.COVERED,
        EnvelopeKind.SEARCH,
        EnvelopeKind.MISS,
    )
    return sum(service.messages[kind] for kind in kinds)


def measure(count: int, random: Random) -> dict[str, Any]:
    """Return what flows of a service of this size cost."""
    service = Service(count)
    service.let_pass(0.3)
    ports = random.sample(range(1, 60000), FLOWS)
    flows = [FlowName('100.64.0.7', port) for port in ports]
    service.send([make_packet(flow, SYN) for flow in flows])
    service.let_pass(0.2)
    registered = service.messages[EnvelopeKind.REGISTER]
    service.move_flows()
    service.let_pass(0.3)
    packets = [make_packet(flow, ACK) for flow in flows]
    living = _play(service, packets)
    service.start_all()
    service.let_pass(0.3)
    dead = _play(service, packets)
    return {
        'upstreams': count,
        'registrations_a_flow': round(registered / FLOWS, 2),
        'octets_of_a_registration': HEADER_LENGTH + 31,
        'octets_of_an_entry': _measure_entry(),
        'living': living,
        'dead': dead,
    }


def _play(service: Service, packets: list[bytes]) -> dict[str, Any]:
    service.messages.clear()
    service.resets = 0
    service.balancer_seconds = 0
    service.send(packets)
    flows = len(packets)
    return {
        'messages_a_flow': round(_count_questions(service) / flows, 2),
        'asked_agents': service.messages[EnvelopeKind.SEARCH],
        'balancer_us_a_flow': round(service.balancer_seconds / flows * 1e6),
        'resets': service.resets,
    }


def _measure_entry() -> int:
    """Return the octets that a directory node keeps for one flow."""
    entries = {
        number.to_bytes(12, 'little'): (str(number),) for number in range(1000)
    }
    values = sum(map(sys.getsizeof, entries.values()))
    keys = sum(map(sys.getsizeof, entries))
    return round((sys.getsizeof(entries) + keys + values) / len(entries))


def main() -> None:
    """Measure all sizes."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    random = Random(parser.parse_args().seed)
    for count in SIZES:
        print(json.dumps(measure(count, random)), flush=True)


if __name__ == '__main__':
    main()
