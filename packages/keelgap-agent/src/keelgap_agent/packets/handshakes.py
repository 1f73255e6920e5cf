"""Whether a request follows the opening packet of a new flow, and when.

Right after an outage many callers have left by the time their turn comes.
"""

from typing import Final

from keelgap_agent.packets import defaults

__all__ = ('HandshakeTimes',)

#: Weights of the latest time in the mean and in the deviation, and how many
#: deviations beyond the mean a time may lie: those of RFC 6298.
_MEAN_WEIGHT: Final = 0.125
_DEVIATION_WEIGHT: Final = 0.25
_DEVIATIONS: Final = 4
#: Weight of the latest opening in the share that led to a request.
_SHARE_WEIGHT: Final = 0.1
#: Least share to count on: bounds how many openings go out at once.
_LEAST_SHARE: Final = 0.25


class HandshakeTimes:
    """Mean and deviation of the times that were seen, in seconds."""

    def __init__(self) -> None:
        """Start without any."""
        self.mean: float = 0
        self.deviation: float = 0
        #: Share of the openings that led to a request.
        self.share: float = 1

    def note_left(self) -> None:
        """Take that a caller did not go on."""
        share = self.share - _SHARE_WEIGHT * self.share
        self.share = max(share, _LEAST_SHARE)

    def note(self, seconds: float) -> None:
        """Take that a caller went on after so many seconds.

        A packet that was lost or led astray does not count in full.
        """
        seconds = min(seconds, 2 * self.patience)
        self.share += _SHARE_WEIGHT * (1 - self.share)
        if not self.mean:
            self.mean = seconds
            self.deviation = seconds / 2
            return
        error = seconds - self.mean
        self.deviation += _DEVIATION_WEIGHT * (abs(error) - self.deviation)
        self.mean += _MEAN_WEIGHT * error

    @property
    def patience(self) -> float:
        """Return for how long a request may be expected."""
        if not self.mean:
            return defaults.REQUEST_SECONDS
        patience = self.mean + _DEVIATIONS * self.deviation
        return min(
            max(patience, defaults.MIN_REQUEST_SECONDS),
            defaults.REQUEST_SECONDS,
        )
