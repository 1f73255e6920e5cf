"""A bounded cache that evicts values not used recently."""

from typing import Generic, TypeVar

__all__ = ('GenerationalCache',)

ValueT = TypeVar('ValueT')


class GenerationalCache(Generic[ValueT]):
    """Cache of values by flow key, in two generations.

    A value expires one to two periods after it was last put or read, or
    earlier if the young generation reaches ``max_per_generation`` values.
    """

    def __init__(
        self, period: float, max_per_generation: int, now: float
    ) -> None:
        """Initialize an empty cache; the period is in seconds."""
        self.period = period
        self.max_per_generation = max_per_generation
        #: Values put or read since the latest rotation.
        self.young: dict[bytes, ValueT] = {}
        #: Values of the rotation before that, not read since.
        self.old: dict[bytes, ValueT] = {}
        self.rotate_at = now + period

    def __len__(self) -> int:
        """Return an upper bound of the number of values.

        A key that was put again may be in both generations.
        """
        return len(self.young) + len(self.old)

    def get(self, key: bytes) -> ValueT | None:
        """Return the value of a key or None; a read value expires later."""
        found = self.young.get(key)
        if found is None:
            found = self.old.pop(key, None)
            if found is not None:
                self.young[key] = found
        return found

    def put(self, key: bytes, value: ValueT) -> None:
        """Store a value; evict the old generation if the young one is full."""
        self.young[key] = value
        if len(self.young) >= self.max_per_generation:
            self._rotate()

    def forget(self, key: bytes) -> None:
        """Remove the value of a key if present."""
        self.young.pop(key, None)
        self.old.pop(key, None)

    def expire(self, now: float) -> None:
        """Evict the old generation if the current period is over."""
        if now >= self.rotate_at:
            self.rotate_at = now + self.period
            self._rotate()

    def _rotate(self) -> None:
        """Evict the old generation and start a new young one."""
        self.old = self.young
        self.young = {}
