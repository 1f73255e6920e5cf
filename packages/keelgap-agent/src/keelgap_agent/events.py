"""Events of the agent's reducer; ``now`` is in seconds on the loop's clock.

Events hold no QUIC or HTTP types; the driver translates them.
"""

from typing import NamedTuple

from keelgap.addresses import Address
from keelgap.events import (
    InstancesChanged,
    StopRequested,
    TableChanged,
    TimerFired,
)
from keelgap_agent.requests.outcomes import Outcome, StoredAnswer
from keelgap_agent.requests.problems import Problem

__all__ = (
    'AgentEvent',
    'FlowClosed',
    'FlowOffered',
    'FlowOpened',
    'InstancesChanged',
    'PeerAnswered',
    'PeerAsked',
    'RequestArrived',
    'RequestCancelled',
    'RequestFinished',
    'RequestHead',
    'StopRequested',
    'TableChanged',
    'TimerFired',
    'UpstreamStateRead',
)


class FlowOffered(NamedTuple):
    """The first datagram of a new flow arrived, which may be accepted."""

    now: float
    #: Destination connection id that the caller chose.
    connection_id: bytes
    service: int
    candidates: tuple[Address, ...]
    #: Index of this agent in the candidates.
    turn: int
    #: Handshakes in progress at this agent.
    handshakes: int
    #: Whether the caller's address was validated with a Retry.
    validated: bool = False


class FlowOpened(NamedTuple):
    """A flow was accepted and its connection opened."""

    now: float
    flow_id: int


class FlowClosed(NamedTuple):
    """A flow ended; all its requests have been cancelled before."""

    now: float
    flow_id: int


class RequestHead(NamedTuple):
    """The attributes of a request that admission uses."""

    method: str
    path: str
    #: Value of the Idempotency-Key header, if present.
    key: str | None
    #: Digest of the caller's credentials.
    caller: bytes
    #: Seconds that the caller is willing to wait, if it sent a deadline.
    deadline_seconds: float | None
    #: Whether the body is complete and small enough to be passed on.
    portable: bool


class RequestArrived(NamedTuple):
    """A caller's request arrived."""

    now: float
    request_id: int
    flow_id: int
    head: RequestHead


class RequestCancelled(NamedTuple):
    """The caller cancelled a request, or its flow ended."""

    now: float
    request_id: int


class RequestFinished(NamedTuple):
    """A started request ended at the upstream."""

    now: float
    request_id: int
    outcome: Outcome


class PeerAsked(NamedTuple):
    """Another agent asks to run a request, or for its outcome."""

    now: float
    request_id: int
    head: RequestHead
    #: Whether to run it without the ledger, which the asking agent keeps.
    run_only: bool


class PeerAnswered(NamedTuple):
    """Another agent answered with a response or a problem."""

    now: float
    request_id: int
    answer: StoredAnswer | None = None
    problem: Problem | None = None


class UpstreamStateRead(NamedTuple):
    """The upstream reported a change of its own draining state."""

    now: float
    draining: bool


AgentEvent = (
    FlowOffered
    | FlowOpened
    | FlowClosed
    | RequestArrived
    | RequestCancelled
    | RequestFinished
    | PeerAsked
    | PeerAnswered
    | UpstreamStateRead
    | TableChanged
    | InstancesChanged
    | TimerFired
    | StopRequested
)
