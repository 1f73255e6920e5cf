"""Through which balancer a datagram returns to its caller."""

from keelgap.addresses import Address

__all__ = ('ReturnPath',)

#: A balancer heard within this time, in seconds, is taken to be live.
_FRESH_SECONDS = 1.0
#: Balancers not heard for this time are forgotten.
_FORGET_SECONDS = 60.0


class ReturnPath:
    """The balancers that this agent heard, and when."""

    def __init__(self) -> None:
        """Start with none."""
        self.heard: dict[Address, float] = {}
        self.leaving: dict[Address, float] = {}

    def note_heard(self, balancer: Address, now: float) -> None:
        """Record an authentic datagram from a balancer."""
        self.heard[balancer] = now

    def note_leaving(self, balancer: Address, now: float) -> None:
        """Record that a balancer asked not to be used any more."""
        self.leaving[balancer] = now

    def choose(self, last: Address, now: float) -> Address:
        """Return the balancer that the flow last came from, or a live one.

        The last one is used as long as it is fresh; else the one that was
        heard latest, whichever flow it was that it forwarded.
        """
        fresh = now - self.heard.get(last, float('-inf')) < _FRESH_SECONDS
        if fresh and last not in self.leaving:
            return last
        others = [
            (heard, balancer)
            for balancer, heard in self.heard.items()
            if balancer not in self.leaving
        ]
        return max(others)[1] if others else last

    def forget_old(self, now: float) -> None:
        """Drop balancers that have been silent for long."""
        oldest = now - _FORGET_SECONDS
        for table in (self.heard, self.leaving):
            stale = [key for key, seen in table.items() if seen < oldest]
            for key in stale:
                table.pop(key)
