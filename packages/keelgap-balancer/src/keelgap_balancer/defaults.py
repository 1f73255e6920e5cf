"""Default values of the balancer's policy, each with its reason."""

from typing import Final

__all__ = (
    'MAX_SUSPECT_SHARE',
    'OWNER_MEMORY_SECONDS',
    'PAUSE_SECONDS',
    'PROBE_BACKOFF_FACTOR',
    'PROBE_BACKOFF_MAX_SECONDS',
    'PROBE_BACKOFF_SECONDS',
    'PROBES_PER_SECOND',
    'SILENCE_SECONDS',
    'TIMER_SECONDS',
)

#: An agent that is silent for so long after a datagram was sent to it is
#: suspect.  Four times a round trip between availability zones with the
#: start of a handshake fits many times into one second.
SILENCE_SECONDS: Final = 1.0

#: Largest share of a service's upstreams that may be suspect at once.  More
#: would mean that this balancer is cut off, not that the upstreams died.
MAX_SUSPECT_SHARE: Final = 0.5

#: First pause before a suspect is probed again.
PROBE_BACKOFF_SECONDS: Final = 0.5

#: Factor by which the pause grows after each silent probe.
PROBE_BACKOFF_FACTOR: Final = 2.0

#: Longest pause between probes of one suspect.
PROBE_BACKOFF_MAX_SECONDS: Final = 8.0

#: Bound on probes of agents that take datagrams but were not heard, so that
#: control traffic stays flat as the fleet grows: 20 * 70 octets a second.
PROBES_PER_SECOND: Final = 20

#: Period of the driver's timer.
TIMER_SECONDS: Final = 0.1

#: A timer that fires later than this was paused with its process; what
#: looked like silence in that time is not counted.
PAUSE_SECONDS: Final = 0.5

#: How long the address of a removed upstream stays a known owner, so that
#: its open flows go on while it drains: one day.
OWNER_MEMORY_SECONDS: Final = 86400.0
