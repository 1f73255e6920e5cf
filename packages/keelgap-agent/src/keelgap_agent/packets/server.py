"""Driver of the packet agent.

It turns datagrams into events for the reducer and carries out the effects.
"""

from collections.abc import Callable
from contextlib import ExitStack
from importlib import import_module
from types import MappingProxyType
from typing import Any

from keelgap.addresses import Address, parse_address
from keelgap.packets.envelopes import (
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
from keelgap_agent.packets import defaults
from keelgap_agent.packets.conf import AgentPacketSettings
from keelgap_agent.packets.effects import (
    Decided,
    Observed,
    SendToCaller,
    SendToPeer,
    SendToUpstream,
)
from keelgap_agent.packets.events import (
    AgentEvent,
    EnvelopeArrived,
    StopRequested,
    TimerFired,
    UpstreamPacket,
)
from keelgap_agent.packets.reducer import reduce
from keelgap_agent.packets.state import AgentState
from keelgap_agent.packets.upstream_probe import is_upstream_down

__all__ = ('PacketAgent',)


class PacketAgent:
    """The packet agent of one upstream."""

    def __init__(
        self,
        settings: AgentPacketSettings,
        sockets: PacketSockets,
        process: PacketProcess,
        stack: ExitStack,
    ) -> None:
        """Use open sockets; the stack closes everything opened here."""
        listen = settings.listen
        self.settings = settings
        self.process = process
        self.stack = stack
        self.loop = process.loop
        self.adapter = import_module(settings.upstream.adapter)
        self.format = self.adapter.make_packet_format()
        self.upstream = parse_address(settings.upstream.address)
        self.peer_port = listen.peer_port
        self.caller_port = parse_address(listen.callers).port
        self.state = AgentState(
            self.format,
            settings.upstream.service,
            self.loop.clock(),
            settings.instance.address,
            settings.warm_up,
            resolve_features(
                settings.features,
                self.adapter.parse_terms(settings.features.terms),
            ),
        )
        # If the upstream runs already, another agent process may have
        # forwarded flows to it.
        predates_upstream = is_upstream_down(self.upstream)
        self.state.registrar.predates_upstream = predates_upstream
        self.state.registrar.is_complete = (
            predates_upstream and settings.upstream.first_start
        )
        if not predates_upstream:
            self.state.warm_up_limiter.assume_full_window()
        self.decisions = DecisionLog(process.lines, process.counters)
        self.upstream_socket = sockets.traffic
        self.peer_socket = sockets.peers
        self.handlers = MappingProxyType[type, Callable[[Any], None]]({
            SendToUpstream: self._send_to_upstream,
            SendToCaller: self._send_to_caller,
            SendToPeer: self._send_to_peer,
            Decided: self.decisions.record_decision,
            Observed: self._observe,
        })

    def start(self) -> None:
        """Start to read packets, to serve the pages and to run the timer."""
        loop = self.loop
        loop.add_reader(
            self.upstream_socket,
            make_datagram_reader(self.upstream_socket, self._read_upstream),
        )
        loop.add_reader(
            self.peer_socket,
            make_datagram_reader(self.peer_socket, self._read_peer),
        )
        listen = self.settings.listen
        ready = parse_address(listen.ready)
        serve_pages(
            loop,
            ready,
            {self.adapter.READY_PATH: self._make_readiness_page},
            self.stack,
        )
        serve_metrics(
            self.process,
            Address(self.settings.instance.address, listen.metrics_port),
            self._list_gauges,
            self.stack,
        )
        loop.call_every(defaults.TIMER_SECONDS, self._tick)

    def stop(self) -> None:
        """Begin a graceful stop, which ends with the requests in progress."""
        if self.state.stopping_since is None:
            self.process.lines.log('stopping', busy=self.state.busy)
            self._dispatch(StopRequested(self.loop.clock()))

    def reload(self, settings: AgentPacketSettings) -> tuple[str, ...]:
        """Apply changed settings; return the names of those in force now."""
        self.settings = settings
        self.upstream = parse_address(settings.upstream.address)
        self.state.change_service(
            settings.upstream.service,
            self.loop.clock(),
        )
        return ('upstream.service', 'upstream.address')

    def _read_upstream(self, datagram: bytes, sender: tuple[str, int]) -> None:
        """Handle a packet from the upstream; drop a malformed one."""
        if not self.format.has_valid_length(datagram):
            self.process.counters.count('drop_malformed_packet')
            return
        self._dispatch(UpstreamPacket(self.loop.clock(), datagram))

    def _read_peer(self, datagram: bytes, sender: tuple[str, int]) -> None:
        """Handle an envelope from another host; drop a malformed one."""
        try:
            envelope, stamp = unpack_envelope(datagram)
        except MalformedEnvelope as error:
            self.process.counters.count(error.code)
            return
        now = self.loop.clock()
        self._dispatch(EnvelopeArrived(now, sender[0], envelope, stamp))

    def _dispatch(self, event: AgentEvent) -> None:
        """Apply an event to the state, and carry out its effects."""
        state, effects = reduce(self.state, event)
        self.state = state
        handlers = self.handlers
        for effect in effects:
            handlers[type(effect)](effect)

    def _observe(self, effect: Observed) -> None:
        """Record a duration in a histogram of the service."""
        service = self.settings.upstream.service
        self.process.counters.observe(effect.name, service, effect.seconds)

    def _list_gauges(self) -> dict[str, float]:
        state = self.state
        return {
            'flows': len(state.flows),
            'busy_requests': state.busy,
            'waiting_flows': len(state.queued),
            'waiting_later_requests': sum(
                queued.is_subsequent for queued in state.queued.values()
            ),
            'expected_wait_seconds': state.capacity.response_interval
            * len(state.queued),
            'work_milliseconds': state.service_time.milliseconds,
            'balancers_heard': len(state.balancers.subscribers),
            'directory_nodes': len(state.registrar.streams),
            'directory_flows': len(state.directory.owners),
            'directory_agents': len(state.directory.agents),
            'directory_covered': len(state.directory.covered),
            'upstream_ejected': state.outcomes.ejection.is_ejected,
            'upstream_score': state.outcomes.score.compute(self.loop.clock()),
            'upstream_trials': len(state.outcomes.ejection.trials),
            'silent_requests': len(state.outcomes.timed_out),
            'zone_out_of_service': state.is_evacuated,
            'older_than_upstream': state.registrar.predates_upstream,
            'knows_all_flows': state.registrar.is_complete,
        }

    def _send(
        self,
        datagram: bytes,
        receiver: tuple[str, int],
    ) -> None:
        """Send a datagram to another host; count it if that fails."""
        if not send_datagram(self.peer_socket, datagram, receiver):
            self.process.counters.count('send_failed')

    def _send_to_upstream(self, effect: SendToUpstream) -> None:
        if not send_datagram(
            self.upstream_socket, effect.datagram, self.upstream
        ):
            self.process.counters.count('send_failed')

    def _send_to_caller(self, effect: SendToCaller) -> None:
        host = self.format.destination_host(effect.datagram)
        self._send(effect.datagram, (host, self.caller_port))

    def _send_to_peer(self, effect: SendToPeer) -> None:
        stamp = self.state.make_stamp(self.loop.clock())
        datagram = pack_envelope(effect.envelope, stamp)
        self._send(datagram, (effect.host, self.peer_port))

    def _make_readiness_page(self, query: str) -> Page:
        return make_ready_page(self.state.stopping_since is None)

    def _tick(self) -> None:
        """Handle the timer, and end the process after a graceful stop."""
        now = self.loop.clock()
        self._dispatch(TimerFired(now))
        since = self.state.stopping_since
        if since is None:
            return
        if (
            not self.state.busy
            and now - since > defaults.MAX_REPORT_INTERVAL_SECONDS
        ):
            self.loop.stop()
        elif now - since > defaults.SHUTDOWN_TIMEOUT_SECONDS:
            self.loop.stop()
