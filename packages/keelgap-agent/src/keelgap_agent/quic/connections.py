"""A caller's connection: QUIC and HTTP/3 on one side, requests on the other.

No decision stands here; what may start, and when, is the reducer's.
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
from keelgap_agent.quic.streams import CallerStream, StreamPort

__all__ = ('CallerConnection', 'ConnectionHooks')

_STREAM_STEP: Final = 4


class ConnectionHooks(NamedTuple):
    """What a connection tells its driver."""

    on_request: Callable[['CallerStream'], None]
    on_cancelled: Callable[['CallerStream'], None]
    on_closed: Callable[['CallerConnection'], None]
    #: Called after anything that may have left datagrams to send.
    transmit: Callable[['CallerConnection'], None]
    next_request_id: Callable[[], int]
    on_id_retired: Callable[[bytes], None]
    is_leaving: Callable[[], bool]


class CallerConnection:
    """One flow, from its handshake to its end."""

    def __init__(
        self,
        flow_id: int,
        quic: AgentQuicConnection,
        caller: Address,
        hooks: ConnectionHooks,
    ) -> None:
        """Start before the handshake."""
        self.flow_id = flow_id
        self.quic = quic
        #: Address that the flow was heard from last.
        self.caller = caller
        self.hooks = hooks
        #: Balancer through which the flow was heard last.
        self.via = caller
        #: Set once the handshake has agreed on HTTP/3, before any stream.
        self.http: H3Connection
        self.port: StreamPort
        self.streams: dict[int, CallerStream] = {}
        self.ids: set[bytes] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.closed = False
        #: Requests on this stream id and above it are rejected.
        self.goaway: int | None = None
        self.next_stream = 0
        self.event_handlers = self._map_handlers()

    def process_events(self) -> None:
        """Act on what the received datagrams brought."""
        event = self.quic.next_event()
        while event is not None:
            self._process(event)
            event = self.quic.next_event()
        for stream in tuple(self.streams.values()):
            stream.announce(self.hooks.on_request)

    def stop_new_requests(self) -> None:
        """Send GOAWAY: what is open goes on, no more may be opened."""
        if self.goaway is None and self.quic.is_established:
            self.goaway = self.next_stream
            send_goaway(self.http, self.goaway)
            self.hooks.transmit(self)

    def close(self) -> None:
        """Close the connection without an error."""
        self.quic.close(error_code=ErrorCode.H3_NO_ERROR)
        self.hooks.transmit(self)

    def wake_senders(self) -> None:
        """Let answers go on for which the caller has made room."""
        for stream in self.streams.values():
            stream.room.set()

    def forget(self, stream_id: int) -> None:
        """Drop a stream that has its final answer."""
        self.streams.pop(stream_id, None)
        self.quic.forget_stream(stream_id)

    def _map_handlers(self) -> Mapping[type, Callable[[Any], None]]:
        return MappingProxyType({
            quic_events.ConnectionTerminated: self._terminate,
            quic_events.ProtocolNegotiated: self._agree_protocol,
            quic_events.HandshakeCompleted: self._complete_handshake,
            quic_events.ConnectionIdRetired: self._retire_id,
            quic_events.StreamReset: self._break_off,
            quic_events.StopSendingReceived: self._break_off,
            quic_events.StreamDataReceived: self._read_stream,
        })

    def _process(self, event: quic_events.QuicEvent) -> None:
        handler = self.event_handlers.get(type(event))
        if handler is not None:
            handler(event)

    def _agree_protocol(self, event: quic_events.ProtocolNegotiated) -> None:
        self.http = H3Connection(self.quic)
        self.port = StreamPort(
            self.flow_id,
            self.quic,
            self.http,
            self._transmit,
            self.forget,
        )

    def _complete_handshake(
        self,
        event: quic_events.HandshakeCompleted,
    ) -> None:
        if self.hooks.is_leaving():
            self.stop_new_requests()

    def _retire_id(self, event: quic_events.ConnectionIdRetired) -> None:
        self.ids.discard(event.connection_id)
        self.hooks.on_id_retired(event.connection_id)

    def _break_off(
        self,
        event: quic_events.StreamReset | quic_events.StopSendingReceived,
    ) -> None:
        self._cancel(event.stream_id)

    def _read_stream(self, event: quic_events.StreamDataReceived) -> None:
        for http_event in self.http.handle_event(event):
            self._process_http(http_event)

    def _transmit(self) -> None:
        self.hooks.transmit(self)

    def _process_http(self, event: H3Event) -> None:
        if isinstance(event, HeadersReceived):
            self._open_or_end_stream(event)
        elif isinstance(event, DataReceived):
            stream = self.streams.get(event.stream_id)
            if stream is None:
                # Nobody will take it: the credit goes back at once.
                self.quic.take_credit(event.stream_id, len(event.data))
            else:
                stream.body.feed(event.data, ended=event.stream_ended)

    def _open_or_end_stream(self, event: HeadersReceived) -> None:
        known = self.streams.get(event.stream_id)
        if known is not None:
            # Trailers are not passed on; they only end the body.
            known.body.feed(b'', ended=event.stream_ended)
            return
        self.next_stream = max(
            self.next_stream,
            event.stream_id + _STREAM_STEP,
        )
        stream = CallerStream(
            self.port,
            event.stream_id,
            self.hooks.next_request_id(),
            event.headers,
        )
        self.streams[event.stream_id] = stream
        stream.body.feed(b'', ended=event.stream_ended)
        if stream.expected is None and not event.stream_ended:
            asyncio.get_running_loop().call_later(
                BODY_WAIT_SECONDS,
                self._announce_waiting,
                stream,
            )
        if self.goaway is not None and event.stream_id >= self.goaway:
            stream.reject()

    def _announce_waiting(self, stream: CallerStream) -> None:
        stream.waited = True
        if stream.stream_id in self.streams:
            stream.announce(self.hooks.on_request)

    def _cancel(self, stream_id: int) -> None:
        stream = self.streams.get(stream_id)
        if stream is not None:
            stream.abandon()
            self.forget(stream_id)
            self.hooks.on_cancelled(stream)

    def _terminate(self, event: quic_events.ConnectionTerminated) -> None:
        self.closed = True
        for stream_id in tuple(self.streams):
            self._cancel(stream_id)
        self.hooks.on_closed(self)
