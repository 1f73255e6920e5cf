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
    """Section ``drain``: how a planned stop ends."""

    #: Seconds without a caller's datagram after which the process exits.
    quiet_seconds: float = 2.0
    #: Seconds after which it exits in any case.
    longest_seconds: float = 300.0


class BalancerSettings(NamedTuple):
    """All sections of a balancer's settings file."""

    instance: InstanceSettings
    listen: ListenSettings
    config_service: ConfigServiceSettings
    keys: KeySettings
    drain: DrainSettings
