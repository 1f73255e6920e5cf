"""Whether there is an upstream beside this agent at all.

An upstream that left, or has not started yet, sends nothing, and packets that
are passed to its port come to nothing.  After a power failure the machines of
upstreams that had left come back with an agent and without an upstream, while
the store lists them until their entries lapse, 4 s after its own return.  A
flow is dead only when every upstream has denied it, so until then nobody could
be told of a dead flow.

An agent whose upstream owes a packet connects to the upstream's TCP port.  A
refusal says that nobody listens there: no flow lives there, and every packet
goes back at once.  Silence says nothing.
"""

from keelgap_agent.packets import defaults

__all__ = ('Presence',)


class Presence:
    """What is known of the process beside this agent."""

    __slots__ = ('is_absent', 'owed_since', 'probed_at')

    def __init__(self) -> None:
        """Start with an upstream that may be there."""
        self.is_absent = False
        #: Since when a packet that must be answered has not been.
        self.owed_since: float | None = None
        self.probed_at = float('-inf')

    def note_passed(self, now: float) -> None:
        """Expect an answer: an opening, or a packet of an unknown flow."""
        if self.owed_since is None:
            self.owed_since = now

    def note_heard(self) -> None:
        """Note any packet of the upstream."""
        self.owed_since = None
        self.is_absent = False

    def note_refused(self) -> None:
        """Note that nobody listens at its port."""
        self.is_absent = True

    def note_accepted(self) -> None:
        """Note that somebody listens there, though it may be silent."""
        self.is_absent = False
        self.owed_since = None

    def must_probe(self, now: float) -> bool:
        """Return whether to find out now; a probe is under way then."""
        since = self.owed_since
        is_owed = since is not None and now - since >= defaults.OWED_SECONDS
        waited = now - self.probed_at
        if not is_owed or waited < defaults.PROBE_SECONDS:
            return False
        self.probed_at = now
        return True
