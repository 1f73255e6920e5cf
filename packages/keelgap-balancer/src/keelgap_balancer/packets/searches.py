"""The state of one search for the agent that holds or takes a flow."""

from keelgap_balancer.packets import defaults

__all__ = ('Search',)


class Search:
    """The search for the owner of one flow, or for a taker of a new one."""

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
        """Start before anybody was asked."""
        self.started = now
        #: When it began to ask, or last went on after a wait.
        self.renewed = now
        #: When a packet of the flow came last.
        self.heard = now
        #: Latest packet of the flow, with which the next agent is asked.
        self.latest = b''
        #: Whether it waits for a later catalog, after everybody said no.
        self.is_parked = False
        #: Revision that the catalog must have before the search goes on: the
        #: latest that was heard of when everybody had said no.
        self.needed_revision = 0
        #: Since when it waits for entries that may come back.
        self.kept_since: float | None = None
        #: Names of the lines that told of a wait.
        self.told: set[str] = set()
        #: Whether an agent warned that living upstreams may have no entry.
        self.may_lack_entries = False
        #: Hosts asked, in order.
        self.asked: list[str] = []
        #: Hosts that denied the open flow.
        self.missed: set[str] = set()
        #: Hosts that did not take the opening packet; they may have taken a
        #: copy of it since, and hold the flow.
        self.gave_back: set[str] = set()
        #: How many hosts said no because of a new flow's time.
        self.lacks_time = 0
        #: Hosts among them that may take a new flow if nobody else does.
        self.ejected: set[str] = set()
        #: Host asked last, that has not answered.
        self.pending: str | None = None
        self.pending_since = now
        #: Directory nodes that were asked and have not answered.
        self.lookups: set[str] = set()
        #: Directory nodes that were asked.
        self.tried: set[str] = set()
        #: Hosts that a directory node named as holders.
        self.named: list[str] = []
        #: Nodes that named nobody else, and the digest of whom they cover.
        self.denied: dict[str, int] = {}
        #: Messages sent for this flow.
        self.questions = 0

    @property
    def patience(self) -> float:
        """Return for how long to wait for what is owed, in seconds."""
        if self.lookups:
            return defaults.LOOKUP_SECONDS
        if self.pending is None:
            return defaults.LOOKUP_AGAIN_SECONDS
        return defaults.SEARCH_STEP_SECONDS

    def stop_waiting(self) -> None:
        """Go on without the answers that are owed."""
        self.pending = None
        self.lookups.clear()

    def begin_anew(self) -> None:
        """Ask the directory again: it may know more by now."""
        self.tried.clear()
        self.denied.clear()

    def take_packet(self, datagram: bytes, now: float) -> None:
        """Go on with a later packet of the flow."""
        self.keep_packet(datagram, now)
        self.heard = now

    def keep_packet(self, datagram: bytes, now: float) -> None:
        """Ask with this packet from now on.

        The search for an owner begins with the first one of the open flow, not
        with the search for a taker.
        """
        if not self.latest:
            self.started = now
            self.renewed = now
        self.latest = datagram

    @property
    def is_waiting(self) -> bool:
        """Return whether nobody is to be asked before something changes."""
        return self.is_parked or self.kept_since is not None

    def lacks_answer(self, node: str) -> bool:
        """Return whether a directory node was asked and did not answer."""
        return node in self.tried and node not in self.denied

    def end_wait(self, now: float) -> None:
        """Go on to ask, for as long as a new search would."""
        self.is_parked = False
        self.kept_since = None
        self.renewed = now
