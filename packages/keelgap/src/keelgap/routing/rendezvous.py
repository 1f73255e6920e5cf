"""Weighted rendezvous hashing (Thaler and Ravishankar, 1998).

All processes with the same table rank the same upstreams in the same order
for the same key, and a change of one row moves only that row's share.
"""

import math
from collections.abc import Iterable
from heapq import nsmallest
from typing import Final, NamedTuple, TypeVar

from xxhash import xxh3_64_intdigest

__all__ = ('Weighted', 'rank')

_HASH_BITS: Final = 64
_HASH_RANGE: Final = float(1 << _HASH_BITS)

_MemberT = TypeVar('_MemberT')


class Weighted(NamedTuple):
    """A member of a ranking: its hash seed and its weight."""

    seed: int
    weight: float


def rank(
    key: bytes,
    members: Iterable[tuple[Weighted, _MemberT]],
    count: int,
) -> list[_MemberT]:
    """Return the first members for a key, best first.

    Members of weight 0 or less take no part.
    """
    digest = xxh3_64_intdigest
    log = math.log
    # -ln(u) / weight is exponential with the weight as its rate; the smallest
    # of such draws falls on each member in proportion to its weight.
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
