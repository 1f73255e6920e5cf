"""What is known of the next packets of a flow before they come."""

from typing import Final, NamedTuple

from keelgap.packets.envelopes import OPENING_KINDS, Envelope

__all__ = ('RouteTerms', 'read_opening', 'read_packet')

_MILLISECONDS: Final = 1000


class RouteTerms(NamedTuple):
    """What the route of a flow says of each request."""

    #: 0 goes first.
    priority: int
    #: Seconds within which an answer is in time.
    aim: float
    #: Seconds after which a caller no longer waits; infinite if not known.
    patience: float
    #: Whether the caller's last packet was full, so that its request may go on.
    goes_on: bool = False


def read_opening(envelope: Envelope) -> RouteTerms:
    """Return what the envelope of an opening packet says of its route.

    It tells what is left of both spans to this caller, and its age.
    """
    wait = envelope.wait
    return RouteTerms(
        envelope.priority,
        (envelope.left_ms + wait.age_ms) / _MILLISECONDS,
        (wait.patience_ms + wait.age_ms) / _MILLISECONDS,
    )


def read_packet(
    envelope: Envelope,
    known: RouteTerms | None,
) -> RouteTerms | None:
    """Return what is known of a route after a later packet.

    Its priority and aim are those of now, for the next request.  A balancer
    that does not know, or of an earlier release, says nothing; and what an
    opening packet that comes again says is what is left to its caller.
    """
    if envelope.kind in OPENING_KINDS or envelope.left_ms <= 0:
        return known
    aim = envelope.left_ms / _MILLISECONDS
    if known is None:
        return RouteTerms(envelope.priority, aim, float('inf'))
    if (known.priority, known.aim) == (envelope.priority, aim):
        return known
    return known._replace(priority=envelope.priority, aim=aim)
