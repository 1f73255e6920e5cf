"""Settings of the packet balancer."""

from typing import NamedTuple

from keelgap.conf import InstanceSettings
from keelgap.packets.features import NO_FEATURE_SETTINGS, FeatureSettings

__all__ = ('BalancerPacketSettings', 'PacketListenSettings', 'StoreSettings')


class PacketListenSettings(NamedTuple):
    """Section ``listen``: addresses as ``IPv4:port``, and ports."""

    #: UDP: packets of callers.  Callers have the same port.
    callers: str
    #: UDP: balancers and agents among themselves, the same port everywhere.
    peer_port: int
    #: TCP: whether the routers may send callers here.
    ready: str
    #: TCP: what this balancer holds, for other balancers.
    control: str
    #: TCP port of the metrics page; 0 for none.
    metrics_port: int = 0
    #: Control addresses of some balancers, with commas between.
    seeds: str = ''
    #: Megabits a second of this instance's link; 0 if that is not known.
    link_megabits: float = 0


class StoreSettings(NamedTuple):
    """Section ``store``: where routes and upstreams are published."""

    address: str
    #: Python module of the platform's adapter.
    adapter: str = 'keelgap_platform.adapter'


class BalancerPacketSettings(NamedTuple):
    """All sections of a packet balancer's settings file."""

    instance: InstanceSettings
    listen: PacketListenSettings
    store: StoreSettings
    features: FeatureSettings = NO_FEATURE_SETTINGS
