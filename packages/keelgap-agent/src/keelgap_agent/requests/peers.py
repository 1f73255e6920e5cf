"""Lookup of other agents of the same service."""

from collections.abc import Iterator

from keelgap.addresses import Address
from keelgap_agent.state import AgentState

__all__ = ('choose_peer', 'is_listed')


def choose_peer(state: AgentState) -> Address | None:
    """Return the control address of a random active peer, or None."""
    peers = sorted(_list_peers(state))
    return state.random.choice(peers) if peers else None


def is_listed(state: AgentState, control: Address) -> bool:
    """Return whether the instance list contains an agent."""
    return any(
        instance.control == control for instance in state.instances.instances
    )


def _list_peers(state: AgentState) -> Iterator[Address]:
    """Yield control addresses of live agents of the service's upstreams."""
    if state.service is None:
        return
    rows = state.table.upstreams[state.service.number]
    active = {row.agent for row in rows if row.state == 'active'}
    active.discard(state.identity.data)
    for instance in state.instances.instances:
        if instance.data in active and instance.state == 'live':
            yield instance.control
