"""Start a balancer that believes in claims of readers long after their loss.

The soak must find this deliberate fault.
"""

import signal
import sys

signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(0))
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from keelgap.catalog import defaults  # noqa: E402
from keelgap.catalog.readers import ReaderElection  # noqa: E402
from keelgap_balancer.packets.__main__ import main  # noqa: E402

_LONG_SECONDS = 12.0


def _ignore_loss(election: ReaderElection, host: str, now: float) -> None:
    """Go on to believe in a host that failure detection found lost."""


defaults.CLAIM_TTL_SECONDS = _LONG_SECONDS  # type: ignore[misc]
ReaderElection.record_loss = _ignore_loss  # type: ignore[method-assign]
sys.exit(main(*sys.argv[1:2]))
