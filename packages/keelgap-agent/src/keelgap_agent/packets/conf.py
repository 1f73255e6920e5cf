"""Settings of the packet agent."""

from typing import Final, NamedTuple

from keelgap.conf import InstanceSettings
from keelgap.packets.features import NO_FEATURE_SETTINGS, FeatureSettings

__all__ = (
    'NO_WARM_UP_SETTINGS',
    'AgentListenSettings',
    'AgentPacketSettings',
    'UpstreamSettings',
    'WarmUpSettings',
)


class AgentListenSettings(NamedTuple):
    """Section ``listen``: addresses as ``IPv4:port``, and ports."""

    #: UDP: packets of the upstream.
    upstream: str
    #: UDP: balancers and agents among themselves, the same port everywhere.
    peer_port: int
    #: Any address with the UDP port that all callers have.
    callers: str
    #: TCP: whether this agent serves.
    ready: str
    #: TCP port of the metrics page; 0 for none.
    metrics_port: int = 0


class UpstreamSettings(NamedTuple):
    """Section ``upstream``: the upstream beside this agent."""

    service: str
    #: UDP: where it takes packets.
    address: str
    #: Whether the whole fleet starts for the first time, so that no upstream
    #: holds a flow yet.
    first_start: bool = False
    #: Python module of the platform's adapter.
    adapter: str = 'keelgap_platform.adapter'


class WarmUpSettings(NamedTuple):
    """Section ``warm_up``: new flows of an upstream that is not warm yet.

    In any second it gets at most ``excess`` times what the operators' table
    says that it bears, and ``slack`` more.
    """

    excess: float = 1
    slack: float = 0


#: Where the settings file has no such section.
NO_WARM_UP_SETTINGS: Final = WarmUpSettings()


class AgentPacketSettings(NamedTuple):
    """All sections of a packet agent's settings file."""

    instance: InstanceSettings
    listen: AgentListenSettings
    upstream: UpstreamSettings
    warm_up: WarmUpSettings = NO_WARM_UP_SETTINGS
    features: FeatureSettings = NO_FEATURE_SETTINGS
