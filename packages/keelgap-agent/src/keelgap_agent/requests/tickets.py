"""Tickets, which permit requests that run at most once.

A ticket contains the issuing agent, its incarnation, the service, the caller
and an expiry on the issuer's clock, and is authenticated by a keyed BLAKE2b
code.  Any agent can check it, but only the issuing incarnation may admit the
requests that use it.
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

_LAYOUT = struct.Struct('!BB6sQHQI8s')
_MAC_LENGTH: Final = 16
_CALLER_LENGTH: Final = 8
_VERSION: Final = 1
_MAX_SUFFIX: Final = 64
#: Length of 54 octets in base64, which needs no padding.
_TEXT_LENGTH: Final = 72


class TicketRefused(KeelgapError):
    """The ticket was not issued by an agent of this fleet."""

    code = 'ticket_refused'


class MalformedKey(KeelgapError):
    """An Idempotency-Key is not a ticket, a dot and a suffix.

    A ticket is the signed permit that an agent issues for such a request.
    """

    code = 'malformed_key'


class Ticket(NamedTuple):
    """The fields of a ticket, which permits requests that run at most once."""

    #: Control address of the issuing agent, where others can ask it.
    issuer: Address
    incarnation: int
    service: int
    #: Increases with each ticket of an incarnation.
    serial: int
    #: Time of expiry in seconds since the issuer's start.
    expiry: int
    #: Digest of the credentials of the caller that fetched it.
    caller: bytes


def digest_caller(identity: bytes) -> bytes:
    """Return the digest that binds a ticket to a caller's credentials."""
    return blake2b(identity, digest_size=_CALLER_LENGTH).digest()


def split_key(text: str) -> tuple[str, str]:
    """Split an Idempotency-Key into its ticket and the caller's suffix."""
    ticket, dot, suffix = text.partition('.')
    has_valid_lengths = (
        len(ticket) == _TEXT_LENGTH and 0 < len(suffix) <= _MAX_SUFFIX
    )
    if not dot or not has_valid_lengths:
        raise MalformedKey
    return ticket, suffix


class TicketCodec:
    """Sign and check tickets with the fleet's keys."""

    def __init__(self, keys: dict[int, bytes], signing_key_id: int) -> None:
        """Take the message authentication keys by key id."""
        self.keys = keys
        self.signing_key_id = signing_key_id

    def encode(self, ticket: Ticket) -> str:
        """Return the signed text of a ticket."""
        body = _LAYOUT.pack(
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
        """Return the fields of an authentic ticket, or raise TicketRefused."""
        try:
            raw = base64.b64decode(text, b'-_', validate=True)
        except (binascii.Error, ValueError) as error:
            raise TicketRefused from error
        body = raw[:-_MAC_LENGTH]
        if len(body) != _LAYOUT.size or body[0] != _VERSION:
            raise TicketRefused
        expected = self._compute_mac(body[1], body)
        if not compare_digest(expected, raw[-_MAC_LENGTH:]):
            raise TicketRefused
        _version, _key_id, issuer, *other_fields = _LAYOUT.unpack(body)
        return Ticket(unpack_address(issuer), *other_fields)

    def _compute_mac(self, key_id: int, body: bytes) -> bytes:
        """Return the authentication code of a ticket's body under one key."""
        key = self.keys.get(key_id)
        if key is None:
            raise TicketRefused
        return blake2b(
            body,
            key=key,
            person=b'ticket',
            digest_size=_MAC_LENGTH,
        ).digest()
