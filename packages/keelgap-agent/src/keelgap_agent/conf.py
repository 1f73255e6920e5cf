"""Settings of the agent."""

from typing import NamedTuple

from keelgap.conf import (
    ConfigServiceSettings,
    InstanceSettings,
    KeySettings,
    ListenSettings,
)
from keelgap_agent import defaults

__all__ = ('AgentSettings', 'LimitSettings', 'TlsSettings', 'UpstreamSettings')


class UpstreamSettings(NamedTuple):
    """Section ``upstream``: the instance that this agent serves."""

    #: Name of the service in the table.
    service: str
    #: HTTP/1.1 base address of the instance.
    url: str
    #: Path that answers ``{"state": "draining"}`` while the instance drains;
    #: empty if there is none.  It does not affect health detection.
    state_path: str = ''


class TlsSettings(NamedTuple):
    """Section ``tls``: PEM files of the service's certificate and key."""

    certificate: str
    key: str


class LimitSettings(NamedTuple):
    """Section ``limits``: bounds on memory and idle time."""

    #: Capacity of the ledger.  New work is refused before an unexpired entry
    #: is evicted.
    ledger_entries: int = defaults.MAX_LEDGER_ENTRIES
    #: Idle timeout of a flow in seconds.
    idle_seconds: float = 60.0


class AgentSettings(NamedTuple):
    """All sections of an agent's settings file."""

    instance: InstanceSettings
    listen: ListenSettings
    config_service: ConfigServiceSettings
    keys: KeySettings
    upstream: UpstreamSettings
    tls: TlsSettings
    limits: LimitSettings
