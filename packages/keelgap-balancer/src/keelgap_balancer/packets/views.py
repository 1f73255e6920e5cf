"""A balancer's view of agents, and of those that are directory nodes."""

from typing import Final

from keelgap.catalog.models import PacketUpstream
from keelgap.packets.envelopes import (
    UNKNOWN_WAIT,
    CallerWait,
    Envelope,
    EnvelopeKind,
    LoadReport,
    compute_service_tag,
)
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.effects import SendToAgent

__all__ = ('AgentView', 'DirectoryNodeView')

#: Before any time.
_NEVER: Final = float('-inf')
_NO_REPORT = LoadReport(0, 0, 0, closed=False)


class AgentView:
    """View of one process of an upstream, and of the agent beside it.

    An upstream that restarts is another process, with a view of its own.
    """

    __slots__ = (
        'missing_since',
        'is_replaced',
        'next_poll_at',
        'host',
        'last_heard',
        'last_notice_at',
        'flows_since_report',
        'report',
        'reported_at',
        'start_hash',
        'service_tag',
        'last_trial_at',
        'upstream',
        'reply_due_since',
        'warm_up_until',
        'startup_until',
        'has_told_routes',
        'states_routes',
        'queried_at',
        'given_up_until',
        'unanswered_queries',
        'search_due_since',
    )

    def __init__(self, upstream: PacketUpstream, now: float) -> None:
        """Start without any message from the agent."""
        self.upstream = upstream
        self.host = upstream.address.host
        self.service_tag = compute_service_tag(upstream.service)
        #: Identifies this process of the upstream in rendezvous hashing and
        #: towards directories.
        self.start_hash = compute_service_tag(
            ':'.join(map(str, upstream.identity))
        )
        self.report = _NO_REPORT
        self.reported_at = now
        #: New flows offered to the agent since its last load report.
        self.flows_since_report = 0
        #: When the latest message from the agent arrived.
        self.last_heard = _NEVER
        #: When the agent was last sent a trial flow.
        self.last_trial_at = _NEVER
        #: Since when a reply of the agent is due; None if none is.
        self.reply_due_since: float | None = None
        #: When the agent is due for a poll.
        self.next_poll_at = now
        #: When it was last sent a notice because a node of its directory
        #: did not cover it.
        self.last_notice_at = _NEVER
        self.warm_up_until = now + upstream.warm_up_seconds
        #: Until when it counts as newly started.  An upstream that gets cold
        #: later, in an availability zone that is out of service, has written
        #: more reports to the store.
        self.startup_until = _NEVER
        if upstream.reports <= defaults.MAX_STARTUP_REPORTS:
            self.startup_until = self.warm_up_until
        #: Since when its entry is missing from the catalog; None if it is not.
        self.missing_since: float | None = None
        #: Whether a later process of the upstream replaced it.
        self.is_replaced = False
        #: Whether it has reported the routes of the flows it holds.
        self.has_told_routes = False
        #: Whether it does so when asked, as far as known; agents of earlier
        #: releases do not.
        self.states_routes = True
        #: When it was last queried for the owner of a flow.
        self.queried_at = _NEVER
        #: Since when no such query was answered; None if the latest one was.
        self.search_due_since: float | None = None
        #: Number of queries since then.
        self.unanswered_queries = 0
        #: Until when it is not waited for if it serves another service than
        #: those of a route.
        self.given_up_until = _NEVER

    def update_upstream(self, upstream: PacketUpstream, now: float) -> None:
        """Apply a catalog entry of the same upstream process.

        An upstream may need to warm up again after its start.  An entry that
        was read before does not extend the warm-up.
        """
        if upstream.revision != self.upstream.revision:
            self.warm_up_until = now + upstream.warm_up_seconds
        self.upstream = upstream
        self.missing_since = None

    def mark_replaced(self, now: float) -> None:
        """Record that a later process replaced the upstream's process.

        Its flows have ended.
        """
        self.is_replaced = True
        self.missing_since = now

    def send(
        self,
        kind: EnvelopeKind,
        content: bytes = b'',
        hop: int = 0,
        priority: int = 0,
        left_ms: int = 0,
        wait: CallerWait = UNKNOWN_WAIT,
    ) -> SendToAgent:
        """Return the effect that sends an envelope to this agent."""
        envelope = Envelope(
            kind,
            hop,
            self.upstream.slots,
            priority,
            left_ms,
            self.service_tag,
            content,
            wait,
        )
        return SendToAgent(self.host, envelope)

    def record_message(self, now: float) -> None:
        """Record that a message of any kind came from the agent."""
        self.last_heard = now
        self.reply_due_since = None

    def expect_answer(self, now: float) -> None:
        """Record that the agent owes a reply, unless it does already."""
        if self.reply_due_since is None:
            self.reply_due_since = now

    def is_unresponsive(self, now: float) -> bool:
        """Return whether the agent has owed a reply for too long."""
        since = self.reply_due_since
        return since is not None and now - since > defaults.UNRESPONSIVE_SECONDS

    def expect_search_answer(self, now: float) -> None:
        """Record that the agent owes the answer to a query for an owner.

        If it has answered none of many queries for UNANSWERED_SECONDS, it is
        given up for a while.
        """
        has_paused = now - self.queried_at > defaults.SEARCH_TIMEOUT_SECONDS
        self.queried_at = now
        self.unanswered_queries += 1
        if self.search_due_since is None or has_paused:
            self.search_due_since = now
            self.unanswered_queries = 1
        elif now - self.search_due_since > defaults.UNANSWERED_SECONDS:
            self.given_up_until = now + defaults.GIVEN_UP_SECONDS

    def record_search_answer(self) -> None:
        """Record that the agent answered a query for an owner."""
        self.search_due_since = None
        self.unanswered_queries = 0
        self.given_up_until = _NEVER

    def owes_search_answer(self, now: float) -> bool:
        """Return whether several queries for owners are overdue for an answer.

        One may have been lost.
        """
        since = self.search_due_since
        if since is None or self.unanswered_queries < defaults.UNSURE_QUERIES:
            return False
        return now - since > defaults.UNSURE_SECONDS

    def is_given_up(self, now: float) -> bool:
        """Return whether the agent answers no queries for owners."""
        return now < self.given_up_until

    def accepts_flows(self) -> bool:
        """Return whether the upstream is listed and takes new flows."""
        return (
            self.missing_since is None
            and self.upstream.state == 'active'
            and not self.report.closed
        )

    def may_be_alive(self, now: float) -> bool:
        """Return whether the upstream may run although its entry is missing.

        Its agent has sent messages since, and the entry is not missing for
        long.
        """
        since = self.missing_since
        if since is None or now - since >= defaults.MISSING_ENTRY_SECONDS:
            return False
        # An upstream that was draining has stopped since.
        is_leaving = self.upstream.state != 'active' or self.report.closed
        return self.last_heard > since and not is_leaving


class DirectoryNodeView:
    """Lookups to one node of a flow directory, and which agents it covers.

    A node covers an agent if it knows all its flows.
    """

    __slots__ = (
        'lookup_sent_at',
        'covered',
        'digest',
        'was_lookup_repeated',
        'parts',
        'queued_keys',
    )

    def __init__(self) -> None:
        """Start without any lookup sent to the node."""
        #: Keys of flows to look up as soon as it has answered.
        self.queued_keys: dict[bytes, None] = {}
        #: When the unanswered lookup was sent; None if all are answered.
        self.lookup_sent_at: float | None = None
        #: Whether that lookup was repeated when another message came from the
        #: node first.
        self.was_lookup_repeated = False
        #: Digest of the hosts in ``covered``.
        self.digest = 0
        #: Hosts of which the node knows all flows.
        self.covered: frozenset[str] = frozenset()
        #: Parts received so far of a newer list of these hosts.
        self.parts: dict[int, tuple[str, ...]] = {}
