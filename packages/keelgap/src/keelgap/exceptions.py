"""Exceptions shared by both programs."""

from typing import ClassVar, NamedTuple

__all__ = (
    'Fault',
    'ImproperlyConfigured',
    'KeelgapError',
    'PortInUse',
    'TableRefused',
)


class Fault(NamedTuple):
    """A fault found by a check."""

    #: Stable id, such as ``keelgap.E003``, listed in docs/ref/errors.md.
    fault_id: str
    #: Location of the fault: a settings name, or a table row and column.
    subject: str
    #: What is wrong.
    problem: str
    #: How the operator can correct it.
    hint: str

    def __str__(self) -> str:
        """Format the fault as one line."""
        return (
            f'{self.subject}: ({self.fault_id}) {self.problem}. '
            f'HINT: {self.hint}'
        )


class KeelgapError(Exception):
    """Base class of the exceptions that keelgap raises."""

    #: Label of the error in metrics and logs.
    code: ClassVar[str] = 'error'


class _FaultyInput(KeelgapError):
    """An input failed its checks; holds every fault found."""

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        """Store the faults for printing."""
        super().__init__(faults)
        self.faults = faults

    def __str__(self) -> str:
        """Format the faults, one on each line."""
        return '\n'.join(str(fault) for fault in self.faults)


class ImproperlyConfigured(_FaultyInput):
    """The settings are invalid."""

    code = 'improperly_configured'


class TableRefused(_FaultyInput):
    """A table or instance document is invalid and was refused as a whole."""

    code = 'table_refused'


class PortInUse(KeelgapError):
    """A socket could not be bound."""

    code = 'port_in_use'

    def __init__(self, name: str, host: str, port: int) -> None:
        """Store the settings name and the address that it requested."""
        super().__init__(name, host, port)
        self.name = name
        self.host = host
        self.port = port

    def __str__(self) -> str:
        """Return a message with the settings name and the address."""
        return f'{self.name}: cannot bind {self.host}:{self.port}'
