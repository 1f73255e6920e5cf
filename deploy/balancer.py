"""Start a packet balancer, with as few imports as there can be."""

import sys

from keelgap_balancer.packets.__main__ import main

sys.exit(main())
