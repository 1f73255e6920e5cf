"""Sliding window that detects replayed datagrams (RFC 4303, 3.4.3)."""

from typing import Final

__all__ = ('REPLAY_WINDOW_SIZE', 'ReplayWindow')

#: Number of sequence numbers that the window covers.
REPLAY_WINDOW_SIZE: Final = 4096
_MASK: Final = (1 << REPLAY_WINDOW_SIZE) - 1


class ReplayWindow:
    """The recent sequence numbers of one sender."""

    __slots__ = ('highest', 'incarnation', 'seen')

    def __init__(self, incarnation: int) -> None:
        """Start with an empty window for one incarnation of the sender."""
        self.incarnation = incarnation
        self.highest = 0
        self.seen = 0

    def accept(self, incarnation: int, sequence: int) -> bool:
        """Record a sequence number; return False if it may be a replay.

        A later incarnation clears the window; an earlier one is rejected.
        """
        if incarnation != self.incarnation:
            if incarnation < self.incarnation:
                return False
            self.incarnation = incarnation
            self.highest = 0
            self.seen = 0
        ahead = sequence - self.highest
        if ahead > 0:
            self.highest = sequence
            self.seen = (
                (self.seen << min(ahead, REPLAY_WINDOW_SIZE)) | 1
            ) & _MASK
            return True
        return self._accept_late(-ahead)

    def _accept_late(self, behind: int) -> bool:
        """Record a number that is this far behind the highest one.

        Returns False if it was seen before or is too old for the window.
        """
        if behind >= REPLAY_WINDOW_SIZE:
            return False
        bit = 1 << behind
        if self.seen & bit:
            return False
        self.seen |= bit
        return True
