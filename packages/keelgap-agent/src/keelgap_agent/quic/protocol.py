"""The agent's QUIC connection, which uses private names of aioquic.

aioquic has no public interface to choose connection ids, to tie flow control
to what the application consumed, to query the unsent data of a stream, or to
send GOAWAY.  All use of private names is in this module and depends on the
pinned version; tests/agent/test_quic.py fails if a later version changes one.
"""

from collections import deque
from typing import Final

from aioquic.buffer import encode_uint_var
from aioquic.h3.connection import FrameType, H3Connection, encode_frame
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection, QuicConnectionId
from aioquic.quic.packet_builder import QuicPacketBuilder
from aioquic.quic.recovery import QuicPacketSpace
from aioquic.quic.stream import QuicStream

from keelgap.routing.connection_ids import ConnectionIdCodec, FlowOwner

__all__ = ('AgentQuicConnection', 'HandshakeIds', 'send_goaway')

#: Octets that a caller may send on a stream ahead of what the upstream
#: consumed.
STREAM_WINDOW: Final = 262144
#: The same for all streams of one connection.
CONNECTION_WINDOW: Final = 1048576


class HandshakeIds:
    """Connection ids that a handshake authenticates (RFC 9000, 7.3)."""

    def __init__(self, original: bytes, retry_source: bytes | None) -> None:
        """Take the caller's first id and that of the Retry, if any was sent."""
        self.original = original
        self.retry_source = retry_source


class AgentQuicConnection(QuicConnection):
    """A server connection whose connection ids encode this agent."""

    def __init__(
        self,
        configuration: QuicConfiguration,
        ids: HandshakeIds,
        codec: ConnectionIdCodec,
        owner: FlowOwner,
    ) -> None:
        """Replace the random first id by one that encodes the owner."""
        super().__init__(
            configuration=configuration,
            original_destination_connection_id=ids.original,
            retry_source_connection_id=ids.retry_source,
        )
        self.codec = codec
        self.owner = owner
        #: Ids issued and not yet registered in the flow table.
        self.issued: deque[bytes] = deque()
        self.consumed_by_stream: dict[int, int] = {}
        self.consumed = 0
        first = self._host_cids[0]
        self._assign_owned_id(first)
        self.host_cid = first.cid
        self._local_initial_source_connection_id = first.cid

    def record_consumed(self, stream_id: int, count: int) -> None:
        """Record consumed octets, which raises the caller's flow control."""
        self.consumed += count
        consumed = self.consumed_by_stream.get(stream_id, 0)
        self.consumed_by_stream[stream_id] = consumed + count

    def forget_stream(self, stream_id: int) -> None:
        """Remove the flow control state of a stream that ended."""
        self.consumed_by_stream.pop(stream_id, None)

    def count_unsent(self, stream_id: int) -> int:
        """Return the number of a stream's octets not yet acknowledged."""
        stream = self._streams.get(stream_id)
        if stream is None:
            return 0
        sender = stream.sender
        return sender._buffer_stop - sender._buffer_start  # noqa: WPS437

    @property
    def is_established(self) -> bool:
        """Return whether the handshake is complete."""
        return self._handshake_complete

    def _assign_owned_id(self, host_id: QuicConnectionId) -> None:
        """Replace a connection id by one that encodes this agent."""
        host_id.cid = self.codec.issue(self.owner)
        host_id.stateless_reset_token = self.codec.compute_reset_token(
            host_id.cid,
        )
        self.issued.append(host_id.cid)

    def _replenish_connection_ids(self) -> None:
        """Add connection ids that encode this agent."""
        known = len(self._host_cids)
        super()._replenish_connection_ids()
        for host_id in self._host_cids[known:]:
            self._assign_owned_id(host_id)

    def _write_connection_limits(
        self,
        builder: QuicPacketBuilder,
        space: QuicPacketSpace,
    ) -> None:
        """Raise the data limit to a window beyond the octets consumed."""
        # aioquic doubles the window depending on the octets received.  Hide
        # that count, so that only consumed octets raise the limit.
        limit = self._local_max_data
        limit.value = max(limit.value, self.consumed + CONNECTION_WINDOW)
        used = limit.used
        limit.used = 0
        super()._write_connection_limits(builder, space)
        limit.used = used

    def _write_stream_limits(
        self,
        builder: QuicPacketBuilder,
        space: QuicPacketSpace,
        stream: QuicStream,
    ) -> None:
        """Raise a stream's data limit to a window past the consumed octets."""
        consumed = self.consumed_by_stream.get(stream.stream_id or 0, 0)
        if stream.max_stream_data_local:
            granted = consumed + STREAM_WINDOW
            # Send an update only for half a window or more: a frame for each
            # consumed packet would be wasteful.
            if granted - stream.max_stream_data_local >= STREAM_WINDOW // 2:
                stream.max_stream_data_local = granted
        highest = stream.receiver.highest_offset
        stream.receiver.highest_offset = 0
        super()._write_stream_limits(builder, space, stream)
        stream.receiver.highest_offset = highest


def send_goaway(http: H3Connection, stream_id: int) -> None:
    """Tell the caller that requests from stream_id on are not processed.

    RFC 9114, sections 5.2 and 7.2.6.
    """
    control_stream = http._local_control_stream_id  # noqa: WPS437
    if control_stream is None:
        return
    frame = encode_frame(FrameType.GOAWAY, encode_uint_var(stream_id))
    http._quic.send_stream_data(control_stream, frame)  # noqa: WPS437
