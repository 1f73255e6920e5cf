"""Why an entry of the store counts as absent."""

from typing import Final

from keelgap.exceptions import KeelgapError

__all__ = ('UNREADABLE', 'EntryRefused', 'StaleStart', 'UnknownService')

#: What reading a document of another process may raise, whatever it holds.
UNREADABLE: Final = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)


class EntryRefused(KeelgapError):
    """An entry that names nothing to use."""

    code = 'entry_refused'

    @property
    def reason(self) -> str:
        """Return the cause for metrics; there are few different ones."""
        return self.code


class StaleStart(EntryRefused):
    """A report of an upstream's former start."""

    code = 'stale_start'


class UnknownService(EntryRefused):
    """An upstream of a service that the operators' table does not have."""

    code = 'unknown_service'
