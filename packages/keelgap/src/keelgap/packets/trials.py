"""What balancers and agents must agree on for ejected upstreams."""

from typing import Final

__all__ = ('FORCED_HOP', 'LAST_RESORT_SECONDS')

#: The agent of an ejected upstream takes a new flow that was offered so often:
#: if most upstreams fail, none is left out.
FORCED_HOP: Final = 3

#: Any request may be a trial if none that can be repeated came for so long.
LAST_RESORT_SECONDS: Final = 3.0
