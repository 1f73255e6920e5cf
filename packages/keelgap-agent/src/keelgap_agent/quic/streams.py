"""Requests of callers on HTTP/3 streams."""

import asyncio
import math
from collections.abc import Callable
from typing import Final, NamedTuple

from aioquic.h3.connection import ErrorCode, H3Connection

from keelgap.control.messages import HeaderPairs
from keelgap_agent.defaults import MAX_PORTABLE_BODY_OCTETS
from keelgap_agent.events import RequestHead
from keelgap_agent.quic.bodies import BodyBuffer
from keelgap_agent.quic.protocol import AgentQuicConnection
from keelgap_agent.requests.exchanges import UpstreamHead
from keelgap_agent.requests.outcomes import StoredAnswer
from keelgap_agent.requests.problems import Problem, encode_problem
from keelgap_agent.requests.tickets import digest_caller

__all__ = ('CallerStream', 'StreamTransport')

#: Unacknowledged octets of an answer above which reading from the upstream
#: pauses.
_MAX_UNSENT: Final = 262144
_DEADLINE_HEADER: Final = b'keelgap-deadline'


class StreamTransport(NamedTuple):
    """The part of a connection that its streams use."""

    flow_id: int
    quic: AgentQuicConnection
    http: H3Connection
    #: Called after any operation that may have produced datagrams to send.
    transmit: Callable[[], None]
    #: Called when the stream is answered or reset.
    forget: Callable[[int], None]


class CallerStream:
    """One request of a caller; implements Exchange."""

    def __init__(
        self,
        transport: StreamTransport,
        stream_id: int,
        request_id: int,
        headers: HeaderPairs,
    ) -> None:
        """Parse the head of a request."""
        self.transport = transport
        self.stream_id = stream_id
        self.request_id = request_id
        self.body = BodyBuffer(self._record_consumed)
        self.submitted = False
        #: Whether BODY_WAIT_SECONDS have passed for a body of unknown length.
        self.body_wait_expired = False
        self.head_sent = False
        self.closed = False
        self.writable = asyncio.Event()
        fields = dict(headers)
        self.upstream_head = UpstreamHead(
            fields.get(b':method', b'').decode('latin-1'),
            fields.get(b':path', b'').decode('latin-1'),
            _make_upstream_headers(headers),
        )
        self.expected_length = _read_number(fields.get(b'content-length'))
        key = fields.get(b'idempotency-key')
        self.head = RequestHead(
            self.upstream_head.method,
            self.upstream_head.path,
            key.decode('latin-1') if key else None,
            digest_caller(fields.get(b'authorization', b'')),
            _read_number(fields.get(_DEADLINE_HEADER)),
            portable=False,
        )

    @property
    def is_ready(self) -> bool:
        """Return whether the request can be submitted to admission.

        A short body must be complete first, so that the request can be passed
        on to another agent.  A body of unknown length is awaited for
        BODY_WAIT_SECONDS only.
        """
        if self.body.ended or self.body_wait_expired:
            return True
        return (
            max(self.expected_length or 0, self.body.size)
            > MAX_PORTABLE_BODY_OCTETS
        )

    def submit(
        self,
        on_request: Callable[['CallerStream'], None],
    ) -> None:
        """Submit the request to admission once it is ready."""
        if self.submitted or not self.is_ready:
            return
        self.submitted = True
        is_portable = (
            self.body.ended and self.body.size <= MAX_PORTABLE_BODY_OCTETS
        )
        self.head = self.head._replace(portable=is_portable)
        on_request(self)

    def send_head(self, status: int, headers: HeaderPairs) -> None:
        """Send the head of the answer."""
        self._send_headers(status, headers, ended=False)

    async def send_part(self, part: bytes) -> None:
        """Send a part of the answer; wait while too much is unsent."""
        if self.closed:
            return
        self.transport.http.send_data(self.stream_id, part, end_stream=False)
        self.transport.transmit()
        while not self.closed and self._count_unsent() > _MAX_UNSENT:
            self.writable.clear()
            await self.writable.wait()

    def send_end(self) -> None:
        """End the answer."""
        if not self.closed:
            self.transport.http.send_data(self.stream_id, b'', end_stream=True)
            self._close()

    def refuse(self, problem: Problem) -> None:
        """Answer with a problem, or reset an answer that was started."""
        if self.closed:
            return
        if self.head_sent:
            self._reset(ErrorCode.H3_INTERNAL_ERROR)
            return
        headers, body = encode_problem(problem)
        self._answer(problem.kind.status, headers, body)

    def reject(self) -> None:
        """Reset a request after GOAWAY as not processed."""
        self._reset(ErrorCode.H3_REQUEST_REJECTED)

    def send_answer(self, answer: StoredAnswer) -> None:
        """Send a complete answer."""
        if not self.closed:
            headers = list(answer.headers)
            self._answer(answer.status, headers, answer.body or b'')

    def abandon(self) -> None:
        """Stop the exchange after the caller cancelled it or left."""
        self.closed = True
        self.body.cancel()
        self.writable.set()

    def _answer(self, status: int, headers: HeaderPairs, body: bytes) -> None:
        """Send a complete answer and close the stream."""
        self._send_headers(status, headers, ended=not body)
        if body:
            self.transport.http.send_data(self.stream_id, body, True)
        self._close()

    def _send_headers(
        self,
        status: int,
        headers: HeaderPairs,
        *,
        ended: bool,
    ) -> None:
        """Send the status and the headers, unless the stream is closed."""
        if self.closed:
            return
        self.head_sent = True
        pairs = [(b':status', str(int(status)).encode()), *headers]
        self.transport.http.send_headers(self.stream_id, pairs, ended)
        self.transport.transmit()

    def _close(self) -> None:
        """Close the stream and stop the caller from sending more body."""
        self.closed = True
        if not self.body.ended:
            # The rest of the request is not needed (RFC 9114, 4.1).
            self.transport.quic.stop_stream(
                self.stream_id, ErrorCode.H3_NO_ERROR
            )
        self.transport.forget(self.stream_id)
        self.transport.transmit()

    def _reset(self, error: ErrorCode) -> None:
        """Reset the stream in both directions with an error code."""
        quic = self.transport.quic
        quic.reset_stream(self.stream_id, error)
        if not self.body.ended:
            quic.stop_stream(self.stream_id, error)
        self.closed = True
        self.transport.forget(self.stream_id)
        self.transport.transmit()

    def _record_consumed(self, count: int) -> None:
        """Raise the caller's flow control limit by consumed octets."""
        if not self.closed:
            self.transport.quic.record_consumed(self.stream_id, count)
            self.transport.transmit()

    def _count_unsent(self) -> int:
        """Return the number of the answer's octets not yet acknowledged."""
        return self.transport.quic.count_unsent(self.stream_id)


def _read_number(text: bytes | None) -> float | None:
    """Return a finite number of 0 or more, or None for any other text."""
    try:
        number = float(text) if text else math.nan
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None


def _make_upstream_headers(headers: HeaderPairs) -> HeaderPairs:
    """Return the headers for the upstream, with a Host header.

    Pseudo-headers and the deadline header are left out.
    """
    authority = [
        (b'host', text) for name, text in headers if name == b':authority'
    ]
    regular = [
        (name, text)
        for name, text in headers
        if not name.startswith(b':') and name not in {b'host', _DEADLINE_HEADER}
    ]
    return [*authority, *regular]
