"""Settings of the balancer."""

from typing import NamedTuple

from keelgap.conf import (
    ConfigServiceSettings,
    InstanceSettings,
    KeySettings,
    ListenSettings,
)

__all__ = ('BalancerSettings', 'DrainSettings')


class DrainSettings(NamedTuple):
    """Section ``drain``: duration of a graceful shutdown."""

    #: Seconds without a datagram from a caller after which the process exits.
    quiet_seconds: float = 2.0
    #: Maximum seconds until the process exits.
    longest_seconds: float = 300.0


class BalancerSettings(NamedTuple):
    """All sections of the settings file of a balancer."""

    instance: InstanceSettings
    listen: ListenSettings
    config_service: ConfigServiceSettings
    keys: KeySettings
    drain: DrainSettings
