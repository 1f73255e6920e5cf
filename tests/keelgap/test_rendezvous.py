"""Weighted rendezvous hashing."""

from collections import Counter
from random import Random
from unittest import TestCase

from keelgap.routing.rendezvous import WeightedSeed, rank_members


def count_firsts(weights: dict[str, float], keys: int = 6000) -> Counter[str]:
    """Return how often each member ranks first."""
    members = [
        (WeightedSeed(index, weight), name)
        for index, (name, weight) in enumerate(weights.items())
    ]
    random = Random(1)
    return Counter(
        rank_members(random.randbytes(8), members, 1)[0] for _ in range(keys)
    )


class RankTests(TestCase):
    """Shares follow weights, and changes move little."""

    def test_shares_follow_weights(self) -> None:
        """Each member gets its weight's share within 10 %."""
        weights = {'a': 1, 'b': 2, 'c': 3, 'd': 0}
        counts = count_firsts(weights)
        self.assertEqual(counts['d'], 0)
        for name in 'abc':
            self.assertAlmostEqual(
                counts[name] / 1000,
                weights[name],
                delta=0.1 * weights[name],
            )

    def test_removal_moves_only_the_removed_share(self) -> None:
        """Keys of other members stay where they are."""
        members = [(WeightedSeed(index, 1), index) for index in range(10)]
        random = Random(2)
        for _ in range(500):
            key = random.randbytes(8)
            before = rank_members(key, members, 2)
            after = rank_members(key, members[:-1], 1)[0]
            expected = before[1] if before[0] == 9 else before[0]
            self.assertEqual(after, expected)
