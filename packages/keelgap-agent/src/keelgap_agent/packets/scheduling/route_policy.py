"""Priority and time limits that a flow's route sets for its requests."""

from typing import Final, NamedTuple

from keelgap.packets.envelopes import OPENING_KINDS, Envelope

__all__ = ('RoutePolicy', 'read_opening_policy', 'update_policy')

_MILLISECONDS: Final = 1000


class RoutePolicy(NamedTuple):
    """What the route of a flow specifies for each request."""

    #: 0 is the highest priority.
    priority: int
    #: Target response time in seconds, within which a response is in time.
    target_seconds: float
    #: Seconds after which a caller stops waiting; infinite if not known.
    timeout_seconds: float
    #: Whether the caller's last packet was full, so that the next one may
    #: continue the request.
    may_continue: bool = False


def read_opening_policy(envelope: Envelope) -> RoutePolicy:
    """Return the route policy from the envelope of an opening packet.

    The envelope holds the time that this caller has left of both limits, and
    how long it has waited already; the limits are the sums.
    """
    wait = envelope.wait
    return RoutePolicy(
        envelope.priority,
        (envelope.left_ms + wait.age_ms) / _MILLISECONDS,
        (wait.max_remaining_ms + wait.age_ms) / _MILLISECONDS,
    )


def update_policy(
    envelope: Envelope,
    policy: RoutePolicy | None,
) -> RoutePolicy | None:
    """Return a flow's route policy, updated by a later packet's envelope.

    The packet's envelope holds the current priority and target response time of
    the route, for the next request.  A balancer that does not know them, or
    is of an earlier release, sends none.  The envelope of a repeated opening
    packet is ignored, since it holds what its caller has left.
    """
    if envelope.kind in OPENING_KINDS or envelope.left_ms <= 0:
        return policy
    target_seconds = envelope.left_ms / _MILLISECONDS
    if policy is None:
        return RoutePolicy(envelope.priority, target_seconds, float('inf'))
    if (policy.priority, policy.target_seconds) == (
        envelope.priority,
        target_seconds,
    ):
        return policy
    return policy._replace(
        priority=envelope.priority, target_seconds=target_seconds
    )
