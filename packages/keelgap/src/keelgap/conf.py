"""Settings: INI files, checked whole before anything is bound.

``docs/ref/settings.md`` documents each name; a test keeps it complete.
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
    """Section ``instance``: who this process is."""

    name: str
    #: IPv4 address that other processes and the fabric reach.
    address: str
    availability_zone: str


class ListenSettings(NamedTuple):
    """Section ``listen``: the ports of this process."""

    #: UDP, encapsulated datagrams.
    data_port: int
    #: TCP, pyzmq between processes.
    control_port: int
    #: TCP, HTTP for operators.
    admin_port: int
    #: Control addresses of peers, ``IPv4:port`` with commas between, which a
    #: joiner asks when the configuration service is away.
    seeds: str = ''


class ConfigServiceSettings(NamedTuple):
    """Section ``config_service``: where tables are read."""

    #: HTTP base address of the service.
    url: str
    table_key: str = 'table'
    instances_key: str = 'instances'
    #: Longest blocking query, in seconds.
    wait_seconds: float = 30.0


class KeySettings(NamedTuple):
    """Section ``keys``: files with the fleet's keys, in hexadecimal.

    Two keys are live for connection ids and two for the message code; the
    other one may be empty.  A change in the order given in
    docs/howto/rotate-keys.md breaks no flow.
    """

    connection_ids_first: str
    mac_first: str
    curve_public: str
    curve_secret: str
    connection_ids_second: str = ''
    #: Key id, 1 or 2, under which new connection ids are issued.
    connection_ids_issue: int = 1
    mac_second: str = ''
    #: Key id, 1 or 2, under which messages are signed.
    mac_sign: int = 1


class _Doubtful(Exception):
    """A section needs the full checks to say what is wrong with it."""


def load_settings(path: str, settings_type: type[_SettingsT]) -> _SettingsT:
    """Return the settings of a file, one NamedTuple a section.

    Raises ImproperlyConfigured with every fault found.  A faultless file is
    read without the check framework, which costs a third of a fast start.
    """
    parser = _read_file(path)
    sections = settings_type.__annotations__
    try:
        if parser.sections() and not sections.keys() >= set(parser.sections()):
            raise _Doubtful
        return settings_type(
            *(
                _make_section(parser, name, section_type)
                for name, section_type in sections.items()
            )
        )
    except _Doubtful:
        return _load_checked(parser, settings_type)


def _load_checked(
    parser: configparser.ConfigParser,
    settings_type: type[_SettingsT],
) -> _SettingsT:
    """Find every fault of a file, or return the settings."""
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
            'this section is not known',
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
    row = parser[name] if parser.has_section(name) else {}
    hints = section_type.__annotations__
    optional: dict[str, Any] = getattr(section_type, '_field_defaults', {})
    required = hints.keys() - optional.keys()
    if required - row.keys() or row.keys() - hints.keys():
        raise _Doubtful(name)
    columns = {key: _convert(text, hints[key]) for key, text in row.items()}
    return section_type(**columns)


def _convert(text: str, hint: object) -> Any:
    """Return a plain value; raise _Doubtful if its form is not plain."""
    convert = _find_conversion(hint)
    if convert is None:
        raise _Doubtful(hint)
    try:
        return convert(text)
    except (KeyError, ValueError) as error:
        raise _Doubtful(text) from error


def _find_conversion(hint: object) -> Callable[[str], Any] | None:
    if isinstance(hint, type) and issubclass(hint, Enum):
        return hint
    return _CONVERSIONS.get(hint)


def _convert_int(text: str) -> int:
    if not text.lstrip('-').isdecimal():
        raise ValueError(text)
    return int(text)


def _convert_float(text: str) -> float:
    if set(text) - _FLOAT_LETTERS:
        raise ValueError(text)
    return float(text)


_FLOAT_LETTERS: Final = frozenset('0123456789.+-eE')
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
