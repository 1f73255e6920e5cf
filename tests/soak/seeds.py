"""Seeds that broke a promise once, each with its cause, as regressions."""

from typing import Final

__all__ = ('FAILED_SEEDS',)

FAILED_SEEDS: Final[tuple[int, ...]] = ()
