"""The driver's interface to a request and to the sender of that request."""

from typing import NamedTuple, Protocol

from keelgap.control.messages import HeaderPairs
from keelgap_agent.events import RequestHead
from keelgap_agent.quic.bodies import BodyBuffer
from keelgap_agent.requests.outcomes import StoredAnswer
from keelgap_agent.requests.problems import Problem

__all__ = ('Exchange', 'UpstreamHead')


class UpstreamHead(NamedTuple):
    """The request line and headers that are sent to the upstream."""

    method: str
    path: str
    headers: HeaderPairs


class Exchange(Protocol):
    """One request of a caller or a peer, which can be answered."""

    request_id: int
    head: RequestHead
    upstream_head: UpstreamHead
    body: BodyBuffer

    def send_head(self, status: int, headers: HeaderPairs) -> None:
        """Send the head of the answer."""

    async def send_part(self, part: bytes) -> None:
        """Send a part of the answer; wait while too much is unsent."""

    def send_end(self) -> None:
        """End the answer."""

    def refuse(self, problem: Problem) -> None:
        """Answer with a problem, or abort an answer that was started."""

    def send_answer(self, answer: StoredAnswer) -> None:
        """Send a complete answer."""
