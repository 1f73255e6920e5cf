"""Balancers, agents, and upstreams that fail as a test says.

The programs' reducers are real; packets arrive at once and in order.
"""

from collections import Counter, deque
from collections.abc import Callable
from typing import Any

from keelgap.catalog.models import PacketRoute
from keelgap.packets.envelopes import Envelope, EnvelopeKind
from keelgap.packets.features import Features
from keelgap_agent.packets import effects as agent_effects
from keelgap_agent.packets import events as agent_events
from keelgap_agent.packets import reducer as agent_reducer
from keelgap_agent.packets.state import AgentState
from keelgap_balancer.packets import effects as balancer_effects
from keelgap_balancer.packets import events as balancer_events
from keelgap_balancer.packets import reducer as balancer_reducer
from keelgap_balancer.packets.state import PacketState
from tests.packets.building import (
    ACK,
    BOARD,
    BOUNCED,
    FIN,
    FORMAT,
    RST,
    SYN,
    FlowName,
    make_catalog,
    make_packet,
    make_upstream,
)

__all__ = ('GOOD', 'ON', 'READ', 'WRITE', 'World', 'make_way_back')

#: Two routes of one service: requests of the first may be repeated.
READ = BOARD._replace(name='r-read', is_idempotent=True)
WRITE = BOARD._replace(name='r-write', port=444)
#: What an upstream may do with a request.
GOOD = 'good'
ANSWERS = {
    GOOD: b'HTTP/1.1 200 OK\r\n\r\n',
    'error': b'HTTP/1.1 500 Oops\r\n\r\n',
    'shed': b'HTTP/1.1 503 No\r\nX-Keelgap-Not-Executed: 1\r\n\r\n',
}
_NAMES = {octets: name for name, octets in ANSWERS.items()}
ON = Features(ejection=True)
_FIRST = 1000
#: Envelopes in which balancers state the form of reports that they read.
_STATING = frozenset((EnvelopeKind.HELLO, EnvelopeKind.ASK))

#: How an upstream treats its nth request, of a route.
Treatment = Callable[[int, PacketRoute], str]


def make_way_back(datagram: bytes) -> FlowName:
    """Return the flow of a caller's packet."""
    key = FORMAT.caller_key(datagram)
    caller = '.'.join(str(octet) for octet in reversed(key[:4]))
    port = int.from_bytes(key[4:6], 'little')
    route_port = int.from_bytes(key[10:], 'little')
    route = READ if route_port == READ.port else WRITE
    return FlowName(caller, port, route)


def _read_end(datagram: bytes) -> str:
    """Return what a packet says of a request; nothing if it does not."""
    if datagram[26] & RST:
        return 'reset' if datagram[30:] == b'sum!' else 'reset before'
    content = datagram[FORMAT.header_length :]
    return _NAMES.get(content, '')


class FakeUpstream:
    """An upstream with its treatment of requests."""

    def __init__(self, treatment: Treatment) -> None:
        """Start without flows."""
        self.treatment = treatment
        self.open: set[bytes] = set()
        self.requests: Counter[str] = Counter()
        self.seen = 0

    def answer(self, datagram: bytes) -> list[bytes]:
        """Return what it sends for a packet of a caller."""
        flow = make_way_back(datagram)
        if datagram[26] & SYN:
            if self.treatment(self.seen, flow.route) == 'mute':
                return []
            if self.treatment(self.seen, flow.route) != 'forget':
                self.open.add(flow.key)
            return [make_packet(flow, SYN | ACK, back=True, seq=_FIRST)]
        if flow.key not in self.open:
            octets = bytearray(datagram)
            octets[26] |= BOUNCED
            return [bytes(octets)]
        if not FORMAT.data_length(datagram):
            return []
        return self._treat(flow)

    def _treat(self, flow: FlowName) -> list[bytes]:
        treatment = self.treatment(self.seen, flow.route)
        self.seen += 1
        self.requests[treatment] += 1
        self.requests[f'{treatment} {flow.route.name}'] += 1
        if treatment == 'hang':
            return []
        if treatment == 'close':
            return [make_packet(flow, FIN | ACK, back=True, seq=_FIRST + 1)]
        if treatment == 'reset':
            return [make_packet(flow, RST, back=True, seq=_FIRST + 1)]
        content = ANSWERS[treatment]
        closed = _FIRST + 1 + len(content)
        return [
            # What closes a flow may overtake its answer.
            make_packet(flow, FIN | ACK, back=True, seq=closed),
            make_packet(flow, ACK, back=True, seq=_FIRST + 1, data=content),
        ]


class World:
    """Some balancers and many agents of one service."""

    def __init__(
        self,
        treatments: list[Treatment],
        routes: tuple[PacketRoute, ...] = (READ, WRITE),
        features: Features = ON,
        balancers: int = 2,
    ) -> None:
        """Start with one upstream for each treatment."""
        self.now = 100.0
        self.features = features
        self.routes = routes
        self.rows = [
            make_upstream(number + 1)._replace(revision=1)
            for number in range(len(treatments))
        ]
        self.upstreams = {
            row.address.host: FakeUpstream(treatment)
            for row, treatment in zip(self.rows, treatments, strict=True)
        }
        self.agents: dict[str, AgentState] = {}
        for host in self.upstreams:
            self.restart_agent(host)
            # Agent and upstream have started together.
            self.agents[host].registrar.is_complete = True
        self.balancers = {
            f'10.1.0.{number + 1}': PacketState(FORMAT, 'a', self.now, features)
            for number in range(balancers)
        }
        self.queue: deque[tuple[str, str, Envelope]] = deque()
        self.to_caller: dict[bytes, list[bytes]] = {}
        self.decided: list[agent_effects.Decided] = []
        #: Every envelope that was sent, for comparisons.
        self.sent: list[tuple[str, str, Envelope]] = []
        self.port = 1
        #: Hosts that nothing reaches.
        self.cut_off: set[str] = set()
        #: Whether balancers state no form of reports.
        self.are_balancers_old = False
        self.learn(1)
        self.advance(4)

    def restart_agent(self, host: str) -> None:
        """Start an agent anew, without memory."""
        self.agents[host] = AgentState(
            FORMAT,
            'board',
            self.now,
            host,
            features=self.features,
        )

    def learn(self, revision: int) -> None:
        """Let all balancers learn the rows."""
        catalog = make_catalog(revision, self.rows, self.routes)
        for host in self.balancers:
            event = balancer_events.CatalogChanged(self.now, catalog)
            self._run_balancer(host, event)
        self._deliver()

    def advance(self, seconds: float) -> None:
        """Let time pass, with the timers of all."""
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            for host in self.balancers:
                event = balancer_events.TimerFired(self.now)
                self._run_balancer(host, event)
            for host in self.agents:
                self._run_agent(host, agent_events.TimerFired(self.now))
            self._deliver()

    def ask(self, route: PacketRoute = WRITE, retransmissions: int = 0) -> str:
        """Send one request on a flow of its own; return how it ended."""
        flow = self.open(route, retransmissions)
        return self.send_request(flow)

    def open(
        self, route: PacketRoute = WRITE, retransmissions: int = 0
    ) -> FlowName:
        """Send an opening packet, and copies of it."""
        flow = FlowName('100.64.0.7', self.port, route)
        self.port += 1
        hosts = sorted(self.balancers)
        host = hosts[self.port % len(hosts)]
        for copy in range(retransmissions + 1):
            self.send(host, make_packet(flow, SYN, ack=copy))
        return flow

    def send_request(self, flow: FlowName) -> str:
        """Send the request of a flow that was accepted."""
        back = self.to_caller.get(flow.key, [])
        if not back or back[0][26] & RST:
            return 'reset before' if back else 'unopened'
        hosts = sorted(self.balancers)
        packet = make_packet(flow, ACK, ack=_FIRST + 1, data=b'GET')
        self.send(hosts[(flow.port + 1) % len(hosts)], packet)
        return self.read_end(flow)

    def answer(self, host: str, flow: FlowName) -> None:
        """Let an upstream answer a request that hung so far."""
        packet = make_packet(
            flow,
            ACK,
            back=True,
            seq=_FIRST + 1,
            data=ANSWERS[GOOD],
        )
        self._run_agent(host, agent_events.UpstreamPacket(self.now, packet))
        self._deliver()

    def read_end(self, flow: FlowName) -> str:
        """Return what the caller has got behind the opening packet."""
        ends = map(_read_end, self.to_caller[flow.key][1:])
        return next(filter(None, ends), 'silent')

    def send(self, host: str, datagram: bytes) -> None:
        """Send a caller's packet, and deliver all that follows."""
        event = balancer_events.CallerPacket(self.now, datagram)
        self._run_balancer(host, event)
        self._deliver()

    def list_ejected(self) -> list[str]:
        """Return the hosts whose agents ejected their upstreams."""
        return [
            host
            for host, agent in self.agents.items()
            if agent.outcomes.ejection.is_ejected
        ]

    def list_decided(self, name: str) -> list[Any]:
        """Return the fields of all decisions of a name."""
        return [one.fields for one in self.decided if one.name == name]

    def _deliver(self) -> None:
        while self.queue:
            receiver, sender, envelope = self.queue.popleft()
            if {receiver, sender} & self.cut_off:
                continue
            if receiver in self.balancers:
                arrived = balancer_events.EnvelopeArrived(
                    self.now,
                    sender,
                    envelope,
                )
                self._run_balancer(receiver, arrived)
            elif receiver in self.agents:
                came = agent_events.EnvelopeArrived(self.now, sender, envelope)
                self._run_agent(receiver, came)

    def _post(self, receiver: str, sender: str, envelope: Envelope) -> None:
        if self.are_balancers_old and envelope.kind in _STATING:
            envelope = envelope._replace(hop=0)
        self.queue.append((receiver, sender, envelope))
        self.sent.append((receiver, sender, envelope))

    def _run_balancer(self, host: str, event: Any) -> None:
        _, effects = balancer_reducer.reduce(self.balancers[host], event)
        for effect in effects:
            if isinstance(effect, balancer_effects.SendToAgent):
                self._post(effect.host, host, effect.envelope)
            elif isinstance(effect, balancer_effects.SendReset):
                reset = FORMAT.make_reset(effect.datagram)
                self._give(FORMAT.caller_key(effect.datagram), reset)
            elif isinstance(effect, balancer_effects.Decided):
                self.decided.append(agent_effects.Decided(*effect))

    def _run_agent(self, host: str, event: Any) -> None:
        _, effects = agent_reducer.reduce(self.agents[host], event)
        for effect in effects:
            if isinstance(effect, agent_effects.SendToUpstream):
                self._pass(host, effect.datagram)
            else:
                self._take_effect(host, effect)

    def _take_effect(self, host: str, effect: Any) -> None:
        if isinstance(effect, agent_effects.SendToPeer):
            self._post(effect.host, host, effect.envelope)
        elif isinstance(effect, agent_effects.SendToCaller):
            key = FORMAT.upstream_key(effect.datagram)
            self._give(key, effect.datagram)
        elif isinstance(effect, agent_effects.Decided):
            self.decided.append(effect)

    def _pass(self, host: str, datagram: bytes) -> None:
        for answer in self.upstreams[host].answer(datagram):
            came = agent_events.UpstreamPacket(self.now, answer)
            self._run_agent(host, came)

    def _give(self, key: bytes, datagram: bytes) -> None:
        self.to_caller.setdefault(key, []).append(datagram)
