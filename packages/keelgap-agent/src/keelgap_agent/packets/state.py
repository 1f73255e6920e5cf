"""State of a packet agent; its reducer alone changes it, in place."""

from typing import Final

from keelgap.packets.envelopes import LoadReport, compute_service_tag
from keelgap.packets.formats import PacketFormat
from keelgap_agent.packets import defaults

__all__ = ('AgentState', 'Balancers', 'Flow')

#: A mark has 32 bits: the balancer's number, the hop, the kind.
_HOP_SHIFT: Final = 8
_NUMBER_SHIFT: Final = 16
_OCTET: Final = 255
_MAX_NUMBER: Final = 65535


class Flow:
    """One flow as seen from the packets of its ends."""

    __slots__ = (
        'asked_by',
        'busy_since',
        'confirmed',
        'ended',
        'opened',
        'seen',
    )

    def __init__(self, now: float) -> None:
        """Start with the first packet towards the upstream."""
        self.opened = now
        #: Time of the last packet of either end.
        self.seen = now
        #: Whether the upstream sent a packet of it.
        self.confirmed = False
        #: Whether an end closed or reset it.
        self.ended = False
        #: Since when the upstream works on a request of it.
        self.busy_since: float | None = None
        #: Balancer to tell once the upstream shows that it holds the flow.
        self.asked_by: str | None = None


class Balancers:
    """The balancers that send here, with a number each for marks."""

    def __init__(self) -> None:
        """Start with none."""
        self.hosts: list[str] = []
        self.numbers: dict[str, int] = {}
        #: When each was last heard to want reports.
        self.greeted: dict[str, float] = {}

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


class AgentState:
    """All that a packet agent holds."""

    def __init__(
        self,
        packet_format: PacketFormat,
        service: str,
        now: float,
    ) -> None:
        """Start without flows."""
        self.format = packet_format
        self.service_tag = compute_service_tag(service)
        self.balancers = Balancers()
        self.flows: dict[bytes, Flow] = {}
        self.busy = 0
        self.answer_seconds = 0.0
        self.refused = 0
        self.stopping_since: float | None = None
        self.swept_at = now
        self.reported: LoadReport | None = None
        self.reported_at = now
        self.last_packet = now

    def make_report(self) -> LoadReport:
        """Return what balancers should know now."""
        return LoadReport(
            busy=self.busy,
            flows=len(self.flows),
            answer_ms=int(self.answer_seconds * 1000),
            refused=self.refused,
            closed=self.stopping_since is not None,
        )

    def start_request(self, flow: Flow, now: float) -> None:
        """Note data of a caller: the upstream has work."""
        if flow.busy_since is None:
            flow.busy_since = now
            self.busy += 1

    def end_request(self, flow: Flow, now: float) -> None:
        """Note data of the upstream: it answers."""
        if flow.busy_since is None:
            return
        weight = defaults.ANSWER_WEIGHT
        taken = now - flow.busy_since
        self.answer_seconds += weight * (taken - self.answer_seconds)
        flow.busy_since = None
        self.busy -= 1

    def forget(self, key: bytes) -> Flow | None:
        """Drop a flow."""
        flow = self.flows.pop(key, None)
        if flow is not None and flow.busy_since is not None:
            self.busy -= 1
        return flow
