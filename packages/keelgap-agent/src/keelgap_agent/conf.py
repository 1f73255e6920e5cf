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
    """Section ``upstream``: the instance that this agent stands beside."""

    #: Name of the service in the table.
    service: str
    #: HTTP/1.1 base address of the instance.
    url: str
    #: Path that answers ``{"state": "draining"}`` when the instance leaves;
    #: empty if there is none.  It never makes an instance dead or alive.
    state_path: str = ''


class TlsSettings(NamedTuple):
    """Section ``tls``: PEM files of the service's certificate and key."""

    certificate: str
    key: str


class LimitSettings(NamedTuple):
    """Section ``limits``."""

    #: Entries of the ledger; new work is refused before one is forgotten.
    ledger_entries: int = defaults.LEDGER_ENTRIES
    #: Seconds without a packet after which a flow ends.
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
