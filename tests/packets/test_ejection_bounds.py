"""What balancers do where few upstreams, or none, are left to serve."""

from collections import Counter
from unittest import TestCase, mock

from keelgap.packets.envelopes import EnvelopeKind
from keelgap_agent.packets.outlier_ejection import defaults as agent_defaults
from keelgap_balancer.packets import defaults, ejection
from keelgap_balancer.packets.ejection import find_excluded
from keelgap_balancer.packets.state import PacketState
from tests.packets.building import ACK, SYN, FlowName, make_packet
from tests.packets.ejection_world import ON, WRITE, World
from tests.packets.test_ejection import fail_all, fail_some, many, serve

_OPEN = EnvelopeKind.OPEN


def send_open(world: World, balancer: str, flow: FlowName, host: str) -> None:
    """Send an opening packet through a balancer that prefers a host."""
    for view in world.balancers[balancer].agents.values():
        view.flows_since_report = 0 if view.host == host else 50
    retransmissions = len(world.to_caller.get(flow.key, ()))
    world.send(balancer, make_packet(flow, SYN, ack=retransmissions))


class LateMissTests(TestCase):
    """An opening comes back when its flow may be open elsewhere."""

    def open_twice(self, world: World) -> FlowName:
        """Open a flow at the second upstream; a copy waits at the first."""
        mute, good = world.upstreams
        first, second = sorted(world.balancers)
        flow = FlowName('100.64.0.7', 60000, WRITE)
        send_open(world, first, flow, good)
        send_open(world, second, flow, mute)
        request = make_packet(flow, ACK, ack=1001, data=b'GET')
        world.send(first, request)
        self.assertIn(flow.key, world.upstreams[good].open)
        world.rows[1] = world.rows[1]._replace(state='draining', revision=2)
        world.learn(2)
        return flow

    def test_flow_open_at_a_draining_upstream_is_not_reset(self) -> None:
        """A mute upstream gave a copy back, and nobody else takes flows."""
        world = World([fail_all('mute'), serve])
        flow = self.open_twice(world)
        world.advance(0.5)
        self.assertEqual(len(world.list_decided('miss_unopened')), 1)
        self.assertEqual(world.list_decided('reset_no_taker'), [])
        self.assertEqual(len(world.list_decided('no_taker_late')), 1)
        self.assertEqual(world.read_end(flow), 'good')

    def test_next_copy_is_offered_anew(self) -> None:
        """The caller whose flow opened nowhere is not left alone."""
        world = World([fail_all('mute'), serve])
        flow = FlowName('100.64.0.7', 60001, WRITE)
        mute, good = world.upstreams
        balancer = sorted(world.balancers)[0]
        world.rows[1] = world.rows[1]._replace(state='draining', revision=2)
        world.learn(2)
        send_open(world, balancer, flow, mute)
        world.advance(0.5)
        self.assertNotIn(flow.key, world.to_caller)
        world.rows[1] = world.rows[1]._replace(state='active', revision=3)
        world.learn(3)
        send_open(world, balancer, flow, good)
        self.assertEqual(world.send_request(flow), 'good')

    def test_prompt_miss_is_still_told(self) -> None:
        """A flow that nobody takes is reset at once, as ever."""
        world = World([serve])
        for agent in world.agents.values():
            agent.stopping_since = world.now
        self.assertEqual(world.ask(), 'reset before')

    def test_earlier_balancer_gets_none_back_late(self) -> None:
        """It would reset a flow that is open elsewhere."""
        world = World([fail_all('mute'), serve])
        world.are_balancers_old = True
        world.advance(1)
        self.open_twice(world)
        world.advance(0.5)
        self.assertEqual(world.list_decided('miss_unopened'), [])
        self.assertEqual(world.list_decided('reset_no_taker'), [])


def eject(world: World, hosts: list[str]) -> None:
    """Let agents find that their upstreams fail, and tell all balancers."""
    for host in hosts:
        outcomes = world.agents[host].outcomes
        outcomes.ejection.eject(world.now, is_unresponsive=False)
        outcomes.has_unreported_change = True
    world.advance(0.05)


def hear(balancer: PacketState, hosts: list[str], now: float) -> None:
    """Let a balancer hear at once that upstreams are ejected."""
    for host in hosts:
        view = balancer.agents_by_host[host]
        report = view.report._replace(is_ejected=True)
        ejection.record_ejection(balancer, view, report, now)


def play(world: World, seconds: float) -> Counter[str]:
    """Send 120 requests a second; return how they ended."""
    ends: Counter[str] = Counter()
    for _ in range(round(seconds / 0.05)):
        ends.update(world.ask() for _ in range(6))
        world.advance(0.05)
    return ends


class NobodyElseTests(TestCase):
    """All upstreams of a service fail, and none can be left out."""

    def test_few_upstreams_get_what_nobody_else_takes(self) -> None:
        """Each errs on six of ten: four in ten are served, none refused."""
        for count in (1, 2, 3, 4):
            world = World(many((fail_some('error', 6), count)))
            ends = play(world, 6)
            self.assertTrue(world.list_decided('upstream_ejected'), count)
            self.assertEqual(set(ends), {'good', 'error'}, count)
            self.assertGreater(ends['good'], 250, count)

    def test_few_serve_at_once_after_an_outage_behind_them(self) -> None:
        """A store of theirs was away for two seconds."""
        for count in (1, 2, 3):
            world = World(many((fail_all('error'), count)))
            play(world, 2)
            for upstream in world.upstreams.values():
                upstream.treatment = serve
            self.assertEqual(play(world, 2), {'good': 240}, count)

    def test_last_one_is_asked_again_when_the_others_leave(self) -> None:
        """The only one that serves drains, which no balancer knows yet."""
        world = World([serve, serve, serve])
        hosts = list(world.agents)
        eject(world, hosts[:1])
        for host in hosts[1:]:
            world.agents[host].stopping_since = world.now
        self.assertEqual(world.ask(), 'good')

    def test_flow_that_nobody_can_take_is_refused(self) -> None:
        """Offers end, though an ejected upstream gives them back again."""
        world = World([serve, serve])
        eject(world, list(world.agents))
        for agent in world.agents.values():
            agent.stopping_since = world.now
        self.assertEqual(world.ask(), 'reset before')

    def test_both_programs_agree_on_forced_offers(self) -> None:
        """An ejected upstream is made to take what the balancer says."""
        self.assertEqual(
            defaults.FORCED_ACCEPT_HOP, agent_defaults.FORCED_ACCEPT_HOP
        )


class ServingShareTests(TestCase):
    """Whether ejected upstreams are left out."""

    def test_silent_agents_do_not_count_as_serving(self) -> None:
        """Eight of twelve are cut off, the others ejected and well."""
        world = World(many((serve, 12)))
        hosts = list(world.agents)
        eject(world, hosts[:4])
        world.cut_off = set(hosts[4:])
        for _ in range(30):
            world.open()
        world.advance(0.5)
        self.assertEqual(play(world, 1), {'good': 120})

    def test_who_gave_a_flow_back_still_counts(self) -> None:
        """Two of four are ejected, and a third is about to leave."""
        world = World(many((serve, 4)))
        hosts = list(world.agents)
        eject(world, hosts[:2])
        world.sent.clear()
        for _ in range(30):
            world.agents[hosts[2]].stopping_since = world.now
            self.assertEqual(world.ask(), 'good')
        offered = Counter(
            host for host, _, envelope in world.sent if envelope.kind == _OPEN
        )
        self.assertEqual(offered.keys(), set(hosts[2:]))

    def test_few_drawn_from_a_large_service_do_not_decide(self) -> None:
        """Of 80 a tenth is ejected; flows that draw those go elsewhere."""
        world = World(many((serve, 80)), features=ON._replace(placement=True))
        hosts = list(world.agents)
        eject(world, hosts[:8])
        world.sent.clear()
        for _ in range(200):
            self.assertEqual(world.ask(), 'good')
        offered = {
            host for host, _, envelope in world.sent if envelope.kind == _OPEN
        }
        self.assertFalse(offered & set(hosts[:8]))

    def test_most_of_a_large_service_are_not_left_out(self) -> None:
        """Of 80 three quarters are ejected: the cause is not theirs."""
        world = World(many((serve, 80)), features=ON._replace(placement=True))
        hosts = list(world.agents)
        eject(world, hosts[:60])
        world.sent.clear()
        for _ in range(200):
            self.assertEqual(world.ask(), 'good')
        offered = {
            host for host, _, envelope in world.sent if envelope.kind == _OPEN
        }
        self.assertGreater(len(offered & set(hosts[:60])), 20)

    def test_large_services_are_not_looked_over_for_each_flow(self) -> None:
        """A burst of new flows; one more ejection counts at once."""
        world = World(many((serve, 80)), features=ON._replace(placement=True))
        hosts = list(world.agents)
        balancer = world.balancers['10.1.0.1']
        hear(balancer, hosts[:40], world.now)
        patch = mock.patch.object(
            ejection,
            '_has_enough_slots',
            wraps=getattr(ejection, '_has_enough_slots'),
        )
        with patch as looked:
            for _ in range(50):
                world.now += 0.001
                self.assertTrue(find_excluded(balancer, 'board', world.now))
        self.assertLess(looked.call_count, 4)
        hear(balancer, hosts[40:41], world.now)
        self.assertFalse(find_excluded(balancer, 'board', world.now))
