"""Tickets: the right to have a request run at most once, at one agent.

A ticket names the agent that issued it, that agent's incarnation, the
service, the caller and an expiry on the issuer's own clock, under a keyed
BLAKE2b code.  Any agent can check it; only the issuing incarnation may run.
"""

import base64
import binascii
import struct
from hashlib import blake2b
from hmac import compare_digest
from typing import Final, NamedTuple

from keelgap.addresses import Address, pack_address, unpack_address
from keelgap.exceptions import KeelgapError

__all__ = (
    'MalformedKey',
    'Ticket',
    'TicketCodec',
    'TicketRefused',
    'digest_caller',
    'split_key',
)

_FIELDS = struct.Struct('!BB6sQHQI8s')
_MAC_LENGTH: Final = 16
_CALLER_LENGTH: Final = 8
_VERSION: Final = 1
_MAX_SUFFIX: Final = 64
#: 54 octets in base64, without padding.
_TEXT_LENGTH: Final = 72


class TicketRefused(KeelgapError):
    """The ticket was not issued by an agent of this fleet."""

    code = 'ticket_refused'


class MalformedKey(KeelgapError):
    """An Idempotency-Key does not have a ticket, a dot and a suffix."""

    code = 'malformed_key'


class Ticket(NamedTuple):
    """What a ticket says."""

    #: Control address of the agent, where others may ask it.
    issuer: Address
    incarnation: int
    service: int
    #: Rises with each ticket of an incarnation.
    serial: int
    #: Seconds since the issuer's start at which it expires.
    expiry: int
    #: Digest of who asked for it.
    caller: bytes


def digest_caller(identity: bytes) -> bytes:
    """Return the digest that binds a ticket to a caller's credentials."""
    return blake2b(identity, digest_size=_CALLER_LENGTH).digest()


def split_key(text: str) -> tuple[str, str]:
    """Split an Idempotency-Key in its ticket and the caller's suffix."""
    ticket, dot, suffix = text.partition('.')
    fits = len(ticket) == _TEXT_LENGTH and 0 < len(suffix) <= _MAX_SUFFIX
    if not dot or not fits:
        raise MalformedKey
    return ticket, suffix


class TicketCodec:
    """Sign and check tickets under the live keys of the fleet."""

    def __init__(self, keys: dict[int, bytes], signing_key_id: int) -> None:
        """Take the message code keys by key id."""
        self.keys = keys
        self.signing_key_id = signing_key_id

    def encode(self, ticket: Ticket) -> str:
        """Return the text of a ticket."""
        body = _FIELDS.pack(
            _VERSION,
            self.signing_key_id,
            pack_address(ticket.issuer),
            ticket.incarnation,
            ticket.service,
            ticket.serial,
            ticket.expiry,
            ticket.caller,
        )
        mac = self._compute_mac(self.signing_key_id, body)
        return base64.urlsafe_b64encode(body + mac).decode()

    def decode(self, text: str) -> Ticket:
        """Return what an authentic ticket says, or raise TicketRefused."""
        try:
            raw = base64.b64decode(text, b'-_', validate=True)
        except (binascii.Error, ValueError) as error:
            raise TicketRefused from error
        body = raw[:-_MAC_LENGTH]
        if len(body) != _FIELDS.size or body[0] != _VERSION:
            raise TicketRefused
        expected = self._compute_mac(body[1], body)
        if not compare_digest(expected, raw[-_MAC_LENGTH:]):
            raise TicketRefused
        _version, _key_id, issuer, *others = _FIELDS.unpack(body)
        return Ticket(unpack_address(issuer), *others)

    def _compute_mac(self, key_id: int, body: bytes) -> bytes:
        key = self.keys.get(key_id)
        if key is None:
            raise TicketRefused
        return blake2b(
            body,
            key=key,
            person=b'ticket',
            digest_size=_MAC_LENGTH,
        ).digest()
