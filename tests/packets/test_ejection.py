"""Upstreams that fail requests are ejected, and come back."""

from collections import Counter
from unittest import TestCase

from keelgap.catalog.models import PacketRoute
from keelgap.packets.envelopes import EnvelopeKind
from keelgap.packets.features import NO_FEATURES
from keelgap_agent.packets.flows import Flow
from keelgap_agent.packets.outlier_ejection import defaults
from keelgap_agent.packets.outlier_ejection.ejection import Ejection
from tests.packets.building import (
    ACK,
    FORMAT,
    RST,
    SYN,
    FlowName,
    make_packet,
    make_upstream,
)
from tests.packets.ejection_world import (
    GOOD,
    ON,
    READ,
    WRITE,
    Treatment,
    World,
)


def serve(number: int, route: PacketRoute) -> str:
    """Answer every request well."""
    return GOOD


def many(*parts: tuple[Treatment, int]) -> list[Treatment]:
    """Return so many upstreams of each treatment."""
    return [treatment for treatment, count in parts for _ in range(count)]


def fail_all(how: str) -> Treatment:
    """Return an upstream that fails all requests in one way."""
    return lambda number, route: how


def hang_from(number: int) -> Treatment:
    """Return an upstream that answers so many requests, and then none."""
    return lambda seen, route: GOOD if seen < number else 'hang'


def fail_some(how: str, of_ten: int) -> Treatment:
    """Return an upstream that fails so many requests of ten, mixed."""
    return lambda number, route: how if number * 7 % 10 < of_ten else GOOD


def fail_from_tenth(resets: int) -> Treatment:
    """Return an upstream that resets so many requests from the tenth on."""
    return lambda number, route: 'reset' if 10 <= number < 10 + resets else GOOD


def list_resets(world: World, flow: FlowName) -> list[bytes]:
    """Return the resets that a caller got."""
    return [packet for packet in world.to_caller[flow.key] if packet[26] & RST]


def play(world: World, seconds: float, each_tick: int = 20) -> Counter[str]:
    """Send requests at a steady pace; two of three may be repeated."""
    ends: Counter[str] = Counter()
    for _ in range(round(seconds / 0.05)):
        for number in range(each_tick):
            route = WRITE if number % 3 == 0 else READ
            end = world.ask(route)
            ends[f'{end} {route.name}'] += 1
        world.advance(0.05)
    return ends


class FastFailureTests(TestCase):
    """An upstream that fails at once looks idle, and draws callers."""

    def test_three_of_forty_that_reset_lose_few_requests(self) -> None:
        """At most 5 that may run once, each; the way from mesalista."""
        bad = fail_all('reset')
        world = World(many((bad, 3), (serve, 37)))
        play(world, 8)
        for host in list(world.upstreams)[:3]:
            lost = world.upstreams[host].requests['reset r-write']
            self.assertLessEqual(lost, 5, host)
        self.assertEqual(world.list_ejected(), list(world.upstreams)[:3])

    def test_errors_lose_few_requests(self) -> None:
        """An upstream that answers all with errors."""
        world = World(many((fail_all('error'), 3), (serve, 37)))
        play(world, 8)
        for host in list(world.upstreams)[:3]:
            lost = world.upstreams[host].requests['error r-write']
            self.assertLessEqual(lost, 5, host)

    def test_two_resets_in_a_row_eject_and_one_does_not(self) -> None:
        """One failure proves little."""
        for resets, is_out in ((1, False), (2, True)):
            world = World([fail_from_tenth(resets), serve, serve])
            host = next(iter(world.upstreams))
            while world.upstreams[host].seen < 12 and not world.list_ejected():
                world.ask()
            self.assertEqual(bool(world.list_ejected()), is_out)

    def test_two_failures_in_five_eject_after_some_ten_requests(self) -> None:
        """However they fail."""
        for how in ('reset', 'error'):
            world = World([fail_some(how, 4), serve, serve])
            host = next(iter(world.upstreams))
            for _ in range(90):
                world.ask()
                if world.list_ejected():
                    break
            self.assertEqual(world.list_ejected(), [host], how)
            self.assertLessEqual(world.upstreams[host].seen, 15, how)

    def test_one_failure_in_a_hundred_never_ejects(self) -> None:
        """Applications fail now and then."""
        rare: Treatment = lambda number, route: (  # noqa: E731
            'reset' if number % 100 == 50 else GOOD
        )
        world = World([rare, rare])
        for _ in range(4000):
            world.ask()
        self.assertEqual(world.list_decided('upstream_ejected'), [])

    def test_errors_of_one_route_eject_nobody(self) -> None:
        """The application fails there; the other route is served."""
        grey: Treatment = lambda number, route: (  # noqa: E731
            'error' if route.name == WRITE.name else GOOD
        )
        world = World(many((grey, 1), (serve, 9)))
        play(world, 5, each_tick=12)
        self.assertEqual(world.list_ejected(), [])

    def test_refusals_for_want_of_room_are_no_failure(self) -> None:
        """More at work than slots; a refusal with free slots is one."""
        world = World([fail_all('shed'), serve, serve])
        host = next(iter(world.upstreams))
        for _ in range(60):
            world.ask()
        self.assertEqual(world.list_ejected(), [host])
        world = World([fail_all('shed'), serve, serve])
        agent = world.agents[host]
        for _ in range(world.rows[0].slots):
            agent.start_request(Flow(world.now), world.now)
        for _ in range(60):
            world.ask()
        self.assertEqual(world.list_ejected(), [])

    def test_those_who_wait_for_bad_answers_get_theirs(self) -> None:
        """Their flows are open to them, so a reset would save nobody."""
        world = World([fail_some('error', 6), serve])
        flows = [world.open() for _ in range(60)]
        ends = Counter(world.send_request(flow) for flow in flows)
        self.assertEqual(len(world.list_ejected()), 1)
        self.assertEqual(set(ends), {GOOD, 'error'})

    def test_closes_that_overtake_answers_are_none(self) -> None:
        """Their number tells that an answer is on its way."""
        world = World([serve, serve])
        ends = play(world, 2)
        self.assertEqual(set(ends), {'good r-read', 'good r-write'})
        self.assertEqual(world.list_decided('outcome_closed'), [])


class SignTests(TestCase):
    """Each sign of a failed request counts, and nothing like it."""

    def find_outcome(self, treatment: Treatment) -> str:
        """Return the last failure before one of two is ejected."""
        world = World([treatment, serve])
        for _ in range(60):
            world.ask()
            world.advance(0.05)
        self.assertEqual(world.list_ejected(), list(world.upstreams)[:1])
        ejected = world.list_decided('upstream_ejected')
        return str(ejected[0]['outcome'])

    def test_closes_before_any_answer_eject(self) -> None:
        """Their number tells that no octet was sent."""
        self.assertEqual(self.find_outcome(fail_all('close')), 'closed')

    def test_flows_that_are_forgotten_eject(self) -> None:
        """The upstream accepts them, and gives their first data back."""
        self.assertEqual(self.find_outcome(fail_all('forget')), 'forgotten')

    def test_some_silent_requests_among_good_ones_eject(self) -> None:
        """Those who came later are answered."""
        hangs: Treatment = lambda number, route: (  # noqa: E731
            'hang' if number in {9, 10} else GOOD
        )
        world = World([hangs])
        (host,) = world.upstreams
        play(world, 1, each_tick=3)
        self.assertEqual(world.list_ejected(), [host])
        (ejected,) = world.list_decided('upstream_ejected')
        self.assertEqual(ejected['outcome'], 'silent')
        self.assertGreater(world.agents[host].outcomes.responses, 4)

    def test_data_for_another_upstream_prove_nothing(self) -> None:
        """Their caller chose the one that answered its opening first."""
        for how in ('hang', 'reset', 'close'):
            world = World([fail_all(how)])
            for _ in range(4):
                flow = world.open()
                packet = make_packet(flow, ACK, ack=77, data=b'GET')
                world.send('10.1.0.1', packet)
            world.advance(2)
            found = {one.name for one in world.decided}
            self.assertEqual(world.list_ejected(), [], how)
            names = {name for name in found if name.startswith('outcome_')}
            self.assertEqual(names, set(), how)

    def test_openings_right_after_a_start_prove_nothing(self) -> None:
        """The upstream starts with its agent, and may need longer."""
        world = World([fail_all('mute'), serve, serve])
        host = next(iter(world.agents))
        world.restart_agent(host)
        world.agents[host].registrar.is_complete = True
        play(world, 2.5)
        self.assertEqual(world.list_decided('outcome_unopened'), [])
        play(world, 1.5)
        self.assertEqual(world.list_ejected(), [host])


class ProbationTests(TestCase):
    """How many trials there are, and what ends them."""

    def test_few_trials_at_once(self) -> None:
        """One more for each good answer, and at most four."""
        ejection = Ejection()
        ejection.eject(0, is_unresponsive=False)
        now = defaults.MIN_WAIT_SECONDS
        taken = []
        for good in range(defaults.RETURN_RESPONSES):
            keys = [b'%d %d' % (good, number) for number in range(9)]
            for key in keys:
                ejection.admit(key, now, is_trial=True)
            taken.append(len(ejection.trials))
            first = next(iter(ejection.trials))
            ejection.record_trial(first, now, is_good=True)
        self.assertEqual(taken, [1, 2, 3, 4, 4, 4, 4])
        self.assertTrue(ejection.has_passed())

    def test_seven_good_answers_end_an_ejection(self) -> None:
        """Fewer come of many upstreams that fail now and then."""
        world = World([serve, serve, serve])
        agent = next(iter(world.agents.values()))
        agent.outcomes.ejection.eject(world.now, is_unresponsive=False)
        agent.outcomes.has_unreported_change = True
        play(world, 3, each_tick=4)
        self.assertEqual(world.list_ejected(), [])
        trials = world.list_decided('upstream_trial')
        self.assertEqual(
            [one['good_trials'] for one in trials],
            [1, 2, 3, 4, 5, 6],
        )


class SlowTests(TestCase):
    """A healthy upstream that takes its time loses nobody."""

    def serve_slowly(self, seconds: float, usual: float = 0) -> World:
        """Ask one such upstream for as much as it has room for, and more."""
        world = World([fail_all('hang')])
        (host,) = world.agents
        if usual:
            world.agents[host].answer_seconds = usual
            world.agents[host].outcomes.responses = 1
        flows = [world.open() for _ in range(8)]
        for flow in flows:
            world.send_request(flow)
        self.assertGreater(len(world.agents[host].queued), 2)
        begun: dict[FlowName, float] = {}
        for _ in range(round((3 * seconds + 1) / 0.05)):
            in_flight = world.agents[host].workload.flows
            for flow in flows:
                found = world.agents[host].flows.get(flow.key)
                if found in in_flight:
                    begun.setdefault(flow, world.now)
            due = [
                flow
                for flow, since in begun.items()
                if world.now - since >= seconds
            ]
            for flow in due:
                world.answer(host, flow)
                flows.remove(flow)
                begun.pop(flow)
            world.advance(0.05)
        self.assertEqual(flows, [])
        self.assertEqual(world.list_decided('reset_ejected'), [])
        return world

    def test_first_answers_may_take_longer_than_a_second(self) -> None:
        """Nobody knows yet what is usual there."""
        self.assertEqual(self.serve_slowly(1.2).list_ejected(), [])

    def test_those_who_wait_for_the_first_answers_get_theirs(self) -> None:
        """An ejection may be wrong until then, and resets nobody."""
        self.serve_slowly(2)

    def test_quarter_of_the_usual_pace_ejects_nobody(self) -> None:
        """However long the usual time is."""
        for usual in (0.1, 0.45, 1.0):
            world = self.serve_slowly(4 * usual, usual)
            self.assertEqual(world.list_ejected(), [], usual)

    def test_late_answer_takes_the_failure_back(self) -> None:
        """It was slow, and not silent."""
        world = World([fail_all('hang')])
        (host,) = world.agents
        outcomes = world.agents[host].outcomes
        flow = world.open()
        world.send_request(flow)
        world.advance(1.6)
        self.assertEqual(outcomes.score.compute(world.now), 3)
        world.answer(host, flow)
        self.assertEqual(outcomes.score.compute(world.now), 0)
        self.assertEqual(world.read_end(flow), GOOD)

    def test_late_answers_end_the_resets(self) -> None:
        """The upstream was ejected as silent, and answers now."""
        world = World([hang_from(4)])
        (host,) = world.agents
        for _ in range(4):
            world.ask()
        silent = [world.open() for _ in range(4)]
        for flow in silent:
            world.send_request(flow)
        waiting = world.open()
        world.advance(1)
        self.assertEqual(world.list_ejected(), [host])
        world.upstreams[host].treatment = serve
        for flow in silent:
            world.answer(host, flow)
        self.assertEqual(world.send_request(waiting), GOOD)


class SilenceTests(TestCase):
    """An upstream that hangs is known before its callers' deadlines."""

    def test_hang_is_known_within_a_second(self) -> None:
        """Callers wait two seconds and more."""
        world = World([hang_from(10), serve, serve, serve])
        host = next(iter(world.upstreams))
        while world.upstreams[host].seen < 10:
            world.ask()
        play(world, 1.2)
        self.assertEqual(world.list_ejected(), [host])
        lost = world.upstreams[host].requests['hang']
        self.assertLessEqual(lost, 5)

    def test_hang_from_the_start_is_known_before_deadlines(self) -> None:
        """Later, for answers of more than a second may be usual there."""
        world = World([fail_all('hang'), serve, serve, serve])
        host = next(iter(world.upstreams))
        play(world, 1.7)
        self.assertEqual(world.list_ejected(), [host])
        lost = world.upstreams[host].requests['hang']
        self.assertLessEqual(lost, 5)

    def test_requests_that_wait_may_be_asked_again(self) -> None:
        """They never reached the upstream, nor will they."""
        world = World([hang_from(10), serve])
        host = next(iter(world.upstreams))
        upstream = world.upstreams[host]
        while upstream.seen < 10:
            world.ask()
        flows = [world.open() for _ in range(40)]
        for flow in flows:
            world.send_request(flow)
        world.advance(1.2)
        hung = upstream.requests['hang']
        self.assertLessEqual(hung, 5)
        ends = Counter(world.read_end(flow) for flow in flows)
        self.assertEqual(ends['silent'], hung)
        self.assertGreater(ends['reset before'], 5)
        # Their late packets never run.
        for flow in flows:
            if world.read_end(flow) == 'reset before':
                world.send_request(flow)
        self.assertEqual(upstream.requests['hang'], hung)

    def test_openings_without_an_answer_go_elsewhere(self) -> None:
        """An upstream whose process is gone, though its entry stands."""
        world = World([fail_all('mute'), serve, serve])
        flows = [world.open() for _ in range(30)]
        world.advance(0.5)
        self.assertEqual(
            {world.send_request(flow) for flow in flows},
            {GOOD},
        )

    def test_a_pause_of_the_upstream_resets_nobody(self) -> None:
        """Its openings are late, its requests are not."""
        world = World([hang_from(4), serve])
        host = next(iter(world.upstreams))
        while world.upstreams[host].seen < 4:
            world.ask()
        flows = [world.open() for _ in range(24)]
        for flow in flows:
            world.send_request(flow)
        self.assertGreater(len(world.agents[host].queued), 4)
        world.upstreams[host].treatment = fail_all('mute')
        for _ in range(8):
            for _ in range(4):
                world.open()
            world.advance(0.05)
        world.advance(0.2)
        self.assertEqual(world.list_decided('reset_ejected'), [])
        # What is found later counts: the requests are silent, too.
        world.upstreams[host].treatment = fail_all('hang')
        world.advance(1.2)
        self.assertEqual(world.list_ejected(), [host])
        self.assertGreater(len(world.list_decided('reset_ejected')), 4)

    def test_openings_of_one_moment_are_one_sign(self) -> None:
        """One short pause fails them all."""
        world = World([serve, serve])
        host = next(iter(world.upstreams))
        world.upstreams[host].treatment = fail_all('mute')
        flows = [world.open() for _ in range(30)]
        world.advance(0.4)
        self.assertEqual(len(world.list_decided('outcome_unopened')), 1)
        self.assertGreater(len(world.list_decided('miss_unopened')), 4)
        world.upstreams[host].treatment = serve
        self.assertEqual({world.send_request(flow) for flow in flows}, {GOOD})
        self.assertEqual(world.list_ejected(), [])

    def test_upstream_that_opens_nothing_is_ejected(self) -> None:
        """Openings of a few moments prove that it is gone."""
        world = World([fail_all('mute'), serve, serve])
        play(world, 0.6)
        self.assertEqual(world.list_ejected(), list(world.upstreams)[:1])

    def test_a_pause_of_the_agent_proves_nothing(self) -> None:
        """Its machine stood still, and the upstream's with it."""
        world = World([fail_all('mute'), serve, serve])
        for _ in range(30):
            world.open()
        world.now += 3
        world.advance(0.1)
        self.assertEqual(world.list_decided('outcome_unopened'), [])

    def test_callers_that_leave_are_no_failure(self) -> None:
        """A reset of the caller ends its request."""
        world = World(many((fail_all('hang'), 2)))
        for _ in range(4):
            flow = world.open()
            world.send_request(flow)
            world.send('10.1.0.1', make_packet(flow, 64, seq=4))
        world.advance(3)
        self.assertEqual(world.list_ejected(), [])


class ReturnTests(TestCase):
    """Probation: few requests that may be repeated, growing."""

    def test_upstream_returns_once_it_serves(self) -> None:
        """And a failing one is tried by repeatable requests only."""
        until = [False]
        sick: Treatment = lambda number, route: (  # noqa: E731
            GOOD if until[0] else 'reset'
        )
        world = World(many((sick, 1), (serve, 9)))
        host = next(iter(world.upstreams))
        play(world, 1, each_tick=5)
        self.assertEqual(world.list_ejected(), [host])
        lost = world.upstreams[host].requests['reset r-write']
        play(world, 4, each_tick=5)
        upstream = world.upstreams[host]
        self.assertEqual(upstream.requests['reset r-write'], lost)
        self.assertLessEqual(upstream.requests['reset'], lost + 6)
        until[0] = True
        play(world, 9, each_tick=5)
        self.assertEqual(world.list_ejected(), [])
        self.assertGreater(upstream.requests['good r-write'], 10)

    def test_service_without_repeatable_requests_returns(self) -> None:
        """After a while any request tries, one at a time."""
        until = [False]
        sick: Treatment = lambda number, route: (  # noqa: E731
            GOOD if until[0] else 'reset'
        )
        route = READ._replace(is_idempotent=False)
        world = World(many((sick, 1), (serve, 4)), routes=(route, WRITE))
        for _ in range(100):
            world.ask()
            world.advance(0.05)
        host = next(iter(world.upstreams))
        self.assertEqual(world.list_ejected(), [host])
        self.assertLessEqual(world.upstreams[host].requests['reset'], 5)
        until[0] = True
        for _ in range(800):
            world.ask()
            world.advance(0.05)
        self.assertEqual(world.list_ejected(), [])

    def test_balancers_of_the_release_before_do_not_shut_it_out(self) -> None:
        """They know no trials; one of their flows is taken now and then."""
        until = [False]
        sick: Treatment = lambda number, route: (  # noqa: E731
            GOOD if until[0] else 'reset'
        )
        world = World(many((sick, 1), (serve, 4)), features=NO_FEATURES)
        for agent in world.agents.values():
            agent.features = ON
        world.are_balancers_old = True
        host = next(iter(world.upstreams))
        for _ in range(60):
            world.ask()
            world.advance(0.05)
        self.assertEqual(world.list_ejected(), [host])
        until[0] = True
        for _ in range(900):
            world.ask()
            world.advance(0.05)
        self.assertEqual(world.list_ejected(), [])

    def test_flapping_upstream_waits_longer_each_time(self) -> None:
        """So it costs less and less."""
        world = World(many((serve, 1), (serve, 4)))
        host = next(iter(world.upstreams))
        world.upstreams[host].treatment = lambda number, route: (
            'reset' if int(world.now) % 4 < 2 else GOOD
        )
        play(world, 20, each_tick=4)
        waits = [one['wait'] for one in world.list_decided('upstream_ejected')]
        trials = [one['wait'] for one in world.list_decided('upstream_trial')]
        self.assertGreaterEqual(max(waits + trials), 4)
        lost = world.upstreams[host].requests['reset r-write']
        self.assertLessEqual(lost, 8)

    def test_agent_that_is_restarted_judges_anew(self) -> None:
        """It knows nothing of before: that costs some requests."""
        world = World(many((fail_all('reset'), 1), (serve, 9)))
        host = next(iter(world.upstreams))
        play(world, 1, each_tick=5)
        before = world.upstreams[host].requests['reset']
        world.restart_agent(host)
        world.advance(0.3)
        self.assertEqual(world.list_ejected(), [])
        play(world, 0.8, each_tick=5)
        self.assertEqual(world.list_ejected(), [host])
        lost = world.upstreams[host].requests['reset'] - before
        self.assertLessEqual(lost, 5)

    def test_upstream_that_started_anew_is_not_ejected(self) -> None:
        """Its score is another one's; the notice tells."""
        world = World(many((fail_all('reset'), 1), (serve, 4)))
        host = next(iter(world.upstreams))
        play(world, 1, each_tick=5)
        self.assertEqual(world.list_ejected(), [host])
        row = make_upstream(1, generation=1)
        world.rows[0] = row._replace(revision=9, started=9)
        world.learn(2)
        world.upstreams[host].treatment = serve
        world.advance(1.2)
        self.assertEqual(world.list_ejected(), [])


class RestartedAgentTests(TestCase):
    """An agent that is younger than its upstream knows not all flows."""

    def reopen(self, treatment: str) -> tuple[World, FlowName]:
        """Return a flow of which a copy came late, beside a silent upstream."""
        world = World([fail_all('hang')])
        (host,) = world.agents
        flow = world.open()
        world.send_request(flow)
        world.restart_agent(host)
        world.upstreams[host].treatment = serve
        world.ask()
        world.upstreams[host].treatment = fail_all(treatment)
        world.advance(defaults.STARTUP_GRACE_SECONDS)
        world.send('10.1.0.1', make_packet(flow, SYN, ack=1))
        for _ in range(8):
            world.send_request(world.open())
        for _ in range(4):
            world.open()
            world.advance(0.3)
            if treatment == 'hang':
                world.send_request(flow)
        self.assertEqual(world.list_ejected(), [host])
        return world, flow

    def test_no_open_flow_is_reset(self) -> None:
        """A late copy of its opening packet makes it look like a new one."""
        world, flow = self.reopen('hang')
        self.assertEqual(list_resets(world, flow), [])

    def test_no_open_flow_is_given_back(self) -> None:
        """Nobody else could serve it."""
        world, flow = self.reopen('mute')
        for upstream in world.upstreams.values():
            upstream.treatment = serve
        world.advance(1)
        self.assertEqual(world.send_request(flow), GOOD)
        self.assertEqual(list_resets(world, flow), [])


class GivenUpTests(TestCase):
    """What comes late of a flow that its agent gave up."""

    def hold(self) -> tuple[World, str, FlowName]:
        """Return a flow that waits for a silent upstream with no room."""
        world = World([hang_from(4)])
        (host,) = world.agents
        for _ in range(4):
            world.ask()
        for _ in range(4):
            world.send_request(world.open())
        flow = world.open()
        world.send_request(flow)
        return world, host, flow

    def test_request_that_chose_another_upstream_goes_there(self) -> None:
        """A second opening here is late; its balancer waits for no word."""
        world = World([hang_from(4), serve])
        host, other = world.upstreams
        while world.upstreams[host].seen < 4:
            world.ask()
        while world.agents[host].has_capacity:
            world.send_request(world.open())
        world.upstreams[host].treatment = fail_all('mute')
        flow = FlowName('100.64.0.8', 1, WRITE)
        balancers = sorted(world.balancers)
        for balancer, chosen in zip(balancers, (other, host), strict=True):
            for view in world.balancers[balancer].agents.values():
                view.flows_since_report = 0 if view.host == chosen else 50
            world.send(balancer, make_packet(flow, SYN))
        self.assertIn(flow.key, world.upstreams[other].open)
        self.assertIn(flow.key, world.agents[host].queued)
        request = make_packet(flow, ACK, ack=1001, data=b'GET')
        world.send(balancers[1], request)
        self.assertEqual(world.read_end(flow), 'silent')
        world.sent.clear()
        world.advance(0.4)
        missed = [
            FORMAT.data_length(envelope.content)
            for _, sender, envelope in world.sent
            if sender == host and envelope.kind == EnvelopeKind.MISS
        ]
        self.assertEqual(missed, [len(b'GET')])
        self.assertEqual(world.read_end(flow), GOOD)

    def test_caller_that_leaves_frees_its_trial(self) -> None:
        """It leaves before its request could pass."""
        world, host, flow = self.hold()
        world.advance(1)
        agent = world.agents[host]
        self.assertEqual(world.list_ejected(), [host])
        trial = FlowName('100.64.0.8', 1, READ)
        agent.outcomes.ejection.wait_seconds = 0
        agent.outcomes.ejection.update(world.now)
        world.send('10.1.0.1', make_packet(trial, SYN))
        self.assertIn(trial.key, agent.outcomes.ejection.trials)
        world.send('10.1.0.1', make_packet(trial, RST, seq=4))
        self.assertEqual(agent.outcomes.ejection.trials, {})

    def test_silent_trial_fails_though_another_is_answered(self) -> None:
        """Answers are rare then, so none is overtaken by many."""
        world, host, _ = self.hold()
        agent = world.agents[host]
        agent.answer_seconds = 0.1
        first = next(iter(agent.outcomes.in_flight)).key
        world.advance(1)
        ejection = agent.outcomes.ejection
        ejection.wait_seconds = 0
        ejection.update(world.now)
        world.send_request(world.open(READ))
        self.assertEqual(len(ejection.trials), 1)
        port = int.from_bytes(first[4:6], 'little')
        world.answer(host, FlowName('100.64.0.7', port, WRITE))
        world.advance(defaults.MAX_RESPONSE_TIMEOUT_SECONDS + 0.1)
        (trial,) = world.list_decided('upstream_trial')
        self.assertEqual(trial['outcome'], 'silent')

    def test_trial_of_a_slow_upstream_is_given_its_time(self) -> None:
        """Else it would end without an outcome, and the next begin at once."""
        world = World([fail_all('hang')])
        (host,) = world.agents
        agent = world.agents[host]
        agent.answer_seconds = 2
        agent.outcomes.ejection.eject(world.now, is_unresponsive=True)
        world.advance(1.2)
        trial = world.open(READ)
        world.send_request(trial)
        world.advance(9)
        self.assertIn(trial.key, agent.outcomes.ejection.trials)
        world.advance(1.2)
        (failed,) = world.list_decided('upstream_trial')
        self.assertEqual(failed['outcome'], 'silent')

    def test_port_that_is_used_again_is_served(self) -> None:
        """A new flow of a caller that was reset has the same ends."""
        world, host, flow = self.hold()
        world.advance(1)
        self.assertEqual(world.read_end(flow), 'reset before')
        for retransmissions, kinds in ((1, []), (0, [EnvelopeKind.MISS])):
            world.sent.clear()
            world.send('10.1.0.1', make_packet(flow, SYN, ack=retransmissions))
            told = [
                envelope.kind
                for _, sender, envelope in world.sent
                if sender == host and envelope.kind == EnvelopeKind.MISS
            ]
            self.assertEqual(told[:1], kinds)


class FleetTests(TestCase):
    """What balancers make of it."""

    def test_where_most_fail_none_is_left_out(self) -> None:
        """A cause that most share is not theirs; requests still pass."""
        world = World(many((fail_all('error'), 8), (serve, 2)))
        ends = play(world, 4, each_tick=10)
        good = sum(count for end, count in ends.items() if GOOD in end)
        self.assertGreater(good, 0)
        self.assertNotIn('reset before r-write', ends)
        self.assertNotIn('unopened r-write', ends)

    def test_all_fail_and_all_are_tried(self) -> None:
        """Nobody is refused for want of an upstream."""
        world = World(many((fail_all('error'), 6)))
        ends = play(world, 3, each_tick=6)
        self.assertEqual(set(ends), {'error r-read', 'error r-write'})

    def test_a_balancer_that_is_behind_costs_no_request(self) -> None:
        """The agent gives the flow back, and the reason first."""
        world = World(many((fail_all('reset'), 1), (serve, 9)))
        host = next(iter(world.upstreams))
        play(world, 1, each_tick=5)
        lost = world.upstreams[host].requests['reset']
        for balancer in world.balancers.values():
            balancer.ejections.ejected_since.clear()
            balancer.ejections.awaiting_trial.clear()
        ends = Counter(world.ask() for _ in range(40))
        self.assertEqual(set(ends), {GOOD})
        self.assertEqual(world.upstreams[host].requests['reset'], lost)
        for balancer in world.balancers.values():
            self.assertLessEqual(len(balancer.ejections.ejected_since), 1)

    def test_copy_of_an_opening_stays_with_its_agent(self) -> None:
        """An ejection meanwhile opens no second flow."""
        world = World(many((serve, 4)))
        flow = world.open(READ)
        key = flow.key
        (holder,) = [
            host for host, agent in world.agents.items() if key in agent.flows
        ]
        agent = world.agents[holder]
        agent.outcomes.ejection.eject(
            world.now,
            is_unresponsive=True,
        )
        agent.outcomes.has_unreported_change = True
        world.advance(0.05)
        for host in world.balancers:
            if world.balancers[host].owners.get(key) is not None:
                world.send(host, make_packet(flow, SYN, ack=1))
        holders = [
            host for host, one in world.upstreams.items() if key in one.open
        ]
        self.assertEqual(holders, [holder])

    def test_agents_behind_a_partition_return(self) -> None:
        """What is believed comes from their reports only."""
        world = World(many((serve, 6)))
        cut = set(list(world.agents)[:2])
        for host in cut:
            world.agents[host].outcomes.ejection.eject(
                world.now,
                is_unresponsive=True,
            )
            world.agents[host].outcomes.has_unreported_change = True
        world.advance(0.1)
        world.cut_off = cut
        ends = Counter(world.ask() for _ in range(20))
        self.assertEqual(set(ends), {GOOD})
        world.cut_off = set()
        play(world, 6, each_tick=6)
        self.assertEqual(world.list_ejected(), [])
        for balancer in world.balancers.values():
            self.assertEqual(balancer.ejections.ejected_since, {})

    def test_only_repeatable_requests_are_sent_as_trials(self) -> None:
        """One that may run once goes where requests are served."""
        world = World(many((fail_all('reset'), 1), (serve, 4)))
        play(world, 6, each_tick=5)
        ports = {
            FORMAT.route_key(envelope.content)
            for _, _, envelope in world.sent
            if envelope.kind == EnvelopeKind.TRY
        }
        self.assertEqual(ports, {FORMAT.make_route_key(READ.host, READ.port)})


class NothingFailsTests(TestCase):
    """Where nothing fails, each decision is the one of before."""

    def test_recorded_arrivals_are_served_alike(self) -> None:
        """Both codes send the same envelopes in the same order."""
        worlds = []
        for features in (NO_FEATURES, None):
            treatments: list[Treatment] = many((serve, 12))
            world = (
                World(treatments)
                if features is None
                else World(
                    treatments,
                    features=features,
                )
            )
            play(world, 4, each_tick=15)
            flows = [world.open(READ, retransmissions=2) for _ in range(20)]
            for flow in flows:
                world.send('10.1.0.1', make_packet(flow, ACK))
            world.advance(2)
            worlds.append(world)
        before, after = worlds
        self.assertEqual(before.sent, after.sent)
        self.assertEqual(before.to_caller, after.to_caller)

    def test_healthy_upstream_loses_nothing_by_a_false_ejection(self) -> None:
        """It is back within seconds, and no request fails."""
        world = World(many((serve, 5)))
        host = next(iter(world.agents))
        world.agents[host].outcomes.ejection.eject(
            world.now,
            is_unresponsive=True,
        )
        world.agents[host].outcomes.has_unreported_change = True
        ends = play(world, 5, each_tick=6)
        self.assertEqual(set(ends), {'good r-read', 'good r-write'})
        self.assertEqual(world.list_ejected(), [])
        wait_seconds = defaults.MIN_WAIT_SECONDS
        (returned,) = world.list_decided('upstream_returned')
        self.assertEqual(returned['wait'], wait_seconds)
