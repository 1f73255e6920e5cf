"""State of one search for the agent that holds a flow or accepts a new one."""

from keelgap_balancer.packets import defaults

__all__ = ('FlowSearch',)


class FlowSearch:
    """Search for the owner of an open flow or for an agent for a new one."""

    __slots__ = (
        'queried_hosts',
        'answer_digests',
        'declined_by_ejected',
        'declined_by',
        'last_packet_at',
        'awaits_catalog',
        'awaits_held_routes',
        'awaiting_entries_since',
        'late_declines',
        'latest_packet',
        'pending_lookups',
        'may_lack_entries',
        'denied_by',
        'named_owners',
        'required_revision',
        'pending_host',
        'pending_since',
        'query_count',
        'active_since',
        'started_at',
        'logged_waits',
        'queried_nodes',
        'queried_tags',
    )

    def __init__(self, now: float) -> None:
        """Create a search that has queried no host yet."""
        self.started_at = now
        #: When the search started or was last resumed; the time limit of a
        #: search counts from here.
        self.active_since = now
        #: When the latest packet from the caller arrived.
        self.last_packet_at = now
        #: Latest packet of the open flow, which the next query carries.  Empty
        #: while a new flow is being offered to agents.
        self.latest_packet = b''
        #: Whether the search is suspended until a later catalog is read,
        #: because an owner may be missing from the catalog in force.
        self.awaits_catalog = False
        #: Revision that the catalog must reach before the search is resumed:
        #: the latest one known when the flow had been denied everywhere; 0 if
        #: none.
        self.required_revision = 0
        #: Since when the search is suspended until lapsed catalog entries may
        #: have been renewed.
        self.awaiting_entries_since: float | None = None
        #: Whether the search is suspended until agents of other services have
        #: told of which routes they hold flows.
        self.awaits_held_routes = False
        #: Names of the events already logged when the search was suspended.
        self.logged_waits: set[str] = set()
        #: Whether an agent reported that the store may lack the entries of
        #: live upstreams.
        self.may_lack_entries = False
        #: Hosts that were sent a SEARCH envelope, in order.
        self.queried_hosts: list[str] = []
        #: The tag of the service as whose agent each host was queried last.
        self.queried_tags: dict[str, int] = {}
        #: Hosts that denied the open flow with a MISS envelope.
        self.denied_by: set[str] = set()
        #: Hosts that declined the opening packet.  They may have accepted a
        #: copy of it since, and hold the flow.
        self.declined_by: set[str] = set()
        #: How often a host declined the new flow because it could not start
        #: the request in time.
        self.late_declines = 0
        #: Hosts in ``declined_by`` whose upstream is ejected; they may accept
        #: the flow if no other host does.
        self.declined_by_ejected: set[str] = set()
        #: Host queried last, if it has not answered.
        self.pending_host: str | None = None
        #: When the latest query was sent; the start of the search before that.
        self.pending_since = now
        #: Directory nodes that were queried and have not answered.
        self.pending_lookups: set[str] = set()
        #: Directory nodes that were queried.
        self.queried_nodes: set[str] = set()
        #: Hosts that directory nodes named as owners.
        self.named_owners: list[str] = []
        #: Directory nodes that answered without naming an unknown host, with
        #: the digest of the hosts that they covered.  They denied the flow for
        #: all agents but those in ``named_owners``.
        self.answer_digests: dict[str, int] = {}
        #: Number of queries, without resent copies.  A packet that the cached
        #: owner returned counts as the first.
        self.query_count = 0

    @property
    def answer_timeout(self) -> float:
        """Return how many seconds to wait before the search continues.

        If no answer is pending, that is the pause until the next lookup.
        """
        if self.pending_lookups:
            return defaults.LOOKUP_TIMEOUT_SECONDS
        if self.pending_host is None:
            return defaults.LOOKUP_RETRY_SECONDS
        return defaults.SEARCH_STEP_TIMEOUT_SECONDS

    def drop_pending(self) -> None:
        """Stop waiting for the pending answers."""
        self.pending_host = None
        self.pending_lookups.clear()

    def restart_lookups(self) -> None:
        """Forget the lookups at directory nodes, so that all can be repeated.

        The nodes may know more by now.
        """
        self.queried_nodes.clear()
        self.answer_digests.clear()

    def record_packet(self, datagram: bytes, now: float) -> None:
        """Record a packet from the caller, and use it for further queries."""
        self.replace_packet(datagram, now)
        self.last_packet_at = now

    def replace_packet(self, datagram: bytes, now: float) -> None:
        """Use a packet for the following queries.

        The search for an owner starts with the first packet of the open flow,
        so its times are reset then.
        """
        if not self.latest_packet:
            self.started_at = now
            self.active_since = now
        self.latest_packet = datagram

    @property
    def is_suspended(self) -> bool:
        """Return whether no query is sent until more is known of owners."""
        return (
            self.awaits_catalog
            or self.awaits_held_routes
            or self.awaiting_entries_since is not None
        )

    def has_unanswered_lookup(self, node: str) -> bool:
        """Return whether a queried directory node gave no usable answer."""
        return node in self.queried_nodes and node not in self.answer_digests

    def end_suspension(self, now: float) -> None:
        """Allow queries again, with the time limit of a new search."""
        self.awaits_catalog = False
        self.awaits_held_routes = False
        self.awaiting_entries_since = None
        self.active_since = now
