"""State of a directory node."""

from typing import Final, NamedTuple

from keelgap.packets.directory import (
    digest_hosts,
)
from keelgap.packets.directory_messages import (
    Registration,
)
from keelgap.packets.generational_cache import GenerationalCache
from keelgap_agent.packets import defaults

__all__ = ('CoverageChange', 'DirectoryNode', 'RegisteredAgent')


class CoverageChange(NamedTuple):
    """Changes of the set of agents whose flows are all known to a node."""

    #: Hosts of the agents that were added to the set.
    added: frozenset[str]
    removed: frozenset[str]


_NO_CHANGE: Final = CoverageChange(frozenset(), frozenset())


class RegisteredAgent:
    """An agent that registers its flows with this node."""

    __slots__ = (
        'boot',
        'end',
        'first_heard_at',
        'former_tag',
        'heard_at',
        'is_complete',
        'lagging_since',
        'next_expected',
        'pending',
        'resync_requested_at',
        'stream',
        'upstream_tag',
    )

    def __init__(self, registration: Registration, now: float) -> None:
        """Start with the first registration after a start of the agent."""
        #: Identifies the agent process.
        self.boot = registration.boot
        self.upstream_tag = registration.upstream_tag
        self.is_complete = False
        self.first_heard_at = now
        #: Upstream tag of the previous agent process on this host; 0 if that
        #: process never learned it, None if there was none.
        self.former_tag: int | None = None
        self.heard_at = now
        self.resync_requested_at = float('-inf')
        #: Number of the latest stream; a new one starts with all flows again.
        self.stream = registration.stream
        #: Sequence number of the first key that is missing.
        self.next_expected = 0
        #: Sequence number after the last key that was announced.
        self.end = 0
        #: Groups of keys after a missing one: first sequence number and count.
        self.pending: dict[int, int] = {}
        #: When the stream was last complete here, or started.
        self.lagging_since = now

    @property
    def is_in_sync(self) -> bool:
        """Return whether all flows announced in the stream have arrived."""
        return self.next_expected >= self.end

    def record(self, registration: Registration, now: float) -> None:
        """Record a registration, and which flows of its stream are missing.

        A later stream replaces an earlier one, which is then ignored.
        """
        if registration.stream < self.stream:
            return
        if registration.stream > self.stream:
            self.stream = registration.stream
            self.next_expected = 0
            self.end = 0
            self.pending = {}
            self.lagging_since = now
        self.heard_at = now
        self.upstream_tag = registration.upstream_tag
        self.is_complete = registration.is_complete
        self.end = max(self.end, registration.end)
        if registration.keys:
            self.pending[registration.sequence] = len(registration.keys)
        while self.next_expected in self.pending:
            self.next_expected += self.pending.pop(self.next_expected)
        if self.is_in_sync:
            self.lagging_since = now

    def is_recent(self, now: float) -> bool:
        """Return whether the agent was heard from recently."""
        return now - self.heard_at <= defaults.COVERAGE_TIMEOUT_SECONDS

    def is_covered(self, now: float) -> bool:
        """Return whether all flows of the agent's upstream are known here."""
        is_trusted = self.is_complete and not self._may_miss_flows(now)
        return self.is_in_sync and is_trusted and self.is_recent(now)

    def _may_miss_flows(self, now: float) -> bool:
        """Return whether the previous agent may have served this upstream.

        If it did, it forwarded flows that the present agent does not know.
        Either of them may not have learned yet which upstream it serves.
        """
        if self.former_tag is None:
            return False
        if now - self.first_heard_at >= defaults.MAX_FLOW_AGE_SECONDS:
            return False
        is_unknown = 0 in {self.former_tag, self.upstream_tag}
        return is_unknown or self.former_tag == self.upstream_tag


class DirectoryNode:
    """The flows that other agents registered with this node."""

    def __init__(self, now: float) -> None:
        """Start empty."""
        #: Hosts whose agents may own a flow; two if an opening packet reached
        #: two of them.
        self.owners: GenerationalCache[tuple[str, ...]] = GenerationalCache(
            defaults.REGISTRATION_GENERATION_SECONDS,
            defaults.MAX_REGISTERED_FLOWS,
            now,
        )
        #: Agents that registered with this node, by host.
        self.agents: dict[str, RegisteredAgent] = {}
        #: Hosts whose flows were all known at the last update of the coverage.
        self.covered: frozenset[str] = frozenset()
        #: Digest of the covered hosts.
        self.digest = 0
        self.coverage_updated_at = float('-inf')
        #: Balancers to notify of changes of the coverage, and until when.
        self.watchers: dict[str, float] = {}
        #: Digest of the covered hosts when the watchers were last notified.
        self.notified_digest = 0

    def record(
        self,
        host: str,
        registration: Registration,
        now: float,
    ) -> RegisteredAgent | None:
        """Record a registration; return the agent if it has just started."""
        agent = self.agents.get(host)
        is_new = agent is None or agent.boot != registration.boot
        if agent is None or is_new:
            started = RegisteredAgent(registration, now)
            if agent is not None:
                started.former_tag = agent.upstream_tag or agent.former_tag or 0
            agent = started
            self.agents[host] = agent
        agent.record(registration, now)
        for key in registration.keys:
            self._add_owner(key, host)
        if agent.is_covered(now) != (host in self.covered):
            self.coverage_updated_at = float('-inf')
        return agent if is_new else None

    def list_owners(self, key: bytes, now: float) -> tuple[str, ...]:
        """Return the hosts that registered a flow and were heard from lately.

        Hosts in the last computed coverage are included, too: leaving them out
        would deny the flow on their behalf.
        """
        hosts = self.owners.get(key) or ()
        return tuple(
            host
            for host in hosts
            if host in self.covered or self._is_recent(host, now)
        )

    def update_coverage(self, own_host: str, now: float) -> CoverageChange:
        """Update which agents have all their flows known; return the change.

        ``own_host`` is the host of this agent if it knows all flows of its
        upstream, else empty.
        """
        if now - self.coverage_updated_at < defaults.COVERAGE_UPDATE_SECONDS:
            return _NO_CHANGE
        self.coverage_updated_at = now
        covered = {
            host for host, agent in self.agents.items() if agent.is_covered(now)
        }
        if own_host:
            covered.add(own_host)
        if covered == self.covered:
            return _NO_CHANGE
        before = self.covered
        self.covered = frozenset(covered)
        self.digest = digest_hosts(covered)
        return CoverageChange(self.covered - before, before - self.covered)

    def list_lagging(self, now: float) -> list[str]:
        """Return the agents to request all flows of, since some were lost.

        An agent is returned again only after a delay without success.
        """
        lagging = []
        for host, agent in self.agents.items():
            since = max(agent.lagging_since, agent.resync_requested_at)
            if (
                not agent.is_in_sync
                and now - since >= defaults.RESYNC_DELAY_SECONDS
            ):
                agent.resync_requested_at = now
                lagging.append(host)
        return lagging

    def expire_watchers(self, now: float) -> None:
        """Stop notifying balancers whose last lookup was too long ago."""
        gone = [host for host, until in self.watchers.items() if now > until]
        for host in gone:
            self.watchers.pop(host)

    def expire(self, now: float) -> None:
        """Remove flows and agents without a registration for too long."""
        self.owners.expire(now)
        gone = [
            host
            for host, agent in self.agents.items()
            if now - agent.heard_at > defaults.MAX_FLOW_AGE_SECONDS
        ]
        for host in gone:
            self.agents.pop(host)

    def _is_recent(self, host: str, now: float) -> bool:
        """Return whether an agent was heard from recently."""
        agent = self.agents.get(host)
        return agent is not None and agent.is_recent(now)

    def _add_owner(self, key: bytes, host: str) -> None:
        hosts = self.owners.get(key) or ()
        if host not in hosts:
            hosts = (*hosts, host)
        self.owners.put(key, hosts)
