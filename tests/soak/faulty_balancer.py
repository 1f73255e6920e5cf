"""Start a balancer that believes in claims of readers long after their loss.

The soak must find this deliberate fault.
"""

import runpy
from pathlib import Path

from keelgap.catalog import defaults
from keelgap.catalog.readers import ReaderElection

_BALANCER = Path(__file__).parents[2] / 'deploy' / 'balancer.py'
_LONG_SECONDS = 12.0


def _ignore_loss(election: ReaderElection, host: str, now: float) -> None:
    """Go on to believe in a host that failure detection found lost."""


defaults.CLAIM_TTL_SECONDS = _LONG_SECONDS  # type: ignore[misc]
ReaderElection.record_loss = _ignore_loss  # type: ignore[method-assign]
runpy.run_path(str(_BALANCER), run_name='__main__')
