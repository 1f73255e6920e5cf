"""Settings of the packet balancer."""

from typing import NamedTuple

from keelgap.conf import InstanceSettings
from keelgap.packets.features import NO_FEATURE_SETTINGS, FeatureSettings

__all__ = ('BalancerPacketSettings', 'PacketListenSettings', 'StoreSettings')


class PacketListenSettings(NamedTuple):
    """Section ``listen``: addresses as ``IPv4:port``, and ports."""

    #: UDP address for packets of callers, which use the same port.
    callers: str
    #: UDP port for messages between balancers and agents, the same for all.
    peer_port: int
    #: TCP address where routers ask whether this balancer is ready.
    ready: str
    #: TCP address where other balancers read this balancer's catalog.
    control: str
    #: TCP port of the metrics page; 0 for none.
    metrics_port: int = 0
    #: Control addresses of some balancers, separated by commas.
    seeds: str = ''
    #: Bandwidth of this instance's link in Mbit/s; 0 if unknown.
    link_megabits: float = 0


class StoreSettings(NamedTuple):
    """Section ``store``: the store of routes and upstreams."""

    address: str
    #: Python module of the adapter to the platform.
    adapter: str = 'keelgap_platform.adapter'


class BalancerPacketSettings(NamedTuple):
    """All sections of a packet balancer's settings file."""

    instance: InstanceSettings
    listen: PacketListenSettings
    store: StoreSettings
    features: FeatureSettings = NO_FEATURE_SETTINGS
