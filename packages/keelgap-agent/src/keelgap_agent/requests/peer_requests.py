"""Requests that another agent passes on or asks about."""

from collections.abc import Callable
from types import MappingProxyType
from typing import Final

from keelgap.addresses import Address
from keelgap.control.messages import Answer, Ask, HeaderPairs
from keelgap_agent.defaults import MAX_PORTABLE_BODY_OCTETS
from keelgap_agent.events import RequestHead
from keelgap_agent.quic.bodies import BodyBuffer
from keelgap_agent.requests.exchanges import UpstreamHead
from keelgap_agent.requests.outcomes import StoredAnswer
from keelgap_agent.requests.problems import (
    PROBLEM_TYPES,
    UPSTREAM_FAILED,
    Problem,
)
from keelgap_agent.requests.upstream import AnswerRecorder

__all__ = ('PeerRequest', 'read_answer', 'read_problem')

OnAnswer = Callable[['PeerRequest', Answer], None]


class PeerRequest:
    """A request from the control channel; implements Exchange."""

    def __init__(
        self,
        request_id: int,
        asker: Address,
        ask: Ask,
        on_answer: OnAnswer,
    ) -> None:
        """Parse an ask; on_answer is called once, with the final answer."""
        self.request_id = request_id
        self.asker = asker
        self.ask = ask
        self.on_answer = on_answer
        self.recorder = AnswerRecorder()
        self.upstream_head = UpstreamHead(ask.method, ask.path, ask.headers)
        self.body = BodyBuffer(lambda count: None)
        self.body.feed(ask.body or b'', ended=True)
        body = ask.body
        self.head = RequestHead(
            ask.method,
            ask.path,
            ask.key,
            ask.caller,
            ask.deadline_seconds,
            portable=body is not None and len(body) <= MAX_PORTABLE_BODY_OCTETS,
        )

    def send_head(self, status: int, headers: HeaderPairs) -> None:
        """Store the head, since the answer is sent as one message."""
        self.recorder.status = status
        self.recorder.headers = headers

    async def send_part(self, part: bytes) -> None:
        """Store a part of the answer."""
        self.recorder.add(part)

    def send_end(self) -> None:
        """Send the collected answer."""
        self.send_answer(self.recorder.make_answer())

    def refuse(self, problem: Problem) -> None:
        """Send a problem to the asking agent."""
        self.on_answer(
            self,
            Answer(
                self.ask.ask_id,
                problem=problem.kind.slug,
                reason=problem.reason,
                retry_after=problem.retry_after,
            ),
        )

    def send_answer(self, answer: StoredAnswer) -> None:
        """Send a complete answer to the asking agent."""
        self.on_answer(
            self,
            Answer(
                self.ask.ask_id,
                answer.status,
                list(answer.headers),
                answer.body,
            ),
        )


_KINDS_BY_SLUG: Final = MappingProxyType({
    kind.slug: kind for kind in PROBLEM_TYPES
})


def read_problem(answer: Answer) -> Problem | None:
    """Return the problem in a peer's answer, or None."""
    if answer.problem is None:
        return None
    kind = _KINDS_BY_SLUG.get(answer.problem, UPSTREAM_FAILED)
    return Problem(kind, answer.reason, answer.retry_after)


def read_answer(answer: Answer) -> StoredAnswer | None:
    """Return the upstream's response in a peer's answer, or None."""
    if answer.problem is not None:
        return None
    return StoredAnswer(answer.status, tuple(answer.headers), answer.body)
