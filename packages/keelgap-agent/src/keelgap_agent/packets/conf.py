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

    #: UDP address on which the upstream sends its packets.
    upstream: str
    #: UDP port for envelopes between balancers and agents, the same everywhere.
    peer_port: int
    #: An address with the UDP port that all callers use; its host is ignored.
    callers: str
    #: TCP address of the readiness page.
    ready: str
    #: TCP port of the metrics page; 0 disables the page.
    metrics_port: int = 0


class UpstreamSettings(NamedTuple):
    """Section ``upstream``: the upstream of this agent."""

    #: Name of the service that the upstream belongs to.
    service: str
    #: UDP address on which the upstream receives packets.
    address: str
    #: Whether the whole fleet starts for the first time, so that no upstream
    #: has an open flow yet.
    first_start: bool = False
    #: Python module of the platform's adapter.
    adapter: str = 'keelgap_platform.adapter'


class WarmUpSettings(NamedTuple):
    """Section ``warm_up``: rate limit for new flows during warm-up.

    In any second, an upstream that is not warm yet gets at most ``excess``
    times the rate that the operators' table sets for it, plus ``slack``.
    """

    excess: float = 1
    #: New flows in any second beyond the multiple of the rate.
    slack: float = 0


#: Defaults if the settings file has no such section.
NO_WARM_UP_SETTINGS: Final = WarmUpSettings()


class AgentPacketSettings(NamedTuple):
    """All sections of the settings file of a packet agent."""

    instance: InstanceSettings
    listen: AgentListenSettings
    upstream: UpstreamSettings
    warm_up: WarmUpSettings = NO_WARM_UP_SETTINGS
    features: FeatureSettings = NO_FEATURE_SETTINGS
