"""State of one search for the agent that holds a flow or accepts a new one."""

from keelgap_balancer.packets import defaults

__all__ = ('Search',)


class Search:
    """Search for the owner of an open flow or for an agent for a new one."""

    __slots__ = (
        'asked',
        'denied',
        'ejected',
        'gave_back',
        'heard',
        'is_parked',
        'kept_since',
        'lacks_time',
        'latest',
        'lookups',
        'may_lack_entries',
        'missed',
        'named',
        'needed_revision',
        'pending',
        'pending_since',
        'questions',
        'renewed',
        'started',
        'told',
        'tried',
    )

    def __init__(self, now: float) -> None:
        """Create a search that has queried no host yet."""
        self.started = now
        #: When the search started or was last resumed; the time limit of a
        #: search counts from here.
        self.renewed = now
        #: When the caller sent the latest packet of the flow.
        self.heard = now
        #: Latest packet of the open flow, which the next query carries.  Empty
        #: while a new flow is being offered to agents.
        self.latest = b''
        #: Whether the search is suspended until a later catalog is read,
        #: because an owner may be missing from the catalog in force.
        self.is_parked = False
        #: Revision that the catalog must reach before the search is resumed:
        #: the latest one known when the flow had been denied everywhere.
        self.needed_revision = 0
        #: Since when the search is suspended until lapsed catalog entries may
        #: have been renewed.
        self.kept_since: float | None = None
        #: Names of the events already logged when the search was suspended.
        self.told: set[str] = set()
        #: Whether an agent reported that the store may lack the entries of
        #: live upstreams.
        self.may_lack_entries = False
        #: Hosts that were sent a SEARCH envelope, in order.
        self.asked: list[str] = []
        #: Hosts that denied the open flow with a MISS envelope.
        self.missed: set[str] = set()
        #: Hosts that declined the opening packet.  They may have accepted a
        #: copy of it since, and hold the flow.
        self.gave_back: set[str] = set()
        #: How often a host declined a new flow because it could not answer in
        #: time.
        self.lacks_time = 0
        #: Hosts in ``declined_by`` whose upstream is ejected; they may accept
        #: the flow if no other host does.
        self.ejected: set[str] = set()
        #: Host queried last, if it has not answered.
        self.pending: str | None = None
        self.pending_since = now
        #: Directory nodes that were queried and have not answered.
        self.lookups: set[str] = set()
        #: Directory nodes that were queried.
        self.tried: set[str] = set()
        #: Hosts that directory nodes named as owners.
        self.named: list[str] = []
        #: Directory nodes that answered without naming an unknown host, with
        #: the digest of the hosts that they cover.
        self.denied: dict[str, int] = {}
        #: Number of lookups and SEARCH envelopes sent for this flow.
        self.questions = 0

    @property
    def patience(self) -> float:
        """Return how many seconds to wait for the pending answers."""
        if self.lookups:
            return defaults.LOOKUP_TIMEOUT_SECONDS
        if self.pending is None:
            return defaults.LOOKUP_RETRY_SECONDS
        return defaults.SEARCH_STEP_TIMEOUT_SECONDS

    def stop_waiting(self) -> None:
        """Stop waiting for the pending answers."""
        self.pending = None
        self.lookups.clear()

    def begin_anew(self) -> None:
        """Let the directory be queried again: it may know more by now."""
        self.tried.clear()
        self.denied.clear()

    def take_packet(self, datagram: bytes, now: float) -> None:
        """Record a packet from the caller."""
        self.keep_packet(datagram, now)
        self.heard = now

    def keep_packet(self, datagram: bytes, now: float) -> None:
        """Use this packet for the following queries.

        The search for an owner starts with the first packet of the open flow,
        not when the new flow was offered to agents.
        """
        if not self.latest:
            self.started = now
            self.renewed = now
        self.latest = datagram

    @property
    def is_waiting(self) -> bool:
        """Return whether no query is sent until the catalog is up to date."""
        return self.is_parked or self.kept_since is not None

    def lacks_answer(self, node: str) -> bool:
        """Return whether a directory node was queried and did not answer."""
        return node in self.tried and node not in self.denied

    def end_wait(self, now: float) -> None:
        """Resume a suspended search with the time limit of a new one."""
        self.is_parked = False
        self.kept_since = None
        self.renewed = now
