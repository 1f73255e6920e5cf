"""What balancers tell each other, and whom."""

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from keelgap.catalog.readers import ReaderClaim
from keelgap_balancer.packets.balancer_infos import BalancerInfo
from keelgap_balancer.packets.gossip import (
    GossipMessage,
    MalformedGossip,
    decode_gossip,
    encode_gossip,
)
from keelgap_balancer.packets.peers import PeerChange, PeerStatus


class MessageTests(TestCase):
    """Messages as octets."""

    def test_message_survives_the_wire(self) -> None:
        """Ages to the millisecond, up to a minute."""
        gossip = GossipMessage(
            2**40,
            is_reader=True,
            peers=('10.0.0.1', '10.0.0.255'),
            claims=(ReaderClaim('10.0.0.9', 0.25), ReaderClaim('10.1.0.9', 0)),
            incarnation=2**32 - 1,
            wants_reply=True,
            changes=(PeerChange('10.0.0.7', 3, PeerStatus.SUSPECTED),),
        )
        octets = encode_gossip(gossip)
        self.assertEqual(decode_gossip(octets), gossip)
        self.assertLess(len(octets), 50)
        placed = gossip._replace(
            balancer_infos=(BalancerInfo('10.0.0.8', 4, 5, 100),)
        )
        self.assertEqual(decode_gossip(encode_gossip(placed)), placed)
        old = gossip._replace(claims=(ReaderClaim('10.0.0.9', 1000.0),))
        (claim,) = decode_gossip(encode_gossip(old)).claims
        self.assertGreater(claim.age, 60)

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=80))
    def test_odd_messages_are_refused_by_type(self, octets: bytes) -> None:
        """Whatever their octets are."""
        try:
            gossip = decode_gossip(octets)
        except MalformedGossip:
            return
        self.assertEqual(decode_gossip(encode_gossip(gossip)), gossip)
