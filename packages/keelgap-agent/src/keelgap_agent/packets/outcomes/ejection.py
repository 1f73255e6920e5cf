"""Whether an upstream is ejected, and its trials for the return."""

from keelgap_agent.packets.outcomes import defaults

__all__ = ('Ejection',)


class Ejection:
    """Whether the upstream is ejected, and how its trials went."""

    __slots__ = (
        'forced',
        'good_trials',
        'is_out',
        'is_silent',
        'returned_at',
        'since',
        'trial_seconds',
        'trials',
        'wait',
        'wanted_since',
        'wants_trial',
    )

    def __init__(self) -> None:
        """Start as an upstream that is not ejected."""
        self.is_out = False
        #: Whether requests get no answers, rather than bad ones.
        self.is_silent = False
        #: Whether one more request should try it.
        self.wants_trial = False
        #: When it was ejected, or a trial failed.
        self.since = float('-inf')
        #: Seconds without any request, before the next trial.
        self.wait: float = 0
        self.returned_at = float('-inf')
        #: Since when it wants a trial and none came.
        self.wanted_since: float | None = None
        #: Answered well in a row.
        self.good_trials = 0
        #: Flows that try it, and when each was taken.
        self.trials: dict[bytes, float] = {}
        #: How long each may take.
        self.trial_seconds = defaults.TRIAL_SECONDS
        #: Other flows taken because nobody else took them.
        self.forced: set[bytes] = set()

    def eject(self, now: float, *, is_silent: bool) -> None:
        """Take the upstream out, for longer if that failed a moment ago."""
        self.is_silent = is_silent
        if now - self.returned_at > defaults.REMEMBERED_SECONDS:
            self.wait = 0
        self.is_out = True
        self._begin_wait(now, defaults.LONGEST_WAIT_SECONDS)

    def note_trial(self, key: bytes, now: float, *, is_good: bool) -> bool:
        """Note the outcome of a flow; return whether a trial failed.

        Good answers of flows that nobody else took count, too.
        """
        is_trial = self.trials.pop(key, None) is not None
        if not is_trial and not (is_good and key in self.forced):
            return False
        self.forced.discard(key)
        if not is_good:
            self._begin_wait(now, self._choose_longest())
            return True
        self.good_trials += 1
        self.update(now)
        return False

    def has_passed(self) -> bool:
        """Return whether the trials show that the upstream serves again."""
        return self.good_trials >= defaults.RETURN_ANSWERS

    def end(self, now: float) -> None:
        """Take the upstream in again."""
        self.is_out = False
        self.returned_at = now
        self.trials.clear()
        self.forced.clear()
        self.update(now)

    def take(self, key: bytes, now: float, *, is_trial: bool) -> bool:
        """Return whether a new flow is taken as a trial.

        Besides those meant for it any flow, if none of them came for long.
        """
        self.update(now)
        since = self.wanted_since
        if since is None:
            return False
        waited = now - since
        if not is_trial and waited < defaults.LAST_RESORT_SECONDS:
            return False
        self.trials[key] = now
        self.wanted_since = None
        self.update(now)
        return True

    def is_taken(self, key: bytes) -> bool:
        """Return whether a flow was taken since the ejection."""
        return key in self.trials or key in self.forced

    def forget(self, key: bytes) -> None:
        """Note that a flow ended without an outcome."""
        self.trials.pop(key, None)
        self.forced.discard(key)

    def update(self, now: float) -> None:
        """Find out whether one more trial is wanted."""
        limit = now - self.trial_seconds
        self.trials = {
            key: at for key, at in self.trials.items() if at >= limit
        }
        most = min(self.good_trials + 1, defaults.MAX_TRIALS)
        self.wants_trial = (
            self.is_out
            and now - self.since >= self.wait
            and len(self.trials) < most
        )
        if not self.wants_trial:
            self.wanted_since = None
        elif self.wanted_since is None:
            self.wanted_since = now

    def _choose_longest(self) -> float:
        if self.is_silent:
            return defaults.LONGEST_WAIT_SECONDS
        return max(self.wait, defaults.LONGEST_BAD_WAIT_SECONDS)

    def _begin_wait(self, now: float, longest: float) -> None:
        longer = max(2 * self.wait, defaults.SHORTEST_WAIT_SECONDS)
        self.wait = min(longer, longest)
        self.since = now
        self.good_trials = 0
        self.trials.clear()
        self.forced.clear()
        self.update(now)
