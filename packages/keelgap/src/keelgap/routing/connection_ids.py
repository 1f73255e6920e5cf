"""Connection ids that name the agent which owns the flow.

The idea is that of draft-ietf-quic-load-balancers (QUIC-LB): a server puts
its own identity, encrypted in a single AES block, into the connection ids it
issues, so that any balancer with the key routes a packet without history.
Layout of the block: IPv4 (4 octets), port (2), service number (2), random
nonce (5), check (3).  One octet with the key id goes before the block.
"""

import secrets
import struct
from functools import lru_cache
from hashlib import blake2b
from typing import Final, NamedTuple

from cryptography.hazmat.primitives.ciphers import (
    Cipher,
    CipherContext,
    algorithms,
    modes,
)

from keelgap.addresses import Address, pack_address, unpack_address
from keelgap.wire.exceptions import ForgedConnectionId
from keelgap.wire.packets import CONNECTION_ID_LENGTH

__all__ = ('KEY_LENGTH', 'ConnectionIdCodec', 'FlowOwner')

#: Octets of a key: AES-128.
KEY_LENGTH: Final = 16
_BLOCK = struct.Struct('!6sH5s3s')
_OWNER = struct.Struct('!6sH')
_OWNER_LENGTH: Final = _OWNER.size
#: More than the agents of the largest fleet.
_CACHE_SIZE: Final = 32768
_NONCE_LENGTH: Final = 5
_CHECK: Final = b'\x6b\x67\x01'
_RESET_TOKEN_LENGTH: Final = 16


class FlowOwner(NamedTuple):
    """The agent that issued a connection id, and for which service."""

    agent: Address
    service: int


@lru_cache(maxsize=_CACHE_SIZE)
def _read_owner(packed: bytes) -> FlowOwner:
    agent, service = _OWNER.unpack(packed)
    return FlowOwner(unpack_address(agent), service)


class _KeyContexts(NamedTuple):
    encryptor: CipherContext
    decryptor: CipherContext


def _make_contexts(key: bytes) -> _KeyContexts:
    # One block a message and a random nonce in each: ECB is what QUIC-LB's
    # single-pass encryption amounts to.
    cipher = Cipher(algorithms.AES(key), modes.ECB())  # noqa: S305
    return _KeyContexts(cipher.encryptor(), cipher.decryptor())


class ConnectionIdCodec:
    """Issue and read connection ids under the live keys."""

    def __init__(self, keys: dict[int, bytes], issuing_key_id: int) -> None:
        """Take the live keys by key id, and the one to issue with."""
        self.contexts = {
            key_id: _make_contexts(key) for key_id, key in keys.items()
        }
        self.keys = keys
        self.issuing_key_id = issuing_key_id

    def issue(self, owner: FlowOwner) -> bytes:
        """Return a new connection id that names the owner."""
        block = _BLOCK.pack(
            pack_address(owner.agent),
            owner.service,
            secrets.token_bytes(_NONCE_LENGTH),
            _CHECK,
        )
        encryptor = self.contexts[self.issuing_key_id].encryptor
        return bytes((self.issuing_key_id,)) + encryptor.update(block)

    def read(self, connection_id: bytes) -> FlowOwner:
        """Return who issued a connection id, or raise ForgedConnectionId."""
        if len(connection_id) != CONNECTION_ID_LENGTH:
            raise ForgedConnectionId
        contexts = self.contexts.get(connection_id[0])
        if contexts is None:
            raise ForgedConnectionId
        block = contexts.decryptor.update(connection_id[1:])
        if not block.endswith(_CHECK):
            raise ForgedConnectionId
        return _read_owner(block[:_OWNER_LENGTH])

    def compute_reset_token(self, connection_id: bytes) -> bytes:
        """Return the stateless reset token (RFC 9000, section 10.3.2).

        It is derived from the key, so that a restarted agent can end the
        flows of its earlier incarnation.
        """
        key = self.keys[connection_id[0]]
        return blake2b(
            connection_id,
            key=key,
            person=b'reset',
            digest_size=_RESET_TOKEN_LENGTH,
        ).digest()
