"""Start a packet agent, with as few imports as there can be."""

import sys

from keelgap_agent.packets.__main__ import main

sys.exit(main())
