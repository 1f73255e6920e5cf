"""Flows of routes that got another service outlive restarts of balancers."""

from typing import Any
from unittest import TestCase

from keelgap.catalog.models import PacketRoute, TrafficShare
from keelgap.packets.envelopes import (
    NO_STAMP,
    REPORT_FORMAT,
    Envelope,
    EnvelopeKind,
    LoadReport,
    compute_service_tag,
    pack_report,
)
from keelgap.packets.exceptions import MalformedEnvelope
from keelgap.packets.route_services import (
    MAX_HELD_ROUTES,
    HeldRoutes,
    RouteService,
    pack_held_routes,
    pack_route_services,
    unpack_held_routes,
    unpack_route_services,
)
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.effects import Decided, SendReset, SendToAgent
from keelgap_balancer.packets.events import (
    CatalogChanged,
    EnvelopeArrived,
    TimerFired,
)
from keelgap_balancer.packets.state import PacketState
from tests.packets.building import (
    ACK,
    BOARD,
    FORMAT,
    make_catalog,
    make_packet,
    make_upstream,
)
from tests.packets.directory_machine import SmallDirectoryMachine
from tests.packets.machine import BALANCERS, PacketMachine, route_key
from tests.packets.test_balancer import FLOW, BalancerTestCase
from tests.packets.test_unlisted import speak_on_all

FIRST, SECOND = BALANCERS
BOARD_TAG = compute_service_tag('board')
PROOF_TAG = compute_service_tag('proof')
BOARD_KEY = route_key(BOARD)
MOVED = BOARD._replace(shares=(TrafficShare('proof', 1),))
REQUEST = make_packet(FLOW, ACK, data=b'GET')
IDLE = LoadReport(0, 0, 0, closed=False)


def open_flows(world: PacketMachine) -> None:
    """Open flows of both services through the first balancer."""
    for _ in range(4):
        world.open('board', FIRST, 0)
        world.open('proof', FIRST, 0)
    world.deliver_all()
    speak_on_all(world, FIRST)


def speak_everywhere(world: PacketMachine) -> None:
    """Let the routers move all flows to each balancer in turn."""
    for host in BALANCERS:
        speak_on_all(world, host)
        world.advance(0.2)
        world.deliver_all()


class MovedRouteSessionTests(TestCase):
    """Each guards against the reset of a flow whose upstream lives on.

    Its route had been sent to another service, and only that was asked.
    """

    def make_world(self) -> PacketMachine:
        """Return a world with open flows whose routes got other services."""
        world = PacketMachine()
        world.start()
        open_flows(world)
        world.move_routes(reader=FIRST, is_late=False)
        world.deliver_all()
        return world

    def check(self, world: PacketMachine) -> None:
        """All eight flows are open, and were reset by nobody."""
        world.learn(FIRST)
        world.learn(SECOND)
        speak_everywhere(world)
        held = set().union(*(one.open for one in world.upstreams.values()))
        self.assertGreaterEqual(len(held & world.flows.keys()), 8)

    def test_one_balancer_is_restarted(self) -> None:
        """As in the review's case."""
        world = self.make_world()
        world.restart_balancer(SECOND)
        self.check(world)

    def test_all_balancers_are_killed_at_once(self) -> None:
        """Only agents and upstreams remember."""
        world = self.make_world()
        world.kill_balancers()
        self.check(world)

    def test_balancers_are_restarted_in_turn_twice(self) -> None:
        """What they remember for each other is gone, too."""
        world = self.make_world()
        for host in (FIRST, SECOND, FIRST, SECOND):
            world.restart_balancer(host)
            world.advance(0.5)
            world.deliver_all()
        self.check(world)

    def test_all_programs_are_killed_at_once(self) -> None:
        """Only upstreams know what they hold."""
        world = self.make_world()
        world.kill_balancers()
        world.kill_agents()
        self.check(world)

    def test_table_changes_while_all_balancers_are_down(self) -> None:
        """Nobody ever had both tables."""
        world = PacketMachine()
        world.start()
        open_flows(world)
        world.kill_balancers()
        world.move_routes(reader=FIRST, is_late=True)
        self.check(world)

    def test_routes_go_elsewhere_and_back(self) -> None:
        """Flows opened in between live at the other service."""
        world = self.make_world()
        open_flows(world)
        world.move_routes(reader=FIRST, is_late=False)
        world.restart_balancer(SECOND)
        self.check(world)

    def test_first_messages_of_the_new_balancers_are_lost(self) -> None:
        """They wait for the agents of the other service."""
        world = self.make_world()
        world.kill_balancers()
        for host in BALANCERS:
            world.learn(host)
        world.in_flight.clear()
        speak_on_all(world, FIRST)
        self.check(world)

    def test_services_have_a_directory(self) -> None:
        """Nodes of the former service are asked, too."""
        world = SmallDirectoryMachine()
        world.start()
        world.deliver_all()
        open_flows(world)
        world.advance(1.0)
        world.move_routes(reader=FIRST, is_late=False)
        world.deliver_all()
        world.kill_balancers()
        self.check(world)


class MessageTests(TestCase):
    """What goes over the wire."""

    def test_messages_come_back_as_they_were(self) -> None:
        """Both kinds."""
        for flags in ((True, False), (False, True), (False, False)):
            held = HeldRoutes(flags[0], (BOARD_KEY, b'abcdef'), flags[1])
            self.assertEqual(unpack_held_routes(pack_held_routes(held)), held)
        rows = tuple(RouteService(BOARD_KEY, tag) for tag in range(300))
        contents = pack_route_services(rows)
        self.assertLess(max(map(len, contents)), 1240)
        read = [row for one in contents for row in unpack_route_services(one)]
        self.assertEqual(tuple(read), rows)

    def test_too_many_held_routes_are_incomplete(self) -> None:
        """What is left out may be asked for."""
        keys = tuple(n.to_bytes(6) for n in range(MAX_HELD_ROUTES + 1))
        packed = pack_held_routes(HeldRoutes(True, keys))  # noqa: FBT003
        self.assertFalse(unpack_held_routes(packed).is_complete)
        self.assertLess(len(packed), 1240)

    def test_octets_that_make_no_message_are_refused(self) -> None:
        """They come over a network."""
        for unpack, content in (
            (unpack_held_routes, b''),
            (unpack_held_routes, bytes(4)),
            (unpack_route_services, bytes(9)),
        ):
            with self.subTest(unpack), self.assertRaises(MalformedEnvelope):
                unpack(content)


class MovedRouteTestCase(BalancerTestCase):
    """A balancer that starts after the route of the board went to proofs."""

    #: Revision of the store at which the table was written.
    table_revision = 9

    def setUp(self) -> None:
        """Put the first catalog in force, whose upstreams are older."""
        super().setUp()
        self.begin()

    def begin(self, **fields: Any) -> None:
        """Start a balancer; fields are of the board's upstreams."""
        self.state = PacketState(FORMAT, 'a', self.now)
        board = self.boards[0]._replace(**{'created': 1, **fields})
        proof = self.proof._replace(created=1)
        catalog = make_catalog(10, [board, proof], (MOVED,))
        routes = catalog.routes._replace(revision=self.table_revision)
        self.change(catalog._replace(routes=routes))

    def say(
        self,
        host: str,
        service: str,
        kind: EnvelopeKind,
        content: bytes,
        slots: int = 0,
    ) -> list[Any]:
        """Let an agent send an envelope; return all effects."""
        tag = compute_service_tag(service)
        envelope = Envelope(kind, 0, slots, 0, 0, tag, content)
        return self.take(EnvelopeArrived(self.now, host, envelope, NO_STAMP))

    def tell(
        self,
        host: str,
        service: str,
        *keys: bytes,
        is_complete: bool | None = None,
        predates_upstream: bool = False,
    ) -> list[Any]:
        """Let an agent tell the routes that it holds."""
        if is_complete is None:
            is_complete = not predates_upstream
        held = pack_held_routes(
            HeldRoutes(is_complete, keys, predates_upstream)
        )
        report = pack_report(IDLE, REPORT_FORMAT) + held
        return self.say(host, service, EnvelopeKind.REPORT, report)

    def deny(self, host: str, service: str, slots: int = 0) -> list[Any]:
        """Let an agent deny the flow; return all effects."""
        return self.say(host, service, EnvelopeKind.MISS, REQUEST, slots)

    def list_asked(self, effects: list[Any]) -> list[str]:
        """Return the hosts that are asked for the flow."""
        return [
            effect.host
            for effect in effects
            if isinstance(effect, SendToAgent)
            and effect.envelope.kind == EnvelopeKind.SEARCH
        ]

    def was_reset(self, effects: list[Any]) -> bool:
        """Return whether the flow was."""
        return any(isinstance(effect, SendReset) for effect in effects)

    def pass_time(self, seconds: float) -> list[Any]:
        """Let time pass; return what the timer does."""
        self.now += seconds
        return self.take(TimerFired(self.now))


class JustStartedTests(MovedRouteTestCase):
    """It does not know which services the route had before."""

    def test_verdict_waits_until_the_other_service_has_told(self) -> None:
        """And its agent is asked if it holds flows of the route."""
        self.send(ACK, data=b'GET')
        self.assertFalse(self.was_reset(self.deny('10.0.0.9', 'proof')))
        told = self.tell('10.0.0.1', 'board', BOARD_KEY)
        self.assertEqual(self.list_asked(told), ['10.0.0.1'])
        self.assertTrue(self.was_reset(self.deny('10.0.0.1', 'board')))

    def test_an_agent_that_holds_no_flow_of_the_route_is_not_asked(
        self,
    ) -> None:
        """The flow is dead as soon as that is known."""
        self.send(ACK, data=b'GET')
        self.deny('10.0.0.9', 'proof')
        told = self.tell('10.0.0.1', 'board', b'abcdef')
        self.assertTrue(self.was_reset(told))

    def test_one_that_cannot_tell_all_is_asked(self) -> None:
        """It was restarted beside its upstream."""
        self.send(ACK, data=b'GET')
        self.deny('10.0.0.9', 'proof')
        told = self.tell('10.0.0.1', 'board', is_complete=False)
        self.assertEqual(self.list_asked(told), ['10.0.0.1'])

    def test_one_whose_upstream_is_younger_is_not_asked(self) -> None:
        """Nothing listened when it started, after an outage of all."""
        self.send(ACK, data=b'GET')
        self.deny('10.0.0.9', 'proof')
        told = self.tell('10.0.0.1', 'board', predates_upstream=True)
        self.assertTrue(self.was_reset(told))

    def test_one_whose_upstream_was_leaving_is_asked(self) -> None:
        """It may listen no more, and holds its flows."""
        self.begin(state='draining')
        self.send(ACK, data=b'GET')
        self.deny('10.0.0.9', 'proof')
        told = self.tell('10.0.0.1', 'board', predates_upstream=True)
        self.assertEqual(self.list_asked(told), ['10.0.0.1'])

    def test_one_whose_upstream_has_stopped_is_passed_over(self) -> None:
        """Nobody is there who could hold the flow."""
        self.send(ACK, data=b'GET')
        self.deny('10.0.0.9', 'proof')
        self.tell('10.0.0.1', 'board', is_complete=False)
        self.pass_time(defaults.UNSURE_SECONDS)
        # The first query may have been lost.
        self.assertFalse(self.was_reset(self.send(ACK, data=b'GET')))
        for _ in range(defaults.UNSURE_QUERIES):
            self.pass_time(defaults.SEARCH_STEP_TIMEOUT_SECONDS)
            self.send(ACK, data=b'GET')
        self.pass_time(defaults.UNSURE_SECONDS)
        self.send(ACK, data=b'GET')
        self.assertTrue(self.was_reset(self.deny('10.0.0.9', 'proof')))

    def test_those_of_earlier_releases_are_not_waited_for(self) -> None:
        """They never tell."""
        self.send(ACK, data=b'GET')
        self.deny('10.0.0.9', 'proof')
        report = pack_report(IDLE, 1)
        self.say('10.0.0.1', 'board', EnvelopeKind.REPORT, report)
        self.assertTrue(self.was_reset(self.pass_time(0.1)))

    def test_silent_ones_do_not_hold_up_verdicts_for_ever(self) -> None:
        """Callers of dead flows are told in the end."""
        self.send(ACK, data=b'GET')
        self.deny('10.0.0.9', 'proof')
        self.assertFalse(self.was_reset(self.pass_time(1.6)))
        self.pass_time(defaults.HELD_ROUTES_WAIT_SECONDS)
        self.send(ACK, data=b'GET')
        self.assertTrue(self.was_reset(self.deny('10.0.0.9', 'proof')))

    def test_silent_ones_are_polled_again_at_once(self) -> None:
        """They may have started together with this balancer."""
        polled = [
            effect.host
            for effect in self.pass_time(0.1)
            if isinstance(effect, SendToAgent)
        ]
        self.assertIn('10.0.0.1', polled)

    def test_nobody_is_waited_for_after_an_outage_of_everything(self) -> None:
        """All upstreams are younger than the table."""
        self.begin(created=10)
        self.send(ACK, data=b'GET')
        self.assertTrue(self.was_reset(self.deny('10.0.0.9', 'proof')))

    def test_an_entry_that_lapsed_is_of_no_young_upstream(self) -> None:
        """It was created again."""
        reports = defaults.MAX_FIRST_REPORTS + 1
        self.begin(created=10, reports=reports)
        self.send(ACK, data=b'GET')
        self.assertFalse(self.was_reset(self.deny('10.0.0.9', 'proof')))


class HeldElsewhereTests(MovedRouteTestCase):
    """Agents report flows of routes that do not lead to them."""

    def setUp(self) -> None:
        """Let the agents tell what they hold."""
        super().setUp()
        self.tell('10.0.0.9', 'proof', BOARD_KEY)

    def test_agents_of_the_route_are_told(self) -> None:
        """Balancers that start later ask them."""
        told = self.tell('10.0.0.1', 'board', BOARD_KEY)
        (sent,) = [one for one in told if isinstance(one, SendToAgent)]
        self.assertEqual(sent.host, '10.0.0.9')
        self.assertEqual(
            unpack_route_services(sent.envelope.content),
            (RouteService(BOARD_KEY, BOARD_TAG),),
        )

    def test_they_are_told_again_after_a_pause(self) -> None:
        """Not with each report."""
        self.tell('10.0.0.1', 'board', BOARD_KEY)
        again = self.tell('10.0.0.1', 'board', BOARD_KEY)
        self.assertFalse([one for one in again if isinstance(one, SendToAgent)])
        self.now += defaults.ROUTE_SERVICES_INTERVAL_SECONDS
        later = self.tell('10.0.0.1', 'board', BOARD_KEY)
        self.assertTrue([one for one in later if isinstance(one, SendToAgent)])

    def test_the_service_is_forgotten_with_its_flows(self) -> None:
        """They have reached the maximum age."""
        self.tell('10.0.0.1', 'board', BOARD_KEY)
        self.pass_time(defaults.FORMER_ROUTE_SECONDS + 1)
        self.send(ACK, data=b'GET')
        self.assertTrue(self.was_reset(self.deny('10.0.0.9', 'proof')))

    def test_services_that_left_the_table_are_asked(self) -> None:
        """Their upstreams have entries, and live on."""
        board = make_upstream(1)._replace(created=1)
        catalog = make_catalog(11, [self.proof], (MOVED,))
        unserved = {board.upstream_id: board}
        self.change(catalog._replace(unserved=unserved))
        self.send(ACK, data=b'GET')
        self.tell('10.0.0.1', 'board', BOARD_KEY)
        asked = self.deny('10.0.0.9', 'proof')
        self.assertEqual(self.list_asked(asked), ['10.0.0.1'])

    def test_an_agent_that_never_answers_is_given_up(self) -> None:
        """Others ask, and their callers are told in the end."""
        self.tell('10.0.0.1', 'board', BOARD_KEY)
        rounds = int(defaults.UNANSWERED_SECONDS) * 2 + 4
        for _ in range(rounds):
            self.pass_time(0.5)
            self.tell('10.0.0.1', 'board', BOARD_KEY)
            self.send(ACK, data=b'GET')
            if self.was_reset(self.deny('10.0.0.9', 'proof')):
                break
        else:
            self.fail('the caller waits for ever')
        self.assertGreater(self.now, defaults.UNANSWERED_SECONDS)


class AnnouncedTests(MovedRouteTestCase):
    """Agents of the present service name the others with a denial."""

    def setUp(self) -> None:
        """Let the agent of the board tell nothing of the route."""
        super().setUp()
        self.tell('10.0.0.1', 'board')
        self.send(ACK, data=b'GET')

    def announce(self, *rows: RouteService) -> list[Any]:
        """Let the agent of proofs tell of services."""
        (content,) = pack_route_services(rows)
        kind = EnvelopeKind.ROUTE_SERVICES
        return self.say('10.0.0.9', 'proof', kind, content)

    def test_a_named_service_is_asked(self) -> None:
        """It may be known to nobody else."""
        self.announce(RouteService(BOARD_KEY, BOARD_TAG))
        asked = self.deny('10.0.0.9', 'proof', slots=1)
        self.assertEqual(self.list_asked(asked), ['10.0.0.1'])

    def test_a_denial_without_its_announcement_does_not_count(self) -> None:
        """That was lost, and the agent is asked again."""
        denied = self.deny('10.0.0.9', 'proof', slots=1)
        self.assertFalse(self.was_reset(denied))
        asked = self.pass_time(defaults.LOOKUP_RETRY_SECONDS)
        self.assertEqual(self.list_asked(asked), ['10.0.0.9'])

    def test_an_earlier_announcement_is_not_enough(self) -> None:
        """Another service may have been named since."""
        self.announce(RouteService(BOARD_KEY, 0))
        self.now += defaults.ANNOUNCEMENT_SECONDS
        denied = self.deny('10.0.0.9', 'proof', slots=1)
        self.assertFalse(self.was_reset(denied))

    def test_malformed_announcements_are_counted(self) -> None:
        """They come over a network."""
        kind = EnvelopeKind.ROUTE_SERVICES
        effects = self.say('10.0.0.9', 'proof', kind, bytes(3))
        self.assertEqual(effects, [Decided('malformed_envelope')])


class ChangedTableTests(BalancerTestCase):
    """A balancer that has read both tables."""

    def move(self, routes: tuple[PacketRoute, ...]) -> list[Any]:
        """Put another table in force."""
        revision = self.state.catalog.revision + 1
        upstreams = [*self.boards, self.proof]
        return self.take(
            CatalogChanged(self.now, make_catalog(revision, upstreams, routes))
        )

    def list_members(self) -> set[str]:
        """Return the hosts that are asked for an unknown flow."""
        asked: set[str] = set()
        effects = self.send(ACK, data=b'GET')
        while effects and isinstance(effects[0], SendToAgent):
            (query,) = effects
            asked.add(query.host)
            effects = self.answer(query.host, EnvelopeKind.MISS, REQUEST)
        return asked

    def test_former_services_are_asked(self) -> None:
        """Those of the present table first."""
        self.move((MOVED,))
        (query,) = self.send(ACK, data=b'GET')
        self.assertEqual(query.host, '10.0.0.9')
        self.assertEqual(len(self.list_members()), 4)

    def test_a_removed_route_comes_back_with_another_service(self) -> None:
        """Its open flows are where they were."""
        self.move(())
        self.move((MOVED,))
        self.assertEqual(len(self.list_members()), 4)

    def test_a_service_that_lost_all_weight_is_asked(self) -> None:
        """It stays in the table."""
        shares = (TrafficShare('proof', 1), TrafficShare('board', 0))
        self.move((BOARD._replace(shares=shares),))
        self.assertEqual(len(self.list_members()), 4)

    def test_agents_of_the_route_are_told_of_the_former_service(self) -> None:
        """Balancers that start later ask them."""
        report = pack_report(IDLE, REPORT_FORMAT)
        held = pack_held_routes(HeldRoutes(True, ()))  # noqa: FBT003
        envelope = Envelope(
            EnvelopeKind.REPORT, 0, 0, 0, 0, PROOF_TAG, report + held
        )
        self.take(EnvelopeArrived(self.now, '10.0.0.9', envelope, NO_STAMP))
        sent = [
            effect
            for effect in self.move((MOVED,))
            if isinstance(effect, SendToAgent)
            and effect.envelope.kind == EnvelopeKind.ROUTE_SERVICES
        ]
        self.assertEqual([one.host for one in sent], ['10.0.0.9'])
