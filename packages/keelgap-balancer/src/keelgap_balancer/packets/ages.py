"""How long the caller of a new flow has been waiting already.

A caller repeats its opening packet, and its packets count the copies; when it
gives up, it opens a flow from another port.  Nothing in a packet says that
two flows serve one request, but the second comes from the same host right
after the first was given up or reset.  The guess orders those who wait for
room.  With early refusal on it also decides who is refused.
"""

from typing import Final, NamedTuple

from keelgap.catalog.models import PacketRoute
from keelgap.packets.envelopes import CallerWait
from keelgap.packets.openings import OPENING_SECONDS, estimate_wait
from keelgap.packets.refusals import RefusedCaller
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.shares import CallerShares

__all__ = ('CallerAges', 'Waited', 'get_host', 'make_wait')

_MILLISECONDS: Final = 1000


class Waited(NamedTuple):
    """For how many seconds a caller has waited."""

    #: Since the first packet of this flow.
    on_flow: float
    #: Since it first asked for its request, as far as can be told.
    on_request: float
    #: By how much longer it may have waited for its request.
    in_doubt: float = 0


def make_wait(
    route: PacketRoute,
    waited: Waited,
    *,
    is_first_try: bool,
) -> CallerWait:
    """Return what an agent should know of a caller's patience.

    Where earlier tries of the caller may have gone unseen, this one may be
    its second.
    """
    on_request = route.timeout_seconds - waited.on_request
    assured = on_request - waited.in_doubt
    if not is_first_try and waited.on_request == waited.on_flow:
        assured -= OPENING_SECONDS + defaults.RETRY_PAUSE_SECONDS
    return CallerWait(
        round(waited.on_request * _MILLISECONDS),
        round(on_request * _MILLISECONDS),
        round(assured * _MILLISECONDS),
    )


class _Opening(NamedTuple):
    """A flow that was asked for and has not been seen to open."""

    #: When the caller sent the first packet of this flow.
    attempted: float
    #: When it first asked for the request, as far as can be told.
    requested: float
    #: How many seconds earlier that may have been.
    in_doubt: float = 0
    #: How often the request was refused for want of room.
    refusals: int = 0
    #: When the caller's latest packet of it was passed on.
    passed: float = float('-inf')


class CallerAges:
    """Openings that came to nothing yet, by the caller's host."""

    def __init__(self, now: float) -> None:
        """Start without any."""
        #: When any packet of a caller came last.
        self.last_packet = now
        self.openings: dict[bytes, _Opening] = {}
        self.by_host: dict[bytes, list[bytes]] = {}
        self.shares = CallerShares()
        #: Refused callers of whom the other balancers were not told yet.
        self.untold: list[RefusedCaller] = []
        self.told_at = float('-inf')

    def note_opening(self, key: bytes, copies: int, now: float) -> Waited:
        """Return for how long the caller has waited."""
        opening = self.openings.get(key)
        if opening is None:
            attempted = now - estimate_wait(copies)
            opening = self._take_given_up(key, attempted)
            if len(self.openings) < defaults.MAX_OPENINGS:
                self._add(key, opening)
        return Waited(
            now - opening.attempted,
            now - opening.requested,
            opening.in_doubt,
        )

    def was_refused(self, key: bytes) -> bool:
        """Return whether this flow, or the try before it, was refused."""
        opening = self.openings.get(key)
        return opening is not None and opening.refusals > 0

    def get_age(self, key: bytes, now: float) -> float:
        """Return for how many seconds the caller of an opening waits."""
        opening = self.openings.get(key)
        return 0 if opening is None else now - opening.requested

    def note_passed(self, key: bytes, now: float) -> None:
        """Note that a packet of the caller went to an agent just now."""
        opening = self.openings.get(key)
        if opening is not None:
            self.openings[key] = opening._replace(passed=now)

    def may_be_open(self, key: bytes, now: float) -> bool:
        """Return whether a caller may have opened its flow meanwhile.

        A copy of its opening packet may have gone through another balancer,
        and have been answered since this one saw the caller ask.
        """
        opening = self.openings.get(key)
        if opening is None:
            return True
        return now - opening.passed > defaults.OPENED_SECONDS

    def is_given_up(self, key: bytes, now: float) -> bool:
        """Return whether the caller of an opening no longer waits for it."""
        opening = self.openings.get(key)
        if opening is None:
            return True
        return now - opening.attempted >= defaults.GIVE_UP_SECONDS

    def note_opened(self, key: bytes) -> None:
        """Forget an opening: its flow goes on."""
        if key in self.openings:
            self._remove(key)

    def note_reset(self, key: bytes, now: float, searched: float = 0) -> None:
        """Expect the caller of a flow that is reset to come again.

        The first packet of it that came here, ``searched`` seconds ago, may
        have been a copy.  Neither is known of the next request of that host:
        it leaves earlier in doubt, and is not taken for one that has left.
        """
        opening = self.openings.get(key)
        given_up = now - defaults.GIVE_UP_SECONDS
        if opening is None:
            requested = now - defaults.RESET_AGE_SECONDS
            doubt = defaults.RESET_DOUBT_SECONDS + searched
        else:
            requested = opening.requested
            doubt = opening.in_doubt
            self._remove(key)
        self._add(key, _Opening(given_up, requested, doubt))

    def expire(self, now: float) -> None:
        """Forget those that were given up and did not come again."""
        limit = now - defaults.GIVE_UP_SECONDS - defaults.RETRY_SECONDS
        old = [
            key
            for key, opening in self.openings.items()
            if opening.attempted < limit
        ]
        for key in old:
            self._remove(key)

    def note_refusal(self, key: bytes, now: float) -> None:
        """Expect the caller of a refused flow again, unless it gives up.

        If it were expected after its last try, the next request from its
        host would count as its retry, and as late.
        """
        opening = self.openings.get(key)
        if opening is None:
            return
        self._remove(key)
        age_ms = round((now - opening.requested) * _MILLISECONDS)
        caller = RefusedCaller(key, age_ms, opening.refusals + 1)
        if caller.refusals < defaults.CALLER_TRIES:
            self.expect_again(caller, now)
            self.untold.append(caller)

    def expect_again(self, caller: RefusedCaller, now: float) -> None:
        """Take the next new flow of a refused caller for a retry."""
        if len(self.openings) >= defaults.MAX_OPENINGS:
            return
        since = defaults.GIVE_UP_SECONDS + defaults.RETRY_SECONDS
        opening = _Opening(
            now - since + defaults.REFUSED_SECONDS,
            now - caller.age_ms / _MILLISECONDS,
            refusals=caller.refusals,
        )
        self._add(caller.key, opening)

    def _take_given_up(self, key: bytes, attempted: float) -> _Opening:
        """Return a new flow, with the age of the one it may be a retry of."""
        limit = attempted - defaults.GIVE_UP_SECONDS
        for other in self.by_host.get(get_host(key), ()):
            opening = self.openings[other]
            if opening.attempted <= limit:
                self._remove(other)
                return opening._replace(attempted=attempted)
        return _Opening(attempted, attempted)

    def _add(self, key: bytes, opening: _Opening) -> None:
        if key not in self.openings:
            self.by_host.setdefault(get_host(key), []).append(key)
        self.openings[key] = opening

    def _remove(self, key: bytes) -> None:
        self.openings.pop(key)
        host = get_host(key)
        keys = self.by_host[host]
        keys.remove(key)
        if not keys:
            self.by_host.pop(host)


def get_host(key: bytes) -> bytes:
    """Return the octets of a flow key that are the caller's address."""
    return key[:4]
