"""Start a packet agent, with as few imports as there can be."""

import signal
import sys

# Signals may come before the imports are done, and would end us with an error.
signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(0))
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from keelgap_agent.packets.__main__ import main  # noqa: E402

sys.exit(main(*sys.argv[1:2]))
