"""State of the flow directory, as an agent that keeps a part of it holds it."""

from typing import Final, NamedTuple

from keelgap.packets.directory import (
    digest_hosts,
)
from keelgap.packets.directory_messages import (
    Registration,
)
from keelgap.packets.generations import Generations
from keelgap_agent.packets import defaults

__all__ = ('CoverageChange', 'Directory', 'Member')


class CoverageChange(NamedTuple):
    """Agents for which a directory node speaks since now, or no more."""

    added: frozenset[str]
    removed: frozenset[str]


_NO_CHANGE: Final = CoverageChange(frozenset(), frozenset())


class Member:
    """One agent that registers its flows here."""

    __slots__ = (
        'asked_at',
        'began',
        'boot',
        'end',
        'expected',
        'former_tag',
        'heard_at',
        'is_complete',
        'lagging_since',
        'pending',
        'stream',
        'upstream_tag',
    )

    def __init__(self, registration: Registration, now: float) -> None:
        """Start with the first registration of one start of the agent."""
        self.boot = registration.boot
        self.upstream_tag = registration.upstream_tag
        self.is_complete = False
        self.began = now
        #: Upstream of the agent that was here before; 0 if that never knew,
        #: None if there was no other.
        self.former_tag: int | None = None
        self.heard_at = now
        self.asked_at = float('-inf')
        self.stream = registration.stream
        #: Number of the first key that is missing.
        self.expected = 0
        #: Number after the last key that was announced.
        self.end = 0
        #: Groups of keys behind a missing one: first number and count.
        self.pending: dict[int, int] = {}
        #: When the stream was last complete here, or began.
        self.lagging_since = now

    @property
    def is_in_step(self) -> bool:
        """Return whether no registration of the stream is missing."""
        return self.expected >= self.end

    def take(self, registration: Registration, now: float) -> None:
        """Note which registrations of the stream are here."""
        if registration.stream < self.stream:
            return
        if registration.stream > self.stream:
            self.stream = registration.stream
            self.expected = 0
            self.end = 0
            self.pending = {}
            self.lagging_since = now
        self.heard_at = now
        self.upstream_tag = registration.upstream_tag
        self.is_complete = registration.is_complete
        self.end = max(self.end, registration.end)
        if registration.keys:
            self.pending[registration.sequence] = len(registration.keys)
        while self.expected in self.pending:
            self.expected += self.pending.pop(self.expected)
        if self.is_in_step:
            self.lagging_since = now

    def is_fresh(self, now: float) -> bool:
        """Return whether the agent was heard lately."""
        return now - self.heard_at <= defaults.COVERED_SECONDS

    def is_covered(self, now: float) -> bool:
        """Return whether all flows of its upstream are known here."""
        is_trusted = self.is_complete and not self._is_doubted(now)
        return self.is_in_step and is_trusted and self.is_fresh(now)

    def _is_doubted(self, now: float) -> bool:
        """Return whether another agent may have passed flows to the upstream.

        It did if it was here before, beside the same upstream.  Either may not
        have been told yet which one that is.
        """
        if self.former_tag is None:
            return False
        if now - self.began >= defaults.FLOW_LIFE_SECONDS:
            return False
        is_unknown = 0 in {self.former_tag, self.upstream_tag}
        return is_unknown or self.former_tag == self.upstream_tag


class Directory:
    """What other agents registered with this one."""

    def __init__(self, now: float) -> None:
        """Start empty."""
        #: Hosts that may hold a flow; two where an opening packet reached two.
        self.holders: Generations[tuple[str, ...]] = Generations(
            defaults.REGISTERED_SECONDS,
            defaults.MAX_REGISTERED,
            now,
        )
        self.members: dict[str, Member] = {}
        #: Hosts whose flows are all known, when they were last counted.
        self.covered: frozenset[str] = frozenset()
        self.digest = 0
        self.counted_at = float('-inf')
        #: Balancers that wait for more of them, and until when.
        self.watchers: dict[str, float] = {}
        #: Digest that they were told last.
        self.told_digest = 0

    def take(
        self,
        host: str,
        registration: Registration,
        now: float,
    ) -> Member | None:
        """Take what an agent registers; return the agent if it is new."""
        member = self.members.get(host)
        is_new = member is None or member.boot != registration.boot
        if member is None or is_new:
            later = Member(registration, now)
            if member is not None:
                later.former_tag = member.upstream_tag or member.former_tag or 0
            member = later
            self.members[host] = member
        member.take(registration, now)
        for key in registration.keys:
            self._add_holder(key, host)
        if member.is_covered(now) != (host in self.covered):
            self.counted_at = float('-inf')
        return member if is_new else None

    def list_holders(self, key: bytes, now: float) -> tuple[str, ...]:
        """Return the hosts that registered a flow and were heard lately.

        And those that counted as covered a moment ago: not to name them would
        deny the flow for them.
        """
        hosts = self.holders.get(key) or ()
        return tuple(
            host
            for host in hosts
            if host in self.covered or self._is_heard(host, now)
        )

    def count_covered(self, own: str, now: float) -> CoverageChange:
        """Bring the set of covered hosts up to date; return what changed.

        ``own`` is this agent's host if it knows all flows of its upstream.
        """
        if now - self.counted_at < defaults.COUNT_SECONDS:
            return _NO_CHANGE
        self.counted_at = now
        covered = {
            host
            for host, member in self.members.items()
            if member.is_covered(now)
        }
        if own:
            covered.add(own)
        if covered == self.covered:
            return _NO_CHANGE
        before = self.covered
        self.covered = frozenset(covered)
        self.digest = digest_hosts(covered)
        return CoverageChange(self.covered - before, before - self.covered)

    def list_lagging(self, now: float) -> list[str]:
        """Return the hosts to ask for their flows, since some were lost."""
        lagging = []
        for host, member in self.members.items():
            since = max(member.lagging_since, member.asked_at)
            if not member.is_in_step and now - since >= defaults.LAG_SECONDS:
                member.asked_at = now
                lagging.append(host)
        return lagging

    def forget_watchers(self, now: float) -> None:
        """Forget balancers that asked too long ago."""
        gone = [host for host, until in self.watchers.items() if now > until]
        for host in gone:
            self.watchers.pop(host)

    def expire(self, now: float) -> None:
        """Forget flows and agents that were silent for long."""
        self.holders.expire(now)
        gone = [
            host
            for host, member in self.members.items()
            if now - member.heard_at > defaults.FLOW_LIFE_SECONDS
        ]
        for host in gone:
            self.members.pop(host)

    def _is_heard(self, host: str, now: float) -> bool:
        """Return whether an agent was heard lately."""
        member = self.members.get(host)
        return member is not None and member.is_fresh(now)

    def _add_holder(self, key: bytes, host: str) -> None:
        hosts = self.holders.get(key) or ()
        if host not in hosts:
            hosts = (*hosts, host)
        self.holders.put(key, hosts)
