"""Keys shared by all processes of a fleet, read from files."""

from pathlib import Path
from typing import Final, NamedTuple

from keelgap.addresses import Address
from keelgap.conf import KeySettings
from keelgap.exceptions import Fault, ImproperlyConfigured
from keelgap.routing.connection_ids import (
    CONNECTION_ID_KEY_LENGTH,
    ConnectionIdCodec,
)
from keelgap.wire.encapsulation import EnvelopeCodec

__all__ = ('FleetKeys', 'load_keys')

_MAC_KEY_LENGTH: Final = 32
_CURVE_TEXT_LENGTH: Final = 40
_KEY_IDS: Final = (1, 2)
_SUFFIXES: Final = ('first', 'second')
_BAD_KEY: Final = 'keelgap.E022'
_BAD_KEY_ID: Final = 'keelgap.E023'
_HINT: Final = 'make one with `keelgap example keys DIRECTORY`'


class FleetKeys(NamedTuple):
    """The live keys, by key id; they must never be logged."""

    connection_ids: dict[int, bytes]
    connection_ids_issue: int
    mac: dict[int, bytes]
    mac_sign: int
    #: CURVE key pair of the fleet in Z85, the encoding that pyzmq uses.
    curve_public: bytes
    curve_secret: bytes

    def make_connection_id_codec(self) -> ConnectionIdCodec:
        """Return a codec for connection ids that uses these keys."""
        return ConnectionIdCodec(
            self.connection_ids,
            self.connection_ids_issue,
        )

    def make_envelope_codec(
        self,
        incarnation: int,
        address: Address,
    ) -> EnvelopeCodec:
        """Return a codec for the envelopes of one process."""
        return EnvelopeCodec(self.mac, self.mac_sign, incarnation, address)


class _KeyReader:
    """Read key files and collect their faults."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []

    def read_pair(
        self,
        name: str,
        files: tuple[str, str],
        length: int,
    ) -> dict[int, bytes]:
        """Return the keys of the configured files, by key id."""
        return {
            key_id: self.read_hexadecimal(f'{name}_{suffix}', path, length)
            for key_id, suffix, path in zip(_KEY_IDS, _SUFFIXES, files)
            if path
        }

    def read_hexadecimal(self, name: str, path: str, length: int) -> bytes:
        """Return a key of the given length from a hexadecimal file."""
        try:
            key = bytes.fromhex(self.read_text(name, path))
        except ValueError:
            key = b''
        if len(key) != length:
            self.record_fault(name, f'{path} does not hold {length} octets')
        return key

    def read_curve(self, name: str, path: str) -> bytes:
        """Return the public or secret CURVE key of a file, in Z85."""
        text = self.read_text(name, path).strip()
        if len(text) != _CURVE_TEXT_LENGTH:
            self.record_fault(name, f'{path} does not hold a Z85 key')
        return text.encode()

    def read_text(self, name: str, path: str) -> str:
        """Return the text of a file, or an empty string if it is unreadable."""
        try:
            return Path(path).read_text('utf-8')
        except (OSError, UnicodeDecodeError) as error:
            self.record_fault(name, f'cannot read {path}: {error}')
            return ''

    def record_fault(self, name: str, problem: str) -> None:
        """Record a fault of a key file."""
        self.faults.append(Fault(_BAD_KEY, name, problem, _HINT))


def load_keys(settings: KeySettings) -> FleetKeys:
    """Return the keys; raise ImproperlyConfigured with every fault found."""
    reader = _KeyReader()
    keys = FleetKeys(
        reader.read_pair(
            'keys.connection_ids',
            (settings.connection_ids_first, settings.connection_ids_second),
            CONNECTION_ID_KEY_LENGTH,
        ),
        settings.connection_ids_issue,
        reader.read_pair(
            'keys.mac',
            (settings.mac_first, settings.mac_second),
            _MAC_KEY_LENGTH,
        ),
        settings.mac_sign,
        reader.read_curve('keys.curve_public', settings.curve_public),
        reader.read_curve('keys.curve_secret', settings.curve_secret),
    )
    faults = (*reader.faults, *_check_key_ids(keys))
    if faults:
        raise ImproperlyConfigured(faults)
    return keys


def _check_key_ids(keys: FleetKeys) -> list[Fault]:
    """Return a fault for each selected key id that has no key."""
    selected = (
        ('keys.connection_ids_issue', keys.connection_ids_issue),
        ('keys.mac_sign', keys.mac_sign),
    )
    available = (keys.connection_ids, keys.mac)
    return [
        Fault(
            _BAD_KEY_ID,
            name,
            f'no key has the id {key_id}',
            'use the id of a key that has a file',
        )
        for (name, key_id), members in zip(selected, available, strict=True)
        if key_id not in members
    ]
