"""Ejection of an upstream, and the trials that end it."""

from keelgap_agent.packets.outlier_ejection import defaults

__all__ = ('Ejection',)


class Ejection:
    """Whether the upstream is ejected, and the results of its trials.

    An ejected upstream gets no new flows for some seconds, except those that
    no other upstream accepts.  Then it gets a few flows as trials, until
    enough of them in a row get a good response.
    """

    __slots__ = (
        'forced',
        'good_trials',
        'is_ejected',
        'is_unresponsive',
        'returned_at',
        'wait_started_at',
        'trial_timeout_seconds',
        'trials',
        'wait_seconds',
        'wanted_since',
        'wants_trial',
    )

    def __init__(self) -> None:
        """Start with an upstream that is not ejected."""
        self.is_ejected = False
        #: Whether requests get no response, rather than an error.
        self.is_unresponsive = False
        #: Whether one more request should be sent as a trial.
        self.wants_trial = False
        #: When the upstream was ejected, or the latest trial failed.
        self.wait_started_at = float('-inf')
        #: Seconds from the start of the wait until the next trial.
        self.wait_seconds: float = 0
        #: When the last ejection ended.
        self.returned_at = float('-inf')
        #: Since when a trial is wanted and none has arrived.
        self.wanted_since: float | None = None
        #: Number of consecutive good responses since the wait started.
        self.good_trials = 0
        #: When each flow was admitted as a trial, by flow key.
        self.trials: dict[bytes, float] = {}
        #: Seconds after which a trial without an outcome is dropped.
        self.trial_timeout_seconds = defaults.TRIAL_TIMEOUT_SECONDS
        #: Other flows, admitted because no other upstream accepted them.
        self.forced: set[bytes] = set()

    def eject(self, now: float, *, is_unresponsive: bool) -> None:
        """Eject the upstream; try it later if it has returned recently."""
        self.is_unresponsive = is_unresponsive
        if now - self.returned_at > defaults.RELAPSE_SECONDS:
            self.wait_seconds = 0
        self.is_ejected = True
        self._start_wait(now, defaults.MAX_WAIT_SECONDS)

    def record_trial(self, key: bytes, now: float, *, is_good: bool) -> bool:
        """Record a flow's outcome; return whether it is a failed trial.

        Good responses on flows that no other upstream accepted count as well.
        """
        is_trial = self.trials.pop(key, None) is not None
        if not is_trial and not (is_good and key in self.forced):
            return False
        self.forced.discard(key)
        if not is_good:
            self._start_wait(now, self._compute_longest_wait())
            return True
        self.good_trials += 1
        self.update(now)
        return False

    def has_passed(self) -> bool:
        """Return whether the trials show that the upstream has recovered."""
        return self.good_trials >= defaults.RETURN_RESPONSES

    def return_to_service(self, now: float) -> None:
        """End the ejection: the upstream gets new flows again."""
        self.is_ejected = False
        self.returned_at = now
        self.trials.clear()
        self.forced.clear()
        self.update(now)

    def admit(self, key: bytes, now: float, *, is_trial: bool) -> bool:
        """Admit a new flow as a trial if one is wanted; return whether it was.

        Flows that a balancer offers as a trial are preferred.  If none arrives
        for some seconds, any flow is admitted.
        """
        self.update(now)
        wanted_since = self.wanted_since
        if wanted_since is None:
            return False
        waited = now - wanted_since
        if not is_trial and waited < defaults.LAST_RESORT_SECONDS:
            return False
        self.trials[key] = now
        self.wanted_since = None
        self.update(now)
        return True

    def is_admitted(self, key: bytes) -> bool:
        """Return whether an ejected upstream gets a flow, such as a trial."""
        return key in self.trials or key in self.forced

    def forget(self, key: bytes) -> None:
        """Stop counting a flow as a trial: it showed no outcome."""
        self.trials.pop(key, None)
        self.forced.discard(key)

    def update(self, now: float) -> None:
        """Drop expired trials, and compute whether one more is wanted."""
        limit = now - self.trial_timeout_seconds
        self.trials = {
            key: at for key, at in self.trials.items() if at >= limit
        }
        max_trials = min(self.good_trials + 1, defaults.MAX_TRIALS)
        self.wants_trial = (
            self.is_ejected
            and now - self.wait_started_at >= self.wait_seconds
            and len(self.trials) < max_trials
        )
        if not self.wants_trial:
            self.wanted_since = None
        elif self.wanted_since is None:
            self.wanted_since = now

    def _compute_longest_wait(self) -> float:
        """Return the longest wait in seconds after a failed trial."""
        if self.is_unresponsive:
            return defaults.MAX_WAIT_SECONDS
        return max(self.wait_seconds, defaults.MAX_ERROR_WAIT_SECONDS)

    def _start_wait(self, now: float, longest: float) -> None:
        """Wait twice as long as before, at most ``longest``, for a trial.

        All trials in progress and their good responses are discarded.
        """
        backoff = max(2 * self.wait_seconds, defaults.MIN_WAIT_SECONDS)
        self.wait_seconds = min(backoff, longest)
        self.wait_started_at = now
        self.good_trials = 0
        self.trials.clear()
        self.forced.clear()
        self.update(now)
