"""HTTP/1.1 client of the upstream instance."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import Final, TypedDict

import aiohttp
import msgspec
from multidict import CIMultiDict

from keelgap.control.messages import HeaderPairs
from keelgap_agent.defaults import MAX_STORED_ANSWER_OCTETS
from keelgap_agent.quic.bodies import BodyCancelled
from keelgap_agent.requests.exchanges import Exchange
from keelgap_agent.requests.outcomes import Outcome, OutcomeKind, StoredAnswer

__all__ = (
    'DEADLINE_HEADER',
    'AnswerRecorder',
    'UpstreamClient',
    'poll_upstream_state',
)

#: Request header that gives the upstream the remaining seconds until the
#: caller's deadline.
DEADLINE_HEADER: Final = 'keelgap-deadline'
#: Hop-by-hop headers (RFC 9110, 7.6.1), which are not forwarded.
_HOP_BY_HOP_HEADERS: Final = frozenset((
    b'connection',
    b'keep-alive',
    b'proxy-connection',
    b'te',
    b'transfer-encoding',
    b'upgrade',
))


#: Interval between requests for the upstream's draining state.
_STATE_POLL_SECONDS: Final = 1.0
_STATE_TIMEOUT: Final = aiohttp.ClientTimeout(total=1)


class _StateDocument(TypedDict):
    """The JSON document in which an upstream reports its state."""

    state: str


class AnswerRecorder:
    """Record an answer for the ledger while it is streamed."""

    def __init__(self) -> None:
        """Start with an empty answer."""
        self.status = 0
        self.headers: HeaderPairs = []
        self.parts: list[bytes] = []
        self.size = 0

    def add(self, part: bytes) -> None:
        """Store a part, unless the answer is too long for the ledger."""
        self.size += len(part)
        if self.size <= MAX_STORED_ANSWER_OCTETS:
            self.parts.append(part)

    def make_answer(self) -> StoredAnswer:
        """Return the answer as the ledger stores it."""
        is_storable = self.size <= MAX_STORED_ANSWER_OCTETS
        body = b''.join(self.parts) if is_storable else None
        return StoredAnswer(self.status, tuple(self.headers), body)


def strip_hop_by_hop_headers(headers: HeaderPairs) -> HeaderPairs:
    """Return the end-to-end headers, with names in lower case."""
    return [
        (name.lower(), text)
        for name, text in headers
        if name.lower() not in _HOP_BY_HOP_HEADERS
    ]


class UpstreamClient:
    """Run requests against one upstream instance."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        """Use a session that its owner closes."""
        self.session = session
        self.url = url.rstrip('/')

    async def run(
        self,
        exchange: Exchange,
        deadline_seconds: float,
        timeout_seconds: float | None,
        on_head: Callable[[], None],
    ) -> Outcome:
        """Run a request to its end and stream the answer back.

        The timeout applies to the whole run; None allows long streams.
        Calls on_head when the head of the answer has arrived.
        """
        recorder = AnswerRecorder()
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._run_exchange(
                    exchange,
                    deadline_seconds,
                    recorder,
                    on_head,
                )
        except aiohttp.ClientConnectorError:
            return Outcome(OutcomeKind.NOT_SENT)
        except (BodyCancelled, asyncio.CancelledError):
            return Outcome(OutcomeKind.CANCELLED)
        except (aiohttp.ClientError, OSError):
            # TimeoutError is a subclass of OSError.
            return Outcome(OutcomeKind.BROKEN)
        return Outcome(OutcomeKind.ANSWERED, recorder.make_answer())

    async def _run_exchange(
        self,
        exchange: Exchange,
        deadline_seconds: float,
        recorder: AnswerRecorder,
        on_head: Callable[[], None],
    ) -> None:
        """Send a request and stream the answer to its caller and recorder."""
        async with self.session.request(
            exchange.upstream_head.method,
            self.url + exchange.upstream_head.path,
            headers=self._make_headers(exchange, deadline_seconds),
            data=self._choose_body(exchange),
            allow_redirects=False,
        ) as answer:
            on_head()
            recorder.status = answer.status
            recorder.headers = strip_hop_by_hop_headers(
                list(answer.raw_headers)
            )
            exchange.send_head(answer.status, recorder.headers)
            async for part in answer.content.iter_any():
                recorder.add(part)
                await exchange.send_part(part)
        exchange.send_end()

    def _make_headers(
        self,
        exchange: Exchange,
        deadline_seconds: float,
    ) -> CIMultiDict[str]:
        """Return the end-to-end headers and the seconds to the deadline."""
        headers = CIMultiDict(
            (name.decode('latin-1'), text.decode('latin-1'))
            for name, text in strip_hop_by_hop_headers(
                exchange.upstream_head.headers
            )
        )
        headers[DEADLINE_HEADER] = f'{max(deadline_seconds, 0):.3f}'
        return headers

    def _choose_body(self, exchange: Exchange) -> object:
        """Return the body to send, or None if the request has none."""
        body = exchange.body
        if body.ended and not body.chunks:
            return None
        return body.read()


async def poll_upstream_state(
    session: aiohttp.ClientSession,
    url: str,
    on_state: Callable[[bool], None],
) -> None:
    """Poll the upstream's own draining state.

    Failed and malformed answers are ignored and do not affect the state.
    """
    while True:
        with suppress(aiohttp.ClientError, OSError, msgspec.DecodeError):
            async with session.get(url, timeout=_STATE_TIMEOUT) as answer:
                content = await answer.read()
            state = msgspec.json.decode(content, type=_StateDocument)
            on_state(state['state'] == 'draining')
        await asyncio.sleep(_STATE_POLL_SECONDS)
