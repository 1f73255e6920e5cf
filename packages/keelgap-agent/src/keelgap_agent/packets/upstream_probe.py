"""Check at the start of an agent whether its upstream is already running."""

import socket
from typing import Final

from keelgap.addresses import Address

__all__ = ('is_upstream_down',)

#: Both run on the same machine, so the answer is immediate.
_PROBE_SECONDS: Final = 0.05


def is_upstream_down(address: Address) -> bool:
    """Return whether nothing listens for health probes at an address.

    Only a refused connection proves it.  After a timeout or any other error the
    upstream may be running.
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
