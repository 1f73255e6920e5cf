"""Whether a caller speaks to this upstream, and not to another one.

Copies of an opening packet may reach several upstreams, and each answers with
a number of its own.  The caller acknowledges the one that it chose.
"""

from typing import Final

from keelgap_agent.packets.flows import Flow
from keelgap_agent.packets.state import AgentState

__all__ = ('acknowledges_upstream', 'is_next')

#: Sequence numbers begin anew after so many.
_SEQUENCE_NUMBERS: Final = 0x100000000
#: An opening packet may count as an octet.
_MOST_AHEAD: Final = 1


def acknowledges_upstream(
    state: AgentState,
    flow: Flow,
    datagram: bytes,
) -> bool:
    """Return whether a caller's first data answer this upstream's opening."""
    if flow.opened_with is None:
        return False
    return is_next(state.format.acknowledged(datagram), flow.opened_with)


def is_next(number: int, opened_with: int) -> bool:
    """Return whether no octet lies between an opening and a number."""
    return (number - opened_with) % _SEQUENCE_NUMBERS <= _MOST_AHEAD
