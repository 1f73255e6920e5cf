"""Events of the agent's reducer; ``now`` is in seconds of one clock.

No type of QUIC or HTTP stands here: the driver translates.
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
    """The first datagram of a flow that is not known here."""

    now: float
    #: Connection id that the caller made up.
    connection_id: bytes
    service: int
    candidates: tuple[Address, ...]
    #: Index in candidates of this agent.
    turn: int
    #: Handshakes in progress at this agent.
    handshakes: int
    #: Whether the caller's address was validated by a Retry.
    validated: bool = False


class FlowOpened(NamedTuple):
    """A flow was taken."""

    now: float
    flow_id: int


class FlowClosed(NamedTuple):
    """A flow ended; all its requests were cancelled before."""

    now: float
    flow_id: int


class RequestHead(NamedTuple):
    """What admission needs to know of a request."""

    method: str
    path: str
    #: Value of Idempotency-Key, if given.
    key: str | None
    #: Digest of the caller's credentials.
    caller: bytes
    #: Seconds that the caller is willing to wait, if told.
    deadline_seconds: float | None
    #: Whether the body is short and has arrived in whole.
    portable: bool


class RequestArrived(NamedTuple):
    """A caller's request arrived."""

    now: float
    request_id: int
    flow_id: int
    head: RequestHead


class RequestCancelled(NamedTuple):
    """The caller gave a request up, or its flow ended."""

    now: float
    request_id: int


class RequestFinished(NamedTuple):
    """A request that had been started ended at the upstream."""

    now: float
    request_id: int
    outcome: Outcome


class PeerAsked(NamedTuple):
    """Another agent asks to run a request, or how it ended."""

    now: float
    request_id: int
    head: RequestHead
    #: True if the asker keeps the ledger and only wants it run here.
    run_only: bool


class PeerAnswered(NamedTuple):
    """Another agent answered: an answer, a problem, or "busy"."""

    now: float
    request_id: int
    answer: StoredAnswer | None = None
    problem: Problem | None = None


class UpstreamStateRead(NamedTuple):
    """The upstream itself said whether it is leaving."""

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
