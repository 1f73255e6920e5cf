"""Default values of the balancer's policy, with the reason for each."""

from typing import Final

__all__ = (
    'MAX_SUSPECT_SHARE',
    'FORMER_OWNER_SECONDS',
    'PROCESS_PAUSE_SECONDS',
    'PROBE_BACKOFF_FACTOR',
    'PROBE_BACKOFF_MAX_SECONDS',
    'PROBE_BACKOFF_SECONDS',
    'PROBES_PER_SECOND',
    'AGENT_SILENCE_SECONDS',
    'TIMER_SECONDS',
)

#: Seconds of silence, after a datagram was sent to an agent, until the agent is
#: suspect.  Four round trips between availability zones with the start of a
#: handshake take a fraction of a second.
AGENT_SILENCE_SECONDS: Final = 1.0

#: Maximum share of a service's upstreams that may be suspect at once.  If more
#: are silent, this balancer is cut off rather than the upstreams dead.
MAX_SUSPECT_SHARE: Final = 0.5

#: Initial delay before a suspect agent is probed again.
PROBE_BACKOFF_SECONDS: Final = 0.5

#: Factor by which the delay grows after each unanswered probe.
PROBE_BACKOFF_FACTOR: Final = 2.0

#: Maximum delay between probes of one suspect agent.
PROBE_BACKOFF_MAX_SECONDS: Final = 8.0

#: Maximum rate of probes of agents that are sent datagrams but were not heard
#: from.  It keeps control traffic constant as the fleet grows: 20 * 70 octets
#: per second.
PROBES_PER_SECOND: Final = 20

#: Period of the driver's timer.
TIMER_SECONDS: Final = 0.1

#: If the timer fires later than this after its previous run, the process was
#: paused, and the silence of agents during the pause is ignored.
PROCESS_PAUSE_SECONDS: Final = 0.5

#: Seconds for which an agent whose upstream was removed may still own flows, so
#: that its open flows continue while it drains: one day.
FORMER_OWNER_SECONDS: Final = 86400.0
