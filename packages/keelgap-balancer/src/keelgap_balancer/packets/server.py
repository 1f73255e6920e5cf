"""Packet balancer: passes events from sockets and timers to the reducer."""

import time
from collections.abc import Callable
from contextlib import ExitStack
from importlib import import_module
from types import MappingProxyType
from typing import Any, Final

from keelgap.addresses import Address, parse_address
from keelgap.catalog.driver import CATALOG_PATH, CatalogDriver
from keelgap.catalog.models import Catalog
from keelgap.packets.envelopes import (
    EnvelopeKind,
    pack_envelope,
    unpack_envelope,
)
from keelgap.packets.exceptions import MalformedEnvelope
from keelgap.packets.features import resolve_features
from keelgap.packets.process import (
    DecisionLog,
    PacketProcess,
    serve_metrics,
)
from keelgap.packets.sockets import PacketSockets
from keelgap.runtime.pages import Page, make_ready_page, serve_pages
from keelgap.sockets import make_datagram_reader, send_datagram
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.balancer_infos import BalancerInfoTable
from keelgap_balancer.packets.conf import BalancerPacketSettings
from keelgap_balancer.packets.effects import (
    Decided,
    Observed,
    PacketEffect,
    RefreshCatalog,
    SendReset,
    SendToAgent,
    SendToBalancers,
)
from keelgap_balancer.packets.events import (
    CallerPacket,
    CatalogChanged,
    EnvelopeArrived,
    PacketEvent,
    PeerStampReceived,
    StorePolled,
    TimerFired,
)
from keelgap_balancer.packets.gossip_driver import GossipDriver
from keelgap_balancer.packets.peers import PeerTable
from keelgap_balancer.packets.reducer import reduce
from keelgap_balancer.packets.rotation import Rotation
from keelgap_balancer.packets.state import PacketState

__all__ = ('PacketBalancer',)

#: Number of incarnations, which have 32 bits.
_INCARNATIONS: Final = 0x100000000


class PacketBalancer:
    """Passes events to the reducer and carries out its effects."""

    def __init__(
        self,
        settings: BalancerPacketSettings,
        sockets: PacketSockets,
        process: PacketProcess,
        stack: ExitStack,
    ) -> None:
        """Create a balancer with open sockets, which does not serve yet.

        The stack closes whatever the balancer opens.
        """
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
            resolve_features(
                settings.features,
                self.adapter.parse_terms(settings.features.terms),
            ),
        )
        self.decisions = DecisionLog(process.lines, process.counters)
        self.stopping_since: float | None = None
        #: When the latest message from any other process arrived.
        self.last_message_at = now
        self.is_isolated = False
        #: The latest answer to the routers.
        self.was_ready = False
        self.has_served = False
        self.peers = PeerTable(
            settings.instance.address,
            _parse_seeds(settings),
            # Higher than that of an earlier start, which others may remember.
            incarnation=int(time.time()) % _INCARNATIONS,
        )
        self.balancer_infos = BalancerInfoTable(
            settings.instance.address,
            settings.instance.availability_zone,
            self.peers.incarnation,
        )
        self.rotation = Rotation(now)
        self.caller_socket = sockets.traffic
        self.peer_socket = sockets.peers
        self.catalog = CatalogDriver(
            self.loop,
            process.lines,
            self.adapter.DECODERS,
            self._apply_catalog,
            self._handle_store_state,
            process.counters.count,
        )
        self.gossip = GossipDriver(
            process,
            self.peers,
            self.balancer_infos,
            self.catalog,
            self.state.make_stamp,
            self.control.port,
        )
        self.handlers = MappingProxyType[type, Callable[[Any], None]]({
            SendToAgent: self._send_to_agent,
            SendToBalancers: self.gossip.broadcast,
            SendReset: self._send_reset,
            RefreshCatalog: self._catch_up,
            Decided: self.decisions.record_decision,
            Observed: self._observe,
        })

    def start(self) -> None:
        """Start to read the catalog and to serve callers."""
        loop = self.loop
        store = self.adapter.StoreClient(
            loop,
            parse_address(self.settings.store.address),
            self.catalog.handle_event,
            self._count_store_call,
        )
        self.catalog.start(store)
        loop.add_reader(
            self.caller_socket,
            make_datagram_reader(
                self.caller_socket, self._handle_caller_packet
            ),
        )
        loop.add_reader(
            self.peer_socket,
            make_datagram_reader(self.peer_socket, self._handle_peer_message),
        )
        listen = self.settings.listen
        ready = parse_address(listen.ready)
        serve_pages(
            loop,
            ready,
            {self.adapter.READY_PATH: self._make_ready},
            self.stack,
        )
        serve_pages(
            loop,
            self.control,
            {CATALOG_PATH: self.catalog.make_catalog_page},
            self.stack,
        )
        serve_metrics(
            self.process,
            Address(self.settings.instance.address, listen.metrics_port),
            self._list_gauges,
            self.stack,
        )
        loop.call_every(defaults.TIMER_SECONDS, self._tick)
        self.gossip.start(self.peer_socket, self.peer_port)

    def stop(self) -> None:
        """Begin a planned stop: from now on the balancer is not ready.

        The loop stops once the routers send no more packets.
        """
        if self.stopping_since is None:
            self.stopping_since = self.loop.clock()
            self.process.lines.log('stopping')

    def reload(self, settings: BalancerPacketSettings) -> tuple[str, ...]:
        """Apply changed settings; return the names of those applied.

        Only the seeds can be changed.
        """
        self.settings = settings
        self.peers.change_seeds(_parse_seeds(settings))
        return ('listen.seeds',)

    @property
    def can_serve(self) -> bool:
        """Return whether it has routes, is not stopping and not isolated."""
        is_staying = self.stopping_since is None
        can_serve = self.state.has_catalog and not self.is_isolated
        return is_staying and can_serve

    def _handle_caller_packet(
        self, datagram: bytes, sender: tuple[str, int]
    ) -> None:
        if not self.format.has_valid_length(datagram):
            self.process.counters.count('drop_malformed_packet')
            return
        if not self.has_served:
            self.has_served = True
            self.process.lines.log('first_caller_packet')
        self._dispatch(CallerPacket(self.loop.clock(), datagram))

    def _handle_peer_message(
        self, datagram: bytes, sender: tuple[str, int]
    ) -> None:
        """Handle an envelope from an agent or another balancer."""
        try:
            envelope, stamp = unpack_envelope(datagram)
        except MalformedEnvelope as error:
            self.process.counters.count(error.code)
            return
        now = self.loop.clock()
        self.last_message_at = now
        if envelope.kind == EnvelopeKind.GOSSIP:
            self._dispatch(PeerStampReceived(now, stamp, sender[0]))
            self.gossip.handle_message(envelope, sender[0])
            return
        self._dispatch(EnvelopeArrived(now, sender[0], envelope, stamp))

    def _dispatch(self, event: PacketEvent) -> None:
        """Pass an event to the reducer and carry out the effects."""
        state, effects = reduce(self.state, event)
        self.state = state
        self._carry_out(effects)

    def _carry_out(self, effects: tuple[PacketEffect, ...]) -> None:
        handlers = self.handlers
        for effect in effects:
            handlers[type(effect)](effect)

    def _observe(self, effect: Observed) -> None:
        """Record a duration in a histogram."""
        self.process.counters.observe(*effect)

    def _list_gauges(self) -> dict[str, float]:
        """Return the values of all gauges by name, for the metrics page."""
        state = self.state
        now = self.loop.clock()
        follower = self.catalog.state
        views = tuple(state.agents_by_host.values())
        return {
            'catalog_revision': follower.revision,
            'routes_version': state.catalog.routes.version,
            'catalog_heard_seconds_ago': now - follower.answered_at,
            'reaches_store': follower.reaches_store,
            'reads_store': follower.is_reader,
            'isolated': self.is_isolated,
            'routes': len(state.routes),
            'upstreams': len(views),
            'zones_out_of_service': len(state.catalog.evacuated),
            'upstreams_out_of_service': sum(map(state.is_evacuated, views)),
            'ejected_upstreams': len(state.ejections.ejected_since),
            'upstreams_wanting_trial': len(state.ejections.awaiting_trial),
            'silent_agents': sum(view.is_unresponsive(now) for view in views),
            'unlisted_agents': len(state.catalog_gaps.unlisted),
            'routes_held_elsewhere': len(
                state.catalog_gaps.route_services.rows
            ),
            'agents_untold': sum(
                map(len, state.catalog_gaps.route_services.untold.values()),
            ),
            'known_flows': len(state.owners),
            'searches': len(state.searches),
            'parked_flows': len(state.parked),
            'callers_counted': len(state.caller_waits.shares.counts),
            'balancers_heard': len(self.peers.last_heard),
            'yields_to_wider_links': self.rotation.is_withdrawn,
            'placed_near': state.latency_placement.placed_near,
            'placed_far': state.latency_placement.placed_far,
        }

    def _send_to_agent(self, effect: SendToAgent) -> None:
        datagram = pack_envelope(effect.envelope, self.state.make_stamp())
        receiver = (effect.host, self.peer_port)
        if not send_datagram(self.peer_socket, datagram, receiver):
            self.process.counters.count('send_failed')

    def _send_reset(self, effect: SendReset) -> None:
        datagram = effect.datagram
        caller = (self.format.source_host(datagram), self.callers.port)
        reset = self.format.make_reset(datagram)
        if not send_datagram(self.caller_socket, reset, caller):
            self.process.counters.count('send_failed')

    def _apply_catalog(self, catalog: Catalog) -> None:
        """Put a catalog in force and tell other balancers of its revision."""
        self._dispatch(CatalogChanged(self.loop.clock(), catalog))
        # Others must not declare flows dead by an older catalog.
        self.gossip.send_gossip()

    def _handle_store_state(self) -> None:
        """Tell the reducer what the latest poll of the store has shown.

        Other balancers are told if the store began or ceased to answer.
        """
        follower = self.catalog.state
        answered = follower.failing_since is None
        if answered != self.state.reaches_store:
            # Others must learn whether they can rely on this balancer to
            # read the store.
            self.gossip.send_gossip()
        self._dispatch(
            StorePolled(
                self.loop.clock(),
                follower.revision,
                follower.latest_change,
                answered,
            ),
        )

    def _catch_up(self, effect: RefreshCatalog) -> None:
        """Read the latest changes of the store."""
        self.catalog.catch_up()

    def _count_store_call(self, call: str, outcome: str) -> None:
        self.process.counters.count(f'store_{call}_{outcome}')

    def _make_ready(self, query: str) -> Page:
        """Return the page that tells routers whether to send callers here."""
        is_ready = self.can_serve and not self.rotation.is_withdrawn
        if is_ready != self.was_ready:
            self.was_ready = is_ready
            self.process.lines.log('readiness_told', ready=is_ready)
        return make_ready_page(is_ready)

    def _tick(self) -> None:
        """Apply timeouts and check isolation, rotation and a planned stop."""
        now = self.loop.clock()
        self._dispatch(TimerFired(now))
        self._update_isolation(now)
        self._update_rotation(now)
        if self.stopping_since is not None:
            self._check_stop(now, self.stopping_since)

    def _update_isolation(self, now: float) -> None:
        """Record and log whether this balancer is isolated from all others.

        The routers still reach it then, but a balancer of another
        availability zone serves their callers better.
        """
        is_unresponsive = now - self.last_message_at > defaults.ISOLATED_SECONDS
        is_isolated = is_unresponsive and bool(self.state.agents_by_host)
        if is_isolated == self.is_isolated:
            return
        self.is_isolated = is_isolated
        event = 'isolated' if is_isolated else 'isolation_over'
        self.process.lines.log(event, heard_at=round(self.last_message_at, 3))

    def _update_rotation(self, now: float) -> None:
        """Announce the own link; leave rotation if it is slow, or return.

        A withdrawn balancer is not ready.
        """
        megabits = int(self.settings.listen.link_megabits)
        offered_megabits = megabits if self.can_serve else 0
        if self.balancer_infos.update_own_link(offered_megabits):
            self.gossip.send_gossip()
        alive = self.peers.last_heard.keys() - self.peers.suspected.keys()
        others = self.balancer_infos.list_in_zone(alive)
        before = self.rotation.is_withdrawn
        if self.rotation.update(self.balancer_infos.own, others, now) != before:
            self.process.lines.log(
                'link_yields' if self.rotation.is_withdrawn else 'link_serves',
                link_megabits=megabits,
                others={one.host: one.link_megabits for one in others},
            )

    def _check_stop(self, now: float, since: float) -> None:
        """Stop when the routers send no more packets, or on timeout."""
        idle_seconds = now - max(self.state.caller_waits.last_packet_at, since)
        if now - since < defaults.ROUTER_REMOVAL_SECONDS:
            return
        if idle_seconds > defaults.DRAINED_SECONDS:
            self.loop.stop()
        elif now - since > defaults.MAX_STOP_SECONDS:
            self.loop.stop()


def _parse_seeds(settings: BalancerPacketSettings) -> list[str]:
    """Return the hosts of the balancers to contact first."""
    seeds = settings.listen.seeds.split(',')
    return [parse_address(seed).host for seed in seeds if seed]
