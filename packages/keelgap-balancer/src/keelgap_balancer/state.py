"""State of a balancer.

It holds the table, the instances and the observed health of agents, but nothing
per flow.
"""

from keelgap.addresses import Address
from keelgap.instances import NO_INSTANCES, InstanceList
from keelgap.routing.connection_ids import ConnectionIdCodec
from keelgap.routing.rendezvous import WeightedSeed
from keelgap.table import EMPTY_TABLE, Table, Upstream
from keelgap_balancer.health import HealthMap

__all__ = ('BalancerState', 'WeightedUpstream')

WeightedUpstream = tuple[WeightedSeed, Upstream]


class BalancerState:
    """State of the reducer, which alone modifies it, in place."""

    def __init__(self, address: Address, codec: ConnectionIdCodec) -> None:
        """Initialize without a table."""
        self.address = address
        self.codec = codec
        self.table: Table = EMPTY_TABLE
        self.instances: InstanceList = NO_INSTANCES
        #: Upstreams that may get new flows, with weights, by service number.
        self.eligible_upstreams: dict[int, tuple[WeightedUpstream, ...]] = {}
        #: Agents in the table or the instance list; each may own flows.
        self.owners: frozenset[Address] = frozenset()
        #: Agents that are no longer published, and the time until which they
        #: may own flows.
        self.former_owners: dict[Address, float] = {}
        #: Agents that the instance list marks as leaving.
        self.leaving: frozenset[Address] = frozenset()
        #: Other balancers that can deliver datagrams to suspect agents.
        self.peers: tuple[Address, ...] = ()
        self.health = HealthMap()
        self.stopping = False
        self.last_caller_datagram_at = float('-inf')

    def may_own_flows(self, agent: Address) -> bool:
        """Return whether an agent may still own flows.

        This applies to agents that are or recently were in the table or the
        instance list.
        """
        return agent in self.owners or agent in self.former_owners
