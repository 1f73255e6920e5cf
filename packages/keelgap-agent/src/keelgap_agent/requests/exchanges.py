"""A request in the driver: its head, its body and where its answer goes."""

from typing import NamedTuple, Protocol

from keelgap.control.messages import HeaderPairs
from keelgap_agent.events import RequestHead
from keelgap_agent.quic.bodies import BodyBuffer
from keelgap_agent.requests.outcomes import StoredAnswer
from keelgap_agent.requests.problems import Problem

__all__ = ('Exchange', 'RequestLines')


class RequestLines(NamedTuple):
    """What is sent to an upstream ahead of the body."""

    method: str
    path: str
    headers: HeaderPairs


class Exchange(Protocol):
    """One request and the way back to whoever sent it."""

    request_id: int
    head: RequestHead
    lines: RequestLines
    body: BodyBuffer

    def send_head(self, status: int, headers: HeaderPairs) -> None:
        """Start the answer."""

    async def send_part(self, part: bytes) -> None:
        """Send a part of the answer; wait while too much is unsent."""

    def send_end(self) -> None:
        """End the answer."""

    def refuse(self, problem: Problem) -> None:
        """Answer with a problem, or break off an answer that was begun."""

    def answer_whole(self, answer: StoredAnswer) -> None:
        """Answer with what is stored."""
