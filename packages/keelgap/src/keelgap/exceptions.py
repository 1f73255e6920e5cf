"""Errors that both programs share; every failure has a type."""

from typing import ClassVar, NamedTuple

__all__ = (
    'Fault',
    'ImproperlyConfigured',
    'KeelgapError',
    'PortInUse',
    'TableRefused',
)


class Fault(NamedTuple):
    """One thing that a check found wrong."""

    #: Stable id such as ``keelgap.E003``, listed in docs/ref/errors.md.
    fault_id: str
    #: What is at fault: a settings name, or a table row and column.
    subject: str
    #: What is wrong with it.
    problem: str
    #: What the operator can do about it.
    hint: str

    def __str__(self) -> str:
        """Render the fault as one line."""
        return (
            f'{self.subject}: ({self.fault_id}) {self.problem}. '
            f'HINT: {self.hint}'
        )


class KeelgapError(Exception):
    """The root of all errors that keelgap raises."""

    #: Label of this error in metrics and logs.
    code: ClassVar[str] = 'error'


class _FaultyInput(KeelgapError):
    """Input that checks refused, with every fault found."""

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        """Keep the faults for the caller to print."""
        super().__init__(faults)
        self.faults = faults

    def __str__(self) -> str:
        """Render one fault a line."""
        return '\n'.join(str(fault) for fault in self.faults)


class ImproperlyConfigured(_FaultyInput):
    """The settings cannot be used."""

    code = 'improperly_configured'


class TableRefused(_FaultyInput):
    """A table document was refused whole."""

    code = 'table_refused'


class PortInUse(KeelgapError):
    """A socket could not be bound."""

    code = 'port_in_use'

    def __init__(self, name: str, host: str, port: int) -> None:
        """Say which settings name asked for which address."""
        super().__init__(name, host, port)
        self.name = name
        self.host = host
        self.port = port

    def __str__(self) -> str:
        """Name the setting and the address."""
        return f'{self.name}: cannot bind {self.host}:{self.port}'
