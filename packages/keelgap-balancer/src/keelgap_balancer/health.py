"""Detection of suspect agents from this balancer's own observations.

An agent becomes suspect only by silence after a datagram was sent to it, never
by a health endpoint or the instance list alone.
"""

from collections.abc import Iterator, Sequence, Set

from keelgap.addresses import Address
from keelgap_balancer import defaults

__all__ = ('AgentHealth', 'HealthMap')


class AgentHealth:
    """Health of one agent as observed by this balancer."""

    __slots__ = (
        'backoff',
        'last_heard',
        'next_probe_at',
        'suspect',
        'waiting_since',
    )

    def __init__(self, now: float) -> None:
        """Initialize as if a message had just arrived from the agent."""
        self.last_heard = now
        #: Time of the first datagram that was sent since the latest message
        #: from the agent and needs an answer.
        self.waiting_since: float | None = None
        self.suspect = False
        self.next_probe_at = now
        self.backoff = defaults.PROBE_BACKOFF_SECONDS

    def record_message(self, now: float) -> None:
        """Record an authenticated message; the agent is no longer suspect."""
        self.last_heard = now
        self.waiting_since = None
        self.suspect = False
        self.backoff = defaults.PROBE_BACKOFF_SECONDS

    def start_wait(self, now: float) -> None:
        """Start waiting for an answer, unless one is already awaited."""
        if self.waiting_since is None:
            self.waiting_since = now

    def restart_wait(self, now: float) -> None:
        """Restart the wait after a pause of this process.

        The pause, rather than the agent, explains the missing answer.
        """
        if self.waiting_since is not None and not self.suspect:
            self.waiting_since = now

    def is_overdue(self, now: float) -> bool:
        """Return whether the awaited answer is overdue."""
        if self.waiting_since is None:
            return False
        return now - self.waiting_since >= defaults.AGENT_SILENCE_SECONDS

    def record_probe(self, now: float) -> None:
        """Schedule the next probe and increase the delay until another."""
        self.next_probe_at = now + self.backoff
        self.backoff = min(
            self.backoff * defaults.PROBE_BACKOFF_FACTOR,
            defaults.PROBE_BACKOFF_MAX_SECONDS,
        )


class HealthMap:
    """Health of all agents, with a limit on the suspects of each service.

    A suspect is an agent that left an awaited answer overdue.
    """

    def __init__(self) -> None:
        """Initialize without agents."""
        self.agents: dict[Address, AgentHealth] = {}
        #: Agents from which an answer is awaited; the timer checks only these.
        self.awaited: set[Address] = set()
        self.last_timer_at: float | None = None
        self.probe_tokens = defaults.PROBES_PER_SECOND
        self.probe_tokens_refilled_at = float('-inf')

    def record_message(self, agent: Address, now: float) -> None:
        """Record an authenticated message from an agent."""
        health = self.agents.get(agent)
        if health is not None:
            health.record_message(now)
            self.awaited.discard(agent)

    def expect_answer(self, agent: Address, now: float) -> None:
        """Record a datagram that the agent must answer."""
        self._get_or_create(agent, now).start_wait(now)
        self.awaited.add(agent)

    def start_probe_if_due(self, agent: Address, now: float) -> bool:
        """Return whether to probe an agent to which a datagram is forwarded.

        If a probe is due and the rate allows it, start to wait for its answer.
        Datagrams of established flows may return through any balancer, so the
        silence of an agent has no meaning until it leaves a probe of this
        balancer unanswered.
        """
        health = self._get_or_create(agent, now)
        is_silent = now - health.last_heard >= defaults.AGENT_SILENCE_SECONDS
        if health.waiting_since is not None or not is_silent:
            return False
        if not self._take_probe_token(now):
            return False
        health.start_wait(now)
        self.awaited.add(agent)
        return True

    def is_suspect(self, agent: Address) -> bool:
        """Return whether an agent is presumed dead or unreachable."""
        health = self.agents.get(agent)
        return health is not None and health.suspect

    def detect_pause(self, now: float) -> None:
        """Restart all waits if this process was paused."""
        previous = self.last_timer_at
        self.last_timer_at = now
        if (
            previous is not None
            and now - previous > defaults.PROCESS_PAUSE_SECONDS
        ):
            for agent in self.awaited:
                self.agents[agent].restart_wait(now)

    def has_overdue(self, now: float) -> bool:
        """Return whether the answer of an agent not yet suspect is overdue."""
        return any(
            self.agents[agent].is_overdue(now)
            and not self.agents[agent].suspect
            for agent in self.awaited
        )

    def mark_suspects(self, members: Sequence[Address], now: float) -> int:
        """Mark the silent agents of one service; return how many are new.

        At most MAX_SUSPECT_SHARE of the agents are suspect at once, but at
        least one may be.  Suspects rank last and are never excluded, so that
        the only agent of a service still gets datagrams, through a peer.
        """
        known = [
            health
            for health in map(self.agents.get, members)
            if health is not None
        ]
        limit = max(1, int(len(members) * defaults.MAX_SUSPECT_SHARE))
        remaining = limit - sum(health.suspect for health in known)
        silent = [
            health
            for health in known
            if not health.suspect and health.is_overdue(now)
        ]
        new_suspects = silent[: max(remaining, 0)]
        for health in new_suspects:
            health.suspect = True
            health.next_probe_at = now
        return len(new_suspects)

    def pop_due_probes(self, now: float) -> Iterator[Address]:
        """Yield the suspects that are due for a probe and reschedule them."""
        due = [
            agent
            for agent in self.awaited
            if self.agents[agent].suspect
            and self.agents[agent].next_probe_at <= now
        ]
        for agent in sorted(due):
            self.agents[agent].record_probe(now)
            yield agent

    def keep_only(self, agents: Set[Address]) -> None:
        """Forget all agents except these."""
        for agent in self.agents.keys() - agents:
            self.agents.pop(agent)
            self.awaited.discard(agent)

    def _get_or_create(self, agent: Address, now: float) -> AgentHealth:
        health = self.agents.get(agent)
        if health is None:
            health = AgentHealth(now)
            self.agents[agent] = health
        return health

    def _take_probe_token(self, now: float) -> bool:
        """Return whether the rate limit permits another probe now."""
        if now - self.probe_tokens_refilled_at >= 1:
            self.probe_tokens_refilled_at = now
            self.probe_tokens = defaults.PROBES_PER_SECOND
        self.probe_tokens -= 1
        return self.probe_tokens >= 0
