"""The balancers that send to an agent, and packet marks that identify them."""

from typing import Final

from keelgap.packets.envelopes import ROUTES_REPORT_FORMAT, LoadReport
from keelgap_agent.packets import defaults

__all__ = ('Balancers',)

#: A mark has 32 bits: 16 for the balancer's number, 8 each for the hop and the
#: kind of the envelope.
_HOP_SHIFT: Final = 8
_NUMBER_SHIFT: Final = 16
_OCTET: Final = 255
_MAX_NUMBER: Final = 65535


class Balancers:
    """The balancers that send to this agent, each with a number for marks."""

    def __init__(self, now: float) -> None:
        """Start without balancers."""
        self.hosts: list[str] = []
        #: Number of each balancer in packet marks: its index in ``hosts``.
        self.numbers: dict[str, int] = {}
        #: When each balancer last subscribed to load reports.
        self.subscribers: dict[str, float] = {}
        #: When each balancer last sent a notice, with or without subscribing.
        self.polled_at: dict[str, float] = {}
        #: The report format that each balancer reads, if it stated one.
        self.report_formats: dict[str, int] = {}
        #: Balancers that offered a flow since the last reports.
        self.reports_due: set[str] = set()
        #: The last report sent to all subscribers, and its time.
        self.last_report: LoadReport | None = None
        self.last_report_at = now

    def list_polling(self, now: float) -> tuple[str, ...]:
        """Return the balancers that sent a notice lately; forget others.

        Those of earlier releases, which do not read HeldRoutes, are left out.
        """
        self.polled_at = {
            host: polled_at
            for host, polled_at in self.polled_at.items()
            if now - polled_at <= defaults.SUBSCRIPTION_SECONDS
        }
        return tuple(
            host
            for host in self.polled_at
            if self.report_formats.get(host, 0) >= ROUTES_REPORT_FORMAT
        )

    def make_mark(self, host: str, hop: int, kind: int) -> int:
        """Return a packet mark with the balancer, hop and envelope kind."""
        number = self.numbers.get(host)
        if number is None:
            number = self._assign_number(host)
        return number << _NUMBER_SHIFT | hop << _HOP_SHIFT | kind

    def read_mark(self, mark: int) -> tuple[str | None, int, int]:
        """Return the balancer, the hop and the envelope kind of a packet mark.

        The balancer is None if this process did not create the mark, for
        example because it started after the packet was sent.
        """
        number = mark >> _NUMBER_SHIFT
        host = self.hosts[number] if number < len(self.hosts) else None
        return host, mark >> _HOP_SHIFT & _OCTET, mark & _OCTET

    def _assign_number(self, host: str) -> int:
        if len(self.hosts) >= _MAX_NUMBER:
            # Marks are in use for milliseconds only, so numbers can be reused.
            self.hosts = []
            self.numbers = {}
        number = len(self.hosts)
        self.hosts.append(host)
        self.numbers[host] = number
        return number
