"""The balancers that send to an agent, and the marks that name them."""

from typing import Final

from keelgap.packets.envelopes import LoadReport

__all__ = ('Balancers',)

#: A mark has 32 bits: the balancer's number, the hop, the kind.
_HOP_SHIFT: Final = 8
_NUMBER_SHIFT: Final = 16
_OCTET: Final = 255
_MAX_NUMBER: Final = 65535


class Balancers:
    """The balancers that send here, with a number each for marks."""

    def __init__(self, now: float) -> None:
        """Start with none."""
        self.hosts: list[str] = []
        self.numbers: dict[str, int] = {}
        #: When each was last heard to want reports.
        self.greeted: dict[str, float] = {}
        #: The form of reports that each reads, where it said so.
        self.report_formats: dict[str, int] = {}
        #: Those that offered a flow since the last reports.
        self.owed: set[str] = set()
        #: What all of them were told last, and when.
        self.reported: LoadReport | None = None
        self.reported_at = now

    def make_mark(self, host: str, hop: int, kind: int) -> int:
        """Return the mark that names where a packet came from."""
        number = self.numbers.get(host)
        if number is None:
            number = self._add(host)
        return number << _NUMBER_SHIFT | hop << _HOP_SHIFT | kind

    def read_mark(self, mark: int) -> tuple[str | None, int, int]:
        """Return balancer, hop and kind of a mark.

        No balancer if this process gave no such mark, for instance because
        it is younger than the packet.
        """
        number = mark >> _NUMBER_SHIFT
        host = self.hosts[number] if number < len(self.hosts) else None
        return host, mark >> _HOP_SHIFT & _OCTET, mark & _OCTET

    def _add(self, host: str) -> int:
        if len(self.hosts) >= _MAX_NUMBER:
            # Marks live for milliseconds, so numbers can be given anew.
            self.hosts = []
            self.numbers = {}
        number = len(self.hosts)
        self.hosts.append(host)
        self.numbers[host] = number
        return number
