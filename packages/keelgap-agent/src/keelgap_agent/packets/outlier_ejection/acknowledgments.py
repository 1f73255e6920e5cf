"""Determine whether a caller chose this upstream or another one.

Copies of an opening packet may reach several upstreams, and each replies with
its own initial sequence number.  The caller acknowledges the number of the
upstream that it chose.
"""

from typing import Final

from keelgap_agent.packets.flows import Flow
from keelgap_agent.packets.state import AgentState

__all__ = ('acknowledges_upstream', 'follows_opening')

#: Sequence numbers have 32 bits and wrap around.
_SEQUENCE_NUMBERS: Final = 0x100000000
#: An opening packet may take up one sequence number.
_MAX_DISTANCE: Final = 1


def acknowledges_upstream(
    state: AgentState,
    flow: Flow,
    datagram: bytes,
) -> bool:
    """Return whether a caller's first data acknowledge this upstream.

    That is so if they acknowledge the initial sequence number of its reply to
    the opening packet.
    """
    if flow.initial_sequence is None:
        return False
    return follows_opening(
        state.format.acknowledged(datagram), flow.initial_sequence
    )


def follows_opening(number: int, initial_sequence: int) -> bool:
    """Return whether a sequence number equals or follows an opening packet's.

    An opening packet may take up one sequence number.
    """
    return (number - initial_sequence) % _SEQUENCE_NUMBERS <= _MAX_DISTANCE
