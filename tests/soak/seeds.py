"""Seeds that broke a promise once, each with its cause, as regressions."""

from typing import Final

__all__ = ('FAILED_SEEDS',)

FAILED_SEEDS: Final = (
    # A program that was told to stop while it imported its code ended by the
    # signal, with -15.
    109,
    # Two power failures overlapped, and the stand-in for an upstream started
    # twice without losing its flows; its books were wrong, not the programs.
    120,
)
