"""The agent's QUIC connection: all use of aioquic's private names.

aioquic offers no public way to choose connection ids, to tie credit to what
the application took, to see what a stream still has to send, or to send
GOAWAY.  This module does so for the pinned version; tests/agent/test_quic.py
fails at once if a later version moves a name.
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

#: Octets that a caller may send ahead of what the upstream took.
STREAM_WINDOW: Final = 262144
#: The same for all streams of one connection.
CONNECTION_WINDOW: Final = 1048576


class HandshakeIds:
    """Connection ids that a handshake started with (RFC 9000, 7.3)."""

    def __init__(self, original: bytes, retry_source: bytes | None) -> None:
        """Take the caller's first id, and that of a Retry if one was sent."""
        self.original = original
        self.retry_source = retry_source


class AgentQuicConnection(QuicConnection):
    """A server connection whose ids name this agent."""

    def __init__(
        self,
        configuration: QuicConfiguration,
        ids: HandshakeIds,
        codec: ConnectionIdCodec,
        owner: FlowOwner,
    ) -> None:
        """Replace the random first id by one that names the owner."""
        super().__init__(
            configuration=configuration,
            original_destination_connection_id=ids.original,
            retry_source_connection_id=ids.retry_source,
        )
        self.codec = codec
        self.owner = owner
        #: Ids issued since the driver last looked.
        self.issued: deque[bytes] = deque()
        self.taken_by_stream: dict[int, int] = {}
        self.taken = 0
        first = self._host_cids[0]
        self._name_owner(first)
        self.host_cid = first.cid
        self._local_initial_source_connection_id = first.cid

    def take_credit(self, stream_id: int, count: int) -> None:
        """Record octets that the upstream took; raises the caller's credit."""
        self.taken += count
        taken = self.taken_by_stream.get(stream_id, 0)
        self.taken_by_stream[stream_id] = taken + count

    def forget_stream(self, stream_id: int) -> None:
        """Drop what is kept for a stream that ended."""
        self.taken_by_stream.pop(stream_id, None)

    def count_unsent(self, stream_id: int) -> int:
        """Return the octets of a stream that the caller has yet to confirm."""
        stream = self._streams.get(stream_id)
        if stream is None:
            return 0
        sender = stream.sender
        return sender._buffer_stop - sender._buffer_start  # noqa: WPS437

    @property
    def is_established(self) -> bool:
        """Return whether the handshake is complete."""
        return self._handshake_complete

    def _name_owner(self, host_id: QuicConnectionId) -> None:
        host_id.cid = self.codec.issue(self.owner)
        host_id.stateless_reset_token = self.codec.compute_reset_token(
            host_id.cid,
        )
        self.issued.append(host_id.cid)

    def _replenish_connection_ids(self) -> None:
        known = len(self._host_cids)
        super()._replenish_connection_ids()
        for host_id in self._host_cids[known:]:
            self._name_owner(host_id)

    def _write_connection_limits(
        self,
        builder: QuicPacketBuilder,
        space: QuicPacketSpace,
    ) -> None:
        # aioquic doubles the window by what arrived; hide that count, so that
        # only what the upstream took raises it.
        limit = self._local_max_data
        limit.value = max(limit.value, self.taken + CONNECTION_WINDOW)
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
        taken = self.taken_by_stream.get(stream.stream_id or 0, 0)
        if stream.max_stream_data_local:
            granted = taken + STREAM_WINDOW
            # A frame for each packet taken would be wasteful: wait for half.
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
