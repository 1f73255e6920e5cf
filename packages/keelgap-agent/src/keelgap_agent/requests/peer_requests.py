"""Requests that another agent asks about or passes on."""

from collections.abc import Callable
from types import MappingProxyType
from typing import Final

from keelgap.addresses import Address
from keelgap.control.messages import Answer, Ask, HeaderPairs
from keelgap_agent.defaults import PORTABLE_OCTETS
from keelgap_agent.events import RequestHead
from keelgap_agent.quic.bodies import BodyBuffer
from keelgap_agent.requests.exchanges import RequestLines
from keelgap_agent.requests.outcomes import StoredAnswer
from keelgap_agent.requests.problems import (
    PROBLEM_TYPES,
    UPSTREAM_FAILED,
    Problem,
)
from keelgap_agent.requests.upstream import AnswerKeeper

__all__ = ('PeerRequest', 'read_answer', 'read_problem')

OnAnswer = Callable[['PeerRequest', Answer], None]


class PeerRequest:
    """A request that came over the control channel; an Exchange."""

    def __init__(
        self,
        request_id: int,
        asker: Address,
        ask: Ask,
        on_answer: OnAnswer,
    ) -> None:
        """Read an ask; on_answer is called once, with the final answer."""
        self.request_id = request_id
        self.asker = asker
        self.ask = ask
        self.on_answer = on_answer
        self.keeper = AnswerKeeper()
        self.lines = RequestLines(ask.method, ask.path, ask.headers)
        self.body = BodyBuffer(lambda count: None)
        self.body.feed(ask.body or b'', ended=True)
        body = ask.body
        self.head = RequestHead(
            ask.method,
            ask.path,
            ask.key,
            ask.caller,
            ask.deadline_seconds,
            portable=body is not None and len(body) <= PORTABLE_OCTETS,
        )

    def send_head(self, status: int, headers: HeaderPairs) -> None:
        """Note the head; the answer is sent in whole."""
        self.keeper.status = status
        self.keeper.headers = headers

    async def send_part(self, part: bytes) -> None:
        """Keep a part."""
        self.keeper.add(part)

    def send_end(self) -> None:
        """Send the answer that was collected."""
        self.answer_whole(self.keeper.make_answer())

    def refuse(self, problem: Problem) -> None:
        """Send a problem."""
        self.on_answer(
            self,
            Answer(
                self.ask.ask_id,
                problem=problem.kind.slug,
                reason=problem.reason,
                retry_after=problem.retry_after,
            ),
        )

    def answer_whole(self, answer: StoredAnswer) -> None:
        """Send a stored answer."""
        self.on_answer(
            self,
            Answer(
                self.ask.ask_id,
                answer.status,
                list(answer.headers),
                answer.body,
            ),
        )


_KINDS: Final = MappingProxyType({kind.slug: kind for kind in PROBLEM_TYPES})


def read_problem(answer: Answer) -> Problem | None:
    """Return the problem that an answer tells of, if it does."""
    if answer.problem is None:
        return None
    kind = _KINDS.get(answer.problem, UPSTREAM_FAILED)
    return Problem(kind, answer.reason, answer.retry_after)


def read_answer(answer: Answer) -> StoredAnswer | None:
    """Return the upstream's answer that an answer carries, if it does."""
    if answer.problem is not None:
        return None
    return StoredAnswer(answer.status, tuple(answer.headers), answer.body)
