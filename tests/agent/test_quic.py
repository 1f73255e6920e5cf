"""What the agent changes in aioquic; fails if a version moves a name."""

import asyncio
import ssl
from pathlib import Path
from tempfile import TemporaryDirectory
from types import SimpleNamespace
from typing import Any
from unittest import IsolatedAsyncioTestCase, TestCase

from aioquic.h3.connection import H3Connection
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import (
    HandshakeCompleted,
    ProtocolNegotiated,
    StreamDataReceived,
)

from keelgap.addresses import Address
from keelgap.routing.connection_ids import ConnectionIdCodec, FlowOwner
from keelgap_agent.quic.protocol import (
    CONNECTION_WINDOW,
    STREAM_WINDOW,
    AgentQuicConnection,
    HandshakeIds,
    send_goaway,
)
from keelgap_agent.quic.streams import CallerStream, StreamTransport
from keelgap_standins.certificates import write_certificate

ADDRESS = Address('127.0.0.1', 1)
OWNER = FlowOwner(Address('127.0.0.21', 7001), 3)


class QuicTests(TestCase):
    """An unmodified client talks to the agent's connection."""

    def setUp(self) -> None:
        """Shake hands."""
        directory = Path(self.enterContext(TemporaryDirectory()))
        write_certificate(directory, '127.0.0.1')
        configuration = QuicConfiguration(
            is_client=False,
            alpn_protocols=['h3'],
            connection_id_length=17,
            max_data=CONNECTION_WINDOW,
            max_stream_data=STREAM_WINDOW,
        )
        configuration.load_cert_chain(
            directory / 'certificate.pem',
            directory / 'certificate.key',
        )
        self.codec = ConnectionIdCodec({1: bytes(16)}, 1)
        self.client = QuicConnection(
            configuration=QuicConfiguration(
                alpn_protocols=['h3'],
                verify_mode=ssl.CERT_NONE,
            ),
        )
        self.client.connect(ADDRESS, 0)
        ids = HandshakeIds(self.client.original_destination_connection_id, None)
        self.server = AgentQuicConnection(
            configuration,
            ids,
            self.codec,
            OWNER,
        )
        self.now: float = 0
        self.exchange(5)

    def exchange(self, rounds: int) -> None:
        """Let both sides send what they have."""
        for _ in range(rounds):
            self.now += 0.05
            for datagram, _ in self.client.datagrams_to_send(self.now):
                self.server.receive_datagram(datagram, ADDRESS, self.now)
            for datagram, _ in self.server.datagrams_to_send(self.now):
                self.client.receive_datagram(datagram, ADDRESS, self.now)

    def list_events(self, connection: QuicConnection) -> list[Any]:
        """Return the events of one side."""
        events = []
        event = connection.next_event()
        while event is not None:
            events.append(event)
            event = connection.next_event()
        return events

    def test_every_issued_id_names_the_owner(self) -> None:
        """The first one and those that are added later."""
        kinds = {type(event) for event in self.list_events(self.client)}
        self.assertLessEqual({HandshakeCompleted, ProtocolNegotiated}, kinds)
        self.assertTrue(self.server.is_established)
        issued = list(self.server.issued)
        self.assertGreater(len(issued), 1)
        self.assertEqual(len(set(issued)), len(issued))
        for connection_id in issued:
            self.assertEqual(self.codec.read(connection_id), OWNER)

    def test_client_learns_the_derived_reset_token(self) -> None:
        """So a restarted agent can end the flow."""
        peer = self.client._peer_cid  # noqa: WPS437
        expected = self.codec.compute_reset_token(peer.cid)
        self.assertEqual(peer.stateless_reset_token, expected)

    def test_credit_follows_what_was_taken(self) -> None:
        """Received octets alone give no more room."""
        stream_id = self.client.get_next_available_stream_id()
        self.client.send_stream_data(stream_id, bytes(2 * STREAM_WINDOW))
        self.exchange(60)
        received = self.count_received(stream_id)
        self.assertEqual(received, STREAM_WINDOW)
        self.server.record_consumed(stream_id, STREAM_WINDOW)
        self.exchange(60)
        received += self.count_received(stream_id)
        self.assertEqual(received, 2 * STREAM_WINDOW)

    def count_received(self, stream_id: int) -> int:
        """Return the octets that the server's events bring."""
        return sum(
            len(event.data)
            for event in self.list_events(self.server)
            if isinstance(event, StreamDataReceived)
            and event.stream_id == stream_id
        )

    def test_unsent_octets_are_counted(self) -> None:
        """Until the other side has confirmed them."""
        stream_id = self.server.get_next_available_stream_id()
        self.server.send_stream_data(stream_id, bytes(5000))
        self.assertEqual(self.server.count_unsent(stream_id), 5000)
        self.exchange(10)
        self.assertEqual(self.server.count_unsent(stream_id), 0)

    def test_goaway_reaches_the_client(self) -> None:
        """On the control stream, with the id of the first refused request."""
        http = H3Connection(self.server)
        self.exchange(3)
        self.list_events(self.client)
        send_goaway(http, 8)
        self.exchange(3)
        control = [
            event.data
            for event in self.list_events(self.client)
            if isinstance(event, StreamDataReceived)
        ]
        self.assertEqual(control, [b'\x07\x01\x08'])


class AnswerTests(IsolatedAsyncioTestCase):
    """Answers wait for a slow caller."""

    async def asyncSetUp(self) -> None:
        """Have a stream whose caller takes nothing."""
        self.unsent = 10**6
        self.sent: list[bytes] = []
        quic: Any = SimpleNamespace(count_unsent=lambda _: self.unsent)
        http: Any = SimpleNamespace(
            send_data=lambda _, part, end_stream: self.sent.append(part),
        )
        transport = StreamTransport(1, quic, http, lambda: None, lambda _: None)
        self.stream = CallerStream(transport, 0, 1, [(b':method', b'GET')])

    async def test_odd_numbers_of_callers_count_as_none(self) -> None:
        """A deadline that is no number would never pass."""
        for text, expected in (
            (b'nan', None),
            (b'-1', None),
            (b'inf', None),
            (b'x', None),
            (b'2.5', 2.5),
        ):
            headers = [(b':method', b'GET'), (b'keelgap-deadline', text)]
            stream = CallerStream(self.stream.transport, 0, 1, headers)
            self.assertEqual(stream.head.deadline_seconds, expected)

    async def test_upstream_waits_while_too_much_is_unsent(self) -> None:
        """And goes on when the caller has made room."""
        sending = asyncio.create_task(self.stream.send_part(b'x'))
        for _ in range(3):
            self.stream.writable.set()
            await asyncio.sleep(0)
            self.assertFalse(sending.done())
        self.unsent = 0
        self.stream.writable.set()
        await asyncio.wait_for(sending, 1)
        self.assertEqual(self.sent, [b'x'])

    async def test_caller_that_is_gone_holds_nothing_back(self) -> None:
        """What is left of the answer is dropped."""
        sending = asyncio.create_task(self.stream.send_part(b'x'))
        await asyncio.sleep(0)
        self.stream.abandon()
        await asyncio.wait_for(sending, 1)
        await self.stream.send_part(b'y')
        self.assertEqual(self.sent, [b'x'])
