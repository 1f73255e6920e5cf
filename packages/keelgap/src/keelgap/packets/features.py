"""Which optional decisions a deployment calls for.

Each can be set in the section ``features`` of both packet programs.  Left to
``auto``, what the operators of the platform agreed on for the deployment
decides, as the platform's adapter reads it.
"""

from collections.abc import Set as AbstractSet
from enum import Enum, unique
from typing import Final, NamedTuple

__all__ = (
    'NO_FEATURES',
    'NO_FEATURE_SETTINGS',
    'Choice',
    'FeatureSettings',
    'Features',
    'Term',
    'choose_features',
)


@unique
class Choice(Enum):
    """Whether a decision is made."""

    AUTO = 'auto'
    ON = 'on'
    OFF = 'off'


@unique
class Term(Enum):
    """What the operators of a platform may agree on for a deployment."""

    #: Upstreams may fail while they say that they are well.
    UPSTREAM_HEALTH = 'upstream_health'
    #: There may be more requests than the upstreams can serve.
    OVERLOAD = 'overload'


class FeatureSettings(NamedTuple):
    """Section ``features``: the same in balancers and agents."""

    #: What was agreed on, in the platform's words, with commas between.
    terms: str = ''
    #: Take upstreams that fail requests out, and try them again.
    ejection: Choice = Choice.AUTO
    #: Order all requests of an upstream, not only the first of each flow.
    scheduling: Choice = Choice.AUTO
    #: Place new flows where their answers are expected first.
    placement: Choice = Choice.AUTO
    #: Early refusal of what cannot be served in time: ``room`` of the agent,
    #: ``admission`` of the balancer.  Off unless asked for: of callers whose
    #: zone has less room than others, fewer are served.
    admission: Choice = Choice.OFF


#: Where the settings file has no such section.
NO_FEATURE_SETTINGS: Final = FeatureSettings()


class Features(NamedTuple):
    """The decisions that are made in this process."""

    ejection: bool = False
    scheduling: bool = False
    placement: bool = False
    admission: bool = False


#: What is served without any of them.
NO_FEATURES: Final = Features()


def choose_features(
    settings: FeatureSettings,
    terms: AbstractSet[Term],
) -> Features:
    """Return what the settings, and else the terms, call for."""
    has_health = Term.UPSTREAM_HEALTH in terms
    return Features(
        ejection=_choose(settings.ejection, called_for=has_health),
        scheduling=_choose(settings.scheduling, called_for=has_health),
        placement=_choose(settings.placement, called_for=has_health),
        admission=_choose(
            settings.admission,
            called_for=Term.OVERLOAD in terms,
        ),
    )


def _choose(choice: Choice, *, called_for: bool) -> bool:
    if choice is Choice.AUTO:
        return called_for
    return choice is Choice.ON
