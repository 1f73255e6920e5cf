"""A packet balancer: sockets in, events through the reducer, sockets."""

import signal
from collections.abc import Callable
from contextlib import ExitStack
from importlib import import_module
from types import MappingProxyType
from typing import Any

from keelgap.addresses import Address, parse_address
from keelgap.catalog.driver import SNAPSHOT_PATH, CatalogDriver
from keelgap.catalog.models import Catalog
from keelgap.packets.envelopes import (
    Envelope,
    EnvelopeKind,
    MalformedEnvelope,
    pack_envelope,
    unpack_envelope,
)
from keelgap.packets.process import DecisionLog, PacketProcess
from keelgap.runtime.pages import Page, make_ready_page, serve_pages
from keelgap.sockets import bind_datagram, make_reader, send_datagram
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.conf import BalancerPacketSettings
from keelgap_balancer.packets.effects import (
    Decided,
    PacketEffect,
    SendReset,
    SendToAgent,
)
from keelgap_balancer.packets.events import (
    CallerPacket,
    CatalogChanged,
    EnvelopeArrived,
    PacketEvent,
    TimerFired,
)
from keelgap_balancer.packets.gossip import (
    MalformedGossip,
    Peers,
    decode_gossip,
)
from keelgap_balancer.packets.reducer import reduce
from keelgap_balancer.packets.state import PacketState

__all__ = ('PacketBalancer',)


class PacketBalancer:
    """One balancer of opaque packet flows."""

    def __init__(
        self,
        settings: BalancerPacketSettings,
        process: PacketProcess,
        stack: ExitStack,
    ) -> None:
        """Bind everything; the stack closes it."""
        listen = settings.listen
        self.settings = settings
        self.process = process
        self.stack = stack
        self.loop = process.loop
        self.adapter = import_module(settings.store.adapter)
        self.format = self.adapter.make_packet_format()
        self.callers = parse_address(listen.callers)
        self.control = parse_address(listen.control)
        self.peer_port = listen.peer_port
        now = self.loop.clock()
        self.state = PacketState(
            self.format,
            settings.instance.availability_zone,
            now,
        )
        self.decisions = DecisionLog(process.lines, process.counters)
        self.stopping_since: float | None = None
        seeds = [seed for seed in listen.seeds.split(',') if seed]
        self.peers = Peers(
            settings.instance.address,
            [parse_address(seed).host for seed in seeds],
        )
        self.caller_socket = bind_datagram('listen.callers', self.callers)
        stack.callback(self.caller_socket.close)
        self.peer_socket = bind_datagram(
            'listen.peer_port',
            Address(settings.instance.address, self.peer_port),
        )
        stack.callback(self.peer_socket.close)
        self.handlers = MappingProxyType[type, Callable[[Any], None]]({
            SendToAgent: self._send_to_agent,
            SendReset: self._send_reset,
            Decided: self.decisions.take,
        })
        self.catalog = CatalogDriver(
            self.loop,
            process.lines,
            self.adapter.DECODERS,
            self._change_catalog,
        )

    def start(self) -> None:
        """Begin to learn and to serve."""
        loop = self.loop
        store = self.adapter.StoreClient(
            loop,
            parse_address(self.settings.store.address),
            self.catalog.take,
            self._count_call,
        )
        self.catalog.start(store)
        loop.add_reader(
            self.caller_socket,
            make_reader(self.caller_socket, self._read_caller),
        )
        loop.add_reader(
            self.peer_socket,
            make_reader(self.peer_socket, self._read_peer),
        )
        ready = parse_address(self.settings.listen.ready)
        serve_pages(
            loop,
            ready,
            {self.adapter.READY_PATH: self._make_ready},
            self.stack,
        )
        pages = {SNAPSHOT_PATH: self.catalog.make_snapshot_page}
        serve_pages(loop, self.control, pages, self.stack)
        loop.call_every(defaults.TIMER_SECONDS, self._tick)
        loop.call_every(defaults.GOSSIP_SECONDS, self._gossip)
        self._gossip()

    def stop(self) -> None:
        """Leave in a planned way: first the routers must look elsewhere."""
        if self.stopping_since is None:
            self.stopping_since = self.loop.clock()
            self.process.lines.tell('stopping')

    def list_signals(self) -> dict[int, Callable[[], None]]:
        """Return what to do at each signal."""
        return {
            signal.SIGTERM: self.stop,
            signal.SIGINT: self.stop,
            signal.SIGHUP: self.process.note_reload,
        }

    def _read_caller(self, datagram: bytes, sender: tuple[str, int]) -> None:
        if not self.format.is_whole(datagram):
            self.process.counters.count('drop_malformed_packet')
            return
        self._dispatch(CallerPacket(self.loop.clock(), datagram))

    def _read_peer(self, datagram: bytes, sender: tuple[str, int]) -> None:
        try:
            envelope = unpack_envelope(datagram)
        except MalformedEnvelope as error:
            self.process.counters.count(error.code)
            return
        if envelope.kind == EnvelopeKind.GOSSIP:
            self._take_gossip(envelope, sender[0])
            return
        now = self.loop.clock()
        self._dispatch(EnvelopeArrived(now, sender[0], envelope))

    def _dispatch(self, event: PacketEvent) -> None:
        state, effects = reduce(self.state, event)
        self.state = state
        self._carry_out(effects)

    def _carry_out(self, effects: tuple[PacketEffect, ...]) -> None:
        handlers = self.handlers
        for effect in effects:
            handlers[type(effect)](effect)

    def _send_to_agent(self, effect: SendToAgent) -> None:
        datagram = pack_envelope(effect.envelope)
        receiver = (effect.host, self.peer_port)
        if not send_datagram(self.peer_socket, datagram, receiver):
            self.process.counters.count('send_failed')

    def _send_reset(self, effect: SendReset) -> None:
        datagram = effect.datagram
        caller = (self.format.source_host(datagram), self.callers.port)
        reset = self.format.make_reset(datagram)
        if not send_datagram(self.caller_socket, reset, caller):
            self.process.counters.count('send_failed')

    def _change_catalog(self, catalog: Catalog) -> None:
        self._dispatch(CatalogChanged(self.loop.clock(), catalog))

    def _count_call(self, call: str, outcome: str) -> None:
        self.process.counters.count(f'store_{call}_{outcome}')

    def _make_ready(self) -> Page:
        is_staying = self.stopping_since is None
        return make_ready_page(is_staying and self.state.has_catalog)

    def _tick(self) -> None:
        now = self.loop.clock()
        self._dispatch(TimerFired(now))
        if self.stopping_since is not None:
            self._check_stop(now, self.stopping_since)

    def _check_stop(self, now: float, since: float) -> None:
        """End once the routers send no more, or the time is up."""
        quiet = now - max(self.state.last_caller_packet, since)
        if now - since < defaults.ROUTERS_SECONDS:
            return
        if quiet > defaults.QUIET_SECONDS:
            self.loop.stop()
        elif now - since > defaults.STOP_SECONDS:
            self.loop.stop()

    def _gossip(self) -> None:
        for silent in self.peers.forget_silent(self.loop.clock()):
            self.process.lines.tell('balancer_lost', host=silent)
        for host in self.peers.list_receivers():
            self._tell_peer(host)

    def _tell_peer(self, host: str) -> None:
        revision = self.catalog.state.revision
        if not self.catalog.state.complete:
            revision = 0
        content = self.peers.make_gossip(revision)
        datagram = pack_envelope(
            Envelope(EnvelopeKind.GOSSIP, 0, 0, 0, 0, 0, content),
        )
        send_datagram(self.peer_socket, datagram, (host, self.peer_port))

    def _take_gossip(self, envelope: Envelope, host: str) -> None:
        try:
            gossip = decode_gossip(envelope.content)
        except MalformedGossip as error:
            self.process.counters.count(error.code)
            return
        if self.peers.note(host, gossip, self.loop.clock()):
            self.process.lines.tell('balancer_found', host=host)
            self._tell_peer(host)
        peer = Address(host, self.control.port)
        self.catalog.note_peer(peer, gossip.revision)
