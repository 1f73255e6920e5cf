"""Availability zones that the operators take out of service, and back.

Balancers place nothing there; agents refuse it themselves, since a balancer
may be behind.  Open flows go on.
"""

from typing import Any

from keelgap.catalog.models import PacketUpstream
from keelgap.packets.envelopes import EnvelopeKind, Stamp, unpack_report
from keelgap.packets.notices import UpstreamNotice, pack_notice, unpack_notice
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.effects import SendReset, SendToAgent
from keelgap_balancer.packets.events import (
    CallerPacket,
    StorePolled,
    TimerFired,
)
from keelgap_balancer.packets.state import PacketState
from tests.packets import test_agent, test_balancer
from tests.packets.building import (
    ACK,
    FORMAT,
    SYN,
    FlowName,
    make_catalog,
    make_packet,
    make_upstream,
)

FLOW = FlowName('100.64.0.7', 40001)
#: Hosts of the upstreams in the balancer's own availability zone.
NEAR = {'10.0.0.1', '10.0.0.2', '10.0.0.3'}
FAR = {'10.0.0.4', '10.0.0.5'}


class BalancerTests(test_balancer.BalancerTestCase):
    """A balancer with upstreams in its own zone and in another."""

    def setUp(self) -> None:
        """Start with both zones in service."""
        super().setUp()
        self.revision = 1
        self.boards += [
            make_upstream(number, availability_zone='b') for number in (4, 5)
        ]
        self.evacuate()

    def evacuate(self, *zones: str) -> list[Any]:
        """Put a catalog in force with these zones out of service."""
        self.revision += 1
        rows = [*self.boards, self.proof]
        catalog = make_catalog(self.revision, rows, evacuated=zones)
        return self.change(catalog)

    def list_takers(self) -> set[str]:
        """Return the hosts that are offered some new flows."""
        hosts = set()
        for port in range(self.revision * 100, self.revision * 100 + 30):
            (offer,) = self.send(SYN, FLOW._replace(port=port))
            self.report(offer.host)
            hosts.add(offer.host)
        return hosts

    def test_new_flows_leave_the_zone_and_come_back(self) -> None:
        """Those that remain share the load; then the near ones serve again."""
        self.assertEqual(self.list_takers(), NEAR)
        self.evacuate('a')
        self.assertEqual(self.list_takers(), FAR)
        self.evacuate()
        self.assertEqual(self.list_takers(), NEAR)

    def test_open_flows_go_on(self) -> None:
        """Their packets pass to the agent in the zone as before."""
        (offer,) = self.send(SYN)
        self.answer(offer.host, EnvelopeKind.OWNED, FLOW.key)
        self.evacuate('a')
        (packet,) = self.send(ACK, data=b'GET')
        self.assertEqual(packet.host, offer.host)
        self.assertEqual(packet.envelope.kind, EnvelopeKind.FORWARD)

    def test_a_copy_of_an_opening_packet_goes_elsewhere(self) -> None:
        """Its first choice takes nothing more."""
        (offer,) = self.send(SYN)
        self.assertIn(offer.host, NEAR)
        self.evacuate('a')
        (copy,) = self.send(SYN, ack=1)
        self.assertIn(copy.host, FAR)

    def test_an_opening_packet_that_was_refused_goes_elsewhere(self) -> None:
        """The agent knew of the mark before this balancer did."""
        (offer,) = self.send(SYN)
        self.evacuate('a')
        packet = make_packet(FLOW, SYN)
        (again,) = self.answer(offer.host, EnvelopeKind.MISS, packet)
        self.assertIn(again.host, FAR)

    def test_all_zones_out_of_service_refuse_at_once(self) -> None:
        """Also while a balancer that has begun waits for upstreams."""
        self.state = PacketState(FORMAT, 'a', self.now)
        self.evacuate('a', 'b')
        (reset,) = self.send(SYN)
        self.assertIsInstance(reset, SendReset)

    def test_upstreams_without_entry_are_not_taken_there(self) -> None:
        """Entries lapse while the store is away; the mark stays."""
        self.now += 0.1
        for number in (1, 2, 3, 4, 5):
            self.report(f'10.0.0.{number}')
        self.boards = []
        self.evacuate('a')
        self.now += 0.1
        for number in (1, 2, 3, 4, 5):
            self.report(f'10.0.0.{number}')
        self.assertEqual(self.list_takers(), FAR)

    def test_a_zone_that_nobody_has_changes_nothing(self) -> None:
        """Nor does a mark that comes and goes at once."""
        self.evacuate('nowhere')
        self.assertEqual(self.list_takers(), NEAR)
        self.evacuate('a')
        self.evacuate()
        self.assertEqual(self.list_takers(), NEAR)

    def test_agents_of_the_zone_are_told_at_once(self) -> None:
        """Each of them, and again when it is back."""
        told = read_notices(self.evacuate('a'))
        self.assertEqual(told.keys(), {*NEAR, '10.0.0.9'})
        for notice in told.values():
            self.assertTrue(notice.is_evacuated)
            self.assertEqual(notice.revision, self.revision)
        told = read_notices(self.evacuate())
        self.assertEqual(told.keys(), {*NEAR, '10.0.0.9'})
        self.assertFalse(any(one.is_evacuated for one in told.values()))

    def test_in_a_large_fleet_the_balancers_of_the_zone_tell(self) -> None:
        """Each agent would hear it from thousands otherwise."""
        self.boards += [
            make_upstream(number, availability_zone='b')
            for number in range(10, 10 + defaults.MAX_POLLED_AGENTS)
        ]
        self.evacuate()
        told = read_notices(self.evacuate('a', 'b'))
        others = told.keys() - {*NEAR, '10.0.0.9'}
        self.assertEqual(len(told) - len(others), len(NEAR) + 1)
        # One is greeted in its turn.
        self.assertLessEqual(len(others), defaults.POLLS_PER_TICK)

    def test_greetings_repeat_it(self) -> None:
        """The first message may have been lost."""
        self.evacuate('a')
        self.now += defaults.REMOTE_POLL_INTERVAL_SECONDS
        told = read_notices(self.take(TimerFired(self.now)))
        left = {host for host, notice in told.items() if notice.is_evacuated}
        self.assertEqual(left, {*NEAR, '10.0.0.9'})

    def test_marks_outlast_a_silent_store(self) -> None:
        """They stay in force with the rest of the catalog."""
        self.evacuate('a')
        away = StorePolled(self.now, 0, 0, reaches_store=False)
        self.take(away)
        self.now += 60
        for number in (4, 5):
            self.report(f'10.0.0.{number}')
        self.assertEqual(self.list_takers(), FAR)


def read_notices(effects: list[Any]) -> dict[str, UpstreamNotice]:
    """Return the notices among effects, by host."""
    return {
        one.host: unpack_notice(one.envelope.content)
        for one in effects
        if isinstance(one, SendToAgent)
        and one.envelope.kind in {EnvelopeKind.ASK, EnvelopeKind.HELLO}
    }


class AgentTests(test_agent.AgentTestCase):
    """An agent refuses by what it was told last."""

    def tell(self, revision: int, *, left: bool) -> list[Any]:
        """Let a balancer say whether the zone is out of service."""
        notice = UpstreamNotice(revision, is_evacuated=left)
        return self.hear(EnvelopeKind.ASK, pack_notice(notice))

    def is_refused(self, port: int) -> bool:
        """Return whether a new flow is given back at once."""
        kinds = [
            getattr(getattr(effect, 'envelope', None), 'kind', None)
            for effect in self.open(port)
        ]
        return kinds == [EnvelopeKind.MISS]

    def test_new_flows_are_refused_until_the_zone_is_back(self) -> None:
        """Whoever offers them."""
        self.assertFalse(self.is_refused(1))
        self.tell(5, left=True)
        self.assertTrue(self.is_refused(2))
        self.tell(6, left=False)
        self.assertFalse(self.is_refused(3))

    def test_a_balancer_that_is_behind_changes_nothing(self) -> None:
        """It wakes after a pause, or reads an older copy."""
        self.tell(5, left=True)
        self.tell(4, left=False)
        self.assertTrue(self.is_refused(1))

    def test_open_flows_go_on_and_their_opening_may_be_repeated(self) -> None:
        """The upstream has taken them already."""
        self.open(1)
        self.serve(1)
        self.tell(5, left=True)
        packet = make_packet(FLOW._replace(port=1), ACK, data=b'GET')
        self.assertTrue(self.hear(EnvelopeKind.FORWARD, packet))
        self.assertFalse(self.is_refused(1))

    def test_its_report_says_so(self) -> None:
        """At once, so that balancers which are behind stop offering."""
        for revision, left in ((5, True), (6, False)):
            (reply,) = self.tell(revision, left=left)
            report = unpack_report(reply.envelope.content)
            self.assertEqual(report.closed, left)


class StartTests(test_balancer.BalancerTestCase):
    """Another start of an upstream under the id that it had."""

    def setUp(self) -> None:
        """Forget the boards of other tests."""
        super().setUp()
        self.put(2)
        self.now += 2 * defaults.MISSING_ENTRY_SECONDS
        self.take(TimerFired(self.now))

    def put(self, revision: int, *upstreams: PacketUpstream) -> None:
        """Put a catalog in force."""
        self.change(make_catalog(revision, [*upstreams, self.proof]))

    def open_at(self, upstream: PacketUpstream) -> None:
        """Open a flow with an upstream that alone serves."""
        self.put(2, upstream)
        (offer,) = self.send(SYN)
        self.answer(offer.host, EnvelopeKind.OWNED, FLOW.key)

    def test_former_flows_are_reset_once_the_later_start_denies(self) -> None:
        """At the same address: one question, then a true verdict."""
        former = make_upstream(1)._replace(started=100)
        self.open_at(former)
        self.put(3, former._replace(started=200, revision=3))
        (question,) = self.send(ACK, data=b'GET')
        self.assertEqual(question.envelope.kind, EnvelopeKind.SEARCH)
        packet = make_packet(FLOW, ACK, data=b'GET')
        (reset,) = self.answer(question.host, EnvelopeKind.MISS, packet)
        self.assertIsInstance(reset, SendReset)

    def test_nobody_waits_for_a_former_start_elsewhere(self) -> None:
        """The id came back at another address, of another agent."""
        former = make_upstream(1)._replace(started=100)
        self.open_at(former)
        later = make_upstream(4)._replace(
            upstream_id=former.upstream_id,
            started=200,
        )
        self.put(3, later)
        self.now += 0.01
        (question,) = self.send(ACK, data=b'GET')
        self.assertEqual(question.host, later.address.host)
        packet = make_packet(FLOW, ACK, data=b'GET')
        (reset,) = self.answer(question.host, EnvelopeKind.MISS, packet)
        self.assertIsInstance(reset, SendReset)

    def test_the_id_may_come_back_with_another_service(self) -> None:
        """New flows of the former service do not go there."""
        former = make_upstream(1)._replace(started=100)
        self.put(2, former, make_upstream(2))
        self.put(3, former._replace(started=200, service='proof'))
        self.assertNotIn('10.0.0.1', self.list_hosts('board'))
        self.assertIn('10.0.0.1', self.list_hosts('proof'))

    def test_a_start_that_lapsed_is_not_kept_beside_the_later(self) -> None:
        """The entry went, and came back as another start."""
        former = make_upstream(1)._replace(started=100)
        self.put(2, former)
        self.put(3)
        self.put(4, former._replace(started=200))
        self.assertEqual(len(self.list_hosts('board')), 1)
        self.assertEqual(len(self.state.agents), 2)
        self.assertEqual(self.state.missing, set())

    def test_a_zone_that_got_cold_is_not_taken_for_a_start(self) -> None:
        """An agent that began since does not know all flows there."""
        self.boards[0] = self.boards[0]._replace(
            warm_up_seconds=2,
            reports=defaults.MAX_STARTUP_REPORTS + 1,
            started=100,
        )
        notices = read_notices(self.change(make_catalog(5, self.boards)))
        self.assertFalse(notices['10.0.0.1'].is_recent_start)
        self.assertEqual(notices['10.0.0.1'].warm_up_ms, 2000)

    def list_hosts(self, service: str) -> list[str]:
        """Return the hosts of a service's upstreams."""
        return [
            view.host for view in self.state.agents_by_service.get(service, ())
        ]


class StampTests(test_balancer.BalancerTestCase):
    """A verdict after a restart waits for changes that others know of."""

    def test_a_former_start_is_not_denied_from_an_old_catalog(self) -> None:
        """Another start elsewhere may hold the flow by now."""
        former = make_upstream(1)._replace(started=100)
        self.change(make_catalog(2, [former]))
        self.stamp = Stamp(9, may_lack_entries=False)
        effects = self.take(
            CallerPacket(self.now, make_packet(FLOW, ACK, data=b'GET')),
        )
        question = effects[0]
        packet = make_packet(FLOW, ACK, data=b'GET')
        answered = self.answer(question.host, EnvelopeKind.MISS, packet)
        self.assertFalse(any(isinstance(one, SendReset) for one in answered))
