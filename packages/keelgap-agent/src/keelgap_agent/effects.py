"""Effects that the agent's reducer asks its driver for."""

from typing import NamedTuple

from keelgap.addresses import Address
from keelgap_agent.requests.outcomes import StoredAnswer
from keelgap_agent.requests.problems import Problem

__all__ = (
    'AgentEffect',
    'AnswerRequest',
    'AskPeer',
    'CancelRun',
    'ChallengeFlow',
    'Count',
    'Drop',
    'EndFlow',
    'Exit',
    'IssueTicket',
    'Observe',
    'PassFlow',
    'RefuseFlow',
    'RefuseRequest',
    'StartRequest',
    'StopNewRequests',
    'TakeFlow',
)


class TakeFlow(NamedTuple):
    """Take the offered flow."""


class PassFlow(NamedTuple):
    """Pass the offered datagram to the next candidate."""

    agent: Address
    turn: int


class ChallengeFlow(NamedTuple):
    """Have the caller validate its address first (RFC 9000, 8.1.2)."""


class RefuseFlow(NamedTuple):
    """Tell the caller that no upstream can take the flow."""


class StopNewRequests(NamedTuple):
    """Tell all callers of open flows to open no more requests here."""


class EndFlow(NamedTuple):
    """Close a flow that has no request left."""

    flow_id: int


class StartRequest(NamedTuple):
    """Send a request to the upstream."""

    request_id: int
    #: Seconds left of the caller's deadline.
    deadline_seconds: float


class CancelRun(NamedTuple):
    """Tell the upstream that a started request is not wanted any more."""

    request_id: int


class AnswerRequest(NamedTuple):
    """Answer with what is stored, or what a peer returned."""

    request_id: int
    answer: StoredAnswer


class RefuseRequest(NamedTuple):
    """Answer with a problem."""

    request_id: int
    problem: Problem


class IssueTicket(NamedTuple):
    """Answer with a ticket."""

    request_id: int
    ticket: str


class AskPeer(NamedTuple):
    """Ask another agent about a request, or to run it."""

    request_id: int
    #: Control address of the agent.
    peer: Address
    run_only: bool
    deadline_seconds: float


class Drop(NamedTuple):
    """Count a datagram that is not accepted."""

    reason: str


class Count(NamedTuple):
    """Count something that operators watch."""

    name: str


class Observe(NamedTuple):
    """Record a time in a histogram of the request's class."""

    #: Name of the histogram, without its prefix.
    name: str
    traffic_class: str
    seconds: float


class Exit(NamedTuple):
    """All flows have ended; the process may exit."""


AgentEffect = (
    TakeFlow
    | PassFlow
    | ChallengeFlow
    | RefuseFlow
    | StopNewRequests
    | EndFlow
    | StartRequest
    | CancelRun
    | AnswerRequest
    | RefuseRequest
    | IssueTicket
    | AskPeer
    | Drop
    | Count
    | Observe
    | Exit
)
