"""Compare effects with their types: NamedTuples alone compare as tuples."""

from collections.abc import Iterable
from typing import Any

__all__ = ('typed',)


def typed(effects: Iterable[Any]) -> list[tuple[Any, ...]]:
    """Return the effects, each with the name of its type in front."""
    return [(type(effect).__name__, *effect) for effect in effects]
