"""Stand-in of a caller: an HTTP/3 client with retries for keyed requests."""

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
    'CallerAnswer',
    'FlowBroken',
    'RequestRejected',
    'open_caller',
)

TICKET_PATH: Final = '/.well-known/keelgap/ticket'
NO_HEADERS: Final = MappingProxyType[str, str]({})
_WINDOW: Final = 131072


class RequestRejected(Exception):
    """The request was not processed; it is safe to send it again."""


class _CallerHttp(H3Connection):
    """HTTP/3 that remembers the stream id of a GOAWAY (RFC 9114, 5.2)."""

    def __init__(self, quic: QuicConnection) -> None:
        super().__init__(quic)
        self.goaway: int | None = None

    def _handle_control_frame(self, frame_type: int, frame_data: bytes) -> None:
        super()._handle_control_frame(frame_type, frame_data)
        if frame_type == FrameType.GOAWAY:
            self.goaway = Buffer(data=frame_data).pull_uint_var()


class FlowBroken(Exception):
    """The flow ended before the answer was whole."""


class CallerAnswer(NamedTuple):
    """What a caller got."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes

    @property
    def service(self) -> str:
        """Return the service that answered."""
        return self.headers.get(b'x-service', b'').decode()


class _Pending:
    """An answer that is being received."""

    def __init__(self) -> None:
        self.headers: dict[bytes, bytes] = {}
        self.parts: deque[bytes] = deque()
        self.done: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )


class Caller(QuicConnectionProtocol):
    """One connection of a caller."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Start before the handshake."""
        super().__init__(*args, **kwargs)
        self.http: _CallerHttp | None = None
        self.pending: dict[int, _Pending] = {}
        self.authority = 'localhost'
        #: Whether an agent that lost the flow said so.
        self.was_reset = False
        #: Why the connection ended, if it did.
        self.end: ConnectionTerminated | None = None

    async def request(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        headers: Mapping[str, str] = NO_HEADERS,
    ) -> CallerAnswer:
        """Send a request with a whole body and return the whole answer."""
        stream_id = self.send_head(method, path, not body, headers)
        if body:
            self.send_body(stream_id, body, ended=True)
        return await self.receive(stream_id)

    async def upload(
        self,
        path: str,
        size: int,
        pause: float = 0,
    ) -> CallerAnswer:
        """Send a long body piece by piece and return the answer."""
        stream_id = self.send_head('POST', path, False)
        piece = bytes(_WINDOW // 2)
        sent = 0
        while sent < size:
            count = min(len(piece), size - sent)
            self.send_body(stream_id, piece[:count], ended=False)
            sent += count
            await self.make_room(stream_id)
            await asyncio.sleep(pause)
        self.send_body(stream_id, b'', ended=True)
        return await self.receive(stream_id)

    def send_head(
        self,
        method: str,
        path: str,
        ended: bool,
        headers: Mapping[str, str] = NO_HEADERS,
    ) -> int:
        """Open a request and return its stream."""
        if self.http is None or not self.is_open:
            raise RequestRejected
        stream_id = self._quic.get_next_available_stream_id()
        self.pending[stream_id] = _Pending()
        pairs = [
            (b':method', method.encode()),
            (b':scheme', b'https'),
            (b':authority', self.authority.encode()),
            (b':path', path.encode()),
            *((name.encode(), text.encode()) for name, text in headers.items()),
        ]
        self.http.send_headers(stream_id, pairs, ended)
        self.transmit()
        return stream_id

    def send_body(self, stream_id: int, part: bytes, *, ended: bool) -> None:
        """Send a part of a body."""
        if self.end is not None or self.http is None:
            raise FlowBroken(self.end)
        self.http.send_data(stream_id, part, ended)
        self.transmit()

    async def make_room(self, stream_id: int) -> None:
        """Wait until little of a body is unsent."""
        while self.end is None:
            stream = self._quic._streams.get(stream_id)  # noqa: WPS437
            if stream is None:
                return
            sender = stream.sender
            unsent = sender._buffer_stop - sender._buffer_start  # noqa: WPS437
            if unsent < _WINDOW:
                return
            await asyncio.sleep(0.002)

    async def receive(self, stream_id: int) -> CallerAnswer:
        """Return the whole answer, or raise FlowBroken."""
        pending = self.pending[stream_id]
        try:
            await pending.done
        finally:
            self.pending.pop(stream_id, None)
        status = int(pending.headers.get(b':status', b'0'))
        return CallerAnswer(status, pending.headers, b''.join(pending.parts))

    async def ping_until_reset(self, seconds: float = 5) -> None:
        """Send pings until the other side says that it lost the flow."""
        async with asyncio.timeout(seconds):
            while not self.was_reset:
                self._quic.send_ping(1)
                self.transmit()
                await asyncio.sleep(0.1)

    @property
    def port(self) -> int:
        """Return the port that the caller sends from."""
        assert self._transport is not None
        number: int = self._transport.get_extra_info('sockname')[1]
        return number

    async def move(self) -> None:
        """Go on from another port, as after a change of a NAT."""
        loop = asyncio.get_running_loop()
        old = self._transport
        assert old is not None
        family = old.get_extra_info('socket').family
        host = '::' if family is socket.AF_INET6 else '127.0.0.1'
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(host, 0),
            family=family,
        )
        old.abort()

    async def get_ticket(self, headers: Mapping[str, str] = NO_HEADERS) -> str:
        """Return a ticket for requests that must run at most once."""
        answer = await self.request('GET', TICKET_PATH, headers=headers)
        return answer.body.decode()

    def datagram_received(self, data: Any, addr: Any) -> None:
        """Notice a stateless reset, which aioquic does not look for.

        RFC 9000, section 10.3.1: it ends with the token of the id in use.
        """
        peer = self._quic._peer_cid  # noqa: WPS437
        token = peer.stateless_reset_token
        if token and data.endswith(token):
            self.was_reset = True
            self._quic.close()
            for stream_id in self.pending:
                self._fail(stream_id, rejected=False)
        super().datagram_received(data, addr)

    def quic_event_received(self, event: QuicEvent) -> None:
        """Take what the connection received."""
        if isinstance(event, ProtocolNegotiated):
            self.http = _CallerHttp(self._quic)
        elif isinstance(event, ConnectionTerminated):
            self.end = event
            for stream_id in self.pending:
                self._fail(stream_id, rejected=self._is_beyond(stream_id))
        elif isinstance(event, StreamReset):
            rejected = event.error_code == ErrorCode.H3_REQUEST_REJECTED
            self._fail(event.stream_id, rejected=rejected)
        elif self.http is not None:
            for http_event in self.http.handle_event(event):
                self._take(http_event)

    @property
    def is_open(self) -> bool:
        """Return whether the caller may open another request."""
        return self.end is None and not (self.http and self.http.goaway)

    def _is_beyond(self, stream_id: int) -> bool:
        goaway = self.http.goaway if self.http else None
        return goaway is not None and stream_id >= goaway

    def _fail(self, stream_id: int, *, rejected: bool) -> None:
        pending = self.pending.get(stream_id)
        if pending is not None and not pending.done.done():
            error = RequestRejected() if rejected else FlowBroken(self.end)
            pending.done.set_exception(error)

    def _take(self, event: H3Event) -> None:
        if not isinstance(event, HeadersReceived | DataReceived):
            return
        pending = self.pending.get(event.stream_id)
        if pending is None:
            return
        if isinstance(event, HeadersReceived):
            pending.headers.update(dict(event.headers))
        else:
            pending.parts.append(event.data)
        if event.stream_ended and not pending.done.done():
            pending.done.set_result(None)


@asynccontextmanager
async def open_caller(
    address: Address,
    idle_seconds: float = 10.0,
    alpn_protocols: tuple[str, ...] = ('h3',),
) -> AsyncIterator[Caller]:
    """Open a connection to a service's public address.

    A long list of protocols makes a ClientHello of two datagrams, as a
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
