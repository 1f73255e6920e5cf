"""Weighted rendezvous hashing (Thaler and Ravishankar, 1998).

For a given key, all processes with the same table rank the upstreams in the
same order, and a change of one row moves only the share of that row.
"""

import math
from collections.abc import Iterable
from heapq import nsmallest
from typing import Final, NamedTuple, TypeVar

from xxhash import xxh3_64_intdigest

__all__ = ('WeightedSeed', 'rank_members')

_HASH_BITS: Final = 64
_HASH_RANGE: Final = float(1 << _HASH_BITS)

_MemberT = TypeVar('_MemberT')


class WeightedSeed(NamedTuple):
    """A member of a ranking: its hash seed and its weight."""

    seed: int
    weight: float


def rank_members(
    key: bytes,
    members: Iterable[tuple[WeightedSeed, _MemberT]],
    count: int,
) -> list[_MemberT]:
    """Return the highest-ranked members for a key, best first.

    Members with a weight of 0 or less are excluded.
    """
    digest = xxh3_64_intdigest
    log = math.log
    # For uniform u, -ln(u) / weight is exponentially distributed with the
    # weight as its rate, so that the probability of a member to have the
    # smallest value is proportional to its weight.
    scored = [
        (
            -log((digest(key, weighted.seed) + 1) / _HASH_RANGE)
            / weighted.weight,
            index,
            member,
        )
        for index, (weighted, member) in enumerate(members)
        if weighted.weight > 0
    ]
    return [member for _, _, member in nsmallest(count, scored)]
