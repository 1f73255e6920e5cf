"""Settings from INI files, validated completely before any port is bound.

``docs/ref/settings.md`` documents each name; a test checks that it is
complete.
"""

import configparser
from collections.abc import Callable, Mapping
from enum import Enum
from types import MappingProxyType
from typing import Any, Final, NamedTuple, TypeVar

from keelgap.exceptions import Fault, ImproperlyConfigured

__all__ = (
    'ConfigServiceSettings',
    'InstanceSettings',
    'KeySettings',
    'ListenSettings',
    'load_settings',
)

_UNREADABLE: Final = 'keelgap.E020'
_UNKNOWN_SECTION: Final = 'keelgap.E021'

_SettingsT = TypeVar('_SettingsT', bound=tuple[NamedTuple, ...])


class InstanceSettings(NamedTuple):
    """Section ``instance``: identity of this process."""

    name: str
    #: IPv4 address at which other processes and the fabric reach this one.
    address: str
    availability_zone: str


class ListenSettings(NamedTuple):
    """Section ``listen``: the ports of this process."""

    #: UDP port for encapsulated datagrams.
    data_port: int
    #: TCP port for control messages between processes (pyzmq).
    control_port: int
    #: TCP port of the admin HTTP server.
    admin_port: int
    #: Comma-separated control addresses (``IPv4:port``) of the peers that a
    #: starting process asks when the configuration service is unavailable.
    seeds: str = ''


class ConfigServiceSettings(NamedTuple):
    """Section ``config_service``: where documents are read from."""

    #: Base URL of the service.
    url: str
    table_key: str = 'table'
    instances_key: str = 'instances'
    #: Maximum duration of a blocking query, in seconds.
    wait_seconds: float = 30.0


class KeySettings(NamedTuple):
    """Section ``keys``: files that hold the fleet's keys, in hexadecimal.

    Up to two keys are live for connection ids and up to two for message
    authentication; the second file of each may be empty.  Rotating keys in
    the order given in docs/howto/rotate-keys.md breaks no flow.
    """

    connection_ids_first: str
    mac_first: str
    curve_public: str
    curve_secret: str
    connection_ids_second: str = ''
    #: Id (1 or 2) of the key that encrypts new connection ids.
    connection_ids_issue: int = 1
    mac_second: str = ''
    #: Id (1 or 2) of the key that authenticates outgoing messages.
    mac_sign: int = 1


class _NeedsFullCheck(Exception):
    """A section may have faults, which only the full checks can describe."""


def load_settings(path: str, settings_type: type[_SettingsT]) -> _SettingsT:
    """Return the settings of a file, with one NamedTuple for each section.

    Raises ImproperlyConfigured with every fault found.  A valid file is read
    without importing keelgap.checks, which takes a third of a fast start.
    """
    parser = _read_file(path)
    sections = settings_type.__annotations__
    try:
        if parser.sections() and not sections.keys() >= set(parser.sections()):
            raise _NeedsFullCheck
        return settings_type(
            *(
                _make_section(parser, name, section_type)
                for name, section_type in sections.items()
            )
        )
    except _NeedsFullCheck:
        return _load_checked(parser, settings_type)


def _load_checked(
    parser: configparser.ConfigParser,
    settings_type: type[_SettingsT],
) -> _SettingsT:
    """Return the settings, or raise ImproperlyConfigured with every fault."""
    from keelgap.checks import (  # noqa: PLC0415, WPS433
        check_columns,
        convert_columns,
        describe_nearest,
    )

    sections = settings_type.__annotations__
    faults = [
        Fault(
            _UNKNOWN_SECTION,
            f'[{name}]',
            'unknown section',
            describe_nearest(name, sections),
        )
        for name in parser.sections()
        if name not in sections
    ]
    for section, row_type in sections.items():
        row = dict(parser[section]) if parser.has_section(section) else {}
        faults.extend(check_columns(row, row_type, section, strict=False))
    if faults:
        raise ImproperlyConfigured(tuple(faults))
    return settings_type(
        *(
            section_type(
                **convert_columns(
                    dict(parser[name]) if parser.has_section(name) else {},
                    section_type,
                ),
            )
            for name, section_type in sections.items()
        )
    )


def _read_file(path: str) -> configparser.ConfigParser:
    """Return a parsed settings file, or raise ImproperlyConfigured."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding='utf-8') as settings_file:
            parser.read_file(settings_file, path)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        raise ImproperlyConfigured((
            Fault(
                _UNREADABLE,
                path,
                str(error).replace('\n', ' '),
                'start from `keelgap example settings`',
            ),
        )) from error
    return parser


def _make_section(
    parser: configparser.ConfigParser,
    name: str,
    section_type: Callable[..., NamedTuple],
) -> NamedTuple:
    """Return a section's settings, or raise _NeedsFullCheck if in doubt."""
    row = parser[name] if parser.has_section(name) else {}
    hints = section_type.__annotations__
    optional: dict[str, Any] = getattr(section_type, '_field_defaults', {})
    required = hints.keys() - optional.keys()
    if required - row.keys() or row.keys() - hints.keys():
        raise _NeedsFullCheck(name)
    columns = {key: _convert(text, hints[key]) for key, text in row.items()}
    return section_type(**columns)


def _convert(text: str, hint: object) -> Any:
    """Convert a value; raise _NeedsFullCheck if it is not in simple form."""
    convert = _find_conversion(hint)
    if convert is None:
        raise _NeedsFullCheck(hint)
    try:
        return convert(text)
    except (KeyError, ValueError) as error:
        raise _NeedsFullCheck(text) from error


def _find_conversion(hint: object) -> Callable[[str], Any] | None:
    """Return the function that converts text to a type, or None."""
    if isinstance(hint, type) and issubclass(hint, Enum):
        return hint
    return _CONVERSIONS.get(hint)


def _convert_int(text: str) -> int:
    """Convert decimal digits to an integer, or raise ValueError."""
    if not text.lstrip('-').isdecimal():
        raise ValueError(text)
    return int(text)


def _convert_float(text: str) -> float:
    """Convert decimal text to a number, or raise ValueError."""
    if set(text) - _FLOAT_CHARACTERS:
        raise ValueError(text)
    return float(text)


_FLOAT_CHARACTERS: Final = frozenset('0123456789.+-eE')
_BOOLEANS: Final = MappingProxyType({
    'true': True,
    '1': True,
    'false': False,
    '0': False,
})
_CONVERSIONS: Final[Mapping[object, Callable[[str], Any]]] = MappingProxyType({
    str: str,
    int: _convert_int,
    float: _convert_float,
    bool: lambda text: _BOOLEANS[text.lower()],
})
