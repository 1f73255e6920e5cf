"""When callers retransmit the first packet of a flow, and give up."""

from typing import Final

__all__ = ('OPEN_TIMEOUT_SECONDS', 'estimate_open_wait')

#: Times at which a caller sends an opening packet and its retransmissions, in
#: seconds after the first; the packets count the retransmissions.
_RETRANSMIT_SECONDS: Final = (0, 0.2, 0.6)

#: Seconds after the first packet at which a caller gives up the attempt.
OPEN_TIMEOUT_SECONDS: Final = 1.4


def estimate_open_wait(retransmissions: int) -> float:
    """Return the seconds for which a caller has tried to open a flow.

    They are estimated from the number of retransmissions of its first packet.
    """
    return _RETRANSMIT_SECONDS[
        min(retransmissions, len(_RETRANSMIT_SECONDS) - 1)
    ]
