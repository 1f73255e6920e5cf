"""Reasons for which an entry of the store is treated as absent."""

from typing import Final

from keelgap.exceptions import KeelgapError

__all__ = ('DECODE_ERRORS', 'EntryRefused', 'StaleStart', 'UnknownService')

#: Exceptions that decoding a document of any content may raise.
DECODE_ERRORS: Final = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)


class EntryRefused(KeelgapError):
    """An entry of the store is invalid or not usable."""

    code = 'entry_refused'

    @property
    def reason(self) -> str:
        """Return the error code, which becomes part of a metric's name."""
        return self.code


class StaleStart(EntryRefused):
    """The entry is a late report from before a restart of the upstream."""

    code = 'stale_start'


class UnknownService(EntryRefused):
    """The service of the upstream is not in the operators' table."""

    code = 'unknown_service'
