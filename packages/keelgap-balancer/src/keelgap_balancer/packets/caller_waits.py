"""Estimates for how long the caller of a new flow has been waiting.

A caller retransmits its opening packet, and each packet carries the number of
copies sent before.  When the caller gives up, it opens a flow from another
port.  Nothing in a packet tells that two flows belong to one request, but the
second comes from the same host right after the first was given up or reset.
The estimate determines the order in which flows wait for capacity.  With
early refusal enabled it also decides which flows are refused.
"""

from typing import Final, NamedTuple

from keelgap.catalog.models import PacketRoute
from keelgap.packets.envelopes import CallerWait
from keelgap.packets.refusals import RefusedCaller
from keelgap.packets.retransmission import (
    OPEN_TIMEOUT_SECONDS,
    estimate_open_wait,
)
from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.fair_shares import CallerShares

__all__ = ('CallerWaits', 'WaitEstimate', 'get_caller_host', 'make_caller_wait')

_MILLISECONDS: Final = 1000


class WaitEstimate(NamedTuple):
    """Estimate of how long a caller has been waiting for a new flow."""

    #: Seconds since the first packet of this flow.
    flow_seconds: float
    #: Seconds since the first attempt of its request, as far as is known.
    request_seconds: float
    #: Seconds by which the request may be older than that.
    uncertainty: float = 0


def make_caller_wait(
    route: PacketRoute,
    waited: WaitEstimate,
    *,
    is_first_try: bool,
) -> CallerWait:
    """Return what an agent is told of how long a caller waited and will wait.

    If it may not be the first try, as this balancer may have missed an earlier
    one, the time for which the caller will surely wait is reduced.
    """
    request_seconds = route.timeout_seconds - waited.request_seconds
    assured_seconds = request_seconds - waited.uncertainty
    if not is_first_try and waited.request_seconds == waited.flow_seconds:
        assured_seconds -= OPEN_TIMEOUT_SECONDS + defaults.RETRY_PAUSE_SECONDS
    return CallerWait(
        round(waited.request_seconds * _MILLISECONDS),
        round(request_seconds * _MILLISECONDS),
        round(assured_seconds * _MILLISECONDS),
    )


class _Opening(NamedTuple):
    """A flow whose opening was requested and that is not known to be open."""

    #: When the caller sent the first packet of this flow.
    started_at: float
    #: When the first attempt of the request began, as far as is known.
    requested_at: float
    #: Seconds by which the request may be older than that.
    uncertainty: float = 0
    #: How often the request was refused for lack of capacity.
    refusals: int = 0
    #: When a packet of it was last forwarded to an agent.
    forwarded_at: float = float('-inf')


class CallerWaits:
    """Openings of flows not known to be open, to estimate callers' waits."""

    def __init__(self, now: float) -> None:
        """Start without openings."""
        #: When the latest packet of any caller arrived.
        self.last_packet_at = now
        #: Openings by flow key.
        self.openings: dict[bytes, _Opening] = {}
        #: Flow keys in ``openings``, by the address of the caller.
        self.by_host: dict[bytes, list[bytes]] = {}
        self.shares = CallerShares()
        #: Refused callers that are still to be announced to other balancers.
        self.unannounced: list[RefusedCaller] = []
        #: When refused callers were last announced.
        self.announced_at = float('-inf')

    def record_opening(
        self, key: bytes, retransmissions: int, now: float
    ) -> WaitEstimate:
        """Record an opening packet; return how long its caller has waited."""
        opening = self.openings.get(key)
        if opening is None:
            started_at = now - estimate_open_wait(retransmissions)
            opening = self._make_opening(key, started_at)
            if len(self.openings) < defaults.MAX_OPENINGS:
                self._add_opening(key, opening)
        return WaitEstimate(
            now - opening.started_at,
            now - opening.requested_at,
            opening.uncertainty,
        )

    def was_refused(self, key: bytes) -> bool:
        """Return whether this flow or an earlier try of it was refused."""
        opening = self.openings.get(key)
        return opening is not None and opening.refusals > 0

    def get_request_age(self, key: bytes, now: float) -> float:
        """Return the seconds since the first try of an opening's request.

        For an unknown opening that is 0.
        """
        opening = self.openings.get(key)
        return 0 if opening is None else now - opening.requested_at

    def record_forwarded(self, key: bytes, now: float) -> None:
        """Record that a packet of the opening was forwarded to an agent."""
        opening = self.openings.get(key)
        if opening is not None:
            self.openings[key] = opening._replace(forwarded_at=now)

    def may_be_open(self, key: bytes, now: float) -> bool:
        """Return whether a flow may be open without this balancer's knowledge.

        A copy of the opening packet may have gone through another balancer
        and been answered after this one last forwarded a packet.
        """
        opening = self.openings.get(key)
        if opening is None:
            return True
        return now - opening.forwarded_at > defaults.ANSWERED_ELSEWHERE_SECONDS

    def has_caller_given_up(self, key: bytes, now: float) -> bool:
        """Return whether the caller of an opening has stopped waiting for it.

        For an unknown opening that is true.
        """
        opening = self.openings.get(key)
        if opening is None:
            return True
        return now - opening.started_at >= defaults.ABANDON_SECONDS

    def record_opened(self, key: bytes) -> None:
        """Forget the opening of a flow that is known to be open, if any."""
        if key in self.openings:
            self._remove_opening(key)

    def record_reset(self, key: bytes, now: float, searched: float = 0) -> None:
        """Expect a retry from the caller of a flow that is reset.

        The first packet that arrived here, ``searched`` seconds ago, may have
        been a copy, so the age of the request is uncertain.  The uncertainty
        shortens the time for which the caller is assumed to stay, but never
        makes its next request count as one whose caller has left.
        """
        opening = self.openings.get(key)
        given_up = now - defaults.ABANDON_SECONDS
        if opening is None:
            requested_at = now - defaults.RESET_AGE_SECONDS
            uncertainty = defaults.RESET_AGE_UNCERTAINTY_SECONDS + searched
        else:
            requested_at = opening.requested_at
            uncertainty = opening.uncertainty
            self._remove_opening(key)
        self._add_opening(key, _Opening(given_up, requested_at, uncertainty))

    def expire(self, now: float) -> None:
        """Forget openings that were given up and not retried in time."""
        oldest_start = (
            now - defaults.ABANDON_SECONDS - defaults.RETRY_WINDOW_SECONDS
        )
        old = [
            key
            for key, opening in self.openings.items()
            if opening.started_at < oldest_start
        ]
        for key in old:
            self._remove_opening(key)

    def record_refusal(self, key: bytes, now: float) -> None:
        """Expect a retry from the caller of a refused flow.

        After the last attempt none is expected: the next request from that
        host would be counted as the retry, and as late.
        """
        opening = self.openings.get(key)
        if opening is None:
            return
        self._remove_opening(key)
        age_ms = round((now - opening.requested_at) * _MILLISECONDS)
        caller = RefusedCaller(key, age_ms, opening.refusals + 1)
        if caller.refusals < defaults.MAX_CALLER_TRIES:
            self.expect_retry(caller, now)
            self.unannounced.append(caller)

    def expect_retry(self, caller: RefusedCaller, now: float) -> None:
        """Treat the next new flow of a refused caller's host as its retry.

        Does nothing while MAX_OPENINGS openings are recorded.
        """
        if len(self.openings) >= defaults.MAX_OPENINGS:
            return
        since = defaults.ABANDON_SECONDS + defaults.RETRY_WINDOW_SECONDS
        opening = _Opening(
            now - since + defaults.REFUSED_RETRY_SECONDS,
            now - caller.age_ms / _MILLISECONDS,
            refusals=caller.refusals,
        )
        self._add_opening(caller.key, opening)

    def _make_opening(self, key: bytes, started_at: float) -> _Opening:
        """Return a new opening, with the age of the one that it may retry.

        That is an earlier one of the same host which its caller has given up.
        It is removed.
        """
        latest_start = started_at - defaults.ABANDON_SECONDS
        for other in self.by_host.get(get_caller_host(key), ()):
            opening = self.openings[other]
            if opening.started_at <= latest_start:
                self._remove_opening(other)
                return opening._replace(started_at=started_at)
        return _Opening(started_at, started_at)

    def _add_opening(self, key: bytes, opening: _Opening) -> None:
        if key not in self.openings:
            self.by_host.setdefault(get_caller_host(key), []).append(key)
        self.openings[key] = opening

    def _remove_opening(self, key: bytes) -> None:
        self.openings.pop(key)
        host = get_caller_host(key)
        keys = self.by_host[host]
        keys.remove(key)
        if not keys:
            self.by_host.pop(host)


def get_caller_host(key: bytes) -> bytes:
    """Return the octets of a flow key that hold the caller's address."""
    return key[:4]
