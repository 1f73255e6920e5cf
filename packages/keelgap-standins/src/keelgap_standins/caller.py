"""HTTP/3 client that plays a caller in tests and the demo."""

import asyncio
import socket
import ssl
from collections import deque
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from types import MappingProxyType
from typing import Any, Final, NamedTuple

from aioquic._buffer import Buffer  # noqa: WPS436
from aioquic.asyncio.client import connect
from aioquic.asyncio.protocol import QuicConnectionProtocol
from aioquic.h3.connection import ErrorCode, FrameType, H3Connection
from aioquic.h3.events import DataReceived, H3Event, HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import (
    ConnectionTerminated,
    ProtocolNegotiated,
    QuicEvent,
    StreamReset,
)

from keelgap.addresses import Address

__all__ = (
    'Caller',
    'CallerResponse',
    'FlowBroken',
    'RequestRejected',
    'open_caller',
)

TICKET_PATH: Final = '/.well-known/keelgap/ticket'
NO_HEADERS: Final = MappingProxyType[str, str]({})
_MAX_UNSENT_OCTETS: Final = 131072


class RequestRejected(Exception):
    """The server did not process the request; a retry is safe."""


class _CallerHttp(H3Connection):
    """HTTP/3 connection that stores the stream ID of a GOAWAY frame.

    See RFC 9114, section 5.2.
    """

    def __init__(self, quic: QuicConnection) -> None:
        super().__init__(quic)
        self.goaway_stream_id: int | None = None

    def _handle_control_frame(self, frame_type: int, frame_data: bytes) -> None:
        super()._handle_control_frame(frame_type, frame_data)
        if frame_type == FrameType.GOAWAY:
            self.goaway_stream_id = Buffer(data=frame_data).pull_uint_var()


class FlowBroken(Exception):
    """The flow ended before the response was complete."""


class CallerResponse(NamedTuple):
    """Status, headers and body of a complete response."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes

    @property
    def service(self) -> str:
        """Return the service that sent the response."""
        return self.headers.get(b'x-service', b'').decode()


class _PendingResponse:
    """A response of which parts may still be missing."""

    def __init__(self) -> None:
        self.headers: dict[bytes, bytes] = {}
        self.chunks: deque[bytes] = deque()
        self.done: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )


class Caller(QuicConnectionProtocol):
    """Client side of one HTTP/3 connection."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Create the client; HTTP/3 starts when ALPN has completed."""
        super().__init__(*args, **kwargs)
        self.http: _CallerHttp | None = None
        self.pending: dict[int, _PendingResponse] = {}
        self.authority = 'localhost'
        #: Whether a stateless reset arrived: an agent has lost the flow.
        self.was_reset = False
        #: Event that terminated the connection, if any.
        self.termination: ConnectionTerminated | None = None

    async def request(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        headers: Mapping[str, str] = NO_HEADERS,
    ) -> CallerResponse:
        """Send a request and return its response."""
        stream_id = self.send_request_headers(method, path, not body, headers)
        if body:
            self.send_body(stream_id, body, end_stream=True)
        return await self.receive(stream_id)

    async def upload(
        self,
        path: str,
        size: int,
        pause: float = 0,
    ) -> CallerResponse:
        """Upload a body in chunks and return the response.

        The client sleeps for ``pause`` seconds after each chunk.
        """
        stream_id = self.send_request_headers('POST', path, False)
        chunk = bytes(_MAX_UNSENT_OCTETS // 2)
        sent = 0
        while sent < size:
            count = min(len(chunk), size - sent)
            self.send_body(stream_id, chunk[:count], end_stream=False)
            sent += count
            await self.wait_for_send_buffer(stream_id)
            await asyncio.sleep(pause)
        self.send_body(stream_id, b'', end_stream=True)
        return await self.receive(stream_id)

    def send_request_headers(
        self,
        method: str,
        path: str,
        end_stream: bool,
        headers: Mapping[str, str] = NO_HEADERS,
    ) -> int:
        """Send the headers of a request and return its stream ID."""
        if self.http is None or not self.is_open:
            raise RequestRejected
        stream_id = self._quic.get_next_available_stream_id()
        self.pending[stream_id] = _PendingResponse()
        header_pairs = [
            (b':method', method.encode()),
            (b':scheme', b'https'),
            (b':authority', self.authority.encode()),
            (b':path', path.encode()),
            *(
                (name.encode(), header_value.encode())
                for name, header_value in headers.items()
            ),
        ]
        self.http.send_headers(stream_id, header_pairs, end_stream)
        self.transmit()
        return stream_id

    def send_body(
        self, stream_id: int, chunk: bytes, *, end_stream: bool
    ) -> None:
        """Send a chunk of a request body."""
        if self.termination is not None or self.http is None:
            raise FlowBroken(self.termination)
        self.http.send_data(stream_id, chunk, end_stream)
        self.transmit()

    async def wait_for_send_buffer(self, stream_id: int) -> None:
        """Wait until the send buffer is below its limit or the flow ends."""
        while self.termination is None:
            stream = self._quic._streams.get(stream_id)  # noqa: WPS437
            if stream is None:
                return
            sender = stream.sender
            unsent = sender._buffer_stop - sender._buffer_start  # noqa: WPS437
            if unsent < _MAX_UNSENT_OCTETS:
                return
            await asyncio.sleep(0.002)

    async def receive(self, stream_id: int) -> CallerResponse:
        """Return the complete response.

        Raise FlowBroken if the flow ends first, or RequestRejected if the
        server did not process the request.
        """
        pending = self.pending[stream_id]
        try:
            await pending.done
        finally:
            self.pending.pop(stream_id, None)
        status = int(pending.headers.get(b':status', b'0'))
        return CallerResponse(status, pending.headers, b''.join(pending.chunks))

    async def ping_until_reset(self, seconds: float = 5) -> None:
        """Send PING frames until a stateless reset arrives."""
        async with asyncio.timeout(seconds):
            while not self.was_reset:
                self._quic.send_ping(1)
                self.transmit()
                await asyncio.sleep(0.1)

    @property
    def port(self) -> int:
        """Return the local UDP port."""
        assert self._transport is not None
        port: int = self._transport.get_extra_info('sockname')[1]
        return port

    async def migrate(self) -> None:
        """Continue from another local port, as after a NAT rebinding."""
        loop = asyncio.get_running_loop()
        old_transport = self._transport
        assert old_transport is not None
        family = old_transport.get_extra_info('socket').family
        host = '::' if family is socket.AF_INET6 else '127.0.0.1'
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(host, 0),
            family=family,
        )
        old_transport.abort()

    async def get_ticket(self, headers: Mapping[str, str] = NO_HEADERS) -> str:
        """Fetch a ticket for at-most-once requests."""
        response = await self.request('GET', TICKET_PATH, headers=headers)
        return response.body.decode()

    def datagram_received(self, data: Any, addr: Any) -> None:
        """Detect a stateless reset, which aioquic does not handle.

        The datagram ends with the stateless reset token of the connection ID
        in use (RFC 9000, section 10.3.1).
        """
        peer = self._quic._peer_cid  # noqa: WPS437
        token = peer.stateless_reset_token
        if token and data.endswith(token):
            self.was_reset = True
            self._quic.close()
            for stream_id in self.pending:
                self._fail_request(stream_id, rejected=False)
        super().datagram_received(data, addr)

    def quic_event_received(self, event: QuicEvent) -> None:
        """Handle an event of the QUIC connection."""
        if isinstance(event, ProtocolNegotiated):
            self.http = _CallerHttp(self._quic)
        elif isinstance(event, ConnectionTerminated):
            self.termination = event
            for stream_id in self.pending:
                self._fail_request(
                    stream_id, rejected=self._is_rejected_by_goaway(stream_id)
                )
        elif isinstance(event, StreamReset):
            rejected = event.error_code == ErrorCode.H3_REQUEST_REJECTED
            self._fail_request(event.stream_id, rejected=rejected)
        elif self.http is not None:
            for http_event in self.http.handle_event(event):
                self._handle_http_event(http_event)

    @property
    def is_open(self) -> bool:
        """Return whether another request may be sent on the connection."""
        return self.termination is None and not (
            self.http and self.http.goaway_stream_id
        )

    def _is_rejected_by_goaway(self, stream_id: int) -> bool:
        goaway_stream_id = self.http.goaway_stream_id if self.http else None
        return goaway_stream_id is not None and stream_id >= goaway_stream_id

    def _fail_request(self, stream_id: int, *, rejected: bool) -> None:
        pending = self.pending.get(stream_id)
        if pending is not None and not pending.done.done():
            error = (
                RequestRejected() if rejected else FlowBroken(self.termination)
            )
            pending.done.set_exception(error)

    def _handle_http_event(self, event: H3Event) -> None:
        if not isinstance(event, HeadersReceived | DataReceived):
            return
        pending = self.pending.get(event.stream_id)
        if pending is None:
            return
        if isinstance(event, HeadersReceived):
            pending.headers.update(dict(event.headers))
        else:
            pending.chunks.append(event.data)
        if event.stream_ended and not pending.done.done():
            pending.done.set_result(None)


@asynccontextmanager
async def open_caller(
    address: Address,
    idle_seconds: float = 10.0,
    alpn_protocols: tuple[str, ...] = ('h3',),
) -> AsyncIterator[Caller]:
    """Connect to the public address of a service.

    A long ``alpn_protocols`` makes the ClientHello span two datagrams, as a
    post-quantum key share does.
    """
    configuration = QuicConfiguration(
        is_client=True,
        alpn_protocols=list(alpn_protocols),
        verify_mode=ssl.CERT_NONE,
        idle_timeout=idle_seconds,
    )
    async with connect(
        address.host,
        address.port,
        configuration=configuration,
        create_protocol=Caller,
    ) as caller:
        assert isinstance(caller, Caller)
        yield caller
