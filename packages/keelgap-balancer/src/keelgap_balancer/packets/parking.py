"""Packets that came before the first catalog, or before the first upstream.

After a power failure of everything the store may stay silent for a while,
and callers repeat an opening packet only twice.  Without its packet a caller
is heard again when it begins its next try, up to 0.8 s later, and has that
much less time for an answer.
"""

from keelgap.packets.formats import Flags
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.effects import Decided
from keelgap_balancer.packets.state import PacketState

__all__ = ('park', 'take_parked')


def park(
    state: PacketState,
    key: bytes,
    datagram: bytes,
    now: float,
) -> tuple[Decided, ...]:
    """Keep the latest packet of a flow until the catalog changes."""
    if key not in state.parked and len(state.parked) >= defaults.MAX_PARKED:
        return (Decided('parking_full'),)
    state.parked[key] = datagram
    if _is_opening(state, datagram):
        # Its age counts from now on, not from when it is routed.
        state.ages.note_opening(key, state.format.copies(datagram), now)
    return (Decided('parked'),)


def take_parked(
    state: PacketState,
    now: float,
) -> list[tuple[bytes, bytes]]:
    """Return flow keys and packets of all callers that still wait."""
    parked = state.parked
    state.parked = {}
    return [
        (key, datagram)
        for key, datagram in parked.items()
        if not _is_opening(state, datagram)
        or not state.ages.is_given_up(key, now)
    ]


def _is_opening(state: PacketState, datagram: bytes) -> bool:
    return bool(state.format.flags(datagram) & Flags.SYN)
