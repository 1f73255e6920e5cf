"""Established flows of an agent, without sockets."""

import ssl
import time
from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, Final

from aioquic.h3.connection import H3Connection
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import ProtocolNegotiated

from keelgap.addresses import Address
from keelgap.routing.connection_ids import ConnectionIdCodec, FlowOwner
from keelgap.wire.packets import CONNECTION_ID_LENGTH
from keelgap_agent.quic.protocol import AgentQuicConnection, HandshakeIds
from keelgap_standins.certificates import write_certificate

__all__ = ('make_flows',)

_ADDRESS: Final = Address('127.0.0.1', 1)
_OWNER: Final = FlowOwner(Address('127.0.0.21', 7001), 1)


def _make_server_configuration(directory: Path) -> QuicConfiguration:
    write_certificate(directory, '127.0.0.1')
    configuration = QuicConfiguration(
        is_client=False,
        alpn_protocols=['h3'],
        connection_id_length=CONNECTION_ID_LENGTH,
    )
    configuration.load_cert_chain(
        directory / 'certificate.pem',
        directory / 'certificate.key',
    )
    return configuration


def _connect(
    client: QuicConnection,
    server: AgentQuicConnection,
) -> float:
    """Shake hands; return the agent's processor time in seconds."""
    spent = 0.0  # noqa: WPS358
    for step in range(4):
        now = step / 100
        datagrams = client.datagrams_to_send(now)
        started = time.process_time()
        for datagram, _ in datagrams:
            server.receive_datagram(datagram, _ADDRESS, now)
        answers = server.datagrams_to_send(now)
        spent += time.process_time() - started
        for answer, _ in answers:
            client.receive_datagram(answer, _ADDRESS, now)
    return spent


def make_flows(count: int) -> list[Any]:
    """Return the agent's side of so many established flows."""
    return [(server, _make_http(server)) for server, _ in _shake_hands(count)]


def time_handshakes(count: int) -> float:
    """Return the agent's processor time for so many handshakes."""
    return sum(spent for _, spent in _shake_hands(count))


def _shake_hands(count: int) -> Iterator[tuple[AgentQuicConnection, float]]:
    codec = ConnectionIdCodec({1: bytes(16)}, 1)
    with ExitStack() as stack:
        directory = Path(stack.enter_context(TemporaryDirectory()))
        configuration = _make_server_configuration(directory)
        for _ in range(count):
            client = QuicConnection(
                configuration=QuicConfiguration(
                    alpn_protocols=['h3'],
                    verify_mode=ssl.CERT_NONE,
                ),
            )
            client.connect(_ADDRESS, 0)
            ids = HandshakeIds(client.original_destination_connection_id, None)
            server = AgentQuicConnection(configuration, ids, codec, _OWNER)
            yield server, _connect(client, server)


def _make_http(server: AgentQuicConnection) -> H3Connection | None:
    event = server.next_event()
    http = None
    while event is not None:
        if isinstance(event, ProtocolNegotiated):
            http = H3Connection(server)
        event = server.next_event()
    assert http is not None
    return http
