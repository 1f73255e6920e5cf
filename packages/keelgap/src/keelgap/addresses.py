"""IPv4 socket addresses and their 6-octet wire form."""

import socket
import struct
from functools import lru_cache
from typing import Final, NamedTuple

from keelgap.exceptions import KeelgapError

__all__ = (
    'PACKED_ADDRESS_LENGTH',
    'UNSPECIFIED',
    'Address',
    'InvalidAddress',
    'pack_address',
    'parse_address',
    'unpack_address',
)

#: Length of a packed address: four octets of IPv4 and two of port.
PACKED_ADDRESS_LENGTH: Final = 6
_CACHE_SIZE: Final = 65536
_MAX_PORT: Final = 65535
_PORT = struct.Struct('!H')
_HOST_LENGTH: Final = 4


class InvalidAddress(KeelgapError):
    """The string does not have the form ``IPv4:port``."""

    code = 'invalid_address'


class Address(NamedTuple):
    """An IPv4 address and a port, as accepted by socket calls."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


#: Wire encoding of an absent address.
UNSPECIFIED: Final = Address('0.0.0.0', 0)  # noqa: S104


@lru_cache(maxsize=_CACHE_SIZE)
def pack_address(address: tuple[str, int]) -> bytes:
    """Return the 6-octet form of an address."""
    host, port = address
    return socket.inet_aton(host) + _PORT.pack(port)


@lru_cache(maxsize=_CACHE_SIZE)
def unpack_address(packed: bytes) -> Address:
    """Return the address encoded in six octets."""
    host = socket.inet_ntoa(packed[:_HOST_LENGTH])
    return Address(host, _PORT.unpack(packed[_HOST_LENGTH:])[0])


@lru_cache(maxsize=_CACHE_SIZE)
def parse_address(text: str) -> Address:
    """Parse ``IPv4:port``, or raise InvalidAddress."""
    host, _, port = text.rpartition(':')
    try:
        packed_host = socket.inet_pton(socket.AF_INET, host)
    except OSError:
        raise InvalidAddress(text) from None
    if not port.isdecimal() or not 0 < int(port) <= _MAX_PORT:
        raise InvalidAddress(text)
    return Address(socket.inet_ntoa(packed_host), int(port))
