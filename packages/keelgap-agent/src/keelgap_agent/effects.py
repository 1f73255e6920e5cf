"""Effects that the agent's reducer returns for its driver to carry out."""

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
    """Accept the offered flow."""


class PassFlow(NamedTuple):
    """Hand the offered flow over to the next candidate agent."""

    agent: Address
    turn: int


class ChallengeFlow(NamedTuple):
    """Require address validation with a Retry (RFC 9000, 8.1.2)."""


class RefuseFlow(NamedTuple):
    """Refuse the flow because no candidate can accept it."""


class StopNewRequests(NamedTuple):
    """Send GOAWAY on all open flows."""


class EndFlow(NamedTuple):
    """Close a flow that has no open request."""

    flow_id: int


class StartRequest(NamedTuple):
    """Send a request to the upstream."""

    request_id: int
    #: Remaining seconds until the caller's deadline.
    deadline_seconds: float


class CancelRun(NamedTuple):
    """Abort a request that is running at the upstream."""

    request_id: int


class AnswerRequest(NamedTuple):
    """Answer with a stored response or with that of a peer."""

    request_id: int
    answer: StoredAnswer


class RefuseRequest(NamedTuple):
    """Answer with a problem document."""

    request_id: int
    problem: Problem


class IssueTicket(NamedTuple):
    """Answer with a ticket for requests that run at most once."""

    request_id: int
    ticket: str


class AskPeer(NamedTuple):
    """Ask another agent for the outcome of a request, or to run it."""

    request_id: int
    #: Control address of the agent.
    peer: Address
    run_only: bool
    deadline_seconds: float


class Drop(NamedTuple):
    """Count a rejected datagram by its reason."""

    reason: str


class Count(NamedTuple):
    """Increment a counter of the metrics."""

    name: str


class Observe(NamedTuple):
    """Record a duration in the histogram of a traffic class."""

    #: Name of the histogram without the namespace prefix.
    name: str
    traffic_class: str
    seconds: float


class Exit(NamedTuple):
    """Let the process exit: all flows have ended."""


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
