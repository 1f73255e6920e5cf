"""Driver of the balancer: passes datagrams to the reducer, runs effects."""

import asyncio
import socket
from collections.abc import Callable
from contextlib import ExitStack
from types import MappingProxyType
from typing import Any, cast

from keelgap.addresses import Address
from keelgap.exceptions import PortInUse
from keelgap.logs import logger
from keelgap.metrics import SharedMetrics
from keelgap.sockets import bind_datagram, make_datagram_reader, send_datagram
from keelgap.wire.encapsulation import EnvelopeCodec
from keelgap.wire.exceptions import WireError
from keelgap_balancer.defaults import TIMER_SECONDS
from keelgap_balancer.effects import (
    BalancerEffect,
    CloseService,
    Count,
    Drop,
    OpenService,
    SendEnvelope,
    SendToCaller,
)
from keelgap_balancer.events import (
    BalancerEvent,
    CallerDatagram,
    EnvelopeReceived,
    TimerFired,
)
from keelgap_balancer.reducer import reduce
from keelgap_balancer.state import BalancerState

__all__ = ('BalancerDriver',)


class _Listener:
    """Socket of one service, closed with its exit stack."""

    def __init__(self, sock: socket.socket, stack: ExitStack) -> None:
        self.sock = sock
        self.stack = stack


class BalancerDriver:
    """Run the reducer on sockets of the operating system."""

    def __init__(
        self,
        state: BalancerState,
        envelopes: EnvelopeCodec,
        metrics: SharedMetrics,
    ) -> None:
        """Initialize without binding sockets."""
        self.state = state
        self.envelopes = envelopes
        self.metrics = metrics
        self.loop = asyncio.get_running_loop()
        self.data_socket: socket.socket | None = None
        self.listeners: dict[int, _Listener] = {}
        #: Called with a sender and its table revision if that is later than
        #: the one in force here.
        self.on_revision_seen: Callable[[Address, int], None] = _ignore_revision
        self.effect_handlers = MappingProxyType[
            type[BalancerEffect],
            Callable[[Any], None],
        ]({
            SendEnvelope: self._send_envelope,
            SendToCaller: self._send_to_caller,
            Drop: self._count_drop,
            Count: self._count_event,
            OpenService: self._open_service,
            CloseService: self._close_service,
        })

    def start(self, stack: ExitStack) -> None:
        """Bind the data port; the stack closes all sockets."""
        sock = bind_datagram('listen.data_port', self.state.address)
        stack.callback(sock.close)
        self.data_socket = sock
        reader = make_datagram_reader(sock, self._handle_envelope)
        self.loop.add_reader(sock, reader)
        stack.callback(self.loop.remove_reader, sock)
        stack.callback(self._close_listeners)

    async def run_timer(self) -> None:
        """Dispatch timer events until cancelled."""
        while True:
            await asyncio.sleep(TIMER_SECONDS)
            self.dispatch(TimerFired(self.loop.time()))

    def dispatch(self, event: BalancerEvent) -> None:
        """Apply an event to the state and run the effects."""
        state, effects = reduce(self.state, event)
        self.state = state
        handlers = self.effect_handlers
        for effect in effects:
            handlers[type(effect)](effect)

    def _handle_envelope(
        self,
        datagram: bytes,
        sender: tuple[str, int],
    ) -> None:
        """Dispatch an authentic envelope; count any other as dropped."""
        try:
            envelope = self.envelopes.open(datagram, sender)
        except WireError as error:
            self.metrics.drops.labels(error.code).inc()
            return
        address = Address(*sender)
        if envelope.revision > self.state.table.revision:
            self.on_revision_seen(address, envelope.revision)
        self.dispatch(EnvelopeReceived(self.loop.time(), address, envelope))

    def _send_envelope(self, effect: SendEnvelope) -> None:
        """Send an envelope, and count it as dropped if that fails."""
        receiver = effect.receiver
        datagram = self.envelopes.seal(effect.envelope, receiver)
        sock = self.data_socket
        if sock is None or not send_datagram(sock, datagram, receiver):
            self.metrics.drops.labels('send_failed').inc()

    def _send_to_caller(self, effect: SendToCaller) -> None:
        """Send a datagram from the port of its service."""
        listener = self.listeners.get(effect.service)
        if listener is None:
            self.metrics.drops.labels('no_listener').inc()
            return
        send_datagram(listener.sock, effect.payload, effect.caller)

    def _count_drop(self, effect: Drop) -> None:
        self.metrics.drops.labels(effect.reason).inc()

    def _count_event(self, effect: Count) -> None:
        self.metrics.events.labels(effect.name).inc()

    def _open_service(self, effect: OpenService) -> None:
        """Listen on the port of a service, and log if the port is in use."""
        service = effect.service
        address = Address(self.state.address.host, service.port)
        try:
            sock = bind_datagram(f'port of service {service.name}', address)
        except PortInUse as error:
            # A port in use affects only its own service.
            logger.bind(service=service.name, error=str(error)).error(
                'service_port_in_use',
            )
            self.metrics.events.labels('service_port_in_use').inc()
            return
        stack = ExitStack()
        stack.callback(sock.close)
        reader = make_datagram_reader(
            sock, self._make_caller_handler(service.number)
        )
        self.loop.add_reader(sock, reader)
        stack.callback(self.loop.remove_reader, sock)
        self.listeners[service.number] = _Listener(sock, stack)

    def _close_service(self, effect: CloseService) -> None:
        listener = self.listeners.pop(effect.service.number, None)
        if listener is not None:
            listener.stack.close()

    def _close_listeners(self) -> None:
        """Stop listening on the ports of all services."""
        for listener in self.listeners.values():
            listener.stack.close()
        self.listeners.clear()

    def _make_caller_handler(
        self,
        service: int,
    ) -> Callable[[bytes, tuple[str, int]], None]:
        """Return a function that dispatches callers' datagrams."""
        get_time = self.loop.time

        def handle_datagram(datagram: bytes, sender: tuple[str, int]) -> None:
            # A plain tuple equals an Address and saves its construction for
            # each datagram.
            caller = cast('Address', sender)
            self.dispatch(
                CallerDatagram(get_time(), service, caller, datagram),
            )

        return handle_datagram


def _ignore_revision(sender: Address, revision: int) -> None:
    """Ignore a revision; used until the control plane has started."""
