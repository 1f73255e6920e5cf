"""Connection ids that encode the agent which owns the flow.

As in draft-ietf-quic-load-balancers (QUIC-LB), a server encrypts its identity
in a single AES block of the connection ids that it issues, so that any
balancer that has the key can route a packet without per-flow state.  Layout of
the block: IPv4 address (4 octets), port (2), service number (2), random nonce
(5) and a constant check pattern (3).  The key id (1 octet) precedes the block.
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

__all__ = ('CONNECTION_ID_KEY_LENGTH', 'ConnectionIdCodec', 'FlowOwner')

#: Length of an AES-128 key in octets.
CONNECTION_ID_KEY_LENGTH: Final = 16
_BLOCK = struct.Struct('!6sH5s3s')
_OWNER = struct.Struct('!6sH')
_OWNER_LENGTH: Final = _OWNER.size
#: Exceeds the number of agents in the largest fleet.
_CACHE_SIZE: Final = 32768
_NONCE_LENGTH: Final = 5
_CHECK_PATTERN: Final = b'\x6b\x67\x01'
_RESET_TOKEN_LENGTH: Final = 16


class FlowOwner(NamedTuple):
    """The agent that issued a connection id, and the service of the flow."""

    agent: Address
    service: int


@lru_cache(maxsize=_CACHE_SIZE)
def _unpack_owner(packed: bytes) -> FlowOwner:
    """Return the owner that the decrypted octets of a connection id encode."""
    agent, service = _OWNER.unpack(packed)
    return FlowOwner(unpack_address(agent), service)


class _KeyContexts(NamedTuple):
    """The cipher contexts of one key, which are reused."""

    encryptor: CipherContext
    decryptor: CipherContext


def _make_contexts(key: bytes) -> _KeyContexts:
    """Return the contexts that encrypt and decrypt with a key."""
    # Each message is one block that contains a random nonce, so ECB is
    # equivalent to the single-pass encryption of QUIC-LB.
    cipher = Cipher(algorithms.AES(key), modes.ECB())  # noqa: S305
    return _KeyContexts(cipher.encryptor(), cipher.decryptor())


class ConnectionIdCodec:
    """Issue and decode connection ids with the live keys."""

    def __init__(self, keys: dict[int, bytes], issuing_key_id: int) -> None:
        """Set the live keys by key id, and the id of the issuing key."""
        self.contexts = {
            key_id: _make_contexts(key) for key_id, key in keys.items()
        }
        self.keys = keys
        self.issuing_key_id = issuing_key_id

    def issue(self, owner: FlowOwner) -> bytes:
        """Return a new connection id that encodes the owner."""
        block = _BLOCK.pack(
            pack_address(owner.agent),
            owner.service,
            secrets.token_bytes(_NONCE_LENGTH),
            _CHECK_PATTERN,
        )
        encryptor = self.contexts[self.issuing_key_id].encryptor
        return bytes((self.issuing_key_id,)) + encryptor.update(block)

    def read(self, connection_id: bytes) -> FlowOwner:
        """Return the owner of a connection id, or raise ForgedConnectionId."""
        if len(connection_id) != CONNECTION_ID_LENGTH:
            raise ForgedConnectionId
        contexts = self.contexts.get(connection_id[0])
        if contexts is None:
            raise ForgedConnectionId
        block = contexts.decryptor.update(connection_id[1:])
        if not block.endswith(_CHECK_PATTERN):
            raise ForgedConnectionId
        return _unpack_owner(block[:_OWNER_LENGTH])

    def compute_reset_token(self, connection_id: bytes) -> bytes:
        """Return the stateless reset token (RFC 9000, section 10.3.2).

        It is derived from the key, so that a restarted agent can reset the
        flows of its previous incarnation.
        """
        key = self.keys[connection_id[0]]
        return blake2b(
            connection_id,
            key=key,
            person=b'reset',
            digest_size=_RESET_TOKEN_LENGTH,
        ).digest()
