"""Whether an upstream runs already when the agent beside it starts."""

import socket
from typing import Final

from keelgap.addresses import Address

__all__ = ('is_upstream_down',)

#: Both run on one machine, which answers at once.
_PROBE_SECONDS: Final = 0.05


def is_upstream_down(address: Address) -> bool:
    """Return whether nothing listens for health probes at an address.

    Only a refused connection says so.  No answer, or any other error, leaves
    it open, and then the upstream may run.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.settimeout(_PROBE_SECONDS)
        try:
            probe.connect(address)
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
    return False
