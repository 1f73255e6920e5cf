"""What a balancer knows of agents, and of the directory nodes among them."""

from keelgap.catalog.models import PacketUpstream
from keelgap.packets.envelopes import (
    JUST_BEGUN,
    CallerWait,
    Envelope,
    EnvelopeKind,
    LoadReport,
    compute_service_tag,
)
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.effects import SendToAgent

__all__ = ('AgentView', 'NodeView')

_NO_REPORT = LoadReport(0, 0, 0, closed=False)


class AgentView:
    """What this balancer knows of one start of an upstream, and its agent."""

    __slots__ = (
        'gone_since',
        'has_ended',
        'hello_at',
        'host',
        'last_heard',
        'noticed_at',
        'picks',
        'report',
        'reported_at',
        'seed',
        'service_tag',
        'tried_at',
        'upstream',
        'waiting_since',
        'warm_at',
        'young_until',
    )

    def __init__(self, upstream: PacketUpstream, now: float) -> None:
        """Start as an upstream of which nothing was heard."""
        self.upstream = upstream
        self.host = upstream.address.host
        self.service_tag = compute_service_tag(upstream.service)
        #: Stands for this start, in rankings and towards directories.
        self.seed = compute_service_tag(':'.join(map(str, upstream.identity)))
        self.report = _NO_REPORT
        self.reported_at = now
        #: New flows sent there since its last report.
        self.picks = 0
        self.last_heard = float('-inf')
        #: When a flow was sent as a trial last.
        self.tried_at = float('-inf')
        #: Since when an answer is owed.
        self.waiting_since: float | None = None
        self.hello_at = now
        #: When it was told last of its directory because that lacked it.
        self.noticed_at = float('-inf')
        self.warm_at = now + upstream.warm_up_seconds
        #: Until when it counts as just started.  One that gets cold later, in
        #: an availability zone out of service, has made more reports.
        self.young_until = float('-inf')
        if upstream.reports <= defaults.YOUNG_REPORTS:
            self.young_until = self.warm_at
        #: Since when its entry is missing from the catalog.
        self.gone_since: float | None = None
        #: Whether a later start of the upstream took its place.
        self.has_ended = False

    def change_upstream(self, upstream: PacketUpstream, now: float) -> None:
        """Take a report of the same start; one read again changes nothing.

        An upstream may get cold after its start.
        """
        if upstream.revision != self.upstream.revision:
            self.warm_at = now + upstream.warm_up_seconds
        self.upstream = upstream
        self.gone_since = None

    def end(self, now: float) -> None:
        """Note that a later start took the place: it holds no flow more."""
        self.has_ended = True
        self.gone_since = now

    def send(
        self,
        kind: EnvelopeKind,
        content: bytes = b'',
        hop: int = 0,
        priority: int = 0,
        left_ms: int = 0,
        wait: CallerWait = JUST_BEGUN,
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

    def note_heard(self, now: float) -> None:
        """Record any message of the agent."""
        self.last_heard = now
        self.waiting_since = None

    def expect_answer(self, now: float) -> None:
        """Start to wait, unless an answer is owed already."""
        if self.waiting_since is None:
            self.waiting_since = now

    def is_quiet(self, now: float) -> bool:
        """Return whether the agent owes an answer for too long."""
        since = self.waiting_since
        return since is not None and now - since > defaults.QUIET_SECONDS

    def is_open(self) -> bool:
        """Return whether it takes new flows, as far as is known."""
        return (
            self.gone_since is None
            and self.upstream.state == 'active'
            and not self.report.closed
        )

    def may_return(self, now: float) -> bool:
        """Return whether it lives although its entry is missing."""
        since = self.gone_since
        if since is None or now - since >= defaults.GONE_SECONDS:
            return False
        # One that drained has left.
        is_leaving = self.upstream.state != 'active' or self.report.closed
        return self.last_heard > since and not is_leaving


class NodeView:
    """What this balancer knows of one node of a flow directory."""

    __slots__ = (
        'asked_at',
        'covered',
        'digest',
        'is_asked_again',
        'parts',
        'waiting',
    )

    def __init__(self) -> None:
        """Start as a node that was never asked."""
        #: Keys of flows to ask for once it has answered.
        self.waiting: dict[bytes, None] = {}
        #: When it was asked for flows and has not answered.
        self.asked_at: float | None = None
        #: Whether it was asked again when it was heard and had not answered.
        self.is_asked_again = False
        #: Digest of the hosts in ``covered``.
        self.digest = 0
        #: Hosts whose flows it knows completely.
        self.covered: frozenset[str] = frozenset()
        #: Parts of a later list of them.
        self.parts: dict[int, tuple[str, ...]] = {}
