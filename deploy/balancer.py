"""Start a packet balancer, importing as little as possible."""

import signal
import sys

# A signal may arrive during the imports, when the default action would end the
# process with an error status.
signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(0))
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from keelgap_balancer.packets.__main__ import main  # noqa: E402

sys.exit(main(*sys.argv[1:2]))
