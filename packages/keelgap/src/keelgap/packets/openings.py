"""How callers open a flow: when they repeat the first packet, and give up."""

from typing import Final

__all__ = ('OPENING_SECONDS', 'estimate_wait')

#: When a caller sends each copy of an opening packet, in seconds after the
#: first; its packets count the copies.
_COPY_SECONDS: Final = (0, 0.2, 0.6)

#: A caller gives an opening up this long after its first packet.
OPENING_SECONDS: Final = 1.4


def estimate_wait(copies: int) -> float:
    """Return for how long the caller of an opening packet has waited."""
    return _COPY_SECONDS[min(copies, len(_COPY_SECONDS) - 1)]
