"""Choice of the balancer through which datagrams return to a caller."""

from collections.abc import Collection
from typing import Final

from keelgap.addresses import Address

__all__ = ('ROTATION_SECONDS', 'ReturnPath')

#: A balancer that sent something within this time, in seconds, counts as live.
_LIVE_SECONDS: Final = 1.0
#: Balancers that have been silent for this time, in seconds, are removed.
_RETENTION_SECONDS: Final = 60.0
#: If no balancer counts as live, each is used in turn for this time, in
#: seconds.  It is one probe timeout of a connection between availability zones
#: (RFC 9002, 6.2), so that at least one datagram is sent through each.
ROTATION_SECONDS: Final = 0.25


class ReturnPath:
    """The balancers that may carry answers, and when each last sent."""

    def __init__(self) -> None:
        """Start without balancers."""
        self.last_heard_at: dict[Address, float] = {}
        self.leaving_since: dict[Address, float] = {}
        #: Live balancers according to the instance list, which lags.
        self.listed: tuple[Address, ...] = ()

    def record_heard(self, balancer: Address, now: float) -> None:
        """Record that a balancer sent an authentic datagram."""
        self.last_heard_at[balancer] = now

    def record_leaving(self, balancer: Address, now: float) -> None:
        """Record that a balancer asked not to be used anymore."""
        self.leaving_since[balancer] = now

    def record_listed(self, balancers: Collection[Address]) -> None:
        """Record the live balancers of the latest instance list."""
        self.listed = tuple(sorted(balancers))

    def choose_balancer(self, last: Address, now: float) -> Address:
        """Return the balancer that last forwarded the flow, or a live one.

        The last one is used while it counts as live, otherwise the one that
        sent most recently, for whichever flow.  If none counts as live, all
        that ever sent something here may be dead, and a caller that only
        receives does not lead to another.  Then all known balancers are used
        in turn until an acknowledgement arrives through one of them.
        """
        is_live = now - self._get_last_heard_at(last) < _LIVE_SECONDS
        if is_live and last not in self.leaving_since:
            return last
        balancers = dict.fromkeys((*self.last_heard_at, *self.listed))
        others = [
            balancer
            for balancer in balancers
            if balancer not in self.leaving_since
        ]
        if not others:
            return last
        others.sort(key=self._get_last_heard_at, reverse=True)
        if now - self._get_last_heard_at(others[0]) < _LIVE_SECONDS:
            return others[0]
        return others[int(now / ROTATION_SECONDS) % len(others)]

    def forget_silent(self, now: float) -> None:
        """Remove balancers that have been silent for too long."""
        oldest_kept = now - _RETENTION_SECONDS
        for table in (self.last_heard_at, self.leaving_since):
            stale = [
                key
                for key, recorded_at in table.items()
                if recorded_at < oldest_kept
            ]
            for key in stale:
                table.pop(key)

    def _get_last_heard_at(self, balancer: Address) -> float:
        """Return when a balancer last sent, or minus infinity if never."""
        return self.last_heard_at.get(balancer, float('-inf'))
