"""Buffer for packets that arrive before the first catalog or upstream.

After a complete power failure the store may not answer for a while, and
callers repeat an opening packet only twice.  If its packets were dropped, a
caller would be served only with its next try, up to 0.8 s later, and have that
much less time for an answer.
"""

from keelgap.packets.formats import Flags
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.effects import Decided
from keelgap_balancer.packets.state import PacketState

__all__ = ('park', 'drain_parked')


def park(
    state: PacketState,
    key: bytes,
    datagram: bytes,
    now: float,
) -> tuple[Decided, ...]:
    """Buffer the latest packet of a flow until the catalog changes."""
    if key not in state.parked and len(state.parked) >= defaults.MAX_PARKED:
        return (Decided('parking_full'),)
    state.parked[key] = datagram
    if _is_opening(state, datagram):
        # The age of the opening counts from now, not from when it is routed.
        state.caller_waits.record_opening(
            key, state.format.retransmissions(datagram), now
        )
    return (Decided('parked'),)


def drain_parked(
    state: PacketState,
    now: float,
) -> list[tuple[bytes, bytes]]:
    """Empty the buffer; return flow keys and packets of waiting callers.

    Opening packets whose caller has given up are left out.
    """
    parked = state.parked
    state.parked = {}
    return [
        (key, datagram)
        for key, datagram in parked.items()
        if not _is_opening(state, datagram)
        or not state.caller_waits.has_caller_given_up(key, now)
    ]


def _is_opening(state: PacketState, datagram: bytes) -> bool:
    return bool(state.format.flags(datagram) & Flags.SYN)
