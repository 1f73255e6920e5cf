"""State of a balancer: the table, and soft hints.  Nothing per flow."""

from keelgap.addresses import Address
from keelgap.instances import NO_INSTANCES, InstanceList
from keelgap.routing.connection_ids import ConnectionIdCodec
from keelgap.routing.rendezvous import Weighted
from keelgap.table import EMPTY_TABLE, Table, Upstream
from keelgap_balancer.health import HealthMap

__all__ = ('BalancerState', 'RankedUpstream')

RankedUpstream = tuple[Weighted, Upstream]


class BalancerState:
    """What the reducer owns; it alone changes it, in place."""

    def __init__(self, address: Address, codec: ConnectionIdCodec) -> None:
        """Start without a table."""
        self.address = address
        self.codec = codec
        self.table: Table = EMPTY_TABLE
        self.instances: InstanceList = NO_INSTANCES
        #: Upstreams that may take new flows, by service number.
        self.takers: dict[int, tuple[RankedUpstream, ...]] = {}
        #: Agents in the table or the list; each may own flows.
        self.owners: frozenset[Address] = frozenset()
        #: Agents that were published once, and until when they may own flows.
        self.departed: dict[Address, float] = {}
        #: Agents that the platform shows as leaving.
        self.leaving: frozenset[Address] = frozenset()
        #: Other balancers that may deliver in our stead.
        self.peers: tuple[Address, ...] = ()
        self.health = HealthMap()
        self.stopping = False
        self.last_caller_datagram = float('-inf')

    def is_owner(self, agent: Address) -> bool:
        """Return whether an agent was published and may own flows."""
        return agent in self.owners or agent in self.departed
