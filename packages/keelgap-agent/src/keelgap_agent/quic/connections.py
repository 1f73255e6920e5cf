"""A caller's connection, which turns QUIC and HTTP/3 events into requests.

It makes no admission decisions; the reducer decides what starts and when.
"""

import asyncio
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Final, NamedTuple

from aioquic.h3.connection import ErrorCode, H3Connection
from aioquic.h3.events import DataReceived, H3Event, HeadersReceived
from aioquic.quic import events as quic_events

from keelgap.addresses import Address
from keelgap_agent.defaults import BODY_WAIT_SECONDS
from keelgap_agent.quic.protocol import AgentQuicConnection, send_goaway
from keelgap_agent.quic.streams import CallerStream, StreamTransport

__all__ = ('CallerConnection', 'ConnectionHooks')

_STREAM_ID_STEP: Final = 4


class ConnectionHooks(NamedTuple):
    """Callbacks from a connection to its driver."""

    on_request: Callable[['CallerStream'], None]
    on_cancelled: Callable[['CallerStream'], None]
    on_closed: Callable[['CallerConnection'], None]
    #: Called after any operation that may have produced datagrams to send.
    transmit: Callable[['CallerConnection'], None]
    next_request_id: Callable[[], int]
    on_id_retired: Callable[[bytes], None]
    is_leaving: Callable[[], bool]


class CallerConnection:
    """The QUIC connection of one caller and its request streams."""

    def __init__(
        self,
        flow_id: int,
        quic: AgentQuicConnection,
        caller: Address,
        hooks: ConnectionHooks,
    ) -> None:
        """Create the connection before its handshake."""
        self.flow_id = flow_id
        self.quic = quic
        #: Address that the caller last sent from.
        self.caller = caller
        self.hooks = hooks
        #: Balancer that last forwarded a datagram of the flow.
        self.via = caller
        #: Set when the handshake has negotiated HTTP/3, before any stream.
        self.http: H3Connection
        self.transport: StreamTransport
        self.streams: dict[int, CallerStream] = {}
        self.ids: set[bytes] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.closed = False
        #: Stream id sent in GOAWAY; requests from this id on are rejected.
        self.goaway_stream_id: int | None = None
        self.next_stream_id = 0
        self.event_handlers = self._map_handlers()

    def process_events(self) -> None:
        """Handle all pending events of the QUIC connection."""
        event = self.quic.next_event()
        while event is not None:
            self._process_quic(event)
            event = self.quic.next_event()
        for stream in tuple(self.streams.values()):
            stream.submit(self.hooks.on_request)

    def stop_new_requests(self) -> None:
        """Send GOAWAY, which lets open requests finish but allows no more."""
        if self.goaway_stream_id is None and self.quic.is_established:
            self.goaway_stream_id = self.next_stream_id
            send_goaway(self.http, self.goaway_stream_id)
            self.hooks.transmit(self)

    def close(self) -> None:
        """Close the connection without an error."""
        self.quic.close(error_code=ErrorCode.H3_NO_ERROR)
        self.hooks.transmit(self)

    def wake_senders(self) -> None:
        """Wake answers that wait for the caller to acknowledge data."""
        for stream in self.streams.values():
            stream.writable.set()

    def forget(self, stream_id: int) -> None:
        """Remove a stream that is answered, reset or cancelled."""
        self.streams.pop(stream_id, None)
        self.quic.forget_stream(stream_id)

    def _map_handlers(self) -> Mapping[type, Callable[[Any], None]]:
        """Return the handler of each type of QUIC event."""
        return MappingProxyType({
            quic_events.ConnectionTerminated: self._handle_termination,
            quic_events.ProtocolNegotiated: self._start_http,
            quic_events.HandshakeCompleted: self._handle_handshake_completed,
            quic_events.ConnectionIdRetired: self._handle_id_retired,
            quic_events.StreamReset: self._handle_stream_abort,
            quic_events.StopSendingReceived: self._handle_stream_abort,
            quic_events.StreamDataReceived: self._handle_stream_data,
        })

    def _process_quic(self, event: quic_events.QuicEvent) -> None:
        """Pass a QUIC event to its handler; other types are ignored."""
        handler = self.event_handlers.get(type(event))
        if handler is not None:
            handler(event)

    def _start_http(self, event: quic_events.ProtocolNegotiated) -> None:
        """Create the HTTP/3 connection once the protocol is negotiated."""
        self.http = H3Connection(self.quic)
        self.transport = StreamTransport(
            self.flow_id,
            self.quic,
            self.http,
            self._transmit,
            self.forget,
        )

    def _handle_handshake_completed(
        self,
        event: quic_events.HandshakeCompleted,
    ) -> None:
        """Send GOAWAY on a new connection if the agent is leaving."""
        if self.hooks.is_leaving():
            self.stop_new_requests()

    def _handle_id_retired(
        self, event: quic_events.ConnectionIdRetired
    ) -> None:
        self.ids.discard(event.connection_id)
        self.hooks.on_id_retired(event.connection_id)

    def _handle_stream_abort(
        self,
        event: quic_events.StreamReset | quic_events.StopSendingReceived,
    ) -> None:
        self._cancel(event.stream_id)

    def _handle_stream_data(
        self, event: quic_events.StreamDataReceived
    ) -> None:
        for http_event in self.http.handle_event(event):
            self._process_http(http_event)

    def _transmit(self) -> None:
        self.hooks.transmit(self)

    def _process_http(self, event: H3Event) -> None:
        """Handle the headers or the data of a request."""
        if isinstance(event, HeadersReceived):
            self._handle_headers(event)
        elif isinstance(event, DataReceived):
            stream = self.streams.get(event.stream_id)
            if stream is None:
                # No one will consume the data: restore the credit at once.
                self.quic.record_consumed(event.stream_id, len(event.data))
            else:
                stream.body.feed(event.data, ended=event.stream_ended)

    def _handle_headers(self, event: HeadersReceived) -> None:
        """Open a stream for a new request, or end its body at the trailers."""
        open_stream = self.streams.get(event.stream_id)
        if open_stream is not None:
            # Trailers are not forwarded; they only end the body.
            open_stream.body.feed(b'', ended=event.stream_ended)
            return
        self.next_stream_id = max(
            self.next_stream_id,
            event.stream_id + _STREAM_ID_STEP,
        )
        stream = CallerStream(
            self.transport,
            event.stream_id,
            self.hooks.next_request_id(),
            event.headers,
        )
        self.streams[event.stream_id] = stream
        stream.body.feed(b'', ended=event.stream_ended)
        if stream.expected_length is None and not event.stream_ended:
            asyncio.get_running_loop().call_later(
                BODY_WAIT_SECONDS,
                self._submit_after_wait,
                stream,
            )
        if (
            self.goaway_stream_id is not None
            and event.stream_id >= self.goaway_stream_id
        ):
            stream.reject()

    def _submit_after_wait(self, stream: CallerStream) -> None:
        """Submit a request whose body was awaited for BODY_WAIT_SECONDS."""
        stream.body_wait_expired = True
        if stream.stream_id in self.streams:
            stream.submit(self.hooks.on_request)

    def _cancel(self, stream_id: int) -> None:
        """Abandon the stream of a request and report its cancellation."""
        stream = self.streams.get(stream_id)
        if stream is not None:
            stream.abandon()
            self.forget(stream_id)
            self.hooks.on_cancelled(stream)

    def _handle_termination(
        self, event: quic_events.ConnectionTerminated
    ) -> None:
        """Cancel all open requests and report the end of the connection."""
        self.closed = True
        for stream_id in tuple(self.streams):
            self._cancel(stream_id)
        self.hooks.on_closed(self)
