"""Seeds that broke a promise once, each with its cause, as regressions."""

from typing import Final

__all__ = ('FAILED_SEEDS',)

FAILED_SEEDS: Final = (
    # A program that was told to stop while it imported its code ended by the
    # signal, with -15.
    109,
)
