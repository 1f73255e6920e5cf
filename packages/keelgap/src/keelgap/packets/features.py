"""Optional features, and how the settings enable them.

Each feature can be set in the section ``features`` of the balancer and the
agent.  With ``auto`` the terms decide that the operators of the platform agreed
on for the deployment; the platform's adapter parses them.
"""

from collections.abc import Set as AbstractSet
from enum import Enum, unique
from typing import Final, NamedTuple

__all__ = (
    'NO_FEATURES',
    'NO_FEATURE_SETTINGS',
    'FeatureMode',
    'FeatureSettings',
    'Features',
    'DeploymentTerm',
    'resolve_features',
)


@unique
class FeatureMode(Enum):
    """Setting of a feature; ``auto`` follows the deployment's terms."""

    AUTO = 'auto'
    ON = 'on'
    OFF = 'off'


@unique
class DeploymentTerm(Enum):
    """Condition that the operators may agree on for a deployment."""

    #: Upstreams may fail requests while they report that they are healthy.
    UPSTREAM_HEALTH = 'upstream_health'
    #: Requests may exceed the capacity of the upstreams.
    OVERLOAD = 'overload'


class FeatureSettings(NamedTuple):
    """Section ``features`` of the settings of balancers and agents."""

    #: Agreed terms under the platform's names, separated by commas.
    terms: str = ''
    #: Eject upstreams that fail requests, and send trials to them.
    ejection: FeatureMode = FeatureMode.AUTO
    #: Schedule all requests to an upstream, not only the first of each flow.
    scheduling: FeatureMode = FeatureMode.AUTO
    #: Place new flows at the upstream with the earliest expected response.
    placement: FeatureMode = FeatureMode.AUTO
    #: Refuse early what cannot be served in time: ``capacity`` in the agent,
    #: ``admission`` in the balancer.  Off by default, because it serves fewer
    #: of the callers whose zone has less capacity than others.
    admission: FeatureMode = FeatureMode.OFF


#: Used if the settings file has no section ``features``.
NO_FEATURE_SETTINGS: Final = FeatureSettings()


class Features(NamedTuple):
    """Features that are enabled in this process; see FeatureSettings."""

    ejection: bool = False
    scheduling: bool = False
    placement: bool = False
    admission: bool = False


#: All features disabled.
NO_FEATURES: Final = Features()


def resolve_features(
    settings: FeatureSettings,
    terms: AbstractSet[DeploymentTerm],
) -> Features:
    """Return which features are enabled by the settings.

    With ``auto``, a feature is enabled if the terms contain its condition.
    """
    has_health = DeploymentTerm.UPSTREAM_HEALTH in terms
    return Features(
        ejection=_is_enabled(settings.ejection, default=has_health),
        scheduling=_is_enabled(settings.scheduling, default=has_health),
        placement=_is_enabled(settings.placement, default=has_health),
        admission=_is_enabled(
            settings.admission,
            default=DeploymentTerm.OVERLOAD in terms,
        ),
    )


def _is_enabled(mode: FeatureMode, *, default: bool) -> bool:
    """Return whether a feature is enabled; ``default`` applies to AUTO."""
    if mode is FeatureMode.AUTO:
        return default
    return mode is FeatureMode.ON
