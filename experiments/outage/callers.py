"""Callers: how they open flows, try again and leave."""

from collections.abc import Callable
from functools import partial
from typing import Final, NamedTuple

from experiments.outage.scenario import Kind
from tests.packets.building import ACK, FIN, SYN, FlowName, make_packet

__all__ = ('Caller', 'CallerPorts')

#: When copies of an opening packet are sent, and when a try is given up.
OPENING_DELAYS: Final = (0, 0.2, 0.6)
TRY_SECONDS: Final = 1.4
TRIES: Final = 3
#: Unanswered data is sent again after so long, then after twice as long.
REPEAT_SECONDS: Final = 0.2
_REQUEST: Final = b'GET / HTTP/1.1\r\nX-Keelgap-Request-Id: r1\r\n\r\n'


class CallerPorts(NamedTuple):
    """What a caller does through the world."""

    #: Call at a later time, which is given.
    later: Callable[[float, Callable[[], None]], None]
    clock: Callable[[], float]
    #: Send a packet to whichever balancer the routers choose.
    send: Callable[[bytes], None]
    #: Pause before another try.
    draw_pause: Callable[[], float]


class Caller:
    """One caller with one request."""

    def __init__(
        self,
        kind: Kind,
        work: float,
        ports: CallerPorts,
        open_flow: 'Callable[[Caller], FlowName]',
    ) -> None:
        """Ask now, on flows with names that no other has."""
        self.kind = kind
        self.work = work
        self.ports = ports
        self.open_flow = open_flow
        self.asked = ports.clock()
        self.leaves = self.asked + kind.timeout
        self.tries = 0
        self.resets = 0
        self.flow: FlowName
        self.is_open = False
        self.answered: float | None = None
        self.has_left = False
        ports.later(self.leaves, self._leave)
        self._try()

    def take(self, flow: FlowName, flags: int, *, has_data: bool) -> None:
        """Take a packet of an upstream."""
        if self.is_over or flow != self.flow:
            return
        if has_data:
            self.answered = self.ports.clock()
        elif flags & SYN and not self.is_open:
            self.is_open = True
            self._speak(flow, REPEAT_SECONDS)

    def take_reset(self, flow: FlowName) -> None:
        """Take a reset; a request that never ran is tried again."""
        if flow == self.flow and not self.is_over:
            self.resets += 1
            self._try_later()

    @property
    def is_over(self) -> bool:
        """Return whether the request was answered or given up."""
        return self.has_left or self.answered is not None

    def _try(self) -> None:
        if self.is_over:
            return
        self.tries += 1
        self.is_open = False
        flow = self.open_flow(self)
        self.flow = flow
        now = self.ports.clock()
        for number, delay in enumerate(OPENING_DELAYS):
            self.ports.later(now + delay, partial(self._open, flow, number))
        self.ports.later(now + TRY_SECONDS, lambda: self._give_up(flow))

    def _waits_for(self, flow: FlowName) -> bool:
        return not self.is_over and flow == self.flow and not self.is_open

    def _open(self, flow: FlowName, copy: int) -> None:
        if self._waits_for(flow):
            self.ports.send(make_packet(flow, SYN, ack=copy))

    def _give_up(self, flow: FlowName) -> None:
        if self._waits_for(flow):
            self._try_later()

    def _try_later(self) -> None:
        if self.tries >= TRIES:
            self.has_left = True
            return
        self.is_open = False
        self.flow = self.flow._replace(port=0)
        pause = self.ports.draw_pause()
        self.ports.later(self.ports.clock() + pause, self._try)

    def _speak(self, flow: FlowName, pause: float) -> None:
        """Send the request, and again while nothing comes."""
        if self.is_over or flow != self.flow:
            return
        self.ports.send(make_packet(flow, ACK, data=_REQUEST))
        again = self.ports.clock() + pause
        self.ports.later(again, lambda: self._speak(flow, 2 * pause))

    def _leave(self) -> None:
        if self.is_over:
            return
        self.has_left = True
        if self.is_open:
            self.ports.send(make_packet(self.flow, FIN | ACK))
