"""Constants for ejected upstreams that balancers and agents must share."""

from typing import Final

__all__ = ('FORCED_ACCEPT_HOP', 'LAST_RESORT_SECONDS')

#: Hop at which the agent of an ejected upstream must accept a new flow.  If
#: most upstreams fail, none is excluded.
FORCED_ACCEPT_HOP: Final = 3

#: Seconds without a repeatable request after which any request may be a trial.
LAST_RESORT_SECONDS: Final = 3.0
