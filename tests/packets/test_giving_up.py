"""What on-call engineers learn of a flow that was neither found nor reset."""

from keelgap.packets.envelopes import EnvelopeKind
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.effects import Decided
from keelgap_balancer.packets.events import TimerFired
from tests.packets import test_balancer
from tests.packets.building import ACK, SYN, make_packet


class GivingUpTests(test_balancer.BalancerTestCase):
    """A search that comes to no result within a second."""

    def give_up(self) -> list[Decided]:
        """Let the time of all searches pass; return the lines about them."""
        self.now += defaults.SEARCH_TIMEOUT_SECONDS + 0.1
        effects = self.take(TimerFired(self.now))
        return [
            one
            for one in effects
            if isinstance(one, Decided) and one.name == 'search_given_up'
        ]

    def test_the_line_names_who_did_not_deny(self) -> None:
        """Two agents denied; the third was silent."""
        packet = make_packet(test_balancer.FLOW, ACK, data=b'GET')
        (question,) = self.send(ACK, data=b'GET')
        for _ in range(2):
            (question,) = self.answer(
                question.host,
                EnvelopeKind.MISS,
                packet,
            )
        (line,) = self.give_up()
        assert line.fields is not None  # noqa: S101
        self.assertEqual(line.fields['hosts'], [question.host])
        self.assertEqual(line.fields['undenied'], 1)
        self.assertEqual(line.fields['asked'], 3)

    def test_new_flows_that_went_round_need_no_line(self) -> None:
        """Their opening was offered to several agents."""
        (offer,) = self.send(SYN)
        packet = make_packet(test_balancer.FLOW, SYN)
        self.answer(offer.host, EnvelopeKind.MISS, packet)
        self.assertEqual(self.give_up(), [])
