"""A small world of balancers, agents, upstreams and callers, with an oracle.

The programs' reducers are real; the network between them loses, doubles and
reorders envelopes, processes restart without memory, upstreams crash, drain
and leave, their hosts are used again by the other service, and every
balancer learns of all that late.  The oracle knows the truth.
"""

from collections.abc import Callable
from functools import partial
from typing import Any, Final

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from keelgap.catalog.models import Catalog, PacketRoute, PacketUpstream
from keelgap.packets.envelopes import Envelope, Stamp
from keelgap.packets.features import NO_FEATURES, Features
from keelgap.packets.formats import get_route_key
from keelgap_agent.packets import defaults as agent_defaults
from keelgap_agent.packets import effects as agent_effects
from keelgap_agent.packets import events as agent_events
from keelgap_agent.packets import reducer as agent_reducer
from keelgap_agent.packets.state import AgentState
from keelgap_balancer.packets import defaults as balancer_defaults
from keelgap_balancer.packets import effects as balancer_effects
from keelgap_balancer.packets import events as balancer_events
from keelgap_balancer.packets import reducer as balancer_reducer
from keelgap_balancer.packets.state import PacketState, make_owner_cache
from tests.packets.building import (
    ACK,
    BOARD,
    BOUNCED,
    FORMAT,
    PROOF,
    RST,
    SYN,
    FlowName,
    make_catalog,
    make_packet,
    make_upstream,
)

__all__ = ('PacketMachine',)

BALANCERS: Final = ('10.1.0.1', '10.1.0.2')
HOSTS: Final = (1, 2, 3, 4)
#: Where upstreams start that one balancer does not know yet.
LATER_HOSTS: Final = (5, 6)
ROUTES: Final = {'board': BOARD, 'proof': PROOF}
#: The same where each leads to the other service.
MOVED_ROUTES: Final = {
    'board': PROOF._replace(shares=BOARD.shares),
    'proof': BOARD._replace(shares=PROOF.shares),
}
#: Reports of an upstream whose entry lapsed: three were lost, at least.
_LAPSED_REPORTS: Final = 5
#: Envelopes in flight beyond which the oldest are delivered first.
_MOST_IN_FLIGHT: Final = 40
#: Openings after which one has reached each upstream.
_MOST_OPENINGS: Final = 40


class FakeUpstream:
    """The truth about one start of an upstream."""

    def __init__(self, row: PacketUpstream) -> None:
        """Start without flows."""
        self.row = row
        #: Accepted, but the caller has not been heard since.
        self.half_open: set[bytes] = set()
        self.open: set[bytes] = set()
        self.accepts = True
        #: Number of its opening packets; 0 if callers acknowledge none.
        self.number = 0

    def answer(self, datagram: bytes) -> bytes | None:
        """Return what the upstream sends for a packet."""
        key = FORMAT.caller_key(datagram)
        if datagram[26] & SYN:
            if not self.accepts:
                return _bounce(datagram)
            self.half_open.add(key)
            return _answer(key, SYN | ACK, number=self.number)
        if key not in self.open | self.half_open or self._is_of_another(
            datagram,
        ):
            return _bounce(datagram)
        self.open.add(key)
        return _answer(key, ACK, b'answer', self.number + 1)

    def _is_of_another(self, datagram: bytes) -> bool:
        """Return whether the caller chose another upstream's answer."""
        acknowledged = FORMAT.acknowledged(datagram)
        return self.number > 0 and acknowledged != self.number + 1


def route_key(route: PacketRoute) -> bytes:
    """Return the key of a route, by which flows name it."""
    return FORMAT.make_route_key(route.host, route.port)


def _bounce(datagram: bytes) -> bytes:
    octets = bytearray(datagram)
    octets[26] |= BOUNCED
    return bytes(octets)


def _answer(
    key: bytes,
    flags: int,
    data: bytes = b'',
    number: int = 0,
) -> bytes:
    caller = '.'.join(str(octet) for octet in reversed(key[:4]))
    port = int.from_bytes(key[4:6], 'little')
    host = '.'.join(str(octet) for octet in reversed(key[6:10]))
    route = PacketRoute('', host, int.from_bytes(key[10:], 'little'), ())
    name = FlowName(caller, port, route)
    return make_packet(name, flags, back=True, seq=number, data=data)


class PacketMachine(RuleBasedStateMachine):
    """Random faults; promises are checked after each step."""

    #: Numbers of all hosts with upstreams.
    hosts: tuple[int, ...] = HOSTS
    #: Seconds for which an upstream is slow after its start.
    warm_up: float = 0
    #: Whether the agents of upstreams that start now began before them.
    agents_start_first = True
    #: Far more than a packet needs that visits every agent once.
    most_deliveries = 2000
    #: Optional decisions of all programs.
    features: Features = NO_FEATURES

    @initialize()
    def start(self) -> None:
        """Start with two upstreams of each service."""
        self.now = 1000.0
        self.revision = 1
        self.generation = 0
        self.upstreams: dict[str, FakeUpstream] = {}
        self.agents: dict[str, AgentState] = {}
        self.listed: dict[str, PacketUpstream] = {}
        #: Entries that went, and the revisions at which they did.
        self.went: list[tuple[int, PacketUpstream]] = []
        self.in_flight: list[tuple[str, Any]] = []
        self.flows: dict[bytes, FlowName] = {}
        #: Flows whose opening packet some upstream accepted.
        self.accepted: set[bytes] = set()
        #: When a packet of each flow was sent last.
        self.sent_at: dict[bytes, float] = {}
        #: Flows that were silent for so long that programs may forget them.
        self.expired: set[bytes] = set()
        self.next_port = 1
        #: Host that nothing reaches.
        self.cut_off = ''
        #: Since when that is so.
        self.cut_since = self.now
        #: Balancer whose reading of the store takes long.
        self.reads_late = ''
        #: The route that leads to each service, by the latest table.
        self.routes = ROUTES
        #: Revision at which that table was written.
        self.table_revision = 1
        #: Routes and services that some table has allowed.
        self.allowed = {
            (route_key(route), service) for service, route in ROUTES.items()
        }
        #: Availability zones out of service, as all agents know by now.
        self.evacuated: tuple[str, ...] = ()
        for number in self.hosts:
            self._add_upstream(number, 'board' if number % 2 else 'proof')
        self.balancers = {host: self._make_balancer() for host in BALANCERS}
        for host in BALANCERS:
            self.learn(host)

    # What happens to the world.

    @rule(number=st.sampled_from(HOSTS), reuse=st.booleans())
    def crash(self, number: int, reuse: bool) -> None:  # noqa: FBT001
        """Let an upstream crash; another starts on its host."""
        old = self._get_upstream(number)
        service = old.row.service
        if reuse:
            service = 'proof' if service == 'board' else 'board'
        self._add_upstream(number, service)

    @rule(number=st.sampled_from(HOSTS))
    def change_service(self, number: int) -> None:
        """A host serves the other service; one balancer offers it flows."""
        service = self._get_upstream(number).row.service
        self.learn(BALANCERS[1])
        self.crash(number, reuse=True)
        for _ in self.hosts[:4]:
            self.open(service, BALANCERS[1], 0)
        self.deliver_all()

    @rule(number=st.sampled_from(HOSTS))
    def restart_agent(self, number: int) -> None:
        """Restart an agent; its upstream lives on with its flows."""
        upstream = self._get_upstream(number)
        host = upstream.row.address.host
        service = upstream.row.service
        self.agents[host] = self._make_agent(service, host)

    @rule(host=st.sampled_from(BALANCERS))
    def restart_balancer(self, host: str) -> None:
        """Restart a balancer; it learns the catalog at once."""
        self.balancers[host] = self._make_balancer()
        self.learn(host)
        self._answer_first_message(host)

    @rule(host=st.sampled_from(BALANCERS))
    def learn(self, host: str) -> None:
        """Let a balancer learn what is listed now."""
        self._read(host, self._make_catalog())
        self._tell_others(host)

    @rule(number=st.sampled_from(LATER_HOSTS))
    def move(self, number: int) -> None:
        """A flow opens at an upstream that the other balancer never saw.

        Then the routers move it there.
        """
        self.deliver_all()
        others = [one for one in self.upstreams.values() if one.accepts]
        self._add_upstream(number, 'board')
        self.learn(BALANCERS[0])
        for other in others:
            other.accepts = False
        name = FlowName('100.64.0.8', self.next_port, self.routes['board'])
        self.next_port += 1
        self.flows[name.key] = name
        request = make_packet(name, ACK, data=b'GET')
        for packet in (make_packet(name, SYN), request):
            self._send(BALANCERS[0], packet)
            self.deliver_all()
        for other in others:
            other.accepts = True
        self._send(BALANCERS[1], request)
        self.deliver_all()

    @rule(reader=st.sampled_from(BALANCERS), is_late=st.booleans())
    def move_routes(self, reader: str, *, is_late: bool) -> None:
        """Send each route to the other service; one balancer may be late."""
        is_moved = self.routes is MOVED_ROUTES
        self.routes = ROUTES if is_moved else MOVED_ROUTES
        self.revision += 1
        self.table_revision = self.revision
        self.allowed.update(
            (route_key(route), service)
            for service, route in self.routes.items()
        )
        for host in BALANCERS:
            if host == reader or not is_late:
                self.learn(host)

    @rule(
        times=st.integers(1, 3),
        killed=st.sampled_from(('nothing', 'balancers', 'everything')),
        pause=st.sampled_from((0.05, 1.0)),
        loses=st.booleans(),
    )
    def move_routes_of_flows(
        self,
        times: int,
        *,
        killed: str,
        pause: float,
        loses: bool,
    ) -> None:
        """Flows open under each table; then the routers move them all.

        Both balancers may be killed before that, or all programs, and the first
        messages of the one that gets the flows may be lost.
        """
        first, second = BALANCERS
        for _ in range(times):
            for service in ROUTES:
                self.open(service, first, 0)
            self.deliver_all()
            self._speak_on_all_flows(first)
            self.move_routes(first, is_late=True)
            self.advance(pause)
            self.deliver_all()
        if killed != 'nothing':
            self.kill_balancers()
        if killed == 'everything':
            self.kill_agents()
        self.learn(second)
        if loses:
            self.in_flight.clear()
        self._speak_on_all_flows(second)
        self.learn(first)
        self.deliver_all()

    @rule()
    def overtake(self) -> None:
        """Denials and an earlier catalog come before news of a later one.

        A flow opens at an upstream of the later catalog, and the routers
        move it.
        """
        self.deliver_all()
        first, second = BALANCERS
        self.reads_late = second
        self._add_upstream(LATER_HOSTS[0], 'board')
        earlier = self._make_catalog()
        self.learn(first)
        self.deliver_all()
        self._add_upstream(LATER_HOSTS[1], 'board')
        self._read(first, self._make_catalog())
        name = self._open_at(LATER_HOSTS[1])
        request = make_packet(name, ACK, data=b'GET')
        self._send(second, request)
        self.deliver_all()
        stamp = self.balancers[first].make_stamp()
        heard = balancer_events.PeerStampReceived(self.now, stamp)
        self._run_balancer(second, heard)
        self._read(second, earlier)
        self.deliver_all()
        self.reads_late = ''
        self.learn(second)
        self.deliver_all()

    @rule(number=st.sampled_from(HOSTS))
    def lapse_unseen(self, number: int) -> None:
        """A balancer starts while the store lacks a living upstream.

        The others noticed that the store was away, and the agents know.
        """
        self.deliver_all()
        away = balancer_events.StorePolled(self.now, 0, 0, reaches_store=False)
        self._run_balancer(BALANCERS[1], away)
        self.advance(balancer_defaults.POLL_INTERVAL_SECONDS)
        self.deliver_all()
        row = self._take_from_list(number)
        self.restart_balancer(BALANCERS[0])
        self._speak_on_all_flows(BALANCERS[0])
        self._put_on_list(row)

    @rule(number=st.sampled_from(HOSTS), retransmissions=st.integers(1, 4))
    def wait_for_entries(self, number: int, retransmissions: int) -> None:
        """Callers repeat their packets until the entry must be back."""
        self.deliver_all()
        away = balancer_events.StorePolled(self.now, 0, 0, reaches_store=False)
        self._run_balancer(BALANCERS[1], away)
        self.advance(balancer_defaults.POLL_INTERVAL_SECONDS)
        self.deliver_all()
        row = self._take_from_list(number)
        self.restart_balancer(BALANCERS[0])
        for copy, seconds in enumerate((0.2, 0.4, 0.8, 1.0), 1):
            self._speak_on_all_flows(BALANCERS[0])
            if copy == retransmissions:
                self._put_on_list(row)
            self.advance(seconds)
        self.deliver_all()

    @rule(number=st.sampled_from(HOSTS), accepts=st.booleans())
    def fill(self, number: int, accepts: bool) -> None:  # noqa: FBT001
        """Let an upstream refuse new flows, or take them again."""
        self._get_upstream(number).accepts = accepts

    @rule(number=st.sampled_from(HOSTS))
    def lapse(self, number: int) -> None:
        """Let a living upstream's entry go and come back in time."""
        row = self._take_from_list(number)
        for host in BALANCERS:
            self.learn(host)
        self.advance(balancer_defaults.MISSING_ENTRY_SECONDS / 2)
        # The routers move all flows, and a balancer must find them.
        self.balancers[BALANCERS[0]].owners = make_owner_cache(self.now)
        self._speak_on_all_flows(BALANCERS[0])
        self._put_on_list(row)

    @rule(number=st.sampled_from(HOSTS))
    def cut(self, number: int) -> None:
        """Cut an agent off while callers speak, and balancers search."""
        self.deliver_all()
        self.cut_off = f'10.0.0.{number}'
        self.balancers[BALANCERS[0]].owners = make_owner_cache(self.now)
        self.cut_since = self.now
        for key in sorted(self.accepted & self.flows.keys()):
            for _ in range(len(self.hosts)):
                if key not in self.flows:
                    break
                packet = make_packet(self.flows[key], ACK, data=b'GET')
                self._send(BALANCERS[0], packet)
                self.deliver_all()
                self.advance(balancer_defaults.SEARCH_STEP_TIMEOUT_SECONDS)
        self.cut_off = ''

    @rule(seconds=st.sampled_from((0.05, 0.2, 0.5, 1.4)))
    def advance(self, seconds: float) -> None:
        """Let time pass, with the timers of all."""
        self.now += seconds
        for host in BALANCERS:
            event = balancer_events.TimerFired(self.now)
            self._run_balancer(host, event)
        for host in tuple(self.agents):
            self._run_agent(host, agent_events.TimerFired(self.now))

    @rule(data=st.data())
    def deliver(self, data: st.DataObject) -> None:
        """Deliver some envelopes in any order; lose and double some."""
        for _ in range(len(self.in_flight)):
            if not self.in_flight:
                return
            index = data.draw(st.integers(0, len(self.in_flight) - 1))
            receiver, run = self.in_flight.pop(index)
            fate = data.draw(st.integers(0, 9))
            if fate == 0:
                continue
            self._deliver(receiver, run)
            if fate == 1:
                self._deliver(receiver, run)

    @rule()
    def deliver_all(self) -> None:
        """Deliver everything in order; nothing goes round for ever."""
        for _ in range(self.most_deliveries):
            if not self.in_flight:
                return
            receiver, run = self.in_flight.pop(0)
            self._deliver(receiver, run)
        raise AssertionError('a packet goes round')

    # What callers do.

    @rule(
        service=st.sampled_from(('board', 'proof')),
        host=st.sampled_from(BALANCERS),
        retransmissions=st.integers(0, 2),
    )
    def open(self, service: str, host: str, retransmissions: int) -> None:
        """Send an opening packet, and perhaps copies of it."""
        route = self.routes[service]
        flow = FlowName('100.64.0.7', self.next_port, route)
        self.next_port += 1
        self.flows[flow.key] = flow
        for copy in range(retransmissions + 1):
            packet = make_packet(flow, SYN, ack=copy)
            self._send(host, packet)

    @rule(data=st.data(), host=st.sampled_from(BALANCERS))
    def speak(self, data: st.DataObject, host: str) -> None:
        """Send data on a flow that was accepted, through any balancer."""
        known = sorted(self.accepted & self.flows.keys())
        if not known:
            return
        key = data.draw(st.sampled_from(known))
        seq = data.draw(st.integers(1, 9))
        packet = make_packet(self.flows[key], ACK, seq=seq, data=b'GET')
        self._send(host, packet)

    @rule(data=st.data(), host=st.sampled_from(BALANCERS))
    def find_again(self, data: st.DataObject, host: str) -> None:
        """An open flow reaches its upstream through any balancer."""
        held_flows = [
            key for key in sorted(self.flows) if self._find_holders(key)
        ]
        if not held_flows:
            return
        self.deliver_all()
        self.learn(host)
        key = data.draw(st.sampled_from(held_flows))
        for _ in range(2 * len(self.hosts) + 2):
            self.reached: list[bytes] = []
            packet = make_packet(self.flows[key], ACK, data=b'GET')
            self._send(host, packet)
            self.deliver_all()
            if key in self.reached or key not in self.flows:
                return
            self.advance(0.2)
        raise AssertionError('an open flow was not found')

    @rule(data=st.data(), host=st.sampled_from(BALANCERS))
    def bury(self, data: st.DataObject, host: str) -> None:
        """A flow that no upstream holds is reset at its next packet.

        Not without any upstream of its service: its entry may have lapsed.
        And not yet by a balancer that started when entries may have lapsed.
        """
        services = {row.service for row in self.listed.values()}
        served = {route_key(self.routes[service]) for service in services}
        lost = [
            key
            for key in sorted(self.accepted & self.flows.keys())
            if not self._find_holders(key)
            and not self._is_half_open(key)
            and route_key(self.flows[key].route) in served
        ]
        if not lost:
            return
        self.deliver_all()
        self.advance(balancer_defaults.SEARCH_TIMEOUT_SECONDS + 0.1)
        if self.balancers[host].is_newly_started(self.now):
            self.advance(balancer_defaults.MISSING_ENTRY_SECONDS)
        self.learn(host)
        self.deliver_all()
        key = data.draw(st.sampled_from(lost))
        if key not in self.flows or self._is_half_open(key):
            return
        self._bury_one(key, host)

    # What tests do, besides.

    def kill_balancers(self) -> None:
        """Let all balancers start anew at once."""
        self.in_flight.clear()
        for host in BALANCERS:
            self.balancers[host] = self._make_balancer()

    def kill_agents(self) -> None:
        """Let all agents start anew at once; their upstreams live on."""
        self.in_flight.clear()
        for host, upstream in self.upstreams.items():
            service = upstream.row.service
            self.agents[host] = self._make_agent(service, host)

    # What must hold.

    @invariant()
    def memory_is_bounded(self) -> None:
        """Agents count their work right."""
        for agent in getattr(self, 'agents', {}).values():
            busy = sum(
                flow.busy_since is not None for flow in agent.flows.values()
            )
            assert agent.busy == busy  # noqa: S101
            most = agent.slots * agent_defaults.MAX_QUEUED_PER_SLOT
            assert len(agent.queued) <= most  # noqa: S101

    @invariant()
    def work_is_not_held_back(self) -> None:
        """A request waits only for room, and only with its flow."""
        for agent in getattr(self, 'agents', {}).values():
            assert agent.queued.keys() <= agent.flows.keys()  # noqa: S101
            ready = [
                key for key, queued in agent.queued.items() if queued.packets
            ]
            assert not (ready and agent.has_capacity)  # noqa: S101

    def _find_holders(self, key: bytes) -> list[str]:
        """Return the hosts of the upstreams that hold an open flow."""
        return [
            host
            for host, upstream in self.upstreams.items()
            if key in upstream.open
        ]

    def _bury_one(self, key: bytes, host: str) -> None:
        """Speak on a dead flow; it is reset at once."""
        self._send(host, make_packet(self.flows[key], ACK, data=b'GET'))
        self.deliver_all()
        assert key not in self.flows, 'a dead flow lives on'  # noqa: S101

    def _check_reset(self, datagram: bytes) -> None:
        key = FORMAT.caller_key(datagram)
        if not datagram[26] & SYN:
            holders = self._find_holders(key)
            is_kept = bool(holders) and key not in self.expired
            is_kept = is_kept and not self._is_beyond_reach(key, holders)
            assert not is_kept, 'a living flow was reset'  # noqa: S101
        self.flows.pop(key, None)

    def _is_beyond_reach(self, key: bytes, holders: list[str]) -> bool:
        """Return whether a flow may be reset since its upstream is cut off.

        Silence is no denial.  But the pages count no reset of a flow beside a
        cut, and an agent to whose service the route no longer leads must not
        hold up verdicts for ever.
        """
        if holders != [self.cut_off] or self.now <= self.cut_since:
            return False
        route = self.routes[self.upstreams[self.cut_off].row.service]
        return route_key(route) != get_route_key(key)

    def _check_told(self, host: str, datagram: bytes) -> None:
        """Check what an agent sends to a caller."""

    def _check_passed(self, upstream: FakeUpstream, datagram: bytes) -> None:
        key = FORMAT.caller_key(datagram)
        route = FORMAT.route_key(datagram)
        if datagram[26] & SYN:
            pair = (route, upstream.row.service)
            assert pair in self.allowed, 'another service'  # noqa: S101
            holds = key in upstream.half_open | upstream.open
            left = upstream.row.availability_zone in self.evacuated
            if left and not holds:
                raise AssertionError('a zone that was left')
        flow = self.flows.get(key)
        if flow is not None and datagram[26] & SYN:
            clean = FORMAT.without_bounce(datagram)
            retransmissions = FORMAT.retransmissions(datagram)
            sent = make_packet(flow, SYN, ack=retransmissions)
            assert clean == sent, 'changed on its way'  # noqa: S101

    # How the world works.

    def _add_upstream(self, number: int, service: str) -> None:
        row = make_upstream(number, service, generation=self.generation + 1)
        self._start(number, row, keeps_agent=False)

    def _start(
        self,
        number: int,
        row: PacketUpstream,
        *,
        keeps_agent: bool,
    ) -> None:
        """Start an upstream on a host; the former one there is gone."""
        self.generation += 1
        self.revision += 1
        later = row._replace(
            address=make_upstream(number).address,
            revision=self.revision,
            warm_up_seconds=self.warm_up,
            started=self.generation,
            created=self.revision,
        )
        host = later.address.host
        former = self.upstreams.get(host)
        if former is not None:
            listed = self.listed.get(former.row.upstream_id)
            if listed == former.row:
                self.went.append((self.revision, former.row))
                self.listed.pop(former.row.upstream_id)
        self.upstreams[host] = FakeUpstream(later)
        same_service = former and former.row.service == later.service
        if not (keeps_agent and same_service):
            agent = self._make_agent(later.service, host)
            agent.registrar.predates_upstream = self.agents_start_first
            self.agents[host] = agent
        self.listed[later.upstream_id] = later

    def _make_catalog(self) -> Catalog:
        """Return what is listed now."""
        catalog = make_catalog(
            self.revision,
            self._list_rows(),
            tuple(self.routes.values()),
            evacuated=self.evacuated,
        )
        routes = catalog.routes._replace(revision=self.table_revision)
        return catalog._replace(routes=routes)

    def _read(self, host: str, catalog: Catalog) -> None:
        """Let a balancer read a catalog, and know of nothing later."""
        missed = self._list_missed(host, catalog)
        event = balancer_events.CatalogChanged(
            self.now,
            catalog._replace(missed=missed),
        )
        self._run_balancer(host, event)
        seen = balancer_events.StorePolled(
            self.now,
            catalog.revision,
            catalog.revision,
            reaches_store=True,
        )
        self._run_balancer(host, seen)

    def _list_missed(
        self,
        host: str,
        catalog: Catalog,
    ) -> tuple[PacketUpstream, ...]:
        """Return the entries that came and went since it read last."""
        known = self.balancers[host].confirmed_revision
        return tuple(
            row
            for revision, row in self.went
            if 0 < known < row.revision
            and revision <= catalog.revision
            and row.upstream_id not in catalog.upstreams
        )

    def _open_at(self, number: int) -> FlowName:
        """Open a flow at an upstream; openings for others are lost."""
        wanted = f'10.0.0.{number}'
        for _ in range(_MOST_OPENINGS):
            route = self.routes['board']
            name = FlowName('100.64.0.8', self.next_port, route)
            self.next_port += 1
            self.flows[name.key] = name
            self._send(BALANCERS[0], make_packet(name, SYN))
            self.in_flight = [one for one in self.in_flight if one[0] == wanted]
            self.deliver_all()
            if self._is_half_open(name.key):
                break
        self._send(BALANCERS[0], make_packet(name, ACK, data=b'GET'))
        self.deliver_all()
        return name

    def _list_rows(self) -> list[PacketUpstream]:
        return list(self.listed.values())

    def _take_from_list(self, number: int) -> PacketUpstream:
        """Let a living upstream's entry lapse; return it."""
        row = self._get_upstream(number).row
        self.listed.pop(row.upstream_id, None)
        self.revision += 1
        self.went.append((self.revision, row))
        return row

    def _put_on_list(self, row: PacketUpstream) -> None:
        """Let an entry come back, and all balancers learn of it."""
        self.revision += 1
        row = row._replace(created=self.revision, reports=_LAPSED_REPORTS)
        self.upstreams[row.address.host].row = row
        self.listed[row.upstream_id] = row
        for host in BALANCERS:
            self.learn(host)

    def _speak_on_all_flows(self, host: str) -> None:
        """Send data on each accepted flow through one balancer."""
        for key in sorted(self.accepted & self.flows.keys()):
            if key not in self.flows:
                # An earlier packet led to its reset.
                continue
            packet = make_packet(self.flows[key], ACK, data=b'GET')
            self._send(host, packet)
            self.deliver_all()

    def _tell_others(self, host: str) -> None:
        """Balancers tell each other at once of a catalog in force."""
        stamp = self.balancers[host].make_stamp()
        for other in BALANCERS:
            if other == host:
                continue
            heard = balancer_events.PeerStampReceived(self.now, stamp, host)
            self.in_flight.append(
                (other, partial(self._run_balancer, other, heard)),
            )

    def _answer_first_message(self, host: str) -> None:
        """The other balancers answer one that has just begun, at once."""
        for other in BALANCERS:
            if other == host:
                continue
            stamp = self.balancers[other].make_stamp()
            heard = balancer_events.PeerStampReceived(self.now, stamp, other)
            self.in_flight.append(
                (host, partial(self._run_balancer, host, heard)),
            )

    def _get_upstream(self, number: int) -> FakeUpstream:
        return self.upstreams[f'10.0.0.{number}']

    def _is_half_open(self, key: bytes) -> bool:
        return any(key in one.half_open for one in self.upstreams.values())

    def _make_agent(self, service: str, host: str) -> AgentState:
        return AgentState(
            FORMAT,
            service,
            self.now,
            host,
            features=self.features,
        )

    def _make_balancer(self) -> PacketState:
        return PacketState(FORMAT, 'a', self.now, self.features)

    def _send(self, host: str, packet: bytes) -> None:
        key = FORMAT.caller_key(packet)
        silent = self.now - self.sent_at.get(key, self.now)
        if silent > agent_defaults.IDLE_FLOW_SECONDS:
            self.expired.add(key)
        self.sent_at[key] = self.now
        event = balancer_events.CallerPacket(self.now, packet)
        self._run_balancer(host, event)

    def _run_balancer(self, host: str, event: Any) -> None:
        state, effects = balancer_reducer.reduce(self.balancers[host], event)
        self.balancers[host] = state
        for effect in effects:
            self._carry_out(host, effect)

    def _carry_out(self, host: str, effect: Any) -> None:
        """Do what a balancer wants done."""
        match effect:
            case balancer_effects.SendToAgent():
                self._post(effect.host, host, effect.envelope)
            case balancer_effects.SendToBalancers():
                self._broadcast(host, effect)
            case balancer_effects.SendReset():
                self._check_reset(effect.datagram)
            case balancer_effects.RefreshCatalog() if host != self.reads_late:
                self.in_flight.append((host, partial(self.learn, host)))

    def _run_agent(self, host: str, event: Any) -> None:
        state, effects = agent_reducer.reduce(self.agents[host], event)
        self.agents[host] = state
        for effect in effects:
            if isinstance(effect, agent_effects.SendToPeer):
                self._post(effect.host, host, effect.envelope)
            elif isinstance(effect, agent_effects.SendToUpstream):
                self._pass(host, effect.datagram)
            elif isinstance(effect, agent_effects.SendToCaller):
                self._check_told(host, effect.datagram)

    def _pass(self, host: str, datagram: bytes) -> None:
        upstream = self.upstreams[host]
        self._check_passed(upstream, datagram)
        answer = upstream.answer(datagram)
        if answer is None:
            return
        if not answer[26] & (BOUNCED | RST):
            key = FORMAT.upstream_key(answer)
            self.accepted.add(key)
            self.reached = [*getattr(self, 'reached', ()), key]
        self._run_agent(host, agent_events.UpstreamPacket(self.now, answer))

    def _make_stamp(self, sender: str) -> Stamp:
        balancer = self.balancers.get(sender)
        if balancer is None:
            return self.agents[sender].make_stamp(self.now)
        return balancer.make_stamp()

    def _post(self, receiver: str, sender: str, envelope: Envelope) -> None:
        run = self._make_delivery(receiver, sender, envelope)
        self.in_flight.append((receiver, run))
        if len(self.in_flight) > _MOST_IN_FLIGHT:
            self._deliver(*self.in_flight.pop(0))

    def _broadcast(
        self,
        sender: str,
        effect: balancer_effects.SendToBalancers,
    ) -> None:
        envelope = Envelope(effect.kind, 0, 0, 0, 0, 0, effect.content)
        for host in BALANCERS:
            if host != sender:
                self._post(host, sender, envelope)

    def _make_delivery(
        self,
        receiver: str,
        sender: str,
        envelope: Envelope,
    ) -> Callable[[], None]:
        """Return what happens when an envelope arrives."""
        stamp = self._make_stamp(sender)

        def run() -> None:
            parts = (self.now, sender, envelope, stamp)
            if receiver in self.balancers:
                arrived = balancer_events.EnvelopeArrived(*parts)
                self._run_balancer(receiver, arrived)
            else:
                self._run_agent(receiver, agent_events.EnvelopeArrived(*parts))

        return run

    def _deliver(self, receiver: str, run: Callable[[], None]) -> None:
        known = receiver in self.balancers or receiver in self.agents
        if known and receiver != self.cut_off:
            run()
