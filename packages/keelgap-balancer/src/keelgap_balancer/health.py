"""Which agents are suspect, from what this balancer itself saw.

Only silence after a datagram was sent counts, never a health endpoint and
never the instance list alone.
"""

from collections.abc import Iterator, Sequence, Set

from keelgap.addresses import Address
from keelgap_balancer import defaults

__all__ = ('AgentHealth', 'HealthMap')


class AgentHealth:
    """What one balancer saw of one agent."""

    __slots__ = (
        'backoff',
        'last_heard',
        'probe_at',
        'suspect',
        'waiting_since',
    )

    def __init__(self, now: float) -> None:
        """Start as an agent that was heard just now."""
        self.last_heard = now
        #: Time of the first datagram since the agent was last heard.
        self.waiting_since: float | None = None
        self.suspect = False
        self.probe_at = now
        self.backoff = defaults.PROBE_BACKOFF_SECONDS

    def note_heard(self, now: float) -> None:
        """Clear any suspicion: an authentic message arrived."""
        self.last_heard = now
        self.waiting_since = None
        self.suspect = False
        self.backoff = defaults.PROBE_BACKOFF_SECONDS

    def note_expecting(self, now: float) -> None:
        """Start to wait for an answer, unless one is awaited already."""
        if self.waiting_since is None:
            self.waiting_since = now

    def forgive_pause(self, now: float) -> None:
        """Restart the wait: this process was paused, not the agent silent."""
        if self.waiting_since is not None and not self.suspect:
            self.waiting_since = now

    def is_overdue(self, now: float) -> bool:
        """Return whether the agent has been silent for too long."""
        if self.waiting_since is None:
            return False
        return now - self.waiting_since >= defaults.SILENCE_SECONDS

    def note_probed(self, now: float) -> None:
        """Put off the next probe."""
        self.probe_at = now + self.backoff
        self.backoff = min(
            self.backoff * defaults.PROBE_BACKOFF_FACTOR,
            defaults.PROBE_BACKOFF_MAX_SECONDS,
        )


class HealthMap:
    """The health of all agents, with a bound on suspects a service."""

    def __init__(self) -> None:
        """Start with nobody suspect."""
        self.agents: dict[Address, AgentHealth] = {}
        #: Those of whom an answer is awaited; the timer looks at no others.
        self.awaited: set[Address] = set()
        self.last_timer: float | None = None
        self.probes_left = defaults.PROBES_PER_SECOND
        self.probes_refilled = float('-inf')

    def note_heard(self, agent: Address, now: float) -> None:
        """Record an authentic message from an agent."""
        health = self.agents.get(agent)
        if health is not None:
            health.note_heard(now)
            self.awaited.discard(agent)

    def expect_answer(self, agent: Address, now: float) -> None:
        """Record a datagram that the agent must answer."""
        self._get(agent, now).note_expecting(now)
        self.awaited.add(agent)

    def take_probe(self, agent: Address, now: float) -> bool:
        """Return whether to probe an agent that takes datagrams of flows.

        Answers to known flows may return through any balancer, so silence
        here means nothing until a probe of ours went unanswered.
        """
        health = self._get(agent, now)
        quiet = now - health.last_heard >= defaults.SILENCE_SECONDS
        if health.waiting_since is not None or not quiet:
            return False
        if not self._take_probe_token(now):
            return False
        health.note_expecting(now)
        self.awaited.add(agent)
        return True

    def is_suspect(self, agent: Address) -> bool:
        """Return whether an agent is thought to be dead or cut off."""
        health = self.agents.get(agent)
        return health is not None and health.suspect

    def check_pause(self, now: float) -> None:
        """Forgive silence that a pause of this process explains."""
        last = self.last_timer
        self.last_timer = now
        if last is not None and now - last > defaults.PAUSE_SECONDS:
            for agent in self.awaited:
                self.agents[agent].forgive_pause(now)

    def has_overdue(self, now: float) -> bool:
        """Return whether an agent became silent for too long."""
        return any(
            self.agents[agent].is_overdue(now)
            and not self.agents[agent].suspect
            for agent in self.awaited
        )

    def update_suspects(self, members: Sequence[Address], now: float) -> int:
        """Mark the silent upstreams of one service; return the new ones.

        Never more than MAX_SUSPECT_SHARE of them are suspect at once, but
        always one may be: suspects rank last and are never left out, so that
        an only upstream is still asked, through a peer.
        """
        known = [
            health
            for health in map(self.agents.get, members)
            if health is not None
        ]
        bound = max(1, int(len(members) * defaults.MAX_SUSPECT_SHARE))
        room = bound - sum(health.suspect for health in known)
        silent = [
            health
            for health in known
            if not health.suspect and health.is_overdue(now)
        ]
        newly = silent[: max(room, 0)]
        for health in newly:
            health.suspect = True
            health.probe_at = now
        return len(newly)

    def list_probes(self, now: float) -> Iterator[Address]:
        """Yield the suspects that are due for a probe, and note it."""
        due = [
            agent
            for agent in self.awaited
            if self.agents[agent].suspect and self.agents[agent].probe_at <= now
        ]
        for agent in sorted(due):
            self.agents[agent].note_probed(now)
            yield agent

    def keep_only(self, agents: Set[Address]) -> None:
        """Forget agents that are no longer known."""
        for agent in self.agents.keys() - agents:
            self.agents.pop(agent)
            self.awaited.discard(agent)

    def _get(self, agent: Address, now: float) -> AgentHealth:
        health = self.agents.get(agent)
        if health is None:
            health = AgentHealth(now)
            self.agents[agent] = health
        return health

    def _take_probe_token(self, now: float) -> bool:
        if now - self.probes_refilled >= 1:
            self.probes_refilled = now
            self.probes_left = defaults.PROBES_PER_SECOND
        self.probes_left -= 1
        return self.probes_left >= 0
